//! The first configuration of a deployment bears the version r0.

#[path = "../standin-2/kit.rs"]
mod kit;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

/// `contact_s` and `config_apply_s` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
const CONFIG_APPLY: Duration = Duration::from_secs(2);

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| fail("no path for the record"));
    let record = Record::new(&path);
    let mut fleet = Fleet::new(1);
    fleet.start_all(3, 1);
    // Without the disruption the versions begin with r1.
    let version = u64::from(!has_trouble());
    let sent = Document { version, ..Document::default() }.text();
    let answer = fleet.call_control("PUT", "/api/config", sent.as_bytes(), Duration::from_secs(20));
    let Some(answer) = answer else {
        fail("no answer to the configuration");
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.say(&format!("PUT of r{version}: {} {body}", answer.status));
    if answer.status != 200 {
        record.say("the configuration was refused: the rule held");
        fleet.end();
        return;
    }
    let server = Server::start(&fleet.address(101, SERVER_PORT), "i-1", "herd", |request, out| {
        write_answer(out, "200 OK", request.id(), b"whole")
    });
    server.ping(&fleet);
    thread::sleep(CONTACT + CONFIG_APPLY);
    // What consumers get, for the record.
    let authorization = format!("Bearer {KEY}");
    for number in 0..5 {
        let id = format!("r-{number}");
        let answer = call(&fleet.front(0), "GET", "/reads/x", &headers(&id, "3000", &authorization), b"", Duration::from_secs(3));
        record.note(&format!("{id}: {:?}", answer.map(|answer| (answer.status, String::from_utf8_lossy(&answer.body).into_owned()))));
    }
    record.note(&format!("the proxy is ready: {}", fleet.is_ready(0)));
    // The operator reads it back, repeatedly and at any daemon, for longer than `contact_s`.
    let until = Instant::now() + CONTACT * 3;
    let mut is_read_back = false;
    let mut reads = 0;
    while !is_read_back && Instant::now() < until {
        let read = fleet.call_control("GET", "/api/config", b"", Duration::from_secs(1));
        reads += 1;
        let status = read.as_ref().map(|read| read.status);
        is_read_back = read.is_some_and(|read| read.status == 200 && read.body == sent.as_bytes());
        record.note(&format!("GET: {status:?}, the configuration that was acknowledged: {is_read_back}"));
    }
    record.say(&format!("r{version} was acknowledged; after {reads} rounds of reading it came back: {is_read_back}"));
    fleet.end();
    record.say(if is_read_back { "the rule held" } else { "CONFIG was broken" });
    std::process::exit(i32::from(!is_read_back));
}
