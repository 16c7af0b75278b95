//! Sliding windows of the latest observations.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Latest latencies kept for one upstream.
const MAX_LATENCIES: usize = 64;

/// Latencies that are needed for a quantile.
const MIN_LATENCIES: usize = 8;

/// New latencies after which the quantile is computed again.
const LATENCIES_PER_REFRESH: usize = 4;

/// Quantile by which the latencies of upstreams are compared.
const HIGH_QUANTILE: f64 = 0.9;

/// Outcomes that are needed for a rate.
const MIN_OUTCOMES: usize = 4;

/// The latest outcomes, each good or bad.
#[derive(Debug, Clone)]
pub struct Outcomes {
    capacity: usize,
    bad: VecDeque<bool>,
}

impl Outcomes {
    /// Creates a window of `capacity` outcomes.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bad: VecDeque::new(),
        }
    }

    /// Returns the share of bad outcomes, once there are enough.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        if self.bad.len() < MIN_OUTCOMES {
            return None;
        }
        let bad = self.bad.iter().filter(|bad| **bad).count();
        Some(ratio(bad, self.bad.len()))
    }

    /// Adds an outcome and drops the oldest one beyond the capacity.
    pub fn push(&mut self, bad: bool) {
        if self.bad.len() >= self.capacity {
            self.bad.pop_front();
        }
        self.bad.push_back(bad);
    }
}

/// The latest outcomes of one tenant or service, with the upstream of each.
#[derive(Debug, Clone)]
pub struct Sample {
    capacity: usize,
    entries: VecDeque<Entry>,
    latest: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    upstream: u64,
    bad: bool,
}

impl Sample {
    /// Creates a window of `capacity` outcomes.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
            latest: None,
        }
    }

    /// Returns when the latest outcome was added.
    #[must_use]
    pub const fn latest(&self) -> Option<Instant> {
        self.latest
    }

    /// Returns the share of bad outcomes at upstreams other than `upstream`, once there are
    /// enough.
    #[must_use]
    pub fn rate_excluding(&self, upstream: u64) -> Option<f64> {
        let elsewhere = self
            .entries
            .iter()
            .filter(|entry| entry.upstream != upstream);
        let (mut bad, mut all) = (0, 0);
        for entry in elsewhere {
            all += 1;
            bad += usize::from(entry.bad);
        }
        (all >= MIN_OUTCOMES).then(|| ratio(bad, all))
    }

    /// Adds an outcome and drops the oldest one beyond the capacity.
    pub fn push(&mut self, upstream: u64, bad: bool, now: Instant) {
        self.latest = Some(now);
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { upstream, bad });
    }
}

/// The latest latencies of one upstream.
#[derive(Debug, Clone)]
pub struct Latencies {
    latest: VecDeque<Duration>,
    high: Option<Duration>,
    pushes: usize,
}

impl Latencies {
    /// Creates an empty window.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            latest: VecDeque::new(),
            high: None,
            pushes: 0,
        }
    }

    /// Returns the high quantile of the latencies, once there are enough.
    #[must_use]
    pub const fn high_quantile(&self) -> Option<Duration> {
        self.high
    }

    /// Adds a latency and drops the oldest one beyond the capacity.
    pub fn push(&mut self, latency: Duration) {
        if self.latest.len() >= MAX_LATENCIES {
            self.latest.pop_front();
        }
        self.latest.push_back(latency);
        self.pushes += 1;
        if self.pushes.is_multiple_of(LATENCIES_PER_REFRESH) && self.latest.len() >= MIN_LATENCIES {
            self.high = Some(self.quantile());
        }
    }

    fn quantile(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        sorted[rank(sorted.len())]
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn rank(length: usize) -> usize {
    ((length as f64 * HIGH_QUANTILE) as usize).min(length - 1)
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}
