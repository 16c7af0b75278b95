//! The servers of a service crash while they send answers without a length; the front machine passes the part that it
//! has as a whole answer.

#[path = "../standin/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::io::Write;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use lab::*;

const SERVERS: u8 = 2;
const CONSUMERS: usize = 4;

/// Bytes of an answer, and those that a server has sent when it crashes.
const WHOLE_BYTES: usize = 8_000;
const FIRST_BYTES: usize = 3_000;

/// Time between the two parts of an answer.
const WORK: Duration = Duration::from_millis(600);

/// A server in a process of its own: sends the first part of each answer, works on, and sends the rest. The answers have
/// no length and end with their connection.
fn serve(id: &str, address: &str) {
    let socket = TcpListener::bind(address).unwrap();
    for stream in socket.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let mut stream = stream;
            let mut held = Vec::new();
            while let Ok(head) = read_head(&mut stream, &mut held) {
                let value = |name: &str| {
                    fields(&head)
                        .into_iter()
                        .find(|(one, _)| one == name)
                        .map(|(_, value)| value)
                        .unwrap_or_default()
                };
                if head.starts_with("GET /healthz") {
                    let _ = stream.write_all(
                        format!(
                            "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        )
                        .as_bytes(),
                    );
                    continue;
                }
                if value("target-instance") != id {
                    let _ = stream.write_all(format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                    continue;
                }
                let request = value("request-id");
                println!("server {id} runs {request}");
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: 3e1b.{id}.{request}\r\nConnection: close\r\n\r\n"
                );
                let body = vec![b'x'; WHOLE_BYTES];
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&body[..FIRST_BYTES]);
                thread::sleep(WORK);
                let _ = stream.write_all(&body[FIRST_BYTES..]);
                println!("server {id} has sent all {WHOLE_BYTES} bytes of the answer to {request}");
                return;
            }
        });
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, command, id, address] = &arguments[..]
        && command == "serve"
    {
        return serve(id, address);
    }
    let shape = Shape {
        cores: 3,
        fronts: 2,
        losses: 1,
        memory_mb: 260,
    };
    let lab = Lab::start(shape);
    let routes = [Route {
        prefix: "/herd/",
        kind: "safe",
        timeout_s: 1.5,
        target_s: 1.0,
        service: "herd",
        attempts: 2,
    }];
    if lab
        .put_config(&config(7, &routes, &["herd"], LIMITS))
        .is_none_or(|answer| answer.status != 200)
    {
        lab.finish(NOT_RUN);
    }
    let mut servers: Vec<(u8, Child)> = Vec::new();
    for number in 1..=SERVERS {
        let (id, address) = (format!("i-7f3a91c{number}"), lab.server_address(number));
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["serve", &id, &address])
            .stdout(std::process::Stdio::null())
            .spawn()
            .unwrap();
        servers.push((number, child));
        let (pinging, born) = (Arc::clone(&lab), now_ms());
        thread::spawn(move || {
            for sequence in 1.. {
                // A server that has crashed sends nothing.
                if connect(&address, Duration::from_secs(1)).is_err() && sequence > 3 {
                    return;
                }
                let body = format!(
                    "{{\"service\":\"herd\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrency\":3,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    Lab::zone(number)
                );
                let _ = pinging.call_control(
                    "PUT",
                    &format!("/api/instances/{id}"),
                    &body,
                    Duration::from_secs(4),
                );
                thread::sleep(Duration::from_millis(1500));
            }
        });
    }
    for front in lab.fronts() {
        lab.wait(
            &format!("front {front} is ready"),
            Duration::from_secs(20),
            || lab.is_ready(front),
        );
        lab.wait(
            &format!("front {front} serves a whole answer"),
            Duration::from_secs(20),
            || {
                consume(
                    &lab.front(front),
                    "GET",
                    "/herd/0",
                    &lab.next_id(),
                    1500,
                    b"",
                )
                .is_ok_and(|answer| answer.status == 200 && answer.body.len() == WHOLE_BYTES)
            },
        );
    }
    thread::sleep(Duration::from_secs(4));
    let results = Arc::new(Mutex::new(Vec::new()));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (lab, results) = (Arc::clone(&lab), Arc::clone(&results));
            thread::spawn(move || {
                let front = lab.fronts()[number % lab.fronts().len()];
                let id = lab.next_id();
                lab.record.line(&format!(
                    "consumer: GET /herd/{number} {id} at front {front}"
                ));
                let result = consume(
                    &lab.front(front),
                    "GET",
                    &format!("/herd/{number}"),
                    &id,
                    3000,
                    b"",
                );
                let shown = result.as_ref().map(|answer| {
                    format!(
                        "{}, signature {:?}, a whole answer of {} bytes",
                        answer.status,
                        answer.header("response-signature"),
                        answer.body.len()
                    )
                });
                lab.record.say(&format!(
                    "consumer: {id} gets {}",
                    shown.unwrap_or_else(Clone::clone)
                ));
                results.lock().unwrap().push(result);
            })
        })
        .collect();
    // All have sent the first part and none the rest.
    thread::sleep(WORK / 2);
    if has_trouble() {
        for (number, server) in &mut servers {
            let _ = server.kill();
            lab.record
                .line(&format!("server {number} crashes (SIGKILL)"));
        }
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    for (_, server) in &mut servers {
        let _ = server.kill();
        let _ = server.wait();
    }
    let results = results.lock().unwrap();
    let cut = results
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200 && answer.body.len() != WHOLE_BYTES)
        .count();
    let whole = results
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200 && answer.body.len() == WHOLE_BYTES)
        .count();
    lab.record.say(&format!("{CONSUMERS} requests: {whole} whole answers, {cut} successes whose body is not the server's whole body"));
    lab.finish(if cut > 0 { BROKEN } else { HELD });
}
