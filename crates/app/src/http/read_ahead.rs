//! A TCP stream that is read ahead, so that the server notices during a request when the client
//! closes the connection.
//!
//! hyper does not read from a connection while it holds pipelined bytes, so it would not see that
//! the client has closed it. A task reads ahead of hyper, up to `MAX_BUFFERED_BYTES`, and
//! records the close at once.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Instant;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use cyper_core::HyperStream;
use event_listener::Event;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Largest number of bytes that are read ahead of hyper.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Size of the buffer for one read.
const READ_BYTES: usize = 8 * 1024;

/// State of a connection that the reading task, the stream and the server share.
#[derive(Debug)]
pub struct Activity {
    ahead: RefCell<VecDeque<u8>>,
    waker: RefCell<Option<Waker>>,
    space_event: Event,
    closed: Cell<bool>,
    closed_event: Event,
    running: Cell<bool>,
    idle_since: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    /// Bytes of the request head that is being read; empty while a request runs.
    head: RefCell<Vec<u8>>,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self {
            ahead: RefCell::new(VecDeque::new()),
            waker: RefCell::new(None),
            space_event: Event::new(),
            closed: Cell::new(false),
            closed_event: Event::new(),
            running: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head: RefCell::new(Vec::new()),
        }
    }

    /// Records the start of a request; returns whether its head has both `content-length` and
    /// `transfer-encoding`.
    ///
    /// hyper drops one of the two silently. The head of a pipelined request, which hyper reads
    /// while another one runs, is not checked.
    pub fn start_request(&self) -> bool {
        self.running.set(true);
        self.head_since.set(None);
        has_ambiguous_length(&self.head.take())
    }

    /// Records that the rest of an answer is awaited.
    pub fn await_answer(&self) {
        self.running.set(true);
    }

    /// Records that the request, or the next part of its answer, has been answered.
    pub fn end_request(&self, now: Instant) {
        self.running.set(false);
        self.idle_since.set(now);
    }

    /// Returns when the connection became idle, or `None` while a request runs.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        (!self.running.get()).then(|| self.idle_since.get())
    }

    /// Returns when the first byte of a request head arrived, or `None` between heads.
    #[must_use]
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// Waits until the client has closed the connection.
    pub async fn closed(&self) {
        while !self.closed.get() {
            let listener = self.closed_event.listen();
            if self.closed.get() {
                return;
            }
            listener.await;
        }
    }

    fn record_head(&self, bytes: &[u8]) {
        if self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
        let mut head = self.head.borrow_mut();
        if head.len() < MAX_BUFFERED_BYTES {
            head.extend_from_slice(bytes);
        }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A TCP stream that a task reads ahead.
pub struct Stream {
    activity: Rc<Activity>,
    stream: HyperStream<TcpStream>,
    _reader: JoinHandle<()>,
}

impl Stream {
    /// Starts the task that reads `stream` ahead; `arrived` gets all bytes before hyper does.
    #[must_use]
    pub fn new<F: Fn(&[u8]) + 'static>(stream: TcpStream, arrived: F) -> (Self, Rc<Activity>) {
        let activity = Rc::new(Activity::new(Instant::now()));
        let reader = spawn(read_ahead(stream.clone(), Rc::clone(&activity), arrived));
        let ahead = Self {
            activity: Rc::clone(&activity),
            stream: HyperStream::new_plain(stream),
            _reader: reader,
        };
        (ahead, activity)
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.activity.ahead.borrow_mut();
        if ahead.is_empty() {
            if self.activity.closed.get() {
                return Poll::Ready(Ok(()));
            }
            *self.activity.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        let (front, _) = ahead.as_slices();
        let length = front.len().min(buffer.remaining());
        buffer.put_slice(&front[..length]);
        if !self.activity.running.get() {
            self.activity.record_head(&front[..length]);
        }
        ahead.drain(..length);
        self.activity.space_event.notify(usize::MAX);
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Returns whether a head has both `content-length` and `transfer-encoding`.
fn has_ambiguous_length(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let has = |name: &str| head.lines().any(|line| line.starts_with(name));
    has("content-length:") && has("transfer-encoding:")
}

/// Reads from the stream into the shared buffer until the client closes it or a read fails.
async fn read_ahead<F: Fn(&[u8])>(mut stream: TcpStream, activity: Rc<Activity>, arrived: F) {
    let mut buffer = Vec::with_capacity(READ_BYTES);
    loop {
        while activity.ahead.borrow().len() >= MAX_BUFFERED_BYTES {
            let listener = activity.space_event.listen();
            if activity.ahead.borrow().len() >= MAX_BUFFERED_BYTES {
                listener.await;
            }
        }
        buffer.clear();
        let BufResult(result, read) = stream.read(buffer).await;
        buffer = read;
        match result {
            Ok(length) if length > 0 => {
                arrived(&buffer[..length]);
                activity.ahead.borrow_mut().extend(&buffer[..length]);
                activity.wake();
            }
            _ => break,
        }
    }
    activity.closed.set(true);
    activity.closed_event.notify(usize::MAX);
    activity.wake();
}
