//! A bound on the bytes that gossip may take.

use std::time::Instant;

/// Long-run bytes a second.
const BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// Bytes that may be sent at once after a quiet time.
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

    /// Returns whether anything is left.
    pub fn has_tokens(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.tokens > 0.0
    }

    /// Takes bytes out; the tokens may fall below zero, which delays what comes next.
    pub fn spend(&mut self, bytes: usize) {
        self.tokens = (self.tokens - bytes as f64).max(-BURST_BYTES);
    }
}
