//! A bound on repeated log lines.

use std::time::Duration;
use std::time::Instant;

/// Lines that may be written in one interval.
const LINES: u64 = 10;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(10);

/// Lets a few lines pass in each interval and counts the rest.
///
/// ```
/// use std::time::Instant;
///
/// use persimmonbend_core::throttle::Throttle;
///
/// let mut throttle = Throttle::new();
/// let now = Instant::now();
/// assert_eq!(throttle.admit(now), Some(0));
/// assert_eq!((1..100).filter_map(|_| throttle.admit(now)).count(), 9);
/// ```
#[derive(Debug, Default)]
pub struct Throttle {
    since: Option<Instant>,
    passed: u64,
    held: u64,
}

impl Throttle {
    /// Creates a throttle that has let nothing pass yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since: None,
            passed: 0,
            held: 0,
        }
    }

    /// Returns how many lines were held back before this one, or `None` to hold this one back.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let over = |since| now.saturating_duration_since(since) >= INTERVAL;
        if self.since.is_none_or(over) {
            self.since = Some(now);
            self.passed = 0;
        }
        if self.passed >= LINES {
            self.held += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.held))
    }
}
