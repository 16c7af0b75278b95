//! A connection that is read ahead, so that its end is seen while a request is still running.
//!
//! hyper reads nothing more of a connection while it holds pipelined bytes, and so would miss that
//! the client has left. A task of its own reads here, up to a bound, and notes the end at once.

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

/// Bytes that are read ahead.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Bytes read at a time.
const READ_BYTES: usize = 8 * 1024;

/// What is known of a connection while it is served.
#[derive(Debug)]
pub struct Activity {
    ahead: RefCell<VecDeque<u8>>,
    waker: RefCell<Option<Waker>>,
    drained: Event,
    closed: Cell<bool>,
    closing: Event,
    running: Cell<bool>,
    idle_since: Cell<Instant>,
    head_since: Cell<Option<Instant>>,
    /// The head that is being read, as far as no request was running when it came.
    head: RefCell<Vec<u8>>,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self {
            ahead: RefCell::new(VecDeque::new()),
            waker: RefCell::new(None),
            drained: Event::new(),
            closed: Cell::new(false),
            closing: Event::new(),
            running: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head: RefCell::new(Vec::new()),
        }
    }

    /// Notes that a request has been read and runs; returns whether its head states the length of
    /// its body in two ways.
    ///
    /// hyper drops one of the two without a word. The head of a request that was sent behind
    /// another one is not looked at.
    pub fn start_request(&self) -> bool {
        self.running.set(true);
        self.head_since.set(None);
        has_ambiguous_length(&self.head.take())
    }

    /// Notes that the request has been answered.
    pub fn end_request(&self, now: Instant) {
        self.running.set(false);
        self.idle_since.set(now);
    }

    /// Returns since when the connection is idle, unless a request runs.
    #[must_use]
    pub fn idle_since(&self) -> Option<Instant> {
        (!self.running.get()).then(|| self.idle_since.get())
    }

    /// Returns since when a request head is arriving, if one is.
    #[must_use]
    pub fn head_since(&self) -> Option<Instant> {
        self.head_since.get()
    }

    /// Waits until the client has closed the connection.
    pub async fn closed(&self) {
        while !self.closed.get() {
            let listener = self.closing.listen();
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

/// A connection that is read ahead.
pub struct Stream {
    activity: Rc<Activity>,
    stream: HyperStream<TcpStream>,
    _reader: JoinHandle<()>,
}

impl Stream {
    /// Starts to read a connection ahead.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, Rc<Activity>) {
        let activity = Rc::new(Activity::new(Instant::now()));
        let reader = spawn(read_ahead(stream.clone(), Rc::clone(&activity)));
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
        self.activity.drained.notify(usize::MAX);
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

/// Returns whether a head has both a length and a transfer coding.
fn has_ambiguous_length(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let has = |name: &str| head.lines().any(|line| line.starts_with(name));
    has("content-length:") && has("transfer-encoding:")
}

async fn read_ahead(mut stream: TcpStream, activity: Rc<Activity>) {
    let mut buffer = Vec::with_capacity(READ_BYTES);
    loop {
        while activity.ahead.borrow().len() >= MAX_BUFFERED_BYTES {
            let listener = activity.drained.listen();
            if activity.ahead.borrow().len() >= MAX_BUFFERED_BYTES {
                listener.await;
            }
        }
        buffer.clear();
        let BufResult(result, read) = stream.read(buffer).await;
        buffer = read;
        match result {
            Ok(length) if length > 0 => {
                activity.ahead.borrow_mut().extend(&buffer[..length]);
                activity.wake();
            }
            _ => break,
        }
    }
    activity.closed.set(true);
    activity.closing.notify(usize::MAX);
    activity.wake();
}
