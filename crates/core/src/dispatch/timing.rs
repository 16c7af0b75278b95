//! Mean time, size and share of timeouts of the requests of a route.

use std::time::Duration;

use crate::dispatch::Completion;

/// Weight of one observation in the means.
const MEAN_GAIN: f64 = 0.05;

/// Multiple of the mean at which an observation is clipped.
const MAX_MEAN_RATIO: f64 = 4.0;

/// Mean distances to the mean within which nine in ten requests of a route end: for times that are
/// distributed evenly, and for normal ones.
pub(super) const NINE_IN_TEN_SPREADS: f64 = 1.6;

/// Mean time that is assumed before the first answer, as a share of the objective.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.33;

/// Weight of one outcome in the share of attempts that time out.
const TIMEOUT_GAIN: f64 = 0.2;

/// Smallest share of attempts that time out at which the timeout of the route counts as too short
/// for its requests, whichever upstream runs them.
const TOO_SHORT_TIMEOUT_SHARE: f64 = 0.5;

/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// The running means of the requests of one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    mean_seconds: f64,
    /// Mean distance to the mean, in seconds.
    spread_seconds: f64,
    bytes: f64,
    timeout_share: f64,
    is_known: bool,
}

impl Timing {
    /// Creates the timing of a route with an objective, before its first answer.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        Self {
            mean_seconds: objective.as_secs_f64() * INITIAL_OBJECTIVE_SHARE,
            spread_seconds: 0.0,
            bytes: 0.0,
            timeout_share: 0.0,
            is_known: false,
        }
    }

    /// Returns the mean time in seconds.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean_seconds
    }

    /// Returns the mean distance to the mean in seconds.
    #[must_use]
    pub const fn spread(&self) -> f64 {
        self.spread_seconds
    }

    /// Returns the time in seconds within which nine in ten requests are answered.
    #[must_use]
    pub const fn probable(&self) -> f64 {
        self.mean_seconds + NINE_IN_TEN_SPREADS * self.spread_seconds
    }

    /// Returns the mean size of request and answer together, in KiB.
    #[must_use]
    pub const fn kib(&self) -> f64 {
        self.bytes / KIB
    }

    /// Returns whether the timeout of the route is shorter than the time that its requests take.
    ///
    /// So many attempts time out on all upstreams that a timeout says nothing about one of them.
    #[must_use]
    pub fn has_too_short_timeout(&self) -> bool {
        self.timeout_share >= TOO_SHORT_TIMEOUT_SHARE
    }

    /// Records an attempt that timed out.
    pub fn observe_timeout(&mut self) {
        self.timeout_share += (1.0 - self.timeout_share) * TIMEOUT_GAIN;
    }

    /// Records an answered attempt.
    pub fn observe(&mut self, completion: &Completion) {
        self.timeout_share -= self.timeout_share * TIMEOUT_GAIN;
        let latency = completion.latency.as_secs_f64();
        let bytes = f64::from(completion.bytes);
        if !self.is_known {
            self.is_known = true;
            self.mean_seconds = self
                .mean_seconds
                .min(latency * MAX_MEAN_RATIO)
                .max(latency / MAX_MEAN_RATIO);
            self.bytes = bytes;
            return;
        }
        let distance = latency.min(self.mean_seconds * MAX_MEAN_RATIO) - self.mean_seconds;
        self.spread_seconds += (distance.abs() - self.spread_seconds) * MEAN_GAIN;
        self.mean_seconds += distance * MEAN_GAIN;
        self.bytes += (bytes - self.bytes) * MEAN_GAIN;
    }
}
