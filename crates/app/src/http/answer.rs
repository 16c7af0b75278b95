//! Checks the bytes that an upstream sends, before they are parsed.
//!
//! Parsers of HTTP are lenient, each in its own way. [`Reader`] follows the grammar of RFC 9112 and passes on only
//! what every parser reads alike: the final heads, and bodies up to their end. It decides what ends a body, and it
//! bounds all that is not body. A head is passed on once it is whole; interim answers and trailers are not passed on.
//!
//! ```
//! use hyper::Method;
//! use persimmonbend_app::http::answer::End;
//! use persimmonbend_app::http::answer::Reader;
//!
//! let mut reader = Reader::default();
//! let mut checked = Vec::new();
//! reader.expect(&Method::GET);
//! reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", &mut checked)?;
//! assert_eq!(reader.end(), End::Truncated);
//! reader.feed(b"cd", &mut checked)?;
//! assert_eq!(reader.end(), End::Clean);
//! assert!(reader.feed(b"e", &mut checked).is_err());
//! # Ok::<(), persimmonbend_app::http::answer::Error>(())
//! ```

use std::fmt;
use std::io;

use hyper::Method;

/// Most bytes of the heads of one answer, those of interim answers among them.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Most fields of a head or of the trailers, as in hyper.
pub const MAX_FIELDS: usize = 100;

/// Most interim answers before the final one.
pub const MAX_INTERIM_ANSWERS: usize = 100;

/// Most bytes of the line before a chunk, with its extensions.
pub const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Most bytes of the trailers of one answer.
pub const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Most hexadecimal digits of the size of a chunk, leading zeros among them.
const MAX_SIZE_DIGITS: usize = 16;

/// Most bytes of a malformed line that an error quotes.
const MAX_QUOTED_BYTES: usize = 60;

/// Start of each status line.
const VERSION: &[u8] = b"HTTP/1.";

/// Why bytes are no valid answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Bytes arrived while no answer was expected, or behind a whole answer.
    Unexpected,
    /// A status line is malformed.
    StatusLine(String),
    /// A status is not that of an answer: final ones are from 200 to 599, and nobody asked for another protocol.
    Status(u16),
    /// A field line is malformed.
    Field(String),
    /// A field states the length of the body in a way that can be read in more than one way.
    Framing(String),
    /// The head exceeds [`MAX_HEAD_BYTES`].
    HeadTooLarge,
    /// A head or the trailers exceed [`MAX_FIELDS`].
    TooManyFields,
    /// The interim answers exceed [`MAX_INTERIM_ANSWERS`].
    TooManyInterimAnswers,
    /// The line before a chunk is malformed or too long, or the chunk does not end where it should.
    Chunk,
    /// The trailers exceed [`MAX_TRAILER_BYTES`].
    TrailersTooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unexpected => formatter.write_str("bytes that belong to no answer"),
            Self::StatusLine(line) => write!(
                formatter,
                "status line \"{line}\": expected HTTP/1.0 or HTTP/1.1, three digits and a reason"
            ),
            Self::Status(status) => {
                write!(
                    formatter,
                    "status {status}: expected an interim or final one"
                )
            }
            Self::Field(line) => write!(
                formatter,
                "field line \"{line}\": expected a name, a colon and a value without control bytes"
            ),
            Self::Framing(value) => write!(
                formatter,
                "framing \"{value}\": expected one length, or chunked as the only coding"
            ),
            Self::HeadTooLarge => write!(formatter, "a head of over {MAX_HEAD_BYTES} bytes"),
            Self::TooManyFields => write!(formatter, "over {MAX_FIELDS} fields"),
            Self::TooManyInterimAnswers => {
                write!(formatter, "over {MAX_INTERIM_ANSWERS} interim answers")
            }
            Self::Chunk => write!(
                formatter,
                "a malformed chunk, or over {MAX_CHUNK_LINE_BYTES} bytes before one"
            ),
            Self::TrailersTooLarge => {
                write!(formatter, "trailers of over {MAX_TRAILER_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the error of this kind that is behind another one, such as that of an HTTP client.
    #[must_use]
    pub fn behind<'a>(error: &'a (dyn std::error::Error + 'static)) -> Option<&'a Self> {
        let mut next = Some(error);
        while let Some(error) = next {
            if let Some(error) = error.downcast_ref::<io::Error>() {
                return error.get_ref()?.downcast_ref();
            }
            next = error.source();
        }
        None
    }
}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// What it means that the connection ends at some point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Nothing is missing.
    Clean,
    /// Nothing of the answer has arrived.
    Unanswered,
    /// The answer breaks off.
    Truncated,
    /// The answer states no length, so that the end of the connection is that of the body if it is an orderly one.
    OfBody,
}

/// Position in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// No answer is expected.
    #[default]
    Idle,
    /// In a head, interim or final.
    Head,
    /// In a body of which so many bytes are still to come.
    Sized(u64),
    /// In a chunked body.
    Chunked(Chunk),
    /// In a body that the end of the connection ends.
    OpenEnded,
}

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    /// In the size, of which so many digits have arrived.
    Size { digits: usize, bytes: u64 },
    /// Behind the size.
    Extension { bytes: u64 },
    /// Before the line feed of the line before a chunk.
    LineFeed { bytes: u64 },
    /// In the data, of which so many bytes are still to come.
    Data(u64),
    /// Before the carriage return behind the data.
    DataReturn,
    /// Before the line feed behind the data.
    DataFeed,
    /// In a line of the trailers, which an empty line ends.
    Trailer,
}

