//! Time as an interface, so that decisions can be replayed.
//!
//! Programs pass [`System`]; tests pass [`Manual`] and move it by hand.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// A source of time.
pub trait Clock: fmt::Debug {
    /// Returns the monotonic time, for timeouts and intervals.
    fn now(&self) -> Instant;

    /// Returns the wall time, for what operators read.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl Manual {
    /// Creates a clock that has not advanced yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Returns how far the clock was moved since its creation.
    #[must_use]
    pub const fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
