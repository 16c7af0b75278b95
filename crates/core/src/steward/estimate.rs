//! Running estimate of how long requests hold a slot.

use std::time::Duration;

/// Divisor of the weight of one observation in the moving mean.
const GAIN_DIVISOR: u32 = 32;

/// Multiple of the mean at which an observation is clipped.
const CLIP_FACTOR: u32 = 4;

/// A moving mean that limits the effect of single long observations.
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

    /// Adds an observation to the mean.
    pub fn observe(&mut self, observed: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(observed);
            return;
        };
        let clipped = observed.min(mean * CLIP_FACTOR);
        self.mean = Some(mean - mean / GAIN_DIVISOR + clipped / GAIN_DIVISOR);
    }
}
