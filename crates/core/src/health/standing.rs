//! Where one upstream stands, for the whole service or for one zone.

use std::time::Duration;
use std::time::Instant;

use crate::health::Policy;
use crate::health::Verdict;

/// Weight at which a new or returning upstream starts.
const FIRST_WEIGHT: f64 = 0.1;

/// Weight of an upstream that the floor keeps in use.
const SHIFTED_WEIGHT: f64 = 0.25;

/// Score of an upstream in multiples of the threshold at most.
const MAX_SCORE: f64 = 2.0;

/// Stage of an ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Status {
    /// In use; since a time when it has to warm up.
    Active { since: Option<Instant> },
    /// Out of use until a time, and on trial from then on.
    Ejected { until: Instant, good: u32 },
}

/// The running test on one upstream and what came of it.
#[derive(Debug, Clone)]
pub struct Standing {
    score: f64,
    status: Status,
    ejections: u32,
    shifted: bool,
    returned: Option<Instant>,
    /// When the score began to rise from zero.
    rising: Option<Instant>,
    /// The two latest good observations, the latest first.
    good: [Option<Instant>; 2],
}

impl Standing {
    /// Creates the standing of an upstream that is in use; since `warming` when it is new.
    #[must_use]
    pub const fn new(warming: Option<Instant>) -> Self {
        Self {
            score: 0.0,
            status: Status::Active { since: warming },
            ejections: 0,
            shifted: false,
            returned: None,
            rising: None,
            good: [None; 2],
        }
    }

    /// Returns the log-likelihood ratio of the running test.
    #[must_use]
    pub const fn score(&self) -> f64 {
        self.score
    }

    /// Returns whether the upstream is out of use or on trial.
    #[must_use]
    pub const fn is_out(&self) -> bool {
        matches!(self.status, Status::Ejected { .. })
    }

    /// Returns when the running test began to speak against the upstream.
    #[must_use]
    pub const fn rising(&self) -> Option<Instant> {
        self.rising
    }

    /// Returns whether more than one good observation came since `start`.
    #[must_use]
    pub fn was_good_since(&self, start: Instant) -> bool {
        self.good[1].is_some_and(|good| good >= start)
    }

    /// Returns what may be sent to the upstream.
    #[must_use]
    pub fn verdict(&self, policy: &Policy, now: Instant) -> Verdict {
        match self.status {
            Status::Ejected { until, .. } if now < until => Verdict::Ejected,
            Status::Ejected { .. } => Verdict::Trial,
            Status::Active { since } => {
                let ramp = since.map_or(1.0, |since| {
                    ramp(policy, now.saturating_duration_since(since))
                });
                let shift = if self.shifted { SHIFTED_WEIGHT } else { 1.0 };
                Verdict::Use {
                    weight: ramp * shift,
                }
            }
        }
    }

    /// Adds the log-likelihood ratio of one observation to the running test.
    pub fn add(&mut self, ratio: f64, policy: &Policy, now: Instant) {
        let threshold = policy.threshold();
        self.score = (self.score + ratio).clamp(0.0, MAX_SCORE * threshold);
        if self.score <= 0.0 {
            self.rising = None;
        } else if self.rising.is_none() {
            self.rising = Some(now);
        }
        if ratio < 0.0 {
            self.good = [Some(now), self.good[0]];
        }
        if self.score < threshold / 2.0 {
            self.shifted = false;
        }
        let forgiven =
            |returned: Instant| now.saturating_duration_since(returned) > policy.forgive_after;
        if !self.is_out() && self.returned.is_some_and(forgiven) {
            self.ejections = 0;
            self.returned = None;
        }
    }

    /// Starts the running test anew.
    pub const fn clear(&mut self) {
        self.score = 0.0;
        self.rising = None;
    }

    /// Takes the upstream out of use and returns the hold.
    pub fn eject(&mut self, policy: &Policy, now: Instant) -> Duration {
        self.ejections = self.ejections.saturating_add(1);
        let hold = policy.hold(self.ejections);
        self.clear();
        self.shifted = false;
        self.status = Status::Ejected {
            until: now + hold,
            good: 0,
        };
        hold
    }

    /// Keeps the upstream in use at a lower weight and returns whether that is news.
    pub const fn shift(&mut self) -> bool {
        let news = !self.shifted;
        self.shifted = true;
        news
    }

    /// Puts the upstream in use again, warming up.
    pub const fn restore(&mut self, now: Instant) {
        self.clear();
        self.returned = Some(now);
        self.status = Status::Active { since: Some(now) };
    }

    /// Counts a trial and returns whether the upstream came back into use.
    ///
    /// Observations from before the trial say nothing and are left out.
    pub fn on_trial(&mut self, bad: bool, policy: &Policy, now: Instant) -> bool {
        let Status::Ejected { until, good } = &mut self.status else {
            return false;
        };
        if now < *until {
            return false;
        }
        if bad {
            self.eject(policy, now);
            return false;
        }
        *good += 1;
        if *good < policy.trials {
            return false;
        }
        self.restore(now);
        true
    }
}

fn ramp(policy: &Policy, warm: Duration) -> f64 {
    if policy.ramp.is_zero() {
        return 1.0;
    }
    (warm.as_secs_f64() / policy.ramp.as_secs_f64()).clamp(FIRST_WEIGHT, 1.0)
}
