//! A connection of the slot protocol, as two ends in one process.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::timeout;
use event_listener::Event;
use log::warn;

use crate::error::Error;
use crate::meter;
use crate::slots::Decoder;
use crate::slots::Encoder;
use crate::slots::Frame;

/// Frames that wait to be written.
const MAX_WAITING: usize = 8_192;

/// Time that one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Queues frames for a connection.
#[derive(Debug, Clone)]
pub struct Sender {
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: RefCell<Vec<Frame>>,
    closed: Cell<bool>,
    written: Cell<u64>,
    event: Event,
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct Receiver {
    stream: TcpStream,
    decoder: Decoder,
    buffer: Vec<u8>,
}

/// Writes the queued frames to a connection.
#[derive(Debug)]
pub struct Writer {
    stream: TcpStream,
    encoder: Encoder,
    shared: Rc<Shared>,
}

/// Splits an authenticated connection.
///
/// [`Writer::run`] has to be polled for frames to leave.
#[must_use]
pub fn split(stream: TcpStream) -> (Sender, Writer, Receiver) {
    let shared = Rc::new(Shared::default());
    let sender = Sender {
        shared: Rc::clone(&shared),
    };
    let writer = Writer {
        stream: stream.clone(),
        encoder: Encoder::new(),
        shared,
    };
    let receiver = Receiver {
        stream,
        decoder: Decoder::new(),
        buffer: Vec::with_capacity(READ_BYTES),
    };
    (sender, writer, receiver)
}

impl Sender {
    /// Returns whether the connection takes frames.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.shared.closed.get()
    }

    /// Returns whether `other` queues frames for the same connection.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Returns the bytes written so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.shared.written.get()
    }

    /// Queues a frame unless the connection is closed.
    ///
    /// A connection whose queue is full is closed, since the other side does not read.
    pub fn send(&self, frame: Frame) {
        if !self.is_open() {
            return;
        }
        if self.shared.waiting.borrow().len() >= MAX_WAITING {
            self.close();
            return;
        }
        self.shared.waiting.borrow_mut().push(frame);
        self.shared.event.notify(usize::MAX);
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.shared.closed.set(true);
        self.shared.event.notify(usize::MAX);
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        while self.is_open() {
            let listener = self.shared.event.listen();
            if !self.is_open() {
                return;
            }
            listener.await;
        }
    }
}

impl Writer {
    /// Writes queued frames, all that wait in one write, until the connection is closed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] or [`Error::Timeout`] when the connection takes no bytes.
    pub async fn run(mut self) -> Result<(), Error> {
        let result = self.write_all().await;
        self.shared.closed.set(true);
        self.shared.event.notify(usize::MAX);
        result
    }

    async fn write_all(&mut self) -> Result<(), Error> {
        let mut bytes = Vec::new();
        while let Some(frames) = self.next().await {
            bytes.clear();
            for frame in &frames {
                if let Err(error) = self.encoder.encode(frame, &mut bytes) {
                    warn!("slots: dropped a frame: {error}");
                }
            }
            let length = bytes.len();
            let writing = timeout(WRITE_TIMEOUT, self.stream.write_all(bytes));
            let BufResult(result, buffer) = writing.await.map_err(|_| Error::Timeout)?;
            result?;
            bytes = buffer;
            self.shared
                .written
                .set(self.shared.written.get() + length as u64);
            meter::add_sent(length);
        }
        Ok(())
    }

    async fn next(&self) -> Option<Vec<Frame>> {
        loop {
            if self.shared.closed.get() {
                return None;
            }
            let listener = self.shared.event.listen();
            let frames = self.shared.waiting.take();
            if !frames.is_empty() {
                return Some(frames);
            }
            listener.await;
        }
    }
}

impl Receiver {
    /// Waits for the next frames.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the connection ended and [`Error::Malformed`] when it carries
    /// something else than frames.
    pub async fn next(&mut self) -> Result<Vec<Frame>, Error> {
        loop {
            let mut buffer = std::mem::take(&mut self.buffer);
            buffer.clear();
            let BufResult(result, buffer) = self.stream.read(buffer).await;
            let length = result?;
            meter::add_received(length);
            let frames = self.decoder.feed(&buffer[..length])?;
            self.buffer = buffer;
            if length == 0 {
                return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
            }
            if !frames.is_empty() {
                return Ok(frames);
            }
        }
    }
}
