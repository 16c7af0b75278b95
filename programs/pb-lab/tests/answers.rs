//! Answers and announcements of upstreams that are not valid or break off, at the proxy of service files.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pb_lab::fleet::Files;
use persimmonbend_core::key::Secret;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

use crate::support::Fleet;
use crate::support::client;
use crate::support::wait_until;

/// Deadline of the routes, with the time in which the proxy answers.
const MAX_TIME: Duration = Duration::from_millis(2_200);

/// Starts of answers by the last segment of the path, and what they repeat without end.
const ANSWERS: [(&str, &str, &str); 9] = [
    (
        "whole",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
        "",
    ),
    (
        "open-ended",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd",
        "",
    ),
    (
        "twice",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
        "",
    ),
    (
        "ended",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
        "",
    ),
    (
        "status",
        "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nabcd",
        "",
    ),
    (
        "name",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nabcd",
        "",
    ),
    (
        "coding",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabcd",
        "",
    ),
    (
        "digits",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "0",
    ),
    ("interim", "", "HTTP/1.1 102 Processing\r\n\r\n"),
];

/// Values that a field of an announcement cannot have.
const ODD_VALUES: [(&str, &str); 8] = [
    ("address", "\"127.0.0.1:65536\""),
    ("address", "\"127.0.0.1:0\""),
    ("address", "\"upstream\""),
    ("slots", "4294967296"),
    ("slots", "-1"),
    ("incarnation", "18446744073709551616"),
    ("sequence", "1e400"),
    ("stage", "\"odd\""),
];

/// Depth of nested values in an announcement.
const DEPTH: usize = 10_000;

/// The listening socket of an upstream, until it ends.
type Socket = Arc<Mutex<Option<TcpListener>>>;

/// Starts an upstream that answers one request a connection, and returns its address.
fn start_upstream() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.try_clone().unwrap();
    let open: Socket = Arc::new(Mutex::new(Some(socket)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.lock().unwrap().is_none() {
                return;
            }
            let open = Arc::clone(&open);
            thread::spawn(move || answer(stream, &open));
        }
    });
    address
}

fn answer(mut stream: TcpStream, open: &Socket) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1).unwrap();
    let mode = path.rsplit('/').next().unwrap();
    let (_, start, repeated) = ANSWERS.iter().find(|(one, ..)| *one == mode).unwrap();
    if mode == "ended" {
        // The thread that accepts holds the other handle of the socket.
        drop(open.lock().unwrap().take());
        let _ = TcpStream::connect(stream.local_addr().unwrap());
        thread::sleep(Duration::from_millis(100));
    }
    let _ = stream.write_all(start.as_bytes());
    let bytes = repeated.repeat(1_000);
    while !bytes.is_empty() && stream.write_all(bytes.as_bytes()).is_ok() {}
    let _ = stream.shutdown(Shutdown::Write);
}

/// Returns what an upstream announces.
fn announcement(address: SocketAddr) -> String {
    let announcement = Announcement {
        id: "upstream-0".to_owned(),
        service: "herd".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 50,
        incarnation: 1,
        sequence: 1,
        stage: Stage::Ready,
    };
    serde_json::to_string(&announcement).unwrap()
}

/// Sends an announcement to a proxy, and returns the answer.
fn announce(proxy: SocketAddr, body: &str) -> String {
    let mut stream = TcpStream::connect(proxy).unwrap();
    let length = body.len();
    let head = format!(
        "POST /announce HTTP/1.1\r\nhost: test\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The proxy may refuse a body before it has read all of it.
    let _ = stream.write_all(body.as_bytes());
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn only_whole_and_valid_answers_and_announcements_are_taken() {
    let fleet = Fleet::start(Files::create().unwrap(), 1);
    let secret = Secret::generate(&mut rand::rng());
    fleet.configure(&secret);
    let addresses = fleet.proxies[0].addresses;
    let own = announcement(start_upstream());
    for (field, value) in ODD_VALUES {
        let known = serde_json::from_str::<serde_json::Value>(&own).unwrap();
        let odd = own.replace(
            &format!("\"{field}\":{}", known[field]),
            &format!("\"{field}\":{value}"),
        );
        assert_ne!(odd, own, "{field}");
        let answer = announce(addresses.platform, &odd);
        assert!(
            answer.starts_with("HTTP/1.1 4"),
            "{field} {value}: {answer}"
        );
    }
    for open in ["[", "{\"a\":"] {
        let nested = own.replace(
            "\"sequence\":1",
            &format!("\"sequence\":{}", open.repeat(DEPTH)),
        );
        let answer = announce(addresses.platform, &nested);
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    let answer = announce(addresses.platform, &own);
    assert!(answer.starts_with("HTTP/1.1 2"), "{answer}");
    let get = |mode: &str| client::get(addresses.callers, &format!("/herd/{mode}"), &secret);
    wait_until("the first answer", || {
        get("whole").is_ok_and(|answer| answer.status == 200)
    });
    let sound = ["whole", "open-ended", "twice"];
    let broken = ["status", "name", "coding", "digits", "interim", "ended"];
    for mode in sound.into_iter().chain(broken) {
        let since = Instant::now();
        let answer = get(mode).unwrap();
        let expected = if sound.contains(&mode) { 200 } else { 502 };
        assert_eq!(answer.status, expected, "{mode}: {answer:?}");
        assert!(
            expected != 200 || answer.text == "abcd",
            "{mode}: {answer:?}"
        );
        assert!(since.elapsed() < MAX_TIME, "{mode}: {:?}", since.elapsed());
    }
    fleet.end();
}
