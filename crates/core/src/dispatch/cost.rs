//! The expected cost of sending a request to an upstream, in credits of an ordinary request.
//!
//! Chance of failure, chance of a late answer, bytes between zones and the spread of load are
//! weighed in one sum, so that a suspect is tried first with requests that may be sent again, and
//! an upstream of another zone is used where the near ones are full or worse by more than the
//! transfer costs.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::place::Place;
use crate::dispatch::timing::Timing;

/// Credit of a request that must not run twice, in credits of one that may; it cannot be repaired
/// by a repeat.
const CREDIT_ONCE: f64 = 2.0;

/// Part of the credit that is lost when a request has to be sent again.
const REPEAT_LOSS: f64 = 0.3;

/// Part of the credit that is lost when the answer comes after the objective.
const LATE_LOSS: f64 = 0.8;

/// Expected time, as a share of what is left of the objective, up to which an answer counts as in
/// time, and from which on it counts as late.
const EARLY: f64 = 0.5;
const LATE: f64 = 1.25;

/// Credit that a KiB between zones costs; between the prices of the two deployments.
const TRANSFER_PER_KIB: f64 = 0.06;

/// Credit given to an upstream that was not used for [`REST`]: it spreads equal choices, and what
/// is learnt of it serves the requests that follow.
const REST_CREDIT: f64 = 0.1;

/// Credit given to an upstream that was never used; one that nobody tries is of no use.
const FIRST_CREDIT: f64 = 0.4;
const REST: Duration = Duration::from_secs(4);

/// Credit that the last free slot of an upstream costs.
const CROWD_COST: f64 = 0.05;

/// Probability of failure added for an upstream that has not announced itself in time; it may be
/// gone, or only be cut off from control.
const SILENT_FAILURE: f64 = 0.2;

/// What is known of a request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Subject<'a> {
    /// Zone that it comes from.
    pub zone: &'a str,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether another attempt may follow a failure.
    pub spare: bool,
    /// What is left of its objective, in seconds.
    pub left: f64,
    /// Timing of its route.
    pub timing: &'a Timing,
}

/// Returns the expected cost of a place for a request; `silent` tells that the upstream was not
/// heard of lately.
#[must_use]
pub fn of(subject: &Subject<'_>, place: &Place, silent: bool, now: Instant) -> f64 {
    let credit = if subject.idempotent { 1.0 } else { CREDIT_ONCE };
    let mut failure = place.belief.failure(now);
    if silent {
        failure = (failure + SILENT_FAILURE).min(1.0);
    }
    let repairable = subject.idempotent && subject.spare;
    let loss = if repairable { REPEAT_LOSS } else { 1.0 };
    let late = lateness(place.expected(subject.timing, now), subject.left);
    let transfer = if place.zone == subject.zone {
        0.0
    } else {
        subject.timing.kib() * TRANSFER_PER_KIB
    };
    let crowd = f64::from(place.running) / f64::from(place.slots.max(1));
    credit * (failure * loss + (1.0 - failure) * late * LATE_LOSS) + transfer + crowd * CROWD_COST
        - rest(place, now)
}

fn lateness(expected: f64, left: f64) -> f64 {
    let share = expected / left.max(f64::EPSILON);
    ((share - EARLY) / (LATE - EARLY)).clamp(0.0, 1.0)
}

fn rest(place: &Place, now: Instant) -> f64 {
    let Some(granted) = place.granted else {
        return FIRST_CREDIT;
    };
    let rested = now.saturating_duration_since(granted);
    REST_CREDIT * rested.min(REST).as_secs_f64() / REST.as_secs_f64()
}
