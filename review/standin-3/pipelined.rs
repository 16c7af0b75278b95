//! Consumers read a large answer on a kept connection slowly, and send their next safe request meanwhile.

use std::io::Read;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::http;
use crate::http::Request;
use crate::server;

/// Bytes of the large answer, and those that a consumer reads at a time.
const ANSWER_BYTES: usize = 28 * 1024 * 1024;
const STEP_BYTES: usize = 64 * 1024;

/// Time in which a consumer reads the large answer, and the time budget of its requests.
const READING_TIME: Duration = Duration::from_secs(7);
const DEADLINE: Duration = Duration::from_secs(12);

/// Time for which the connection is idle before the request for the large answer.
const IDLE: Duration = Duration::from_millis(2_300);

/// Moment after the request for the large answer at which the next one is sent.
const NEXT: Duration = Duration::from_millis(300);

/// Consumers, and the closed connections that the rule allows.
const CONSUMERS: usize = 6;
const ALLOWED: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> bool {
    let fleet = Fleet::start(1, record);
    let _servers: Vec<_> = (1..=8).map(|number| fleet.start_server(number, &[])).collect();
    fleet.publish(&fleet::document(1, DEADLINE.as_secs_f64()));
    fleet.wait_until_served("/read/plain");
    // All are calm for longer than `contact_s`.
    thread::sleep(Duration::from_secs(4));
    let consumers = (0..CONSUMERS).map(|number| {
        let (front, record) = (fleet.front(0), record.clone());
        thread::spawn(move || consume(&front, number, has_trouble, &record))
    });
    let consumers: Vec<thread::JoinHandle<usize>> = consumers.collect();
    let answered = consumers.into_iter().map(|one| one.join().expect("a consumer"));
    let answered: Vec<usize> = answered.collect();
    for number in 1..=8 {
        for line in fleet.server_lines(number) {
            record.line(&format!("server: {line}"));
        }
    }
    let cut = answered.iter().filter(|whole| **whole == 0).count();
    record.line(&format!(
        "{cut} of {CONSUMERS} connections were closed before the whole answer to a request that was passed on"
    ));
    let is_all = answered.iter().all(|whole| *whole == 2);
    if has_trouble { cut <= ALLOWED } else { is_all }
}

/// Asks for the large answer and a small one on a connection that has served a request; returns how many of the two
/// answers were whole.
fn consume(front: &str, number: usize, has_trouble: bool, record: &Record) -> usize {
    let budget = u64::try_from(DEADLINE.as_millis()).expect("a time");
    let request = |path: &str, name: &str| {
        let request = Request {
            deadline_ms: budget,
            ..Request::get(path, &format!("{name}-{number}"))
        };
        request.bytes()
    };
    let mut stream = http::connect(front).expect("a connection");
    stream.set_read_timeout(Some(DEADLINE)).expect("a timeout");
    stream.write_all(&request("/read/plain", "kept")).expect("a request");
    let mut read = Vec::with_capacity(ANSWER_BYTES + 64 * 1024);
    while count_whole(&read, &[server::SMALL_BYTES]) == 0 {
        read_more(&mut stream, &mut read).expect("an answer");
    }
    read.clear();
    thread::sleep(IDLE);
    let since = Instant::now();
    let large = request(&format!("/load/framed-{ANSWER_BYTES}"), "large");
    stream.write_all(&large).expect("a request");
    record.line(&format!("client {number}: sent large-{number} on a kept connection"));
    let lengths = [ANSWER_BYTES, server::SMALL_BYTES];
    let pause = READING_TIME / u32::try_from(ANSWER_BYTES / STEP_BYTES).expect("a few steps");
    let mut is_next_sent = false;
    let end = loop {
        let whole = count_whole(&read, &lengths);
        // Without the trouble, the consumer sends nothing while it reads.
        let is_due = if has_trouble { since.elapsed() >= NEXT } else { whole == 1 };
        if is_due && !is_next_sent {
            is_next_sent = stream.write_all(&request("/read/plain", "next")).is_ok();
            record.line(&format!("client {number}: sent next-{number} behind {} bytes", read.len()));
        }
        if whole == lengths.len() {
            break "both answers are whole".to_owned();
        }
        if let Err(error) = read_more(&mut stream, &mut read) {
            break error;
        }
        if whole == 0 {
            thread::sleep(pause);
        }
    };
    let (elapsed, whole) = (since.elapsed().as_secs_f64(), count_whole(&read, &lengths));
    record.line(&format!("client {number}: {} bytes after {elapsed:.1} s, {whole} whole answers, {end}", read.len()));
    whole
}

/// Reads what has arrived.
fn read_more(stream: &mut std::net::TcpStream, read: &mut Vec<u8>) -> Result<(), String> {
    let mut bytes = vec![0; STEP_BYTES];
    match stream.read(&mut bytes) {
        Ok(0) => Err("the connection was closed".to_owned()),
        Ok(length) => {
            read.extend_from_slice(&bytes[..length]);
            Ok(())
        }
        Err(error) => Err(format!("the connection ended: {error}")),
    }
}

/// Returns how many answers with bodies of these lengths are whole.
fn count_whole(mut read: &[u8], lengths: &[usize]) -> usize {
    let mut count = 0;
    for length in lengths {
        let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") else {
            return count;
        };
        let Some(rest) = read.get(end + 4 + length..) else {
            return count;
        };
        read = rest;
        count += 1;
    }
    count
}
