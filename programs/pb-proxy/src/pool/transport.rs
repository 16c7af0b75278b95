//! The transport below an HTTP connection to an upstream.
//!
//! The HTTP client gets the end of the connection only where that is an orderly one. Every connection to an upstream
//! or to another host is read through a [`Transport`].

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::AsyncRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// Most bytes that are read at a time.
const READ_BYTES: usize = 8 * 1024;

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
    sent: Cell<Sent>,
}

impl Exchange {
    /// Starts a request; called before it is sent.
    pub(super) fn begin(&self) {
        if self.sent.get() != Sent::Failed {
            self.sent.set(Sent::Nothing);
        }
    }

    /// Returns whether the connection can carry another request.
    pub(super) fn is_reusable(&self) -> bool {
        self.sent.get() != Sent::Failed
    }
}

/// A TCP stream whose end is read only where it is an orderly one.
///
/// An error of a write is not reported: the upstream may have answered before it read the request, and the reading
/// side finds out whether that answer is whole.
pub(super) struct Transport {
    stream: Pin<Box<AsyncStream<TcpStream>>>,
    socket: TcpStream,
    exchange: Rc<Exchange>,
    /// Waits until the request is sent whole.
    waker: Option<Waker>,
}

impl Transport {
    pub(super) fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Self {
        Self {
            socket: stream.clone(),
            stream: Box::pin(AsyncStream::new(stream)),
            exchange,
            waker: None,
        }
    }

    /// Finds out whether the end of the connection is an orderly one.
    ///
    /// A reset can look like an orderly end: the kernel reports it once, and it may do so to a write. So the end is
    /// an orderly one where the request was taken whole, without an error.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.exchange.sent.get() {
            Sent::Nothing | Sent::Whole if self.socket.peer_addr().is_ok() => Poll::Ready(Ok(())),
            Sent::Nothing | Sent::Whole | Sent::Failed => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Sent::Part => {
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
        let mut bytes = [0; READ_BYTES];
        let length = buffer.remaining().min(READ_BYTES);
        let read = self
            .stream
            .as_mut()
            .poll_read(context, &mut bytes[..length]);
        match ready!(read)? {
            0 => self.poll_end(context),
            read => {
                buffer.put_slice(&bytes[..read]);
                Poll::Ready(Ok(()))
            }
        }
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
