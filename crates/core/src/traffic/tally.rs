//! Counts and latency of one tenant or route.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::error::Kind;
use crate::traffic::Ending;
use crate::traffic::Request;

/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 300_000_000;

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Counts since the creation of the tally, and the latency of the last two windows.
#[derive(Debug, Clone)]
pub struct Tally {
    answered: u64,
    failed: BTreeMap<Kind, u64>,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    last_used: Instant,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            answered: 0,
            failed: BTreeMap::new(),
            current: histogram(),
            previous: histogram(),
            last_used: now,
        }
    }

    /// Returns how many requests were answered.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Returns how many requests ended with each kind of error.
    #[must_use]
    pub const fn failed(&self) -> &BTreeMap<Kind, u64> {
        &self.failed
    }

    /// Returns how many requests were refused or failed.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns the share of requests that were answered, from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn success(&self) -> f64 {
        let all = self.answered + self.failures();
        if all == 0 {
            return 1.0;
        }
        self.answered as f64 / all as f64
    }

    /// Returns a quantile of the latency of answered requests in the last two windows.
    #[must_use]
    pub fn latency(&self, quantile: f64) -> Duration {
        let mut both = self.current.clone();
        let _ = both.add(&self.previous);
        Duration::from_micros(both.value_at_quantile(quantile))
    }

    /// Returns the time at which a request was last counted.
    #[must_use]
    pub const fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Counts a request.
    pub fn count(&mut self, now: Instant, request: &Request) {
        self.last_used = now;
        match request.ending {
            Ending::Answered { .. } => {
                self.answered += 1;
                let micros = u64::try_from(request.took.as_micros()).unwrap_or(u64::MAX);
                self.current.saturating_record(micros.max(1));
            }
            Ending::Failed { kind } => *self.failed.entry(kind).or_default() += 1,
        }
    }

    /// Starts a new window; `both` discards the window that has just ended as well.
    pub fn rotate(&mut self, both: bool) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if both {
            self.previous.reset();
        }
    }
}

fn histogram() -> Histogram<u32> {
    let made = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    made.unwrap_or_else(|_| unreachable!("the bounds of the histogram are valid"))
}
