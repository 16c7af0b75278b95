//! Updates beliefs, timings and failure rates from attempts that have ended or run late.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Belief;
use crate::dispatch::Completion;
use crate::dispatch::Dispatcher;
use crate::dispatch::MIN_LATE_AFTER;
use crate::dispatch::Slot;
use crate::dispatch::Timing;
use crate::dispatch::belief::LATE_RATIO;
use crate::dispatch::contact::Effect;
use crate::health::Outcome;
use crate::publication::Route;
use crate::roster::Number;

/// Multiple of the expected time after which a running attempt counts as late; after twice that
/// multiple it counts as late again.
const LATE_FACTOR: f64 = 3.0;

/// Number of times that one attempt can count as late.
const MAX_LATE_COUNT: u32 = 2;

/// Time for which an upstream is avoided for a host that could not connect to it.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(4);

impl Dispatcher {
    /// Records the outcome of an attempt in the state of its upstream, service and route.
    pub(super) fn record_completion(
        &mut self,
        host: &str,
        slot: &Slot,
        completion: &Completion,
        now: Instant,
    ) {
        if matches!(completion.outcome, Outcome::Answered | Outcome::Failed) {
            self.poison.note_alive(slot.upstream, slot.since);
        }
        let is_whole = completion.outcome == Outcome::Answered;
        if is_whole && self.ledger.end_limit(slot.upstream, slot.since) {
            self.ended_limits.push(slot.upstream);
            self.apply_ledger(slot.upstream, now);
        }
        let publication = Rc::clone(&self.publication);
        let Some(route) = publication.routes.get(&slot.route) else {
            return;
        };
        let mut timing = self.timing(&slot.route, route);
        let is_route_timeout =
            completion.outcome == Outcome::TimedOut && timing.has_too_short_timeout();
        let is_evidence =
            !is_route_timeout && self.is_evidence(host, slot.upstream, completion.outcome, now);
        let Some(pool) = self.pools.get_mut(&slot.service) else {
            return;
        };
        if pool.get(slot.upstream).is_none() {
            return;
        }
        // Failures of trials must not prolong the enforcement of the floor.
        if !is_route_timeout && !slot.is_trial {
            pool.failures.observe(completion.outcome, slot.is_last, now);
        }
        if is_evidence {
            pool.change(slot.upstream, now, |state| {
                state.observe_outcome(completion.outcome, now);
            });
        }
        match completion.outcome {
            Outcome::Answered => {
                // The capacity of an upstream with a limit follows from the slot time.
                pool.slot_time.observe(completion.latency);
                pool.change(slot.upstream, now, |state| {
                    state.observe_latency(completion.latency, &timing, now);
                });
                timing.observe(completion);
                pool.route_time
                    .observe(Duration::from_secs_f64(timing.mean()));
                self.timings.insert(slot.route.clone(), timing);
            }
            Outcome::TimedOut => {
                timing.observe_timeout();
                self.timings.insert(slot.route.clone(), timing);
            }
            Outcome::Unreachable => {
                let pair = (host.to_owned(), slot.upstream);
                self.unreachable_until.insert(pair, now + UNREACHABLE_PAUSE);
            }
            Outcome::Moved => self.remove_upstream(slot.upstream),
            Outcome::Cancelled => pool.forget_unused(slot.upstream),
            _ => {}
        }
    }

    /// Returns whether an outcome says something about the upstream, and not about the path of the host; takes
    /// back what an earlier one seemed to say if it does not either.
    fn is_evidence(
        &mut self,
        host: &str,
        upstream: Number,
        outcome: Outcome,
        now: Instant,
    ) -> bool {
        match outcome {
            Outcome::Answered | Outcome::Failed | Outcome::Shed | Outcome::Moved => {
                self.contact.note_response(host);
                true
            }
            Outcome::TimedOut | Outcome::Truncated | Outcome::Unreachable => {
                self.charges(host, upstream, Belief::ratio(outcome), now)
            }
            Outcome::Cancelled => true,
        }
    }

    /// Returns whether it speaks against an upstream that it did not respond to a host; takes back what seemed
    /// to speak against another one if both speak against the path of the host.
    fn charges(&mut self, host: &str, upstream: Number, ratio: f64, now: Instant) -> bool {
        match self.contact.note_silence(host, upstream, ratio) {
            Effect::Charged => true,
            Effect::Withdrawn(charge) => {
                self.change_upstream(charge.upstream, now, |state| {
                    state.belief.withdraw(charge.ratio, now);
                });
                false
            }
            Effect::Ignored => false,
        }
    }

    /// Records the running attempts that take far longer than expected.
    pub(super) fn record_late_attempts(&mut self, now: Instant) {
        let publication = Rc::clone(&self.publication);
        let mut late = Vec::new();
        for (ticket, slot) in &self.slots_in_use {
            if slot.late_count >= MAX_LATE_COUNT {
                continue;
            }
            let Some(route) = publication.routes.get(&slot.route) else {
                continue;
            };
            let timing = self.timing(&slot.route, route);
            if timing.has_too_short_timeout() {
                continue;
            }
            let pool = self.pools.get(&slot.service);
            let state = pool.and_then(|pool| pool.get(slot.upstream));
            let Some(state) = state else {
                continue;
            };
            let expected = state.expected_seconds(&timing, now) * LATE_FACTOR;
            let limit =
                Duration::from_secs_f64(expected).max(MIN_LATE_AFTER) * (slot.late_count + 1);
            if now.saturating_duration_since(slot.since) > limit {
                late.push((ticket.clone(), slot.upstream));
            }
        }
        for (ticket, upstream) in late {
            if let Some(slot) = self.slots_in_use.get_mut(&ticket) {
                slot.late_count += 1;
            }
            if self.charges(&ticket.host, upstream, LATE_RATIO, now) {
                self.change_upstream(upstream, now, |state| state.belief.observe_late(now));
            }
        }
    }

    /// Returns the timing of a route, or the initial one before its first outcome.
    pub(super) fn timing(&self, name: &str, route: &Route) -> Timing {
        let known = self.timings.get(name).copied();
        known.unwrap_or_else(|| Timing::new(route.objective))
    }
}
