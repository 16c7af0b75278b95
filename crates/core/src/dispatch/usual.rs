//! A rate that bursts hardly raise.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use persimmonbend_core::dispatch::Usual;
//!
//! let start = Instant::now();
//! let mut usual = Usual::new(start);
//! for second in 0..10 {
//!     usual.note(if second < 8 { 4.0 } else { 40.0 }, start + Duration::from_secs(second));
//! }
//! usual.end_windows(start + Duration::from_secs(10));
//! assert!(usual.per_second() < 5.0);
//! ```

use std::time::Duration;
use std::time::Instant;

/// Length of the windows in which amounts are summed.
const WINDOW: Duration = Duration::from_secs(1);

/// Weight of a window in the rate, but for the first ones, which count equally.
const GAIN: f64 = 0.1;

/// Multiple of the rate, and amount beyond it, up to which the amount of a window counts.
const MAX_GROWTH: f64 = 1.25;
const MAX_EXCESS: f64 = 1.0;

/// Windows after which the rate counts as known.
const FIRST_WINDOWS: u32 = 4;

/// The usual amount in a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usual {
    rate: f64,
    windows: u32,
    /// When the current window began, and the amount in it.
    since: Instant,
    amount: f64,
}

impl Usual {
    /// Creates a rate of nothing.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            windows: 0,
            since: now,
            amount: 0.0,
        }
    }

    /// Adds an amount.
    pub fn note(&mut self, amount: f64, now: Instant) {
        self.end_windows(now);
        self.amount += amount;
    }

    /// Takes the windows into account that have ended.
    pub fn end_windows(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        let ended = (elapsed / WINDOW.as_secs_f64()).floor();
        if ended >= 1.0 {
            self.end_window();
            self.rate *= (1.0 - GAIN).powf(ended - 1.0);
            self.since += WINDOW.mul_f64(ended);
        }
    }

    /// Returns the usual amount in a second.
    #[must_use]
    pub const fn per_second(&self) -> f64 {
        self.rate / WINDOW.as_secs_f64()
    }

    fn end_window(&mut self) {
        self.windows = self.windows.saturating_add(1);
        let amount = std::mem::take(&mut self.amount);
        if self.windows <= FIRST_WINDOWS {
            self.rate += (amount - self.rate) / f64::from(self.windows);
            return;
        }
        let most = self.rate * MAX_GROWTH + MAX_EXCESS;
        self.rate += (amount.min(most) - self.rate) * GAIN;
    }
}