impl Chunk {
    const START: Self = Self::Size {
        digits: 0,
        bytes: 0,
    };
}

/// What the fields of a head state about the length of the body.
#[derive(Debug, Default)]
struct Framing {
    length: Option<u64>,
    is_chunked: bool,
}

/// Follows the answers of one connection and checks their bytes.
#[derive(Debug, Default)]
pub struct Reader {
    state: State,
    /// Whether the answer that is expected has no body, as it answers `HEAD`.
    is_bodiless: bool,
    /// Bytes of the head that has begun, or of the present line of the trailers.
    held: Vec<u8>,
    /// Place in `held` where the present line begins.
    line_start: usize,
    /// Fields of the present head or of the trailers.
    fields: usize,
    framing: Framing,
    version: u8,
    status: u16,
    /// Bytes of the earlier, interim heads of the answer.
    interim_bytes: usize,
    interim_answers: usize,
    /// Bytes of the present line before a chunk, or of the trailers.
    line_bytes: usize,
    /// Whether an answer was malformed, after which the connection is of no use.
    has_failed: bool,
    is_open_ended: bool,
}

impl Reader {
    /// Starts to read the answer to a request.
    pub fn expect(&mut self, method: &Method) {
        *self = Self {
            state: State::Head,
            is_bodiless: method == Method::HEAD,
            has_failed: self.has_failed || self.state != State::Idle,
            held: std::mem::take(&mut self.held),
            ..Self::default()
        };
        self.held.clear();
    }

