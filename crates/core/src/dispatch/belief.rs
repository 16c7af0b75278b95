//! Bayesian estimate of the probability that an upstream is grey.
//!
//! An upstream is either healthy or grey and changes between these states by itself. Each outcome
//! multiplies the odds by its likelihood ratio; with time the probability drifts back to the
//! long-run share of grey upstreams. A single failure thus shifts traffic at once, and an upstream
//! returns to use without a fixed ejection time.

use std::time::Duration;
use std::time::Instant;

use crate::health::Outcome;

/// Share of requests that a grey upstream fails. The two deployments have 0.75 to 0.9, and less
/// where a fault is partial.
const GREY_FAILURE_SHARE: f64 = 0.75;

/// Share of requests that a healthy upstream fails; about 1 in 100 requests fails on any upstream.
const HEALTHY_FAILURE_SHARE: f64 = 0.015;

/// Long-run probability that an upstream is grey; about three in ten are on both deployments.
const GREY_PRIOR: f64 = 0.25;

/// Time in which the distance to the prior shrinks by a factor of e; a grey period lasts 9 to 12 s.
const DRIFT_TIME: Duration = Duration::from_secs(9);

/// Bounds of the probability, so that later outcomes can still change it.
const MIN_PROBABILITY: f64 = 0.01;
const MAX_PROBABILITY: f64 = 0.99;

/// Likelihood ratios (grey to healthy) of outcomes other than plain success and failure.
const TRUNCATED_RATIO: f64 = 20.0;
const TIMED_OUT_RATIO: f64 = 6.0;
/// One request in a hundred takes about three times as long as most, on healthy upstreams too.
pub const LATE_RATIO: f64 = 10.0;
/// One request in twenty is overtaken by an extra send at healthy upstreams, most are at slow ones.
pub const BEATEN_RATIO: f64 = 3.0;
const SHED_RATIO: f64 = 6.0;
/// The ratio is low because a host that cannot connect may itself be cut off.
const UNREACHABLE_RATIO: f64 = 3.0;
/// A connection that is refused tells that nobody listens, or, more rarely, that the path refuses it.
pub const REFUSED_RATIO: f64 = 12.0;

/// Probability of being grey that is adopted for a suspect of another dispatcher, and for all
/// other upstreams.
const ADOPTED_SUSPECT: f64 = 0.85;
const ADOPTED_HEALTHY: f64 = 0.08;

/// Smallest probability of being grey at which an upstream is a suspect.
const SUSPECT_THRESHOLD: f64 = 0.5;

/// The estimated probability that one upstream is grey.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Belief {
    grey: f64,
    updated: Instant,
    /// Whether this dispatcher has observed an outcome.
    is_observed: bool,
}

impl Belief {
    /// Creates the belief about an upstream without observed outcomes.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            grey: GREY_PRIOR,
            updated: now,
            is_observed: false,
        }
    }

    /// Returns the probability that the upstream is grey.
    #[must_use]
    pub fn grey(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = (-elapsed / DRIFT_TIME.as_secs_f64()).exp();
        GREY_PRIOR + (self.grey - GREY_PRIOR) * decay
    }

    /// Returns the probability that the next request fails.
    #[must_use]
    pub fn failure(&self, now: Instant) -> f64 {
        let grey = self.grey(now);
        grey * GREY_FAILURE_SHARE + (1.0 - grey) * HEALTHY_FAILURE_SHARE
    }

    /// Returns whether the upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.grey(now) >= SUSPECT_THRESHOLD
    }

    /// Returns whether the upstream is more likely grey than one of which nothing is known.
    #[must_use]
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.is_observed && self.grey(now) >= GREY_PRIOR
    }

    /// Returns whether this dispatcher has observed an outcome.
    #[must_use]
    pub const fn is_observed(&self) -> bool {
        self.is_observed
    }

    /// Replaces the estimate by that of another dispatcher.
    pub const fn adopt(&mut self, suspect: bool, now: Instant) {
        self.grey = if suspect {
            ADOPTED_SUSPECT
        } else {
            ADOPTED_HEALTHY
        };
        self.updated = now;
    }

    /// Returns the factor by which the outcome of an attempt multiplies the odds that its upstream is grey.
    #[must_use]
    pub const fn ratio(outcome: Outcome) -> f64 {
        match outcome {
            Outcome::Answered => (1.0 - GREY_FAILURE_SHARE) / (1.0 - HEALTHY_FAILURE_SHARE),
            Outcome::Failed => GREY_FAILURE_SHARE / HEALTHY_FAILURE_SHARE,
            Outcome::Truncated => TRUNCATED_RATIO,
            Outcome::TimedOut => TIMED_OUT_RATIO,
            Outcome::Shed => SHED_RATIO,
            Outcome::Unreachable => UNREACHABLE_RATIO,
            Outcome::Cancelled | Outcome::Moved => 1.0,
        }
    }

    /// Updates the estimate by the outcome of an attempt.
    pub fn observe(&mut self, outcome: Outcome, now: Instant) {
        if !matches!(outcome, Outcome::Cancelled | Outcome::Moved) {
            self.update_odds(Self::ratio(outcome), now);
        }
    }

    /// Multiplies the odds that the upstream is grey by the ratio of evidence, or divides them to take it back.
    pub fn weigh(&mut self, ratio: f64, now: Instant) {
        self.update_odds(ratio, now);
    }

    fn update_odds(&mut self, ratio: f64, now: Instant) {
        let grey = self.grey(now);
        let odds = grey / (1.0 - grey) * ratio;
        self.grey = (odds / (1.0 + odds)).clamp(MIN_PROBABILITY, MAX_PROBABILITY);
        self.updated = now;
        self.is_observed = true;
    }
}
