//! Error rates and times of the detection of grey upstreams.

use std::time::Duration;

/// Parameters of a [`Detector`](crate::health::Detector).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Probability that one run of the test ejects a healthy upstream.
    pub false_alarm_rate: f64,
    /// Probability that one run of the test misses a grey upstream.
    pub miss_rate: f64,
    /// Share of the capacity that ejections must leave in use, from 0 to 1.
    pub floor: f64,
    /// Time of the first ejection; doubles with each further one.
    pub ejection_time: Duration,
    /// Upper bound of the time of an ejection.
    pub max_ejection_time: Duration,
    /// Time in use after which earlier ejections no longer count.
    pub reset_after: Duration,
    /// Time over which a new or restored upstream reaches its full weight.
    pub ramp: Duration,
    /// Consecutive good trials that end an ejection.
    pub trials: u32,
}

impl Policy {
    /// Returns the log-likelihood ratio at which the test ejects an upstream.
    #[must_use]
    pub fn threshold(&self) -> f64 {
        ((1.0 - self.miss_rate) / self.false_alarm_rate).ln()
    }

    /// Returns the ejection time of an upstream that was ejected `times` times recently.
    #[must_use]
    pub fn ejection_time(&self, times: u32) -> Duration {
        let doubled = 2_u32.saturating_pow(times.saturating_sub(1));
        self.ejection_time
            .saturating_mul(doubled)
            .min(self.max_ejection_time)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            false_alarm_rate: 1e-7,
            miss_rate: 0.01,
            floor: 0.7,
            ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(60),
            reset_after: Duration::from_secs(300),
            ramp: Duration::from_secs(5),
            trials: 5,
        }
    }
}
