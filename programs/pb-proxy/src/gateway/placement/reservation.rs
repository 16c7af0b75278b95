//! A reserved slot, which is released when dropped.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;

use crate::gateway::state::State;

/// A reserved slot of an upstream for one attempt; dropping it releases the slot as cancelled.
pub struct Reservation {
    state: Rc<State>,
    number: u32,
    upstream: Number,
    entry: Option<Entry>,
    attempt_timeout: Option<Duration>,
    started: Instant,
    ended: Cell<bool>,
}

impl Reservation {
    pub(super) fn new(
        state: &Rc<State>,
        number: u32,
        upstream: Number,
        attempt_timeout: Option<Duration>,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            number,
            upstream,
            entry: None,
            attempt_timeout,
            started: state.now(),
            ended: Cell::new(false),
        }
    }

    /// Sets the upstream's entry in the roster.
    #[must_use]
    pub(super) fn with_entry(mut self, entry: Entry) -> Self {
        self.entry = Some(entry);
        self
    }

    /// Returns the number of the upstream.
    #[must_use]
    pub const fn upstream(&self) -> Number {
        self.upstream
    }

    /// Returns the id of the upstream.
    #[must_use]
    pub fn id(&self) -> UpstreamId {
        let entry = self.entry.as_ref();
        entry.map_or_else(String::new, |entry| entry.announcement.id.clone())
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(|entry| entry.announcement.address)
    }

    /// Returns the time after which an idempotent request is also sent to another upstream.
    #[must_use]
    pub const fn attempt_timeout(&self) -> Option<Duration> {
        self.attempt_timeout
    }

    /// Releases the slot and reports how the attempt ended; a second call does nothing.
    pub fn end(&self, outcome: Outcome, bytes: usize) {
        if self.ended.replace(true) {
            return;
        }
        let now = self.state.now();
        let completion = Completion {
            outcome,
            latency: now.saturating_duration_since(self.started),
            bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        };
        let placer = self.state.placer();
        placer.slots.borrow_mut().remove(&self.number);
        if let Some(link) = placer.link.borrow().as_ref() {
            link.send(Frame::Release {
                number: self.number,
                outcome: dispatch::outcome_code(outcome),
                latency_ms: dispatch::millis(completion.latency),
                bytes: completion.bytes,
            });
        }
        let ticket = placer.ticket(self.number);
        let mut local = placer.local_dispatcher.borrow_mut();
        let answers = local.release(&ticket, &completion, now);
        let ended_limits = local.take_ended_limits();
        drop(local);
        placer.deliver(answers);
        for number in ended_limits {
            self.state.note_ended_limit(number);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.end(Outcome::Cancelled, 0);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Reservation")
            .field("number", &self.number)
            .field("upstream", &self.upstream)
            .finish_non_exhaustive()
    }
}