    /// Returns whether an answer was read whole and no other is expected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && !self.has_failed
    }

    /// Returns whether only the end of the connection ends the present answer, or the last one.
    #[must_use]
    pub const fn is_open_ended(&self) -> bool {
        self.is_open_ended
    }

    /// Returns what it means that the connection ends here.
    #[must_use]
    pub fn end(&self) -> End {
        match self.state {
            _ if self.has_failed => End::Truncated,
            State::Idle => End::Clean,
            State::OpenEnded => End::OfBody,
            State::Head if self.held.is_empty() && self.interim_answers == 0 => End::Unanswered,
            State::Head | State::Sized(_) | State::Chunked(_) => End::Truncated,
        }
    }

    /// Takes the next bytes of the connection, and appends to `checked` those that can be parsed now.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes are not those of a valid answer; what was appended before is valid.
    pub fn feed(&mut self, mut bytes: &[u8], checked: &mut Vec<u8>) -> Result<(), Error> {
        while !bytes.is_empty() {
            let taken = self.step(bytes, checked);
            self.has_failed |= taken.is_err();
            bytes = &bytes[taken?..];
        }
        Ok(())
    }

    /// Takes the first of some bytes and returns how many.
    fn step(&mut self, bytes: &[u8], checked: &mut Vec<u8>) -> Result<usize, Error> {
        match self.state {
            _ if self.has_failed => Err(Error::Unexpected),
            State::Idle => Err(Error::Unexpected),
            State::Head => self.read_head(bytes, checked),
            State::Sized(left) => {
                let (taken, left) = pass(bytes, left, checked);
                self.state = if left == 0 {
                    State::Idle
                } else {
                    State::Sized(left)
                };
                Ok(taken)
            }
            State::Chunked(Chunk::Data(left)) => {
                let (taken, left) = pass(bytes, left, checked);
                let next = if left == 0 {
                    Chunk::DataReturn
                } else {
                    Chunk::Data(left)
                };
                self.state = State::Chunked(next);
                Ok(taken)
            }
            State::Chunked(chunk) => {
                self.read_chunk(chunk, bytes[0], checked)?;
                Ok(1)
            }
            State::OpenEnded => {
                checked.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        }
    }

    /// Takes bytes of a head up to the end of a line.
    fn read_head(&mut self, bytes: &[u8], checked: &mut Vec<u8>) -> Result<usize, Error> {
        let line = bytes.iter().position(|byte| *byte == b'\n');
        let taken = line.map_or(bytes.len(), |end| end + 1);
        if self.interim_bytes + self.held.len() + taken > MAX_HEAD_BYTES {
            return Err(Error::HeadTooLarge);
        }
        self.held.extend_from_slice(&bytes[..taken]);
        // What is no answer at all is not held up to the bound of a head.
        let start = &self.held[..self.held.len().min(VERSION.len())];
        if !VERSION.starts_with(start) {
            return Err(Error::StatusLine(quote(&self.held)));
        }
        if line.is_some() {
            let held = std::mem::take(&mut self.held);
            let line = trim_line(&held[self.line_start..]);
            let is_end = self.line_start > 0 && line.is_empty();
            let result = if is_end {
                Ok(())
            } else {
                self.read_head_line(line)
            };
            self.line_start = held.len();
            self.held = held;
            result?;
            if is_end {
                self.end_head(checked)?;
            }
        }
        Ok(taken)
    }

    fn read_head_line(&mut self, line: &[u8]) -> Result<(), Error> {
        if self.line_start == 0 {
            (self.version, self.status) = read_status_line(line)?;
            return Ok(());
        }
        self.count_field()?;
        let (name, value) = read_field(line)?;
        self.framing.note(name, value)
    }

    /// Ends a head, and decides what ends the body behind it.
    fn end_head(&mut self, checked: &mut Vec<u8>) -> Result<(), Error> {
        if (100..200).contains(&self.status) {
            return self.end_interim_head();
        }
        let framing = std::mem::take(&mut self.framing);
        if framing.is_chunked && (framing.length.is_some() || self.version == 0) {
            return Err(Error::Framing(
                "chunked with a length or in HTTP/1.0".to_owned(),
            ));
        }
        let is_bodiless = self.is_bodiless || matches!(self.status, 204 | 304);
        self.state = match framing.length {
            _ if is_bodiless => State::Idle,
            _ if framing.is_chunked => State::Chunked(Chunk::START),
            Some(0) => State::Idle,
            Some(length) => State::Sized(length),
            None => State::OpenEnded,
        };
        self.is_open_ended = self.state == State::OpenEnded;
        self.fields = 0;
        self.line_start = 0;
        checked.append(&mut self.held);
        Ok(())
    }

    fn end_interim_head(&mut self) -> Result<(), Error> {
        self.interim_answers += 1;
        if self.interim_answers > MAX_INTERIM_ANSWERS {
            return Err(Error::TooManyInterimAnswers);
        }
        self.interim_bytes += self.held.len();
        self.held.clear();
        self.line_start = 0;
        self.fields = 0;
        self.framing = Framing::default();
        Ok(())
    }

    /// Takes one byte of a chunked body outside of the data of its chunks.
    fn read_chunk(&mut self, chunk: Chunk, byte: u8, checked: &mut Vec<u8>) -> Result<(), Error> {
        if chunk == Chunk::Trailer {
            return self.read_trailer(byte, checked);
        }
        self.line_bytes += 1;
        if self.line_bytes > MAX_CHUNK_LINE_BYTES {
            return Err(Error::Chunk);
        }
        let next = next_chunk(chunk, byte).ok_or(Error::Chunk)?;
        if matches!(next, Chunk::Data(_) | Chunk::Trailer) || next == Chunk::START {
            self.line_bytes = 0;
        }
        checked.push(byte);
        self.state = State::Chunked(next);
        Ok(())
    }

    /// Takes one byte of the trailers, of which only the empty line at their end is passed on.
    fn read_trailer(&mut self, byte: u8, checked: &mut Vec<u8>) -> Result<(), Error> {
        self.line_bytes += 1;
        if self.line_bytes > MAX_TRAILER_BYTES {
            return Err(Error::TrailersTooLarge);
        }
        self.held.push(byte);
        if byte != b'\n' {
            return Ok(());
        }
        let line = self.held.strip_suffix(b"\r\n").ok_or(Error::Chunk)?;
        if line.is_empty() {
            checked.append(&mut self.held);
            self.state = State::Idle;
            return Ok(());
        }
        read_field(line)?;
        self.held.clear();
        self.count_field()
    }

    fn count_field(&mut self) -> Result<(), Error> {
        self.fields += 1;
        if self.fields > MAX_FIELDS {
            return Err(Error::TooManyFields);
        }
        Ok(())
    }
}

