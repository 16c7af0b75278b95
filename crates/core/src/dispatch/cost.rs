//! The expected cost of sending a request to an upstream, in credits of an ordinary request.
//!
//! Chance of failure, chance of a late answer, bytes between zones and the spread of load are
//! weighed in one sum, so that a suspect is tried first with requests that may be sent again, and
//! an upstream of another zone is used where the near ones are full or worse by more than the
//! transfer costs.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::timing::Timing;
use crate::dispatch::upstream::Upstream;

/// Credit of a request that must not run twice, in credits of one that may; it cannot be repaired
/// by a repeat.
const NON_IDEMPOTENT_CREDIT: f64 = 2.0;

/// Part of the credit that is lost when a request has to be sent again.
const RETRY_LOSS: f64 = 0.3;

/// Part of the credit that is lost when the answer comes after the objective.
const LATE_LOSS: f64 = 0.8;

/// Expected time, as a share of what is left of the objective, up to which an answer counts as in
/// time, and from which on it counts as late.
const ON_TIME_SHARE: f64 = 0.5;
const LATE_SHARE: f64 = 1.25;

/// Credit that a KiB between zones costs; between the prices of the two deployments.
const TRANSFER_COST_PER_KIB: f64 = 0.06;

/// Credit given to an upstream that was not used for [`REST`]: it spreads equal choices, and what
/// is learnt of it serves the requests that follow.
const IDLE_CREDIT: f64 = 0.1;

/// Credit given to an upstream that was never used; one that nobody tries is of no use.
const UNUSED_CREDIT: f64 = 0.4;
const FULL_IDLE_TIME: Duration = Duration::from_secs(4);

/// Credit that the last free slot of an upstream costs.
const UTILIZATION_COST: f64 = 0.05;

/// Probability of failure added for an upstream that has not announced itself in time; it may be
/// gone, or only be cut off from control.
const SILENT_FAILURE_PROBABILITY: f64 = 0.2;

/// What is known of a request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Zone that it comes from.
    pub zone: &'a str,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether another attempt may follow a failure.
    pub can_retry: bool,
    /// What is left of its objective, in seconds.
    pub time_left: f64,
    /// Timing of its route.
    pub timing: &'a Timing,
}

/// Returns the expected cost of a place for a request; `silent` tells that the upstream was not
/// heard of lately.
#[must_use]
pub fn expected(attempt: &Attempt<'_>, state: &Upstream, is_silent: bool, now: Instant) -> f64 {
    let credit = if attempt.is_idempotent {
        1.0
    } else {
        NON_IDEMPOTENT_CREDIT
    };
    let mut failure = state.belief.failure(now);
    if is_silent {
        failure = (failure + SILENT_FAILURE_PROBABILITY).min(1.0);
    }
    let is_repairable = attempt.is_idempotent && attempt.can_retry;
    let loss = if is_repairable { RETRY_LOSS } else { 1.0 };
    let late = lateness(
        state.expected_seconds(attempt.timing, now),
        attempt.time_left,
    );
    let transfer = if state.zone == attempt.zone {
        0.0
    } else {
        attempt.timing.kib() * TRANSFER_COST_PER_KIB
    };
    let utilization = f64::from(state.running) / f64::from(state.slots.max(1));
    credit * (failure * loss + (1.0 - failure) * late * LATE_LOSS)
        + transfer
        + utilization * UTILIZATION_COST
        - idle_credit(state, now)
}

fn lateness(expected_seconds: f64, time_left: f64) -> f64 {
    let share = expected_seconds / time_left.max(f64::EPSILON);
    ((share - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)).clamp(0.0, 1.0)
}

fn idle_credit(state: &Upstream, now: Instant) -> f64 {
    let Some(last_granted) = state.last_granted else {
        return UNUSED_CREDIT;
    };
    let idle = now.saturating_duration_since(last_granted);
    IDLE_CREDIT * idle.min(FULL_IDLE_TIME).as_secs_f64() / FULL_IDLE_TIME.as_secs_f64()
}
