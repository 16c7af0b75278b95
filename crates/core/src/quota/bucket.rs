//! A token bucket.

use std::time::Duration;
use std::time::Instant;

/// Rounding error that is tolerated when a level is compared with whole tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Upper bound of the reported time to the next token.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(200);

/// A bucket that refills at a rate up to a capacity; both are given with each refill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens at `refilled_at`.
    #[must_use]
    pub const fn new(level: f64, refilled_at: Instant) -> Self {
        Self { level, refilled_at }
    }

    /// Returns the number of tokens, fractions included, as of the last refill.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the number of whole tokens as of the last refill.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn whole_tokens(&self) -> u32 {
        (self.level + ROUNDING_TOLERANCE).floor() as u32
    }

    /// Returns the time until the next whole token at `per_second`, at most `MAX_WAIT`.
    #[must_use]
    pub fn time_to_next(&self, per_second: f64) -> Duration {
        let missing = 1.0 - self.level.fract();
        let wait = Duration::try_from_secs_f64(missing / per_second);
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Adds the tokens that accrued until `now`, up to `capacity`.
    pub fn refill(&mut self, now: Instant, per_second: f64, capacity: f64) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * per_second).min(capacity).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds tokens; the next refill limits the level to its capacity.
    pub fn add(&mut self, tokens: u32) {
        self.level += f64::from(tokens);
    }

    /// Removes tokens if there are enough, and returns whether there were.
    pub fn take(&mut self, tokens: u32) -> bool {
        if self.whole_tokens() < tokens {
            return false;
        }
        self.level = (self.level - f64::from(tokens)).max(0.0);
        true
    }
}
