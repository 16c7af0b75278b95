//! The recent failure rate of a service, which decides whether its floor is enforced.

use std::time::Duration;
use std::time::Instant;

use crate::health::Outcome;

/// Time in which the weight of an outcome falls by a factor of e.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Smallest share of failures at which the floor is enforced. Operators check the floor at a tenth
/// or more; the threshold leaves a margin.
const FAILURE_THRESHOLD: f64 = 0.08;

/// Least number of weighted outcomes for which a share of failures is computed.
const MIN_REQUESTS: f64 = 15.0;

/// Decaying counts of the requests and failures of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Failures {
    total: f64,
    failed: f64,
    updated: Instant,
}

impl Failures {
    /// Creates the counts of a service without requests.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            total: 0.0,
            failed: 0.0,
            updated: now,
        }
    }

    /// Counts the outcome of an attempt; a failure that may be retried does not count.
    pub fn observe(&mut self, outcome: Outcome, is_last: bool, now: Instant) {
        match outcome {
            Outcome::Answered => self.count(0.0, now),
            Outcome::Cancelled | Outcome::Moved => {}
            Outcome::Failed
            | Outcome::Truncated
            | Outcome::TimedOut
            | Outcome::Unreachable
            | Outcome::Shed => {
                if is_last {
                    self.count(1.0, now);
                }
            }
        }
    }

    /// Counts a refused request as a failure.
    pub fn observe_refusal(&mut self, now: Instant) {
        self.count(1.0, now);
    }

    /// Returns whether so many requests fail that the floor must be enforced.
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
        self.updated = now;
    }

    fn decay(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
