//! The pace of requests to an upstream that limits them.
//!
//! A [`Pace`] issues one permit an interval. A permit lapses, so that a dispatcher which had no use for
//! its permits does not use them all together later. Hosts on their own each have a small part of a
//! limit, and draw where in their first interval its permit falls: they do not all come at once.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use persimmonbend_core::dispatch::Pace;
//!
//! let start = Instant::now();
//! let second = Duration::from_secs(1);
//! let mut pace = Pace::new(second, second / 2, 1.0, start);
//! assert!(!pace.has_permit(start));
//! assert!(pace.has_permit(start + second));
//! pace.take(start + second);
//! assert!(!pace.has_permit(start + second));
//! ```

use std::time::Duration;
use std::time::Instant;

/// Longest interval; requests that are further apart make no difference to an upstream.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);

/// Permits for requests at regular intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    interval: Duration,
    /// Time for which a permit can be used.
    lifetime: Duration,
    /// When the last permit that was taken or has lapsed was issued.
    last: Instant,
}

impl Pace {
    /// Creates a pace whose first permit is issued after a part of the first interval.
    #[must_use]
    pub fn new(interval: Duration, lifetime: Duration, part: f64, now: Instant) -> Self {
        let interval = interval.clamp(Duration::from_micros(1), MAX_INTERVAL);
        let before = interval.mul_f64(1.0 - part.clamp(0.0, 1.0));
        Self {
            interval,
            lifetime,
            last: now.checked_sub(before).unwrap_or(now),
        }
    }

    /// Sets the interval and the lifetime of a permit.
    pub fn set(&mut self, interval: Duration, lifetime: Duration) {
        self.interval = interval.clamp(Duration::from_micros(1), MAX_INTERVAL);
        self.lifetime = lifetime;
    }

    /// Returns the permits a second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        1.0 / self.interval.as_secs_f64()
    }

    /// Returns whether a permit can be taken.
    #[must_use]
    pub fn has_permit(&self, now: Instant) -> bool {
        self.oldest_permit(now) <= now
    }

    /// Takes the oldest permit.
    pub fn take(&mut self, now: Instant) {
        self.last = self.oldest_permit(now);
    }

    /// Returns when the oldest permit that has not lapsed was issued, or the next one will be.
    fn oldest_permit(&self, now: Instant) -> Instant {
        let next = self.last + self.interval;
        let lapsed = now
            .saturating_duration_since(next)
            .saturating_sub(self.lifetime);
        let count = (lapsed.as_secs_f64() / self.interval.as_secs_f64()).ceil();
        next + self.interval.mul_f64(count)
    }
}
