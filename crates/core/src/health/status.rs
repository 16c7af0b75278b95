//! Detection status of one upstream, for the whole service or for one zone.

use std::time::Duration;
use std::time::Instant;

use crate::health::Policy;
use crate::health::Verdict;

/// Weight of a new or restored upstream at the start of its ramp.
const INITIAL_WEIGHT: f64 = 0.1;

/// Weight of a grey upstream that the floor keeps in use.
const REDUCED_WEIGHT: f64 = 0.25;

/// Upper bound of the score as a multiple of the threshold.
const MAX_SCORE_FACTOR: f64 = 2.0;

/// Whether an upstream is in use or ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// In use; ramping up since `since`, or in full use from the start.
    Active { since: Option<Instant> },
    /// Out of use before `until`, on trial from then on.
    Ejected { until: Instant, good_trials: u32 },
}

/// The sequential test on one upstream, with its ejections and weight.
#[derive(Debug, Clone)]
pub struct Status {
    score: f64,
    phase: Phase,
    ejections: u32,
    reduced: bool,
    restored_at: Option<Instant>,
    /// When the score last rose from zero.
    rising_since: Option<Instant>,
    /// Times of the two latest good observations, the latest first.
    latest_good: [Option<Instant>; 2],
}

impl Status {
    /// Creates the status of an upstream in use, which ramps up if `ramp_start` is given.
    #[must_use]
    pub const fn new(ramp_start: Option<Instant>) -> Self {
        Self {
            score: 0.0,
            phase: Phase::Active { since: ramp_start },
            ejections: 0,
            reduced: false,
            restored_at: None,
            rising_since: None,
            latest_good: [None; 2],
        }
    }

    /// Returns the log-likelihood ratio of the sequential test.
    #[must_use]
    pub const fn score(&self) -> f64 {
        self.score
    }

    /// Returns whether the upstream is ejected or on trial.
    #[must_use]
    pub const fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Returns when the score last rose from zero, unless it is zero.
    #[must_use]
    pub const fn rising_since(&self) -> Option<Instant> {
        self.rising_since
    }

    /// Returns whether at least two good observations were made since `start`.
    #[must_use]
    pub fn was_good_since(&self, start: Instant) -> bool {
        self.latest_good[1].is_some_and(|good| good >= start)
    }

    /// Returns the traffic that the upstream may receive.
    #[must_use]
    pub fn verdict(&self, policy: &Policy, now: Instant) -> Verdict {
        match self.phase {
            Phase::Ejected { until, .. } if now < until => Verdict::Ejected,
            Phase::Ejected { .. } => Verdict::Trial,
            Phase::Active { since } => {
                let ramp = since.map_or(1.0, |since| {
                    ramp(policy, now.saturating_duration_since(since))
                });
                let reduction = if self.reduced { REDUCED_WEIGHT } else { 1.0 };
                Verdict::Use {
                    weight: ramp * reduction,
                }
            }
        }
    }

    /// Adds the log-likelihood ratio of one observation to the score.
    pub fn add(&mut self, ratio: f64, policy: &Policy, now: Instant) {
        let threshold = policy.threshold();
        self.score = (self.score + ratio).clamp(0.0, MAX_SCORE_FACTOR * threshold);
        if self.score <= 0.0 {
            self.rising_since = None;
        } else if self.rising_since.is_none() {
            self.rising_since = Some(now);
        }
        if ratio < 0.0 {
            self.latest_good = [Some(now), self.latest_good[0]];
        }
        if self.score < threshold / 2.0 {
            self.reduced = false;
        }
        let is_old =
            |restored: Instant| now.saturating_duration_since(restored) > policy.reset_after;
        if !self.is_out() && self.restored_at.is_some_and(is_old) {
            self.ejections = 0;
            self.restored_at = None;
        }
    }

    /// Restarts the test with a score of zero.
    pub const fn clear(&mut self) {
        self.score = 0.0;
        self.rising_since = None;
    }

    /// Ejects the upstream and returns for how long.
    pub fn eject(&mut self, policy: &Policy, now: Instant) -> Duration {
        self.ejections = self.ejections.saturating_add(1);
        let ejection_time = policy.ejection_time(self.ejections);
        self.clear();
        self.reduced = false;
        self.phase = Phase::Ejected {
            until: now + ejection_time,
            good_trials: 0,
        };
        ejection_time
    }

    /// Keeps the upstream in use at a reduced weight; returns whether the weight changed.
    pub const fn reduce_weight(&mut self) -> bool {
        let changed = !self.reduced;
        self.reduced = true;
        changed
    }

    /// Puts the upstream back into use, ramping up.
    pub const fn restore(&mut self, now: Instant) {
        self.clear();
        self.restored_at = Some(now);
        self.phase = Phase::Active { since: Some(now) };
    }

    /// Counts the outcome of a trial and returns whether the upstream came back into use.
    ///
    /// Outcomes from before the end of the ejection time are ignored.
    pub fn record_trial(&mut self, bad: bool, policy: &Policy, now: Instant) -> bool {
        let Phase::Ejected { until, good_trials } = &mut self.phase else {
            return false;
        };
        if now < *until {
            return false;
        }
        if bad {
            self.eject(policy, now);
            return false;
        }
        *good_trials += 1;
        if *good_trials < policy.trials {
            return false;
        }
        self.restore(now);
        true
    }
}

fn ramp(policy: &Policy, elapsed: Duration) -> f64 {
    if policy.ramp.is_zero() {
        return 1.0;
    }
    (elapsed.as_secs_f64() / policy.ramp.as_secs_f64()).clamp(INITIAL_WEIGHT, 1.0)
}
