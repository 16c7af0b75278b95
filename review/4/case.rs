//! A planned stop of a front machine: the process ends as soon as the answers are in the buffers of its connections, and a
//! consumer that reads slowly and sends its next request meanwhile loses the rest of its answer to the reset.

#[path = "../standin/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

/// Bytes of the large answer, as many as the largest of the sheet.
const LARGE_BYTES: usize = 540_000;

/// Consumers with a kept connection, half of them at each front machine.
const CONSUMERS: usize = 6;

/// Time from the first large request until one front machine gets SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(1_200);

/// Time from the large request until the consumer sends its next one.
const NEXT_AFTER: Duration = Duration::from_millis(5_000);

/// A consumer reads some 70 kB a second.
const READ_BYTES: usize = 8 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(110);

/// `grace_s` of the settings, and the second after it in which a loss still counts.
const GRACE: Duration = Duration::from_secs(6);
const AFTER_GRACE: Duration = Duration::from_secs(1);

const DEADLINE_MS: u64 = 20_000;

/// What a consumer got for its large request and the one behind it.
struct Outcome {
    large: String,
    is_answered: bool,
    /// How the connection ended, if it did before both answers were there.
    ending: Option<String>,
    took: Duration,
    ended: Instant,
    front: u8,
    bytes: usize,
}

/// Returns the end of the first answer in `held`, if all of it is there.
fn first_end(held: &[u8]) -> Option<usize> {
    let end = held.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&held[..end]).into_owned();
    let mut fields = fields(&head).into_iter();
    let (_, length) = fields.find(|(name, _)| name == "content-length")?;
    let end = end + length.parse::<usize>().ok()?;
    (held.len() >= end).then_some(end)
}

fn consumer(lab: &Lab, number: usize, front: u8) -> Option<Outcome> {
    let mut stream = connect_narrowly(&lab.front(front))?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))
        .ok()?;
    let mut held = Vec::new();
    // The connection is a kept one: it has carried a request before.
    let first = lab.next_id();
    let request = consumer_request("GET", "/label/1", &first, 3000, b"");
    stream.write_all(&request).ok()?;
    let kept = read_answer(&mut stream, &mut held).map(|answer| answer.status);
    lab.record.line(&format!(
        "consumer {number}: GET /label/1 {first} at front {front}: {kept:?}"
    ));
    let large = lab.next_id();
    let request = consumer_request("GET", "/export/large", &large, DEADLINE_MS, b"");
    stream.write_all(&request).ok()?;
    let started = Instant::now();
    lab.record.line(&format!(
        "consumer {number}: GET /export/large {large} on the kept connection"
    ));
    let mut next = None;
    let mut ending = None;
    let mut buffer = vec![0; READ_BYTES];
    let end = loop {
        if next.is_none() && started.elapsed() >= NEXT_AFTER {
            let id = lab.next_id();
            let request = consumer_request("GET", "/label/2", &id, DEADLINE_MS, b"");
            let sent = stream.write_all(&request);
            lab.record.line(&format!(
                "consumer {number}: GET /label/2 {id} behind it, {} bytes of the large answer read: {sent:?}",
                held.len()
            ));
            next = Some(id);
        }
        let may_be_whole = held.len() >= LARGE_BYTES;
        if let Some(end) = may_be_whole.then(|| first_end(&held)).flatten() {
            break Some(end);
        }
        match stream.read(&mut buffer[..READ_BYTES]) {
            Ok(0) => ending = Some("closed".to_owned()),
            Ok(length) => held.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                ending = Some("no answer within the time budget".to_owned());
            }
            Err(error) => ending = Some(format!("{:?}", error.kind())),
        }
        if ending.is_some() {
            break None;
        }
        thread::sleep(READ_PAUSE);
    };
    let outcome = Outcome {
        large,
        is_answered: end.is_some() && held.starts_with(b"HTTP/1.1 200"),
        ending,
        took: started.elapsed(),
        ended: Instant::now(),
        front,
        bytes: held.len(),
    };
    lab.record.line(&format!(
        "consumer {number}: {} {} after {:.3} s with {} bytes of {LARGE_BYTES} and a head{}",
        outcome.large,
        if outcome.is_answered {
            "is answered whole"
        } else {
            "has no whole answer"
        },
        outcome.took.as_secs_f64(),
        outcome.bytes,
        outcome
            .ending
            .as_ref()
            .map_or(String::new(), |ending| format!(
                "; the connection ended: {ending}"
            ))
    ));
    if let (Some(id), Some(end)) = (next, end) {
        held.drain(..end);
        let result = read_answer(&mut stream, &mut held).map(|answer| answer.status);
        lab.record
            .line(&format!("consumer {number}: {id}: {result:?}"));
    }
    Some(outcome)
}

