//! Finds the heads of the requests in the bytes of a connection.
//!
//! ```
//! use persimmonbend_app::http::scanner::Scanner;
//!
//! let mut scanner = Scanner::new(8 * 1024);
//! let heads = scanner.feed(b"GET /a HTTP/1.1\r\nhost: farm\r\n\r\nGET /b HTTP/1.1\r\n");
//! let path = heads[0].as_ref().map(|head| head.uri().path().to_owned());
//! assert_eq!(path.as_deref(), Some("/a"));
//! assert_eq!(scanner.feed(b"host: farm\r\n\r\n").len(), 1);
//! ```

use httparse::Status;
use hyper::Method;
use hyper::Request;
use hyper::Version;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HeaderMap;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

/// Most headers of a request, as in hyper.
const MAX_HEADERS: usize = 100;

/// The head of a request without a body that changes nothing, or `None` for one of another kind.
pub type Head = Option<Request<()>>;

/// Position in the requests of one connection.
#[derive(Debug)]
pub struct Scanner {
    max_head_bytes: usize,
    /// Bytes of the head that has begun.
    head: Vec<u8>,
    /// Bytes of the present body that are still to come.
    body_left: u64,
    /// Whether where the next head begins is no longer known, or no request follows.
    is_lost: bool,
}

impl Scanner {
    /// Creates a scanner at the start of a connection that follows heads of up to `max_head_bytes`.
    #[must_use]
    pub const fn new(max_head_bytes: usize) -> Self {
        Self {
            max_head_bytes,
            head: Vec::new(),
            body_left: 0,
            is_lost: false,
        }
    }

    /// Takes the next bytes of the connection, and returns the heads that they complete.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        while !bytes.is_empty() && !self.is_lost {
            if self.body_left > 0 {
                let skipped = usize::try_from(self.body_left)
                    .map_or(bytes.len(), |left| left.min(bytes.len()));
                self.body_left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let known = self.head.len();
            self.head.extend_from_slice(bytes);
            if !may_end(&self.head, known) && self.head.len() <= self.max_head_bytes {
                break;
            }
            let Some((head, length)) = self.parse() else {
                break;
            };
            bytes = &bytes[length.saturating_sub(known).min(bytes.len())..];
            self.head.clear();
            heads.push(head);
        }
        heads
    }

    /// Finds no further heads, since where they begin is not known.
    pub fn lose(&mut self) {
        self.is_lost = true;
        self.head = Vec::new();
    }

    /// Returns the head that has arrived whole, with its length in bytes.
    fn parse(&mut self) -> Option<(Head, usize)> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.head) {
            Ok(Status::Complete(length)) if length <= self.max_head_bytes => length,
            Ok(Status::Partial) if self.head.len() <= self.max_head_bytes => return None,
            Ok(_) | Err(_) => {
                self.lose();
                return None;
            }
        };
        let Some(head) = convert(&request) else {
            self.lose();
            return None;
        };
        let Some(body_bytes) = body_bytes(head.headers()) else {
            self.lose();
            return Some((None, length));
        };
        if !keeps_alive(&head) {
            self.is_lost = true;
        }
        self.body_left = body_bytes;
        let has_body = head.headers().contains_key(CONTENT_LENGTH);
        let is_safe = matches!(*head.method(), Method::GET | Method::HEAD);
        let is_plain = !head.headers().contains_key(EXPECT);
        Some(((is_safe && is_plain && !has_body).then_some(head), length))
    }
}

/// Returns whether a head may end in the bytes behind the first `known` ones, as it does with an empty line.
///
/// A head that comes byte by byte is not parsed at each of them.
fn may_end(head: &[u8], known: usize) -> bool {
    let new = &head[known.saturating_sub(2)..];
    let mut ends = new.windows(2).enumerate();
    ends.any(|(at, pair)| pair == b"\n\n" || new[at..].starts_with(b"\n\r\n"))
}

/// Converts a parsed head, unless it is malformed.
fn convert(parsed: &httparse::Request<'_, '_>) -> Head {
    let version = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let mut builder = Request::builder()
        .method(parsed.method?)
        .uri(parsed.path?)
        .version(version);
    for header in &*parsed.headers {
        builder = builder.header(header.name, header.value);
    }
    builder.body(()).ok()
}

/// Returns the length of the body in bytes, or `None` if the head does not state it plainly.
fn body_bytes(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(UPGRADE) {
        return None;
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Some(0);
    };
    let length = length.to_str().ok()?.parse().ok()?;
    lengths.next().is_none().then_some(length)
}

/// Returns whether other requests may follow over the connection.
fn keeps_alive(head: &Request<()>) -> bool {
    let is_close = |value: &hyper::header::HeaderValue| {
        let value = value.as_bytes().to_ascii_lowercase();
        value.windows(5).any(|part| part == b"close")
    };
    let mut connection = head.headers().get_all(CONNECTION).iter();
    head.version() == Version::HTTP_11 && !connection.any(is_close)
}
