//! An answer that is read from the upstream as fast as it comes, while its client reads it slowly.
//!
//! [`read_ahead`] reads a body by a task of its own into a queue that the budget of the host bounds, and returns
//! what the client reads. Beyond the budget the task reads only when the queue is empty, so that the upstream
//! sends as fast as the client reads. Dropping the stream, since the client has left, ends the task.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use compio::time::timeout;
use event_listener::Event;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::future::select;
use futures_util::pin_mut;
use futures_util::stream;
use hyper::body::Frame;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::memory::Bound;

use crate::gateway::memory::Hold;

/// Least size in bytes that the next read is expected to have.
const MIN_READ_BYTES: usize = 16 * 1024;

/// Most bytes that are handed to the client's connection at a time; it holds them until they are written.
const MAX_FRAME_BYTES: usize = 32 * 1024;

/// Says why an answer is not read ahead any further, the first time that this happens.
pub type Notice = Box<dyn FnOnce(Bound, u64)>;

/// Until when the rest of an answer is read.
#[derive(Clone)]
pub struct Deadline {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The moment.
    pub at: Instant,
}

/// A part of an answer.
enum Part {
    Data(Bytes),
    /// The end of a whole answer.
    End,
    /// The answer breaks off.
    Broken(io::Error),
}

/// What was read of an answer and not yet taken by its client.
struct Queue {
    parts: RefCell<VecDeque<Part>>,
    hold: Hold,
    filled: Event,
    taken: Event,
}

/// Returns a body whose bytes are all known, as the client reads it.
pub fn whole(body: Bytes, hold: Hold) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    let queue = Queue::new(body, hold);
    queue.push(Part::End);
    Spool {
        queue: Rc::new(queue),
        filling: None,
    }
    .into_stream()
}

/// Returns a body as the client reads it, and reads it ahead from `source`: `first` is the part that was read
/// already, which `hold` counts.
pub fn read_ahead<S>(
    source: S,
    first: Bytes,
    hold: Hold,
    deadline: Deadline,
    notice: Notice,
) -> impl Stream<Item = io::Result<Frame<Bytes>>>
where
    S: Stream<Item = io::Result<Frame<Bytes>>> + 'static,
{
    let queue = Rc::new(Queue::new(first, hold));
    let filler = Filler {
        queue: Rc::clone(&queue),
        notice: Cell::new(Some(notice)),
        has_ended: Cell::new(false),
    };
    let filling = spawn(async move { filler.run(source, &deadline).await });
    Spool {
        queue,
        filling: Some(filling),
    }
    .into_stream()
}

impl Queue {
    fn new(first: Bytes, hold: Hold) -> Self {
        Self {
            parts: RefCell::new(VecDeque::from([Part::Data(first)])),
            hold,
            filled: Event::new(),
            taken: Event::new(),
        }
    }

    fn push(&self, part: Part) {
        self.parts.borrow_mut().push_back(part);
        self.filled.notify(1);
    }

    /// Takes the next part, or the next bytes of it.
    fn pop(&self) -> Option<Part> {
        let mut parts = self.parts.borrow_mut();
        let part = match parts.front_mut()? {
            Part::Data(data) if data.len() > MAX_FRAME_BYTES => {
                Part::Data(data.split_to(MAX_FRAME_BYTES))
            }
            _ => parts.pop_front()?,
        };
        drop(parts);
        if let Part::Data(data) = &part {
            self.hold.give_back(data.len());
            self.taken.notify(1);
        }
        Some(part)
    }

    fn is_empty(&self) -> bool {
        self.parts.borrow().is_empty()
    }
}

/// Reads an answer into its queue; one that is dropped before the end leaves the answer broken off.
struct Filler {
    queue: Rc<Queue>,
    notice: Cell<Option<Notice>>,
    has_ended: Cell<bool>,
}

impl Filler {
    async fn run<S>(&self, source: S, deadline: &Deadline)
    where
        S: Stream<Item = io::Result<Frame<Bytes>>>,
    {
        pin_mut!(source);
        let mut expected = MIN_READ_BYTES;
        loop {
            self.wait_for_room(expected, deadline).await;
            match source.next().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        expected = data.len().max(MIN_READ_BYTES);
                        self.queue.hold.add(data.len());
                        self.queue.push(Part::Data(data));
                    }
                }
                Some(Err(error)) => return self.end(Part::Broken(error)),
                None => return self.end(Part::End),
            }
        }
    }

    /// Waits until the next read may be held, the client has taken everything, or the deadline has come, when
    /// the next read ends the answer.
    async fn wait_for_room(&self, expected: usize, deadline: &Deadline) {
        let queue = &self.queue;
        loop {
            let taken = queue.taken.listen();
            let freed = queue.hold.listen_for_freed();
            let Err(bound) = queue.hold.check_answer(expected) else {
                return;
            };
            if queue.is_empty() {
                return;
            }
            if let Some(notice) = self.notice.take() {
                notice(bound, queue.hold.bytes());
            }
            let left = deadline.at.saturating_duration_since(deadline.clock.now());
            if timeout(left, select(taken, freed)).await.is_err() {
                return;
            }
        }
    }

    fn end(&self, part: Part) {
        self.has_ended.set(true);
        self.queue.push(part);
    }
}

impl Drop for Filler {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            self.end(Part::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

/// The client's end of the queue.
struct Spool {
    queue: Rc<Queue>,
    /// The task that fills the queue; it ends when this is dropped.
    filling: Option<JoinHandle<()>>,
}

impl Spool {
    fn into_stream(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        stream::unfold(Some(self), |spool| async move { spool?.next().await })
    }

    async fn next(self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        loop {
            let filled = self.queue.filled.listen();
            match self.queue.pop() {
                Some(Part::Data(data)) => return Some((Ok(Frame::data(data)), Some(self))),
                Some(Part::End) => return None,
                Some(Part::Broken(error)) => return Some((Err(error), None)),
                // Nothing follows where no task fills the queue.
                None if self.filling.is_none() => {
                    return Some((Err(io::ErrorKind::UnexpectedEof.into()), None));
                }
                None => filled.await,
            }
        }
    }
}
