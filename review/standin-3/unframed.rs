//! A server crashes in the middle of an answer without a length and starts again, while the client reads slowly.

use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::http;
use crate::http::Reader;
use crate::http::Request;
use crate::server;

/// Bytes of the answer, more than all buffers between the server and the client hold.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Time budget of the request and timeout of its route.
const DEADLINE: Duration = Duration::from_secs(12);

/// Moments from the head of the answer on: the server crashes, starts again, and the client reads on.
const CRASH: Duration = Duration::from_millis(800);
const RESTART: Duration = Duration::from_millis(2_300);
const READ_ON: Duration = Duration::from_millis(2_800);

/// Delay of the first heartbeat of the next start.
const LATE_HEARTBEAT_MS: u64 = 3_000;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let fleet = Fleet::start(1, record);
    let mut process = fleet.start_server(1, &[]);
    fleet.publish(&fleet::document(1, DEADLINE.as_secs_f64()));
    fleet.wait_until_served("/read/plain");
    let request = Request {
        deadline_ms: u64::try_from(DEADLINE.as_millis()).expect("a time"),
        ..Request::get(&format!("/load/unframed-{ANSWER_BYTES}"), "long-1")
    };
    let mut stream = http::connect(&fleet.front(0)).expect("a connection");
    stream.set_read_timeout(Some(DEADLINE)).expect("a timeout");
    stream.write_all(&request.bytes()).expect("a request");
    record.line(&format!("client: sent {} {}", request.id, request.path));
    let mut reader = Reader::new(stream);
    let head = reader.head().expect("the head of the answer");
    let since = Instant::now();
    record.line(&format!(
        "client: head with status {}, reads on later",
        head.status
    ));
    let mut next = None;
    if has_trouble {
        http::sleep_until(since + CRASH);
        process.kill();
        record.line("server: killed in the middle of its answer");
        http::sleep_until(since + RESTART);
        let options = [
            "start=2".to_owned(),
            format!("first-heartbeat={LATE_HEARTBEAT_MS}"),
        ];
        next = Some(fleet.start_server(1, &options));
        record.line("server: started again at its address, its first heartbeat comes late");
    }
    http::sleep_until(since + READ_ON);
    let answer = reader.body(head);
    let expected = answer
        .header("response-signature")
        .unwrap_or_default()
        .to_owned();
    let is_signed = server::signature(&answer.body) == expected;
    record.line(&format!(
        "client: {} bytes of {ANSWER_BYTES}, ends as a whole answer: {}, signature fits: {is_signed}",
        answer.body.len(),
        answer.is_whole
    ));
    for line in fleet.server_lines(1) {
        record.line(&format!("server: {line}"));
    }
    drop(next);
    let is_success = (200..300).contains(&answer.status);
    if !has_trouble {
        return is_success && answer.is_whole && is_signed;
    }
    // A success that looks whole and is not breaks the rule; an answer that visibly breaks off does not.
    !(is_success && answer.is_whole && !is_signed)
}
