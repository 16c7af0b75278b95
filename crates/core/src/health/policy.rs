//! The rates and times that a judge works with.

use std::time::Duration;

/// How a [`Detector`](crate::health::Detector) decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Chance that a run of observations of a healthy upstream ends in an ejection.
    pub false_alarm: f64,
    /// Chance that an upstream that fails as assumed is missed by one run of the test.
    pub missed: f64,
    /// Share of the capacity that ejection must leave in use, from 0 to 1.
    pub floor: f64,
    /// Hold of the first ejection; doubles with each further one.
    pub hold: Duration,
    /// Longest hold.
    pub max_hold: Duration,
    /// Time in use after which earlier ejections are forgotten.
    pub forgive_after: Duration,
    /// Time over which a new or returning upstream reaches its full weight.
    pub ramp: Duration,
    /// Good trials in a row that end an ejection.
    pub trials: u32,
}

impl Policy {
    /// Returns the log-likelihood ratio at which the test decides for an ejection.
    #[must_use]
    pub fn threshold(&self) -> f64 {
        ((1.0 - self.missed) / self.false_alarm).ln()
    }

    /// Returns the hold of an upstream that was ejected `times` times lately.
    #[must_use]
    pub fn hold(&self, times: u32) -> Duration {
        let doubled = 2_u32.saturating_pow(times.saturating_sub(1));
        self.hold.saturating_mul(doubled).min(self.max_hold)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            false_alarm: 1e-7,
            missed: 0.01,
            floor: 0.7,
            hold: Duration::from_secs(1),
            max_hold: Duration::from_secs(60),
            forgive_after: Duration::from_secs(300),
            ramp: Duration::from_secs(5),
            trials: 5,
        }
    }
}
