//! A running estimate of how long requests hold a slot.

use std::time::Duration;

/// Share of one observation in the estimate.
const GAIN_DIVISOR: u32 = 32;

/// Observations above this multiple of the estimate count as this multiple.
const CLIP_FACTOR: u32 = 4;

/// A moving mean that single long observations move little.
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    mean: Option<Duration>,
}

impl Estimate {
    /// Creates an estimate without observations.
    #[must_use]
    pub const fn new() -> Self {
        Self { mean: None }
    }

    /// Returns the mean, or zero before the first observation.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Takes in an observation.
    pub fn observe(&mut self, observed: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(observed);
            return;
        };
        let clipped = observed.min(mean * CLIP_FACTOR);
        self.mean = Some(mean - mean / GAIN_DIVISOR + clipped / GAIN_DIVISOR);
    }
}
