//! Counts of the bytes sent and received by links and frame connections.
//!
//! All links of a process run on one thread, so the counters are thread-local. They count payload
//! bytes of TCP, without headers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_util::AsyncRead;
use futures_util::AsyncWrite;
use serde::Serialize;

thread_local! {
    static COUNTS: Cell<Counts> = const { Cell::new(Counts::new()) };
    static SKIPPED: Cell<u64> = const { Cell::new(0) };
    static FRAMES: RefCell<BTreeMap<Purpose, Counts>> = const { RefCell::new(BTreeMap::new()) };
}

/// What the bytes of a frame are for, as it is named to operators.
pub type Purpose = &'static str;

/// Bytes sent and received since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

impl Counts {
    const fn new() -> Self {
        Self {
            received: 0,
            sent: 0,
        }
    }
}

/// Returns the counts of this process.
#[must_use]
pub fn counts() -> Counts {
    COUNTS.get()
}

/// Adds to the count of bytes received.
pub fn add_received(bytes: usize) {
    let mut counts = COUNTS.get();
    counts.received += bytes as u64;
    COUNTS.set(counts);
}

/// Adds to the count of bytes sent.
pub fn add_sent(bytes: usize) {
    let mut counts = COUNTS.get();
    counts.sent += bytes as u64;
    COUNTS.set(counts);
}

/// Returns the counts of the frames of this process, by purpose.
#[must_use]
pub fn frames() -> BTreeMap<Purpose, Counts> {
    FRAMES.with_borrow(Clone::clone)
}

/// Adds to the count of bytes received in frames of a purpose.
pub fn add_received_frame(purpose: Purpose, bytes: usize) {
    FRAMES.with_borrow_mut(|frames| frames.entry(purpose).or_default().received += bytes as u64);
}

/// Adds to the count of bytes sent in frames of a purpose.
pub fn add_sent_frame(purpose: Purpose, bytes: usize) {
    FRAMES.with_borrow_mut(|frames| frames.entry(purpose).or_default().sent += bytes as u64);
}

/// Returns the number of received frames that could not be decoded.
#[must_use]
pub fn skipped() -> u64 {
    SKIPPED.get()
}

/// Counts a received frame that could not be decoded.
pub fn add_skipped() {
    SKIPPED.set(SKIPPED.get() + 1);
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    inner: S,
}

impl<S> Metered<S> {
    /// Wraps a stream to count its bytes.
    #[must_use]
    pub const fn new(inner: S) -> Self {
        Self { inner }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            add_received(*bytes);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &polled {
            add_sent(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
