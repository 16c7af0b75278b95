//! A server that crashes in the middle of an answer without a length, and is back before the front machine has read
//! the end of the connection: the consumer gets the part as a complete success.

#[path = "../standin/lab.rs"]
#[allow(dead_code)]
mod lab;

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

/// Servers of the service, of which one crashes: a share of 0.125.
const SERVERS: u8 = 8;

/// Bytes of the large answer; so many that the buffers of the loopback connections don't hold all of it.
const LARGE_BYTES: usize = 2_000_000;

/// Bytes at the end of the large answer that the server makes bit by bit.
const SLOW_BYTES: usize = 300_000;

/// Time after the start of its run at which the server crashes.
const CRASH_AFTER: Duration = Duration::from_millis(300);

/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(1_500);

/// Time for which the consumer reads slowly.
const SLOW_READING: Duration = Duration::from_secs(4);

const DEADLINE_MS: u64 = 20_000;

fn large_body() -> Vec<u8> {
    (0..LARGE_BYTES)
        .map(|at| b'a' + (at / 1000 % 26) as u8)
        .collect()
}

/// Serves requests as a process of its own, which the script can kill. Prints what it runs.
fn serve(address: &str, id: &str) -> ! {
    let socket = TcpListener::bind(address).unwrap();
    let whole = Arc::new(large_body());
    for stream in socket.incoming().flatten() {
        let (id, whole) = (id.to_owned(), Arc::clone(&whole));
        thread::spawn(move || answer(stream, &id, &whole));
    }
    std::process::exit(0)
}

fn answer(mut stream: TcpStream, id: &str, whole: &[u8]) {
    let _ = stream.set_nodelay(true);
    let mut held = Vec::new();
    while let Ok(head) = read_head(&mut stream, &mut held) {
        let headers: BTreeMap<String, String> = fields(&head).into_iter().collect();
        let is_other = headers
            .get("target-instance")
            .is_some_and(|target| target != id);
        if is_other {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let request = headers.get("request-id").cloned().unwrap_or_default();
        println!("{request} {}", head.lines().next().unwrap_or_default());
        let signature =
            format!("Request-Id: {request}\r\nResponse-Signature: 3e1b.{id}.{request}\r\n");
        if !head.starts_with("GET /export/large") {
            let text = format!("HTTP/1.1 200 OK\r\n{signature}Content-Length: 5\r\n\r\nhello");
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        // An answer without a length, which ends with its connection.
        let text = format!("HTTP/1.1 200 OK\r\n{signature}Connection: close\r\n\r\n");
        let (first, rest) = whole.split_at(LARGE_BYTES - SLOW_BYTES);
        if stream.write_all(text.as_bytes()).is_err() || stream.write_all(first).is_err() {
            return;
        }
        for part in rest.chunks(16 * 1024) {
            thread::sleep(Duration::from_millis(40));
            if stream.write_all(part).is_err() {
                return;
            }
        }
        return;
    }
}

/// A server of the service, with what it has run.
struct Backend {
    number: u8,
    child: Child,
    down: Arc<AtomicBool>,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Backend {
    /// Starts a server, which is a new boot, and sends its pings.
    fn start(lab: &Arc<Lab>, number: u8) -> Self {
        let born = now_ms();
        let id = format!("i-{:08x}", born as u32 ^ (u32::from(number) << 24));
        let address = lab.server_address(number);
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["server", &address, &id])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        note_started(child.id());
        lab.record
            .line(&format!("server {number} starts as {id} at {address}"));
        let ran = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().unwrap());
        let (noting, noted) = (Arc::clone(lab), Arc::clone(&ran));
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                noting.record.line(&format!("server {number} runs {line}"));
                noted.lock().unwrap().push(line);
            }
        });
        let down = Arc::new(AtomicBool::new(false));
        let (pinging, is_down) = (Arc::clone(lab), Arc::clone(&down));
        thread::spawn(move || {
            let mut sequence = 0;
            while !pinging.ended.load(Ordering::SeqCst) && !is_down.load(Ordering::SeqCst) {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"archive\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrency\":6,\"state\":\"ready\",\"warmup_left_s\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    Lab::zone(number)
                );
                let path = format!("/api/instances/{id}");
                pinging.call_control("PUT", &path, &body, Duration::from_secs(4));
                thread::sleep(Duration::from_millis(1500));
            }
        });
        Self {
            number,
            child,
            down,
            ran,
        }
    }

    fn has_run(&self, id: &str) -> bool {
        let ran = self.ran.lock().unwrap();
        ran.iter().any(|line| line.starts_with(id))
    }

    /// The server crashes: SIGKILL, and no more pings.
    fn crash(&mut self) {
        self.down.store(true, Ordering::SeqCst);
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }
}

/// How the large answer ended for its consumer.
struct Ending {
    head: String,
    body: Vec<u8>,
    /// Whether the last chunk came, or as many bytes as the length says.
    is_complete: bool,
}

