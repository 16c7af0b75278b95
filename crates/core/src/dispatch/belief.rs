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
const FAIL_GREY: f64 = 0.75;

/// Share of requests that a sound upstream fails; about 1 in 100 requests fails for its own sake.
const FAIL_SOUND: f64 = 0.015;

/// Long-run share of grey upstreams: about three in ten on both deployments.
const PRIOR: f64 = 0.25;

/// Time in which a belief drifts back to the long-run share by a factor of e; a grey spell lasts
/// nine to twelve seconds.
const DRIFT: Duration = Duration::from_secs(9);

/// Bounds of the probability, so that later evidence can still move it.
const LEAST: f64 = 0.01;
const MOST: f64 = 0.99;

/// Likelihood ratios, grey against sound, of outcomes other than plain success and failure.
const RATIO_BROKEN: f64 = 20.0;
const RATIO_TIMED_OUT: f64 = 6.0;
/// One request in a hundred takes some three times as long as most by itself.
const RATIO_LATE: f64 = 10.0;
const RATIO_SHED: f64 = 6.0;
/// A host that cannot connect may itself be the one that is cut off.
const RATIO_UNREACHABLE: f64 = 3.0;

/// Probability that is taken over from another dispatcher for a suspect, and for all others.
const TOLD_SUSPECT: f64 = 0.85;
const TOLD_SOUND: f64 = 0.08;

/// Probability from which on an upstream is a suspect.
const SUSPECT: f64 = 0.5;

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
            grey: PRIOR,
            at: now,
            observed: false,
        }
    }

    /// Returns the probability that the upstream is grey.
    #[must_use]
    pub fn grey(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-elapsed / DRIFT.as_secs_f64()).exp();
        PRIOR + (self.grey - PRIOR) * kept
    }

    /// Returns the probability that the next request fails.
    #[must_use]
    pub fn failure(&self, now: Instant) -> f64 {
        let grey = self.grey(now);
        grey * FAIL_GREY + (1.0 - grey) * FAIL_SOUND
    }

    /// Returns whether the upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.grey(now) >= SUSPECT
    }

    /// Returns whether an outcome was observed here.
    #[must_use]
    pub const fn is_observed(&self) -> bool {
        self.observed
    }

    /// Takes over what another dispatcher believes.
    pub const fn take_over(&mut self, suspect: bool, now: Instant) {
        self.grey = if suspect { TOLD_SUSPECT } else { TOLD_SOUND };
        self.at = now;
    }

    /// Takes in how an attempt ended.
    pub fn observe(&mut self, outcome: Outcome, now: Instant) {
        let ratio = match outcome {
            Outcome::Answered => (1.0 - FAIL_GREY) / (1.0 - FAIL_SOUND),
            Outcome::Failed => FAIL_GREY / FAIL_SOUND,
            Outcome::Truncated => RATIO_BROKEN,
            Outcome::TimedOut => RATIO_TIMED_OUT,
            Outcome::Shed => RATIO_SHED,
            Outcome::Unreachable => RATIO_UNREACHABLE,
            Outcome::Cancelled | Outcome::Moved => return,
        };
        self.shift(ratio, now);
    }

    /// Takes in that an attempt has run far longer than expected and goes on.
    pub fn observe_late(&mut self, now: Instant) {
        self.shift(RATIO_LATE, now);
    }

    fn shift(&mut self, ratio: f64, now: Instant) {
        let grey = self.grey(now);
        let odds = grey / (1.0 - grey) * ratio;
        self.grey = (odds / (1.0 + odds)).clamp(LEAST, MOST);
        self.at = now;
        self.observed = true;
    }
}
