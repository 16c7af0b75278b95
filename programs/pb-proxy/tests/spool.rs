//! Answers that are read ahead of clients which read slowly.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::Runtime;
use compio::time::sleep;
use compio::time::timeout;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use hyper::body::Frame;
use pb_proxy::gateway::memory::Memory;
use pb_proxy::gateway::spool;
use pb_proxy::gateway::spool::Deadline;
use persimmonbend_core::clock::System;
use persimmonbend_core::memory::Bound;

type Part = io::Result<Frame<Bytes>>;

const KIB: usize = 1024;

/// Time in which a task that can run has run.
const SOON: Duration = Duration::from_millis(50);

/// An answer that is read ahead, and its ends.
struct Answer {
    memory: Rc<Memory>,
    upstream: UnboundedSender<Part>,
    client: std::pin::Pin<Box<dyn Stream<Item = Part>>>,
    notices: Rc<RefCell<Vec<Bound>>>,
}

/// Starts an answer on a host with a budget of `limit` bytes.
fn answer(limit: usize, time: Duration) -> Answer {
    let memory = Rc::new(Memory::new(Some(limit as u64)));
    let (upstream, source): (_, UnboundedReceiver<Part>) = mpsc::unbounded();
    let deadline = Deadline {
        clock: Rc::new(System),
        at: Instant::now() + time,
    };
    // As the rest of an answer does, the source ends with an error at the deadline.
    let at = deadline.at;
    let source = stream::unfold(Some(source), move |source| async move {
        let mut source = source?;
        let left = at.saturating_duration_since(Instant::now());
        match timeout(left, source.next()).await {
            Ok(part) => part.map(|part| (part, Some(source))),
            Err(_) => Some((Err(io::ErrorKind::TimedOut.into()), None)),
        }
    });
    let notices: Rc<RefCell<Vec<Bound>>> = Rc::default();
    let notice = {
        let notices = Rc::clone(&notices);
        Box::new(move |bound, _| notices.borrow_mut().push(bound))
    };
    let first = Bytes::from_static(b"first");
    let hold = memory.hold(None);
    hold.add(first.len());
    let client = Box::pin(spool::read_ahead(source, first, hold, deadline, notice));
    Answer {
        memory,
        upstream,
        client,
        notices,
    }
}

impl Answer {
    fn send(&self, bytes: usize) {
        let data = Bytes::from(vec![b'x'; bytes]);
        let sent = self.upstream.unbounded_send(Ok(Frame::data(data)));
        sent.expect("the answer is read");
    }

    fn used(&self) -> u64 {
        self.memory.usage().expect("a budget").0
    }

    /// Reads what follows; returns its bytes and the error that ends it, if there is one.
    async fn read(&mut self) -> (Vec<u8>, Option<io::ErrorKind>) {
        let mut bytes = Vec::new();
        while let Some(part) = self.client.next().await {
            match part {
                Ok(frame) => bytes.extend(frame.into_data().expect("data")),
                Err(error) => return (bytes, Some(error.kind())),
            }
        }
        (bytes, None)
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    Runtime::new().expect("a runtime").block_on(test);
}

/// An answer whose end was read counted as broken off once the upstream or the deadline had gone.
#[test]
fn an_answer_that_was_read_whole_is_delivered_whole_after_the_deadline() {
    run(async {
        let mut answer = answer(8_000 * KIB, SOON * 3);
        for _ in 0..5 {
            answer.send(100 * KIB);
        }
        answer.upstream.close_channel();
        sleep(SOON * 4).await;
        assert_eq!(answer.used(), 5 + 500 * KIB as u64);
        let (bytes, error) = answer.read().await;
        assert_eq!((bytes.len(), error), (5 + 500 * KIB, None));
        assert!(bytes.starts_with(b"firstxx"));
        assert_eq!(answer.used(), 0);
        assert!(answer.notices.borrow().is_empty());
    });
}

#[test]
fn an_answer_that_breaks_off_upstream_never_ends_as_a_whole_one() {
    run(async {
        let mut answer = answer(8_000 * KIB, Duration::from_secs(5));
        answer.send(10);
        let error = Err(io::ErrorKind::ConnectionReset.into());
        answer
            .upstream
            .unbounded_send(error)
            .expect("the answer is read");
        let (bytes, error) = answer.read().await;
        assert_eq!(
            (bytes.len(), error),
            (15, Some(io::ErrorKind::ConnectionReset))
        );
    });
}

/// An answer was read into memory without a bound, or no further once its bound was reached.
#[test]
fn beyond_the_bound_an_answer_is_read_as_fast_as_its_client_takes_it() {
    run(async {
        let mut answer = answer(8 * 64 * KIB, Duration::from_secs(5));
        for _ in 0..20 {
            answer.send(16 * KIB);
        }
        answer.upstream.close_channel();
        sleep(SOON).await;
        let used = answer.used();
        assert!(
            (48 * KIB as u64..=64 * KIB as u64).contains(&used),
            "{used}"
        );
        assert_eq!(*answer.notices.borrow(), [Bound::Answer]);
        let (bytes, error) = answer.read().await;
        assert_eq!((bytes.len(), error), (5 + 320 * KIB, None));
        assert_eq!(answer.notices.borrow().len(), 1);
    });
}

/// An answer that waited for room kept its upstream beyond the deadline.
#[test]
fn an_answer_that_waits_for_room_breaks_off_at_the_deadline() {
    run(async {
        let mut answer = answer(8 * 16 * KIB, SOON * 2);
        for _ in 0..4 {
            answer.send(16 * KIB);
        }
        sleep(SOON * 4).await;
        assert!(answer.upstream.is_closed());
        let (bytes, error) = answer.read().await;
        assert!(bytes.len() < 64 * KIB);
        assert_eq!(error, Some(io::ErrorKind::TimedOut));
    });
}

#[test]
fn a_client_that_leaves_frees_the_buffer_and_the_upstream() {
    run(async {
        let answer = answer(8_000 * KIB, Duration::from_secs(5));
        answer.send(300 * KIB);
        sleep(SOON).await;
        assert_eq!(answer.used(), 5 + 300 * KIB as u64);
        drop(answer.client);
        sleep(SOON).await;
        assert_eq!(answer.memory.usage().map(|(used, _)| used), Some(0));
        assert!(answer.upstream.is_closed());
    });
}
