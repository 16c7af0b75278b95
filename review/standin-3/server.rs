//! A server (backend) in a process of its own: registers, and answers each request as its path says.
//!
//! Arguments: ADDRESS ID ZONE CONTROL,... LOG [OPTION...]
//!
//! | option | meaning |
//! | --- | --- |
//! | `start=NUMBER` | number of the start, for the log |
//! | `first-heartbeat=MS` | the first heartbeat is sent so late |
//! | `delivery=MS` | heartbeats take so long to arrive |
//! | `leave=MS` | it says after so long that it leaves, and sends no further heartbeats |
//! | `end=MS` | it ends so long after the confirmation of that |

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::fleet;
use crate::http;

/// Bytes of a plain answer.
const SMALL_BYTES: usize = 200;

/// Returns the byte of a body at an offset.
fn byte_at(offset: usize) -> u8 {
    u8::try_from(offset % 251).expect("a byte")
}

/// Returns the body of a number of bytes.
pub fn body(length: usize) -> Vec<u8> {
    (0..length).map(byte_at).collect()
}

/// Returns the signature of a whole body: its length and a hash over it.
pub fn signature(body: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in body {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{:x}.{hash:016x}", body.len())
}

struct Server {
    id: String,
    start: String,
    log: Mutex<File>,
    started: Instant,
}

impl Server {
    fn note(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut log = self.log.lock().expect("the log");
        let _ = writeln!(log, "{} start {} at {at} ms: {text}", self.id, self.start);
    }
}

/// What the server tells control of itself.
struct Registration {
    address: String,
    id: String,
    zone: String,
    control: Vec<String>,
    born_ms: u128,
    first: Duration,
    delivery: Duration,
    leave: Option<Duration>,
    end: Duration,
}

pub fn run(arguments: &[String]) {
    fleet::end_with_parent();
    let [address, id, zone, control, log, options @ ..] = arguments else {
        panic!("server ADDRESS ID ZONE CONTROL LOG [OPTION...]");
    };
    let option = |name: &str| {
        let found = options.iter().find_map(|one| one.strip_prefix(name));
        found.map(ToOwned::to_owned)
    };
    let time = |name: &str| {
        let millis = option(name).and_then(|text| text.parse().ok());
        millis.map(Duration::from_millis)
    };
    let log = File::options().create(true).append(true).open(log);
    let server = Arc::new(Server {
        id: id.clone(),
        start: option("start=").unwrap_or_else(|| "1".to_owned()),
        log: Mutex::new(log.expect("a log file")),
        started: Instant::now(),
    });
    let listener = TcpListener::bind(address).expect("the address of the server");
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let registration = Registration {
        address: address.clone(),
        id: id.clone(),
        zone: zone.clone(),
        control: control.split(',').map(ToOwned::to_owned).collect(),
        born_ms: born.expect("a time").as_millis(),
        first: time("first-heartbeat=").unwrap_or_default(),
        delivery: time("delivery=").unwrap_or_default(),
        leave: time("leave="),
        end: time("end=").unwrap_or_default(),
    };
    let registered = Arc::clone(&server);
    std::thread::spawn(move || register(&registered, registration));
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || serve(&server, stream));
    }
}

/// Sends heartbeats until the server leaves, and then its departure; ends the process after that.
fn register(server: &Arc<Server>, registration: Registration) {
    let registration = Arc::new(registration);
    std::thread::sleep(registration.first);
    let leave = registration.leave.map(|after| server.started + after);
    let mut replica = 0;
    for sequence in 1_u64.. {
        let pause = if registration.delivery.is_zero() {
            let is_known = heartbeat(&registration, replica, sequence);
            replica += usize::from(!is_known);
            if is_known { fleet::HEARTBEAT } else { RETRY }
        } else {
            // Whoever waits for the answer gives up after a second; what was sent arrives all the same.
            let (server, registration) = (Arc::clone(server), Arc::clone(&registration));
            std::thread::spawn(move || {
                std::thread::sleep(registration.delivery);
                let is_known = heartbeat(&registration, replica, sequence);
                server.note(&format!(
                    "heartbeat {sequence} has arrived, acknowledged: {is_known}"
                ));
            });
            replica += 1;
            ANSWER_TIMEOUT
        };
        let left = leave.map(|at| at.saturating_duration_since(Instant::now()));
        std::thread::sleep(left.map_or(pause, |left| left.min(pause)));
        if leave.is_some_and(|at| Instant::now() >= at) {
            break;
        }
    }
    depart(server, &registration);
}