impl Framing {
    /// Notes what a field states about the length of the body.
    fn note(&mut self, name: &[u8], value: &[u8]) -> Result<(), Error> {
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // A coding that is not undone would reach the client as the body.
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Framing(quote(value)));
            }
            self.is_chunked = true;
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            for part in value.split(|byte| *byte == b',') {
                let length = read_length(part.trim_ascii());
                let length = length.ok_or_else(|| Error::Framing(quote(value)))?;
                if self.length.is_some_and(|known| known != length) {
                    return Err(Error::Framing(quote(value)));
                }
                self.length = Some(length);
            }
        }
        Ok(())
    }
}

/// Appends up to `left` of some bytes to `checked`; returns how many, and what is left behind them.
fn pass(bytes: &[u8], left: u64, checked: &mut Vec<u8>) -> (usize, u64) {
    let taken = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
    checked.extend_from_slice(&bytes[..taken]);
    (taken, left - taken as u64)
}

/// Returns what follows in a chunked body behind a byte, or `None` if the byte cannot stand there.
fn next_chunk(chunk: Chunk, byte: u8) -> Option<Chunk> {
    match (chunk, byte) {
        (Chunk::Size { digits, bytes }, byte) if byte.is_ascii_hexdigit() => {
            let digit = char::from(byte).to_digit(16)?;
            (digits < MAX_SIZE_DIGITS).then(|| Chunk::Size {
                digits: digits + 1,
                bytes: bytes * 16 + u64::from(digit),
            })
        }
        (Chunk::Size { digits: 0, .. }, _) => None,
        (Chunk::Size { bytes, .. } | Chunk::Extension { bytes }, b'\r') => {
            Some(Chunk::LineFeed { bytes })
        }
        (Chunk::Size { bytes, .. }, b' ' | b'\t' | b';') => Some(Chunk::Extension { bytes }),
        (Chunk::Extension { bytes }, byte) if is_text(byte) => Some(Chunk::Extension { bytes }),
        (Chunk::LineFeed { bytes: 0 }, b'\n') => Some(Chunk::Trailer),
        (Chunk::LineFeed { bytes }, b'\n') => Some(Chunk::Data(bytes)),
        (Chunk::DataReturn, b'\r') => Some(Chunk::DataFeed),
        (Chunk::DataFeed, b'\n') => Some(Chunk::START),
        _ => None,
    }
}

/// Returns the version and the status of a status line.
fn read_status_line(line: &[u8]) -> Result<(u8, u16), Error> {
    let malformed = || Error::StatusLine(quote(line));
    let rest = line.strip_prefix(VERSION).ok_or_else(malformed)?;
    let [version @ (b'0' | b'1'), b' ', digits @ ..] = rest else {
        return Err(malformed());
    };
    let (digits, reason) = digits.split_at_checked(3).ok_or_else(malformed)?;
    let is_reason = reason.is_empty() || reason[0] == b' ';
    if !is_reason || !reason.iter().copied().all(is_text) {
        return Err(malformed());
    }
    let status = read_length(digits).and_then(|status| u16::try_from(status).ok());
    match status.ok_or_else(malformed)? {
        status @ (0..=99 | 101 | 600..) => Err(Error::Status(status)),
        status => Ok((version - b'0', status)),
    }
}

/// Returns the name and the value of a field line.
fn read_field(line: &[u8]) -> Result<(&[u8], &[u8]), Error> {
    let malformed = || Error::Field(quote(line));
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or_else(malformed)?);
    let value = &value[1..];
    let is_name = !name.is_empty() && name.iter().copied().all(is_token);
    if !is_name || !value.iter().copied().all(is_text) {
        return Err(malformed());
    }
    Ok((name, value.trim_ascii()))
}

/// Returns a number of which each byte is a digit.
fn read_length(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns a line without its end.
fn trim_line(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Returns whether a byte may stand in the name of a field.
const fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}

/// Returns whether a byte may stand in the value of a field, a reason or an extension.
const fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Returns the start of some bytes for an error.
fn quote(bytes: &[u8]) -> String {
    let start = &bytes[..bytes.len().min(MAX_QUOTED_BYTES)];
    start.escape_ascii().to_string()
}
