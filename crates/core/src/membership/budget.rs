//! A token bucket that bounds the bytes of records that gossip sends.

use std::time::Instant;

/// Rate at which the bucket fills.
const BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// Capacity of the bucket, which is also the most bytes by which it may be overdrawn.
const BURST_BYTES: f64 = 128.0 * 1024.0;

/// A token bucket over bytes.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    updated: Instant,
}

impl Budget {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            tokens: BURST_BYTES,
            updated: now,
        }
    }

    /// Refills the bucket up to `now` and returns whether tokens are left.
    pub fn has_tokens(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.tokens > 0.0
    }

    /// Takes tokens out; the balance may fall below zero, which delays the next messages.
    pub fn spend(&mut self, bytes: usize) {
        self.tokens = (self.tokens - bytes as f64).max(-BURST_BYTES);
    }
}
