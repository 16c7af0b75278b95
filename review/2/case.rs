//! A ping of another writer, for a service that no configuration names, takes a sound server out of use for good.

#[path = "../standin/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

/// Bound `min_share` of the settings, and the window of the rule.
const MIN_SHARE: f64 = 0.7;
const WINDOW: Duration = Duration::from_secs(2);

/// Time after a disruption from which on a server is sound: twice `contact_s`.
const SOUND_AFTER: Duration = Duration::from_secs(6);

const SERVERS: usize = 3;
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(200);

/// 38 requests a second; the three servers do 45, two of them 30.
const CONSUMERS: usize = 38;
const PERIOD: Duration = Duration::from_secs(1);
const LOAD: Duration = Duration::from_secs(20);

struct Try {
    sent: Instant,
    served: bool,
}

fn main() {
    let shape = Shape {
        cores: 3,
        fronts: 2,
        losses: 1,
        memory_mb: 260,
    };
    let lab = Lab::start(shape);
    let runs = Arc::new(Runs::default());
    let behaviour: Arc<Behaviour> = Arc::new(|_, _| Deed::Answer(WORK, vec![b'x'; 400]));
    let routes = [Route {
        prefix: "/herd/",
        kind: "safe",
        timeout_s: 1.5,
        target_s: 1.0,
        service: "herd",
        attempts: 2,
    }];
    let sent = lab.put_config(&config(7, &routes, &["herd"], LIMITS));
    if sent.is_none_or(|answer| answer.status != 200) {
        lab.finish(NOT_RUN);
    }
    let servers: Vec<Arc<Server>> = (1..=SERVERS as u8)
        .map(|number| start_server(&lab, number, "herd", SLOTS, &runs, &behaviour))
        .collect();
    for front in lab.fronts() {
        lab.wait(
            &format!("front {front} is ready"),
            Duration::from_secs(20),
            || lab.is_ready(front),
        );
        lab.wait(
            &format!("front {front} serves"),
            Duration::from_secs(20),
            || {
                let answer = consume(
                    &lab.front(front),
                    "GET",
                    "/herd/0",
                    &lab.next_id(),
                    1500,
                    b"",
                );
                answer.is_ok_and(|answer| answer.status == 200)
            },
        );
    }
    lab.wait(
        "each server has run a request",
        Duration::from_secs(20),
        || {
            let _ = consume(&lab.front(11), "GET", "/herd/0", &lab.next_id(), 1500, b"");
            let seen: BTreeSet<String> = runs
                .0
                .lock()
                .unwrap()
                .iter()
                .map(|run| run.server.clone())
                .collect();
            seen.len() == SERVERS
        },
    );
    thread::sleep(Duration::from_secs(3));
    // The ping of another writer: all fields are there, but the service is one that is not named. It comes once.
    let target = &servers[0];
    if has_trouble() {
        let body = format!(
            "{{\"service\":\"elsewhere\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrency\":3,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":1,\"born\":{}}}",
            target.address,
            target.zone,
            now_ms()
        );
        lab.record.line(&format!(
            "another writer: PUT /api/instances/x-0badf00d {body}"
        ));
        let answer = lab.call_control(
            "PUT",
            "/api/instances/x-0badf00d",
            &body,
            Duration::from_secs(4),
        );
        lab.record.say(&format!(
            "another writer: answer {:?}",
            answer.map(|answer| answer.status)
        ));
    }
    thread::sleep(SOUND_AFTER);
    let started = Instant::now();
    let tries = Arc::new(Mutex::new(Vec::new()));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (lab, tries) = (Arc::clone(&lab), Arc::clone(&tries));
            thread::spawn(move || {
                thread::sleep(PERIOD.mul_f64(number as f64 / CONSUMERS as f64));
                let front = lab.fronts()[number % lab.fronts().len()];
                let mut next = Instant::now();
                while started.elapsed() < LOAD {
                    let (id, sent) = (lab.next_id(), Instant::now());
                    let result = consume(&lab.front(front), "GET", "/herd/1", &id, 900, b"");
                    let shown = result
                        .as_ref()
                        .map(|answer| answer.status)
                        .map_err(Clone::clone);
                    lab.record.line(&format!(
                        "consumer: GET /herd/1 {id} at front {front}: {shown:?}"
                    ));
                    let served = result.is_ok_and(|answer| answer.status == 200);
                    tries.lock().unwrap().push(Try { sent, served });
                    next += PERIOD;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    for consumer in consumers {
        let _ = consumer.join();
    }
    let acked = ping(&lab, target, SLOTS);
    lab.record.say(&format!(
        "server 1 still says that it is ready; its ping is acknowledged: {acked}"
    ));
    // The rule, for windows that begin each half second.
    let (tries, runs) = (tries.lock().unwrap(), runs.0.lock().unwrap());
    let mut broken = 0;
    let mut windows = 0;
    for step in 0..36 {
        let from = started + Duration::from_millis(500) * step;
        let until = from + WINDOW;
        let used: BTreeSet<&String> = runs
            .iter()
            .filter(|run| run.at >= from && run.at < until)
            .map(|run| &run.server)
            .collect();
        let own: Vec<&Try> = tries
            .iter()
            .filter(|one| one.sent >= from && one.sent < until)
            .collect();
        let unserved =
            own.iter().filter(|one| !one.served).count() as f64 / own.len().max(1) as f64;
        let share = used.len() as f64 / SERVERS as f64;
        windows += 1;
        if share > 0.0 && share < MIN_SHARE && unserved > 0.1 && unserved < 0.5 {
            broken += 1;
        }
        lab.record.line(&format!(
            "window from {:.1} s: {} of {SERVERS} sound servers got requests, {:.2} of {} requests not served",
            from.duration_since(started).as_secs_f64(), used.len(), unserved, own.len()
        ));
    }
    let served = tries.iter().filter(|one| one.served).count();
    let first = runs
        .iter()
        .filter(|run| run.at >= started && run.server == target.id)
        .count();
    lab.record.say(&format!(
        "{served} of {} requests served, server 1 ran {first}; {broken} of {windows} windows of {} s break the rule",
        tries.len(), WINDOW.as_secs()
    ));
    lab.finish(if broken > 0 { BROKEN } else { HELD });
}
