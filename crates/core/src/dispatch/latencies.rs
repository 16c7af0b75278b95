//! Quantiles of the latency of the requests of each route at one service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::RouteId;

/// Upper bound of the first bucket, in milliseconds, and ratio of the bounds of two neighbours.
const FIRST_BOUND_MS: f64 = 1.0;
const BOUND_RATIO: f64 = 1.12;

/// Buckets of a histogram; the last one begins at about a minute.
const BUCKETS: usize = 98;

/// Observations that are needed for a quantile.
const MIN_OBSERVATIONS: f64 = 60.0;

/// Observations at which all counts are halved, so that the latest ones prevail.
const MAX_OBSERVATIONS: f64 = 2_000.0;

/// The latencies of one service by route.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    histograms: BTreeMap<RouteId, Histogram>,
}

impl Latencies {
    /// Records a latency.
    pub fn observe(&mut self, route: &str, latency: Duration) {
        if let Some(histogram) = self.histograms.get_mut(route) {
            histogram.observe(latency);
            return;
        }
        let mut histogram = Histogram::default();
        histogram.observe(latency);
        self.histograms.insert(route.to_owned(), histogram);
    }

    /// Returns a quantile of the latency, rounded up to the next bound, if enough latencies are known.
    #[must_use]
    pub fn quantile(&self, route: &str, quantile: f64) -> Option<Duration> {
        self.histograms.get(route)?.quantile(quantile)
    }

    /// Forgets the routes for which `is_kept` does not hold.
    pub fn retain<F: Fn(&RouteId) -> bool>(&mut self, is_kept: F) {
        self.histograms.retain(|route, _| is_kept(route));
    }
}

/// Counts of latencies in buckets of equal ratio.
#[derive(Debug, Clone)]
struct Histogram {
    counts: [f64; BUCKETS],
    total: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Histogram {
    fn observe(&mut self, latency: Duration) {
        if self.total >= MAX_OBSERVATIONS {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.total /= 2.0;
        }
        let ratio = latency.as_secs_f64() * 1_000.0 / FIRST_BOUND_MS;
        let index = (ratio.max(1.0).ln() / BOUND_RATIO.ln()).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (index as usize).min(BUCKETS - 1);
        self.counts[index] += 1.0;
        self.total += 1.0;
    }

    fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        // Few requests lie above a high quantile, so the sum starts there.
        let above = self.total * (1.0 - quantile);
        let mut sum = 0.0;
        for (index, count) in self.counts.iter().enumerate().rev() {
            sum += count;
            if sum >= above {
                let exponent = i32::try_from(index).ok()?;
                let bound = FIRST_BOUND_MS * BOUND_RATIO.powi(exponent);
                return Some(Duration::from_secs_f64(bound / 1_000.0));
            }
        }
        None
    }
}
