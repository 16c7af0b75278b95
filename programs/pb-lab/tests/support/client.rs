//! A blocking HTTP/1.1 client with one keep-alive connection.

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

/// An HTTP answer that was read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    /// Body of the answer.
    pub text: String,
    /// Whether the proxy closes the connection after this answer.
    pub last: bool,
}

/// A client that sends its requests over one open connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the client port of a proxy.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends a GET with a key and reads the answer to its end.
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

    /// Reads one line of the head, without its line break.
    fn read_head_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}

/// Returns the answer to a GET with a key over a new connection.
pub fn get(address: SocketAddr, path: &str, secret: &Secret) -> io::Result<Answer> {
    Client::connect(address)?.get(path, secret)
}