/// Time within which control has to answer a heartbeat, and the pause after a refusal.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_millis(200);

/// Sends one heartbeat; returns whether it was acknowledged.
fn heartbeat(registration: &Registration, replica: usize, sequence: u64) -> bool {
    let Registration {
        address,
        id,
        zone,
        control,
        born_ms,
        ..
    } = registration;
    let body = format!(
        r#"{{"service":"hive","address":"{address}","zone":"{zone}","version":"v1","max_concurrency":3,"state":"ready","warmup_left_s":0,"sequence":{sequence},"born":{born_ms}}}"#
    );
    let path = format!("/api/instances/{id}");
    let answer = http::call(&control[replica % control.len()], "PUT", &path, &body);
    answer.is_some_and(|answer| answer.status == 200)
}

/// Says that the server leaves until that is acknowledged, serves on for a while and ends.
fn depart(server: &Server, registration: &Registration) {
    let path = format!("/api/instances/{}", registration.id);
    for control in registration.control.iter().cycle() {
        let answer = http::call(control, "DELETE", &path, "");
        if answer.is_some_and(|answer| answer.status == 200) {
            break;
        }
        std::thread::sleep(RETRY);
    }
    server.note("departure acknowledged");
    std::thread::sleep(registration.end);
    std::process::exit(0);
}

/// A request as it arrives.
struct Arrived {
    target: String,
    id: String,
    instance: String,
    body: Vec<u8>,
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Arrived> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        let mut bytes = [0; 16 * 1024];
        let length = stream.read(&mut bytes).ok().filter(|length| *length > 0)?;
        buffer.extend_from_slice(&bytes[..length]);
    };
    let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let target = lines.next()?.split(' ').nth(1)?.to_owned();
    let field = |name: &str| {
        let mut lines = head
            .split("\r\n")
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim().to_owned())
    };
    let length = field("content-length")
        .and_then(|one| one.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        let mut bytes = [0; 16 * 1024];
        let read = stream.read(&mut bytes).ok().filter(|read| *read > 0)?;
        buffer.extend_from_slice(&bytes[..read]);
    }
    let body = buffer.drain(..length).collect();
    Some(Arrived {
        target,
        id: field("request-id").unwrap_or_default(),
        instance: field("target-instance").unwrap_or_default(),
        body,
    })
}

fn serve(server: &Server, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        if request.target == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                server.id
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !request.instance.is_empty() && request.instance != server.id {
            server.note(&format!("421 for {}", request.id));
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                server.id
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !answer(server, &mut stream, &request) {
            return;
        }
    }
}

/// Answers a request; returns whether the connection goes on.
fn answer(server: &Server, stream: &mut TcpStream, request: &Arrived) -> bool {
    server.note(&format!(
        "ran {} {} with {} bytes",
        request.id,
        request.target,
        request.body.len()
    ));
    let mode = request.target.rsplit('/').next().unwrap_or_default();
    let (mode, number) = mode.split_once('-').unwrap_or((mode, "0"));
    let number: usize = number.parse().unwrap_or(0);
    let id = &request.id;
    match mode {
        // An answer of so many bytes that states no length and ends with its connection.
        "unframed" => {
            let body = body(number);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\nConnection: close\r\n\r\n",
                signature(&body)
            );
            let is_sent =
                stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&body).is_ok();
            server.note(&format!("{id} sent whole: {is_sent}"));
            false
        }
        _ => {
            std::thread::sleep(Duration::from_millis(number as u64));
            let body = body(SMALL_BYTES);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\nContent-Length: {}\r\n\r\n",
                signature(&body),
                body.len()
            );
            stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&body).is_ok()
        }
    }
}
