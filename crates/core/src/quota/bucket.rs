//! A token bucket.

use std::time::Duration;
use std::time::Instant;

/// Room for rounding when a level is compared with whole tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Longest wait that is ever told.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(200);

/// Tokens that flow in at a rate, up to a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket that holds `level` tokens at `at`.
    #[must_use]
    pub const fn new(level: f64, refilled_at: Instant) -> Self {
        Self { level, refilled_at }
    }

    /// Returns the tokens as of the last refill.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the whole tokens as of the last refill.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn whole_tokens(&self) -> u32 {
        (self.level + ROUNDING_TOLERANCE).floor() as u32
    }

    /// Returns the time until the next whole token at `per_second`.
    #[must_use]
    pub fn time_to_next(&self, per_second: f64) -> Duration {
        let missing = 1.0 - self.level.fract();
        let wait = Duration::try_from_secs_f64(missing / per_second);
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Lets tokens flow in until `now`, up to `capacity`.
    pub fn refill(&mut self, now: Instant, per_second: f64, capacity: f64) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed * per_second).min(capacity).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Adds tokens; the next refill bounds them.
    pub fn add(&mut self, tokens: u32) {
        self.level += f64::from(tokens);
    }

    /// Takes tokens out if there are as many, and returns whether there were.
    pub fn take(&mut self, tokens: u32) -> bool {
        if self.whole_tokens() < tokens {
            return false;
        }
        self.level = (self.level - f64::from(tokens)).max(0.0);
        true
    }
}
