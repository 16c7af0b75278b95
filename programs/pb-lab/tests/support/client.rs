//! A caller with one keep-alive connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use persimmonbend_core::key::Secret;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub text: String,
    pub last: bool,
}

/// An open connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a proxy.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a GET and reads the whole answer.
    pub fn get(&mut self, path: &str, secret: &Secret) -> io::Result<Answer> {
        let key = secret.reveal();
        let head =
            format!("GET {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {key}\r\n\r\n");
        self.stream.get_mut().write_all(head.as_bytes())?;
        self.read_answer()
    }

    fn read_answer(&mut self) -> io::Result<Answer> {
        let status = self.read_head_line()?;
        let status = status.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut length = 0;
        let mut last = false;
        loop {
            let line = self.read_head_line()?.to_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().map_err(io::Error::other)?;
            }
            last |= line == "connection: close";
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        let text = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer { status, text, last })
    }

    fn read_head_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}

/// Returns the answer to a GET over a new connection.
pub fn get(address: SocketAddr, path: &str, secret: &Secret) -> io::Result<Answer> {
    Client::connect(address)?.get(path, secret)
}