/// Reads the large answer, slowly at first.
fn read_slowly(stream: &mut TcpStream, started: Instant) -> std::io::Result<Ending> {
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut held = Vec::new();
    let mut buffer = vec![0; 8 * 1024];
    let mut is_open = true;
    while is_open && !held.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => is_open = false,
            Ok(length) => held.extend_from_slice(&buffer[..length]),
        }
        if started.elapsed() < SLOW_READING {
            thread::sleep(Duration::from_millis(120));
        }
    }
    let end = held.windows(4).position(|part| part == b"\r\n\r\n");
    let end = end.ok_or(std::io::ErrorKind::UnexpectedEof)? + 4;
    let head = String::from_utf8_lossy(&held[..end]).into_owned();
    let mut rest = &held[end..];
    if !head.to_lowercase().contains("transfer-encoding: chunked") {
        let length = fields(&head)
            .into_iter()
            .find(|(name, _)| name == "content-length");
        let length = length.and_then(|(_, length)| length.parse::<usize>().ok());
        let is_complete = length == Some(rest.len());
        return Ok(Ending {
            head,
            body: rest.to_vec(),
            is_complete,
        });
    }
    let mut body = Vec::new();
    loop {
        let Some(line) = rest.windows(2).position(|part| part == b"\r\n") else {
            break;
        };
        let size = String::from_utf8_lossy(&rest[..line]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        rest = &rest[line + 2..];
        if size == 0 {
            return Ok(Ending {
                head,
                body,
                is_complete: true,
            });
        }
        let part = size.min(rest.len());
        body.extend_from_slice(&rest[..part]);
        if part < size || rest.len() < size + 2 {
            break;
        }
        rest = &rest[size + 2..];
    }
    Ok(Ending {
        head,
        body,
        is_complete: false,
    })
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, address, id] = arguments.as_slice()
        && role == "server"
    {
        serve(address, id);
    }
    let shape = Shape {
        cores: 3,
        fronts: 2,
        losses: 1,
        memory_mb: 160,
    };
    let lab = Lab::start(shape);
    let trouble = has_trouble();
    let routes = [Route {
        prefix: "/export/",
        kind: "download",
        timeout_s: 20.0,
        target_s: 10.0,
        service: "archive",
        attempts: 2,
    }];
    let text = config(7, &routes, &["archive"], LIMITS);
    if lab
        .put_config(&text)
        .is_none_or(|answer| answer.status != 200)
    {
        lab.finish(NOT_RUN);
    }
    let mut servers: Vec<Backend> = (1..=SERVERS)
        .map(|number| Backend::start(&lab, number))
        .collect();
    for front in lab.fronts() {
        lab.wait(
            &format!("front {front} serves"),
            Duration::from_secs(20),
            || {
                lab.is_ready(front)
                    && consume(
                        &lab.front(front),
                        "GET",
                        "/export/0",
                        &lab.next_id(),
                        3000,
                        b"",
                    )
                    .is_ok_and(|answer| answer.status == 200)
            },
        );
    }
    // The machines are in touch from `contact_s` after the start on.
    thread::sleep(Duration::from_secs(4));
    let front = lab.fronts()[0];
    let Some(mut stream) = connect_narrowly(&lab.front(front)) else {
        lab.finish(NOT_RUN);
    };
    let id = lab.next_id();
    let sent = stream.write_all(&consumer_request(
        "GET",
        "/export/large",
        &id,
        DEADLINE_MS,
        b"",
    ));
    lab.record.line(&format!(
        "consumer: GET /export/large {id} at front {front}, {DEADLINE_MS} ms: {sent:?}"
    ));
    let started = Instant::now();
    let reading = thread::spawn(move || read_slowly(&mut stream, started));
    let end = Instant::now() + Duration::from_secs(3);
    while !servers.iter().any(|server| server.has_run(&id)) {
        if Instant::now() > end {
            lab.record.say("no server runs the request");
            lab.finish(NOT_RUN);
        }
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(CRASH_AFTER);
    let runs = servers.iter().filter(|server| server.has_run(&id)).count();
    if trouble {
        let server = servers.iter_mut().find(|server| server.has_run(&id));
        let server = server.unwrap();
        server.crash();
        let number = server.number;
        lab.record.say(&format!(
            "server {number} crashes while it answers {id} (run by {runs} server)"
        ));
        thread::sleep(DOWN);
        *server = Backend::start(&lab, number);
        lab.record.say(&format!("server {number} is back"));
    }
    // The other consumers are served all the while.
    let mut served = 0;
    for number in 0..40u64 {
        let front = lab.fronts()[number as usize % 2];
        let id = lab.next_id();
        let result = consume(&lab.front(front), "GET", "/export/1", &id, 3000, b"");
        lab.record.line(&format!(
            "consumer: GET /export/1 {id} at front {front}: {:?}",
            result.as_ref().map(|answer| answer.status)
        ));
        served += u32::from(result.is_ok_and(|answer| answer.status == 200));
        thread::sleep(Duration::from_millis(50));
    }
    let ending = reading.join();
    for server in &mut servers {
        server.crash();
    }
    let Ok(Ok(ending)) = ending else {
        lab.record
            .say("the consumer got no answer to the large request");
        lab.finish(HELD);
    };
    lab.record
        .line(&format!("consumer: the head of {id}: {:?}", ending.head));
    let is_whole = ending.body == large_body();
    lab.record.say(&format!(
        "{id} {}: {} of {LARGE_BYTES} bytes, {}; {served} of 40 other requests served",
        ending.head.lines().next().unwrap_or_default(),
        ending.body.len(),
        if ending.is_complete {
            "ended as a complete answer"
        } else {
            "broken off"
        },
    ));
    let is_success = ending.head.starts_with("HTTP/1.1 200");
    let is_broken = is_success && ending.is_complete && !is_whole;
    lab.finish(if is_broken { BROKEN } else { HELD });
}
