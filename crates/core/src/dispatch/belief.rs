//! The probability that an upstream fails grey, moved by each outcome.
//!
//! An upstream is in one of two states, sound or grey, and changes between them by itself. Each
//! outcome shifts the odds by its likelihood ratio; with time the probability drifts back to the
//! long-run share. A single failure thus moves traffic at once, and nobody needs a hold time.

use std::time::Duration;
use std::time::Instant;

use crate::health::Outcome;

/// Share of requests that a grey upstream fails: 0.75 to 0.9 on the two deployments, less where
/// a fault is partial.
const GREY_FAILURE_SHARE: f64 = 0.75;

/// Share of requests that a sound upstream fails; about 1 in 100 requests fails for its own sake.
const SOUND_FAILURE_SHARE: f64 = 0.015;

/// Long-run share of grey upstreams: about three in ten on both deployments.
const GREY_PRIOR: f64 = 0.25;

/// Time in which a belief drifts back to the long-run share by a factor of e; a grey spell lasts
/// nine to twelve seconds.
const DRIFT_TIME: Duration = Duration::from_secs(9);

/// Bounds of the probability, so that later evidence can still move it.
const MIN_PROBABILITY: f64 = 0.01;
const MAX_PROBABILITY: f64 = 0.99;

/// Likelihood ratios, grey against sound, of outcomes other than plain success and failure.
const TRUNCATED_RATIO: f64 = 20.0;
const TIMED_OUT_RATIO: f64 = 6.0;
/// One request in a hundred takes some three times as long as most by itself.
const LATE_RATIO: f64 = 10.0;
const SHED_RATIO: f64 = 6.0;
/// A host that cannot connect may itself be the one that is cut off.
const UNREACHABLE_RATIO: f64 = 3.0;

/// Probability that is taken over from another dispatcher for a suspect, and for all others.
const ADOPTED_SUSPECT: f64 = 0.85;
const ADOPTED_SOUND: f64 = 0.08;

/// Probability from which on an upstream is a suspect.
const SUSPECT_THRESHOLD: f64 = 0.5;

/// What is believed of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Belief {
    grey: f64,
    at: Instant,
    /// Whether an outcome was observed here.
    observed: bool,
}

impl Belief {
    /// Creates the belief about an upstream that nothing is known of.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            grey: GREY_PRIOR,
            at: now,
            observed: false,
        }
    }

    /// Returns the probability that the upstream is grey.
    #[must_use]
    pub fn grey(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = (-elapsed / DRIFT_TIME.as_secs_f64()).exp();
        GREY_PRIOR + (self.grey - GREY_PRIOR) * decay
    }

    /// Returns the probability that the next request fails.
    #[must_use]
    pub fn failure(&self, now: Instant) -> f64 {
        let grey = self.grey(now);
        grey * GREY_FAILURE_SHARE + (1.0 - grey) * SOUND_FAILURE_SHARE
    }

    /// Returns whether the upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.grey(now) >= SUSPECT_THRESHOLD
    }

    /// Returns whether an outcome was observed here.
    #[must_use]
    pub const fn is_observed(&self) -> bool {
        self.observed
    }

    /// Takes over what another dispatcher believes.
    pub const fn adopt(&mut self, suspect: bool, now: Instant) {
        self.grey = if suspect {
            ADOPTED_SUSPECT
        } else {
            ADOPTED_SOUND
        };
        self.at = now;
    }

    /// Takes in how an attempt ended.
    pub fn observe(&mut self, outcome: Outcome, now: Instant) {
        let ratio = match outcome {
            Outcome::Answered => (1.0 - GREY_FAILURE_SHARE) / (1.0 - SOUND_FAILURE_SHARE),
            Outcome::Failed => GREY_FAILURE_SHARE / SOUND_FAILURE_SHARE,
            Outcome::Truncated => TRUNCATED_RATIO,
            Outcome::TimedOut => TIMED_OUT_RATIO,
            Outcome::Shed => SHED_RATIO,
            Outcome::Unreachable => UNREACHABLE_RATIO,
            Outcome::Cancelled | Outcome::Moved => return,
        };
        self.update_odds(ratio, now);
    }

    /// Takes in that an attempt has run far longer than expected and goes on.
    pub fn observe_late(&mut self, now: Instant) {
        self.update_odds(LATE_RATIO, now);
    }

    fn update_odds(&mut self, ratio: f64, now: Instant) {
        let grey = self.grey(now);
        let odds = grey / (1.0 - grey) * ratio;
        self.grey = (odds / (1.0 + odds)).clamp(MIN_PROBABILITY, MAX_PROBABILITY);
        self.at = now;
        self.observed = true;
    }
}
