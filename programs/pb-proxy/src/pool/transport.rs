//! The transport below an HTTP connection to an upstream.
//!
//! The HTTP client gets only the bytes that an [`answer::Reader`] has checked, and the end of the connection only
//! where that is the orderly end of an answer. Every connection to an upstream or to another host is read through
//! a [`Transport`].

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncBufRead;
use futures_util::AsyncWrite;
use hyper::Method;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use persimmonbend_app::http::answer;
use persimmonbend_app::http::answer::End;

/// How much of the present request the upstream's side of the connection has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Sent {
    #[default]
    Nothing,
    Part,
    Whole,
    /// The connection takes no more bytes.
    Failed,
}

/// The request and the answer on a connection, which the connection shares with its transport.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    reader: RefCell<answer::Reader>,
    sent: Cell<Sent>,
}

impl Exchange {
    /// Starts a request; called before it is sent.
    pub(super) fn begin(&self, method: &Method) {
        self.reader.borrow_mut().expect(method);
        if self.sent.get() != Sent::Failed {
            self.sent.set(Sent::Nothing);
        }
    }

    /// Returns whether only the end of the connection ends the answer.
    pub(super) fn is_open_ended(&self) -> bool {
        self.reader.borrow().is_open_ended()
    }

    /// Returns whether the connection can carry another request.
    pub(super) fn is_reusable(&self) -> bool {
        self.reader.borrow().is_idle() && self.sent.get() != Sent::Failed
    }
}

/// A TCP stream of which only valid answers are read.
///
/// An error of a write is not reported: the upstream may have answered before it read the request, and the reading
/// side finds out whether that answer is whole.
pub(super) struct Transport {
    stream: Pin<Box<AsyncStream<TcpStream>>>,
    socket: TcpStream,
    exchange: Rc<Exchange>,
    /// Bytes that were checked, of which the first `passed` were passed on.
    checked: Vec<u8>,
    passed: usize,
    /// Why nothing is read behind the checked bytes.
    failure: Option<io::Error>,
    /// Waits until the request is sent whole.
    waker: Option<Waker>,
}

impl Transport {
    pub(super) fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Self {
        Self {
            socket: stream.clone(),
            stream: Box::pin(AsyncStream::new(stream)),
            exchange,
            checked: Vec::new(),
            passed: 0,
            failure: None,
            waker: None,
        }
    }

    /// Reads from the socket until there are checked bytes; returns whether there are, or else the stream has ended.
    fn poll_checked(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        while self.passed == self.checked.len() {
            self.checked.clear();
            self.passed = 0;
            if let Some(failure) = self.failure.take() {
                return Poll::Ready(Err(failure));
            }
            let bytes = match ready!(self.stream.as_mut().poll_fill_buf(context)) {
                Ok([]) => return self.poll_end(context).map_ok(|()| false),
                Ok(bytes) => bytes,
                Err(error) => {
                    self.exchange.sent.set(Sent::Failed);
                    return Poll::Ready(Err(error));
                }
            };
            let length = bytes.len();
            let mut reader = self.exchange.reader.borrow_mut();
            let result = reader.feed(bytes, &mut self.checked);
            self.failure = result.err().map(io::Error::from);
            drop(reader);
            self.stream.as_mut().consume(length);
        }
        Poll::Ready(Ok(true))
    }

    /// Finds out whether the end of the connection is an orderly one where it is, or else returns an error.
    ///
    /// A reset can look like an orderly end: the kernel reports it once, and it may do so to a write. So an answer
    /// that only the end of the connection ends is whole where the request was taken whole, without an error.
    fn poll_end(&mut self, context: &Context<'_>) -> Poll<io::Result<()>> {
        let end = self.exchange.reader.borrow().end();
        match (end, self.exchange.sent.get()) {
            (End::Clean | End::Unanswered, _) => Poll::Ready(Ok(())),
            (End::Truncated, _) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            (End::OfBody, Sent::Whole) if self.socket.peer_addr().is_ok() => Poll::Ready(Ok(())),
            (End::OfBody, Sent::Whole | Sent::Failed) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            (End::OfBody, Sent::Nothing | Sent::Part) => {
                self.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Notes the result of a write or flush, and lets a reader go on that waits for it.
    fn note_sent(&mut self, sent: Sent) {
        self.exchange.sent.set(sent);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn has_failed(&self) -> bool {
        self.exchange.sent.get() == Sent::Failed
    }
}

impl Read for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if ready!(self.poll_checked(context))? {
            let rest = &self.checked[self.passed..];
            let length = rest.len().min(buffer.remaining());
            buffer.put_slice(&rest[..length]);
            self.passed += length;
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.has_failed() {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.exchange.sent.set(Sent::Part);
        let written = ready!(self.stream.as_mut().poll_write(context, bytes));
        Poll::Ready(Ok(written.unwrap_or_else(|_| {
            self.note_sent(Sent::Failed);
            bytes.len()
        })))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_failed() {
            return Poll::Ready(Ok(()));
        }
        let flushed = ready!(self.stream.as_mut().poll_flush(context));
        match (flushed, self.exchange.sent.get()) {
            (Err(_), _) => self.note_sent(Sent::Failed),
            (Ok(()), Sent::Part) => self.note_sent(Sent::Whole),
            (Ok(()), _) => {}
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_failed() {
            return Poll::Ready(Ok(()));
        }
        self.stream.as_mut().poll_close(context)
    }
}
