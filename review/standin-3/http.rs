//! A plain HTTP/1.1 client, which keeps what it reads apart from what it judges.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::HOST;
use crate::fleet::KEY;

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing of the answer says that its body is whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A request of a consumer.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
}

impl Request {
    pub fn get(path: &str, id: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms: 4_000,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn send(address: &str, request: &Request) -> Option<Answer> {
    let mut stream = connect(address)?;
    let time = Duration::from_millis(request.deadline_ms + 1_000);
    stream.set_read_timeout(Some(time)).ok()?;
    stream.write_all(&request.bytes()).ok()?;
    Reader::new(stream).answer()
}

pub fn connect(address: &str) -> Option<TcpStream> {
    let address = address.parse().ok()?;
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()
}

/// Calls control, follows two redirects.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> Option<Answer> {
    let mut address = address.to_owned();
    for _ in 0..3 {
        let mut stream = connect(&address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let answer = Reader::new(stream).answer()?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer.header("location")?.strip_prefix("http://")?;
        address = location.split('/').next()?.to_owned();
    }
    None
}

/// Reads answers from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns false at the end of the connection, at an error or a timeout.
    fn fill(&mut self) -> bool {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(length) if length > 0 => {
                self.buffer.extend_from_slice(&bytes[..length]);
                true
            }
            _ => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.fill() {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    /// Reads the status line and the fields.
    pub fn head(&mut self) -> Option<Answer> {
        let line = self.line()?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Some(Answer {
            status,
            headers,
            body: Vec::new(),
            is_whole: false,
        })
    }

    /// Reads the body behind a head.
    pub fn body(&mut self, mut head: Answer) -> Answer {
        if let Some(length) = head
            .header("content-length")
            .and_then(|one| one.parse().ok())
        {
            (head.body, head.is_whole) = self.take(length);
            return head;
        }
        if head.header("transfer-encoding").is_none() {
            return head;
        }
        loop {
            let size = self.line();
            let size = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok());
            let Some(size) = size else {
                return head;
            };
            if size == 0 {
                head.is_whole = self.line().is_some_and(|line| line.is_empty());
                return head;
            }
            let (data, is_all) = self.take(size);
            head.body.extend_from_slice(&data);
            if !is_all || self.line().is_none() {
                return head;
            }
        }
    }

    pub fn answer(&mut self) -> Option<Answer> {
        let head = self.head()?;
        Some(self.body(head))
    }
}

/// Waits until a moment.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