fn main() {
    let shape = Shape {
        cores: 3,
        fronts: 2,
        losses: 1,
        memory_mb: 160,
    };
    let lab = Lab::start(shape);
    let runs = Arc::new(Runs::default());
    let trouble = has_trouble();
    let behaviour: Arc<Behaviour> = Arc::new(move |_, seen| {
        if seen.path.starts_with("/export/large") {
            Deed::Answer(Duration::from_millis(100), vec![b'x'; LARGE_BYTES])
        } else {
            Deed::Answer(Duration::from_millis(20), vec![b'y'; 400])
        }
    });
    let routes = [
        Route {
            prefix: "/export/",
            kind: "download",
            timeout_s: 20.0,
            target_s: 10.0,
            service: "archive",
            attempts: 2,
        },
        Route {
            prefix: "/label/",
            kind: "safe",
            timeout_s: 20.0,
            target_s: 1.0,
            service: "ledger",
            attempts: 2,
        },
    ];
    let text = config(7, &routes, &["archive", "ledger"], LIMITS);
    if lab
        .put_config(&text)
        .is_none_or(|answer| answer.status != 200)
    {
        lab.finish(NOT_RUN);
    }
    let _servers: Vec<_> = (1..=6)
        .map(|number| {
            let service = if number <= 3 { "archive" } else { "ledger" };
            start_server(&lab, number, service, 6, &runs, &behaviour)
        })
        .collect();
    for front in lab.fronts() {
        for path in ["/export/0", "/label/0"] {
            lab.wait(
                &format!("front {front} serves {path}"),
                Duration::from_secs(20),
                || {
                    lab.is_ready(front)
                        && consume(&lab.front(front), "GET", path, &lab.next_id(), 3000, b"")
                            .is_ok_and(|answer| answer.status == 200)
                },
            );
        }
    }
    // The machines are in touch from `contact_s` after the start on.
    thread::sleep(Duration::from_secs(4));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let lab = Arc::clone(&lab);
            let front = lab.fronts()[number % 2];
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(150 * number as u64));
                consumer(&lab, number, front)
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped = lab.fronts()[0];
    let stop = Instant::now();
    if trouble {
        lab.signal(stopped, "TERM");
        lab.record.say(&format!("front {stopped} gets SIGTERM"));
    }
    let outcomes: Vec<Outcome> = consumers
        .into_iter()
        .filter_map(|consumer| consumer.join().ok().flatten())
        .collect();
    if outcomes.len() < CONSUMERS {
        lab.record.say("a consumer could not connect");
        lab.finish(NOT_RUN);
    }
    let lost: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| {
            let is_planned =
                trouble && outcome.front == stopped && outcome.ended < stop + GRACE + AFTER_GRACE;
            let has_run = runs.of(&outcome.large) > 0;
            outcome.ending.is_some() && is_planned && has_run
        })
        .collect();
    for outcome in &lost {
        lab.record.say(&format!(
            "{} ran at a sound server, and its connection ended {:.1} s after the SIGTERM, {:.1} s of {} s after it was sent, in the middle of the answer: {}",
            outcome.large,
            outcome.ended.duration_since(stop).as_secs_f64(),
            outcome.took.as_secs_f64(),
            DEADLINE_MS / 1000,
            outcome.ending.as_deref().unwrap_or_default(),
        ));
    }
    lab.record.say(&format!(
        "of {CONSUMERS} large requests {} were answered whole, {} of the machine that was stopped had been passed on and ended without a complete answer",
        outcomes.iter().filter(|outcome| outcome.is_answered).count(),
        lost.len()
    ));
    lab.finish(if !lost.is_empty() { BROKEN } else { HELD });
}
