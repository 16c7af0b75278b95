//! A bound on the bytes that gossip may take.

use std::time::Instant;

/// Long-run bytes a second.
const BYTES_PER_SECOND: f64 = 16.0 * 1024.0;

/// Bytes that may be sent at once after a quiet time.
const BURST_BYTES: f64 = 128.0 * 1024.0;

/// A token bucket over bytes.
#[derive(Debug)]
pub struct Budget {
    level: f64,
    at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            level: BURST_BYTES,
            at: now,
        }
    }

    /// Returns whether anything is left.
    pub fn has(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed * BYTES_PER_SECOND).min(BURST_BYTES);
        self.level > 0.0
    }

    /// Takes bytes out; the level may fall below zero, which delays what comes next.
    pub fn spend(&mut self, bytes: usize) {
        self.level = (self.level - bytes as f64).max(-BURST_BYTES);
    }
}
