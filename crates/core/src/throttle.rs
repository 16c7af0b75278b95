//! Rate limit for repeated log lines.

use std::time::Duration;
use std::time::Instant;

/// Most lines that are written in one interval.
const MAX_LINES: u64 = 10;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(10);

/// A counter that admits a few lines in each interval and counts the suppressed ones.
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
    admitted: u64,
    suppressed: u64,
}

impl Throttle {
    /// Creates a throttle that has admitted no lines.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since: None,
            admitted: 0,
            suppressed: 0,
        }
    }

    /// Returns the number of lines suppressed before this one, or `None` to suppress this one.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let over = |since| now.saturating_duration_since(since) >= INTERVAL;
        if self.since.is_none_or(over) {
            self.since = Some(now);
            self.admitted = 0;
        }
        if self.admitted >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
