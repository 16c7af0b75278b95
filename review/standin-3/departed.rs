//! A server leaves before its first heartbeat, which is late, arrives.

use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::http;
use crate::http::Request;

/// Delay of the heartbeats of the server that leaves.
const LATE: Duration = Duration::from_millis(3_000);

/// Moment after its start at which it says that it leaves.
const LEAVE: Duration = Duration::from_millis(900);

/// Bound `drain_s`.
const DRAIN: Duration = Duration::from_secs(2);

/// Time after which it ends, counted from the confirmation.
const END: Duration = Duration::from_secs(9);

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(40);

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let fleet = Fleet::start(2, record);
    let _servers = [fleet.start_server(1, &[]), fleet.start_server(2, &[])];
    fleet.publish(&fleet::document(1, 4.0));
    fleet.wait_until_served("/read/plain");
    // All are calm for longer than `contact_s`.
    std::thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let delay = if has_trouble { LATE } else { Duration::ZERO };
    let options = [
        format!("delivery={}", delay.as_millis()),
        format!("leave={}", LEAVE.as_millis()),
        format!("end={}", END.as_millis()),
    ];
    let server = fleet.start_server(3, &options);
    record.line(&format!(
        "server i-3: starts; its heartbeats arrive {delay:?} late"
    ));
    let end = started + LEAVE + END;
    let mut number: u32 = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("get-{number}");
        let index = u8::try_from(number % 2).expect("an index");
        let answer = http::send(&fleet.front(index), &Request::get("/read/plain-100", &id));
        if answer.is_none_or(|answer| answer.status != 200) {
            record.line(&format!("client: {id} was not served"));
        }
        std::thread::sleep(PAUSE);
    }
    drop(server);
    let lines = fleet.server_lines(3);
    for line in &lines {
        record.line(&format!("server: {line}"));
    }
    let millis = |line: &String| {
        line.split(" at ")
            .nth(1)?
            .split(' ')
            .next()?
            .parse::<u64>()
            .ok()
    };
    let left = lines
        .iter()
        .find(|line| line.contains("departure acknowledged"));
    let left = left.and_then(millis).expect("an acknowledged departure");
    let late = lines.iter().filter(|line| line.contains(": ran "));
    let late = late
        .filter_map(millis)
        .filter(|at| *at > left + DRAIN.as_millis() as u64);
    let count = late.count();
    record.line(&format!(
        "{count} requests reached i-3 later than {DRAIN:?} after its departure was acknowledged"
    ));
    count == 0
}
