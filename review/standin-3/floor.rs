//! One message takes a sound server out: its late departure, or a ping of another writer for its address.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::fleet::Record;
use crate::http;
use crate::http::Request;

/// Servers of the service, each with three slots, and the time that a request takes.
const SERVERS: u8 = 3;
const WORK_MS: u64 = 240;

/// Time between two requests of all consumers: 31 a second, of which three servers can run 37 and two 25.
const PAUSE: Duration = Duration::from_millis(32);

/// Moments from the departure on: the server ends without a confirmation, it starts again, and the departure arrives.
const END: Duration = Duration::from_millis(1_200);
const RESTART: Duration = Duration::from_millis(1_700);
const ARRIVAL: Duration = Duration::from_millis(4_000);

/// Bound `contact_s`; servers count as sound after twice that.
const CONTACT: Duration = Duration::from_secs(3);

/// Window and bounds of the rule: `min_share`, and the shares of requests that are not served.
const WINDOW: Duration = Duration::from_secs(2);
const MIN_SHARE: f64 = 0.7;
const MIN_UNSERVED: f64 = 0.1;
const MAX_UNSERVED: f64 = 0.5;

/// Time for which requests are counted.
const COUNTED: Duration = Duration::from_secs(20);

/// Requests as consumers saw them: when they were sent, and whether they were served.
type Seen = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Starts a fleet with servers that all are sound.
fn start(record: &Record) -> (Fleet, Vec<Process>) {
    let fleet = Fleet::start(2, record);
    let servers = (1..=SERVERS).map(|number| fleet.start_server(number, &[]));
    let servers = servers.collect();
    fleet.publish(&fleet::document(1, 4.0));
    fleet.wait_until_served("/read/plain");
    thread::sleep(CONTACT);
    (fleet, servers)
}

/// The departure of a server arrives late, when its next start has registered under the same id.
pub fn late_departure(record: &Record, has_trouble: bool) -> bool {
    let (fleet, mut servers) = start(record);
    let left = Instant::now();
    record.line("server i-3: sends DELETE");
    if !has_trouble {
        deregister(&fleet);
    }
    http::sleep_until(left + END);
    servers[2].kill();
    record.line("server i-3: ends");
    http::sleep_until(left + RESTART);
    servers[2] = fleet.start_server(3, &["start=2".to_owned()]);
    record.line("server i-3: starts again, and registers");
    http::sleep_until(left + ARRIVAL);
    if has_trouble {
        deregister(&fleet);
    }
    holds(&fleet, record)
}

/// Another writer sends one ping that names a service of no configuration, and the address of a server.
pub fn foreign_ping(record: &Record, has_trouble: bool) -> bool {
    let (fleet, _servers) = start(record);
    if has_trouble {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.expect("a time").as_millis();
        let body = format!(
            r#"{{"service":"nobody","address":"{}","zone":"wc-a","version":"v1","max_concurrency":3,"state":"ready","warmup_left_s":0,"sequence":1,"born":{born}}}"#,
            fleet.server(3)
        );
        let control = &fleet.control_addresses()[0];
        let answer = http::call(control, "PUT", "/api/instances/i-foreign", &body);
        let status = answer.map(|answer| answer.status);
        record.line(&format!(
            "control: a ping of i-foreign for the address of i-3 gets {status:?}"
        ));
    }
    holds(&fleet, record)
}

/// Returns whether the rule holds while consumers send more than two servers can run.
fn holds(fleet: &Fleet, record: &Record) -> bool {
    thread::sleep(CONTACT * 2);
    let since = Instant::now();
    let before = counts(fleet);
    let seen = consume(fleet, since);
    let after = counts(fleet);
    let used: Vec<usize> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before)
        .collect();
    record.line(&format!("requests that the servers ran: {used:?}"));
    let in_use = used.iter().filter(|count| **count > 0).count();
    let share = in_use as f64 / f64::from(SERVERS);
    let mut broken = 0;
    let mut windows = 0;
    while since + WINDOW * (windows + 1) <= since + COUNTED {
        let start = since + WINDOW * windows;
        let sent = seen
            .iter()
            .filter(|(at, _)| *at >= start && *at < start + WINDOW);
        let sent: Vec<&(Instant, bool)> = sent.collect();
        let unserved = sent.iter().filter(|(_, is_served)| !is_served).count();
        let lost = unserved as f64 / sent.len().max(1) as f64;
        record.line(&format!(
            "window {windows}: {unserved} of {} requests are not served",
            sent.len()
        ));
        let is_between = lost > MIN_UNSERVED && lost < MAX_UNSERVED;
        broken += u32::from(in_use > 0 && share < MIN_SHARE && is_between);
        windows += 1;
    }
    record.line(&format!("{in_use} of {SERVERS} sound servers get requests; {broken} of {windows} windows break the rule"));
    broken == 0
}

/// Delivers the departure of server 3.
fn deregister(fleet: &Fleet) {
    for control in fleet.control_addresses() {
        let answer = http::call(&control, "DELETE", "/api/instances/i-3", "");
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            fleet.record.line(&format!(
                "control: the DELETE of i-3 has arrived, {}",
                answer.status
            ));
            return;
        }
    }
    panic!("control takes no departure");
}

/// Returns how many requests each server has run.
fn counts(fleet: &Fleet) -> Vec<usize> {
    let count = |number| {
        let lines = fleet.server_lines(number);
        lines.iter().filter(|line| line.contains(": ran ")).count()
    };
    (1..=SERVERS).map(count).collect()
}

/// Sends requests at an even pace.
fn consume(fleet: &Fleet, since: Instant) -> Vec<(Instant, bool)> {
    let seen = Seen::default();
    let mut consumers = Vec::new();
    let mut number: u32 = 0;
    while since.elapsed() < COUNTED {
        number += 1;
        let front = fleet.front(u8::try_from(number % 2).expect("an index"));
        let seen = Arc::clone(&seen);
        consumers.push(thread::spawn(move || {
            let at = Instant::now();
            let request = Request {
                deadline_ms: 3_000,
                ..Request::get(&format!("/read/plain-{WORK_MS}"), &format!("get-{number}"))
            };
            let answer = http::send(&front, &request);
            let is_served = answer.is_some_and(|answer| answer.status == 200);
            seen.lock().expect("what was seen").push((at, is_served));
        }));
        http::sleep_until(since + PAUSE * number);
    }
    for consumer in consumers {
        consumer.join().expect("a consumer");
    }
    let seen = seen.lock().expect("what was seen").clone();
    seen
}
