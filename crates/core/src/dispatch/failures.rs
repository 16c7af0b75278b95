//! How the requests of one service went lately, and when its floor has to be kept.

use std::time::Duration;
use std::time::Instant;

use crate::health::Outcome;

/// Time in which what was seen counts less by a factor of e.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Share of failures from which on the floor is kept; operators count from a tenth on.
const FAILURE_THRESHOLD: f64 = 0.08;

/// Requests that a share is taken of at least.
const MIN_REQUESTS: f64 = 15.0;

/// How the requests of one service went lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Failures {
    total: f64,
    failed: f64,
    at: Instant,
}

impl Failures {
    /// Creates the health of a service that has seen no requests.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            total: 0.0,
            failed: 0.0,
            at: now,
        }
    }

    /// Takes in the end of an attempt; a failure that another attempt may repair does not count.
    pub fn observe(&mut self, outcome: Outcome, last: bool, now: Instant) {
        match outcome {
            Outcome::Answered => self.count(0.0, now),
            Outcome::Cancelled | Outcome::Moved => {}
            Outcome::Failed
            | Outcome::Truncated
            | Outcome::TimedOut
            | Outcome::Unreachable
            | Outcome::Shed => {
                if last {
                    self.count(1.0, now);
                }
            }
        }
    }

    /// Takes in that a request was refused.
    pub fn observe_refusal(&mut self, now: Instant) {
        self.count(1.0, now);
    }

    /// Returns whether so many requests fail that most upstreams must stay in use.
    #[must_use]
    pub fn is_failing(&self, now: Instant) -> bool {
        let decay = self.decay(now);
        let total = self.total * decay;
        total >= MIN_REQUESTS && self.failed * decay >= FAILURE_THRESHOLD * total
    }

    fn count(&mut self, failed: f64, now: Instant) {
        let decay = self.decay(now);
        self.total = self.total * decay + 1.0;
        self.failed = self.failed * decay + failed;
        self.at = now;
    }

    fn decay(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
