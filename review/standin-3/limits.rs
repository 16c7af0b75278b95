//! An operator lowers the limit on request heads; all requests stay within it.

use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::http;
use crate::http::Request;

/// Limits on request heads in bytes; the heads of this case have about 200.
const SMALL_BYTES: &str = "\"max_header_bytes\":2048";
const USUAL_BYTES: &str = "\"max_header_bytes\":16384";

/// Bound `config_apply_s`, and some time more.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Bound `contact_s`: a ready proxy that takes no connection for so long breaks the rule.
const CONTACT: Duration = Duration::from_secs(3);

/// Consumers that have to try in that time at the least.
const MIN_CONSUMERS: usize = 7;

/// Time for which consumers try, and the pause between two of them at one proxy.
const TIME: Duration = Duration::from_secs(9);
const PAUSE: Duration = Duration::from_millis(150);

/// What consumers found at one proxy.
#[derive(Default)]
struct Found {
    served: usize,
    /// Consumers that were not served in a row, with the first of them, while the proxy was ready.
    in_a_row: usize,
    first: Option<Instant>,
    is_broken: bool,
}

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let fleet = Fleet::start(2, record);
    let _servers = [fleet.start_server(1, &[]), fleet.start_server(2, &[])];
    fleet.publish(&fleet::document(1, 4.0));
    fleet.wait_until_served("/read/plain");
    let bytes = if has_trouble { SMALL_BYTES } else { USUAL_BYTES };
    record.line(&format!("operator: publishes version 2 with {bytes}"));
    fleet.publish(&fleet::document(2, 4.0).replace(USUAL_BYTES, bytes));
    std::thread::sleep(APPLY_TIME);
    let mut found = [Found::default(), Found::default()];
    let end = Instant::now() + TIME;
    let mut number = 0;
    while Instant::now() < end {
        for (index, found) in (0..).zip(&mut found) {
            number += 1;
            visit(&fleet, index, number, found);
        }
        std::thread::sleep(PAUSE);
    }
    for (index, found) in found.iter().enumerate() {
        record.line(&format!("proxy {index}: {} consumers served", found.served));
    }
    if !has_trouble {
        return found.iter().all(|found| found.served > 0 && found.in_a_row == 0);
    }
    !found.iter().any(|found| found.is_broken)
}

/// Lets one consumer try a proxy on a new connection.
fn visit(fleet: &Fleet, index: u8, number: usize, found: &mut Found) {
    let request = Request::get("/read/plain", &format!("head-{number}"));
    let head_bytes = request.bytes().len();
    let answer = http::send(&fleet.front(index), &request);
    let ready = http::call(&fleet.ready(index), "GET", "/api/readyz", "");
    let is_ready = ready.is_some_and(|ready| ready.status == 200);
    fleet.record.line(&format!(
        "client: {} with a head of {head_bytes} bytes to proxy {index} (ready: {is_ready}): {}",
        request.id,
        answer.as_ref().map_or("closed without an answer".to_owned(), |one| one.status.to_string())
    ));
    if answer.is_some() || !is_ready {
        found.served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        found.in_a_row = 0;
        found.first = None;
        return;
    }
    found.in_a_row += 1;
    let first = *found.first.get_or_insert_with(Instant::now);
    found.is_broken |= found.in_a_row >= MIN_CONSUMERS && first.elapsed() >= CONTACT;
}
