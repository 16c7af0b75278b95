//! Sending and receiving of frames over a TCP connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::buf::IntoInner;
use compio::buf::IoBuf;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::net::TcpStream;
use compio::time::timeout;
use event_listener::Event;
use log::warn;

use crate::error::Error;
use crate::meter;

/// Upper bound of the frames that wait to be written to a connection.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Time within which a connection must accept some bytes of a write.
///
/// The limit is on progress, because a large frame takes several seconds over a slow link.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Size in bytes of the buffer for one read.
const READ_BYTES: usize = 16 * 1024;

/// A frame that builds of several levels may exchange.
pub trait Leveled: Sized {
    /// Returns the frame as a build of `level` reads it, or `None` if it reads no such frame.
    fn for_level(self, level: u32) -> Option<Self>;
}

/// Encodes the frames of one direction of a connection.
pub trait Encode<F> {
    /// Appends a frame to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the frame is too long.
    fn encode(&mut self, frame: &F, bytes: &mut Vec<u8>) -> Result<(), Error>;
}

/// Decodes the frames of one direction of a connection.
pub trait Decode<F> {
    /// Decodes received bytes and returns the frames that they complete.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the bytes are not frames.
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<F>, Error>;
}

/// Queues frames for a connection.
#[derive(Debug)]
pub struct Sender<F> {
    shared: Rc<Shared<F>>,
}

impl<F> Clone for Sender<F> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

#[derive(Debug)]
struct Shared<F> {
    queue: RefCell<Vec<F>>,
    closed: Cell<bool>,
    /// Level of the build at the other end, 0 until it has named one.
    level: Cell<u32>,
    written: Cell<u64>,
    event: Event,
}

impl<F> Shared<F> {
    const fn new() -> Self {
        Self {
            queue: RefCell::new(Vec::new()),
            closed: Cell::new(false),
            level: Cell::new(0),
            written: Cell::new(0),
            event: Event::new(),
        }
    }
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct Receiver<D> {
    stream: TcpStream,
    decoder: D,
    buffer: Vec<u8>,
    received: Rc<Cell<u64>>,
}

/// Writes the queued frames to a connection.
#[derive(Debug)]
pub struct Writer<E, F> {
    stream: TcpStream,
    encoder: E,
    shared: Rc<Shared<F>>,
}

/// Splits an authenticated connection.
///
/// Frames are only written while [`Writer::run`] is polled.
#[must_use]
pub fn split<E, D, F>(
    stream: TcpStream,
    encoder: E,
    decoder: D,
) -> (Sender<F>, Writer<E, F>, Receiver<D>)
where
    E: Encode<F>,
    D: Decode<F>,
{
    let shared = Rc::new(Shared::new());
    let sender = Sender {
        shared: Rc::clone(&shared),
    };
    let writer = Writer {
        stream: stream.clone(),
        encoder,
        shared,
    };
    let receiver = Receiver {
        stream,
        decoder,
        buffer: Vec::with_capacity(READ_BYTES),
        received: Rc::default(),
    };
    (sender, writer, receiver)
}

impl<F> Sender<F> {
    /// Returns whether the connection accepts frames.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.shared.closed.get()
    }

    /// Returns whether `other` queues frames for the same connection.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Returns the number of bytes written so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.shared.written.get()
    }

    /// Sets the level of the build at the other end.
    pub fn set_level(&self, level: u32) {
        self.shared.level.set(level);
    }

    /// Returns the level of the build at the other end, 0 until it has named one.
    #[must_use]
    pub fn level(&self) -> u32 {
        self.shared.level.get()
    }

    /// Queues a frame as the other end reads it; does nothing if the connection is closed, or if the build
    /// at the other end is too old for the frame.
    ///
    /// Closes a connection whose queue is full, since the other side does not read.
    pub fn send(&self, frame: F)
    where
        F: Leveled,
    {
        if !self.is_open() {
            return;
        }
        let Some(frame) = frame.for_level(self.level()) else {
            return;
        };
        if self.shared.queue.borrow().len() >= MAX_QUEUED_FRAMES {
            self.close();
            return;
        }
        self.shared.queue.borrow_mut().push(frame);
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

impl<E: Encode<F>, F> Writer<E, F> {
    /// Writes the queued frames until the connection is closed; one write carries all that wait.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] or [`Error::Timeout`] when the connection accepts no bytes.
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
                    warn!("wire: dropped a frame: {error}");
                }
            }
            bytes = self.write(bytes).await?;
        }
        Ok(())
    }

    /// Writes all bytes and returns their buffer.
    async fn write(&mut self, mut bytes: Vec<u8>) -> Result<Vec<u8>, Error> {
        let mut done = 0;
        while done < bytes.len() {
            let writing = timeout(WRITE_TIMEOUT, self.stream.write(bytes.slice(done..)));
            let BufResult(result, rest) = writing.await.map_err(|_| Error::Timeout)?;
            let length = result?;
            if length == 0 {
                return Err(Error::Io(std::io::ErrorKind::WriteZero.into()));
            }
            bytes = rest.into_inner();
            done += length;
            self.shared
                .written
                .set(self.shared.written.get() + length as u64);
            meter::add_sent(length);
        }
        Ok(bytes)
    }

    /// Waits for queued frames and removes them; returns `None` once the connection is closed.
    async fn next(&self) -> Option<Vec<F>> {
        loop {
            if self.shared.closed.get() {
                return None;
            }
            let listener = self.shared.event.listen();
            let frames = self.shared.queue.take();
            if !frames.is_empty() {
                return Some(frames);
            }
            listener.await;
        }
    }
}

impl<D> Receiver<D> {
    /// Returns the counter of received bytes, which also rises while a frame is incomplete.
    #[must_use]
    pub fn received(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.received)
    }

    /// Waits for the next frames.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the connection ended and [`Error::Malformed`] when the received
    /// bytes are not frames.
    pub async fn next<F>(&mut self) -> Result<Vec<F>, Error>
    where
        D: Decode<F>,
    {
        loop {
            let mut buffer = std::mem::take(&mut self.buffer);
            buffer.clear();
            // An earlier call that was dropped during its read left an empty buffer behind.
            buffer.reserve(READ_BYTES);
            let BufResult(result, buffer) = self.stream.read(buffer).await;
            let length = result?;
            meter::add_received(length);
            self.received.set(self.received.get() + length as u64);
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
