//! The expected cost of sending a request to an upstream.
//!
//! Costs are in units of credit, which is what an answer within the objective of the route is
//! worth; an idempotent request earns a credit of 1. One sum weighs the probability of failure, the
//! probability of a late answer, the bytes between zones and the spread of load. Suspects are
//! therefore tried first with requests that may be retried, and upstreams of another zone are used
//! where those of the own zone are full or cost more than the transfer.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::timing::Timing;
use crate::dispatch::upstream::Upstream;

/// Credit of a request that must not run twice: a retry cannot make up for its failure.
const NON_IDEMPOTENT_CREDIT: f64 = 2.0;

/// Share of the credit that is lost when a request has to be retried.
const RETRY_LOSS: f64 = 0.3;

/// Share of the credit that is lost when the answer comes after the objective.
const LATE_LOSS: f64 = 0.8;

/// Expected time, as a share of the time left to the objective, up to which the probability of a
/// late answer counts as 0, and above which that probability counts as 1.
const ON_TIME_SHARE: f64 = 0.5;
const LATE_SHARE: f64 = 1.25;

/// Cost of a KiB that is sent between zones.
const TRANSFER_COST_PER_KIB: f64 = 0.06;

/// Largest cost of the bytes that one request sends between zones. However large an answer is, a
/// healthy upstream of another zone is better than one that probably fails the request.
const MAX_TRANSFER_COST: f64 = 0.35;

/// Reduction of the cost of an upstream that was idle for [`FULL_IDLE_TIME`]; spreads load over
/// equal upstreams and keeps the beliefs about them up to date.
const IDLE_BONUS: f64 = 0.1;

/// Reduction of the cost of an upstream that was never used, so that new upstreams get a first
/// request soon.
const UNUSED_BONUS: f64 = 0.4;

/// Time after it joined for which an upstream that was never used is left to requests that may be retried, where
/// there are such.
const SCOUT_TIME: Duration = Duration::from_secs(1);

/// Idle time at which an upstream has earned all of [`IDLE_BONUS`].
const FULL_IDLE_TIME: Duration = Duration::from_secs(4);

/// Cost of an upstream with all slots in use; falls in proportion to the free slots.
const UTILIZATION_COST: f64 = 0.05;

/// Probability of failure added for a silent upstream, which may have crashed or only be cut off
/// from control.
const SILENT_FAILURE_PROBABILITY: f64 = 0.2;

/// An attempt of a request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Zone of the host that sends the request.
    pub zone: &'a str,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether another attempt may follow a failure, and the service has retries to spare.
    pub can_retry: bool,
    /// Whether requests of the service that may be retried came lately, which lose less by trying an upstream of
    /// which nothing is known.
    pub has_scouts: bool,
    /// Time left to the objective, or to the deadline once the objective has passed, in seconds.
    pub time_left: f64,
    /// Timing of the route.
    pub timing: &'a Timing,
}

/// Returns the expected cost of an attempt on an upstream.
///
/// `is_silent` says that the upstream has not announced itself lately.
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
    let is_retriable = attempt.is_idempotent && attempt.can_retry;
    let loss = if is_retriable { RETRY_LOSS } else { 1.0 };
    let late = lateness(
        state.expected_seconds(attempt.timing, now),
        attempt.time_left,
    );
    let transfer = if state.zone == attempt.zone {
        0.0
    } else {
        (attempt.timing.kib() * TRANSFER_COST_PER_KIB).min(MAX_TRANSFER_COST)
    };
    let utilization = f64::from(state.running) / f64::from(state.slots.max(1));
    credit * (failure * loss + (1.0 - failure) * late * LATE_LOSS)
        + transfer
        + utilization * UTILIZATION_COST
        - idle_bonus(state, !is_retriable && attempt.has_scouts, now)
}

fn lateness(expected_seconds: f64, time_left: f64) -> f64 {
    let share = expected_seconds / time_left.max(f64::EPSILON);
    ((share - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)).clamp(0.0, 1.0)
}

fn idle_bonus(state: &Upstream, leaves_to_scouts: bool, now: Instant) -> f64 {
    let Some(last_granted) = state.last_granted else {
        let is_new = now.saturating_duration_since(state.joined) < SCOUT_TIME;
        return if is_new && leaves_to_scouts {
            0.0
        } else {
            UNUSED_BONUS
        };
    };
    let idle = now.saturating_duration_since(last_granted);
    IDLE_BONUS * idle.min(FULL_IDLE_TIME).as_secs_f64() / FULL_IDLE_TIME.as_secs_f64()
}
