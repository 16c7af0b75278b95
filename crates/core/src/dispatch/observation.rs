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
use crate::dispatch::belief::REFUSED_RATIO;
use crate::dispatch::contact::Charge;
use crate::dispatch::contact::Finding;
use crate::dispatch::contact::Silence;
use crate::health::Outcome;
use crate::publication::Route;

/// Multiple of the expected time after which a running attempt counts as late; after twice that
/// multiple it counts as late again.
const LATE_FACTOR: f64 = 3.0;

/// Number of times that one attempt can count as late.
const MAX_LATE_COUNT: u32 = 2;

/// Time for which an upstream is avoided for a host that could not connect to it, and most of it as a multiple of the
/// time of contact.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(4);
const UNREACHABLE_CONTACTS: u32 = 2;

/// Time up to which an attempt without a connection counts as refused; hosts wait longer for one that is not
/// answered at all.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

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
        if !is_route_timeout {
            self.observe_evidence(host, slot, completion, now);
        }
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
        match completion.outcome {
            Outcome::Answered => {
                // The capacity of an upstream with a limit follows from the slot time.
                pool.slot_time.observe(completion.latency);
                let latencies = pool.hedges.latencies_mut();
                latencies.observe(&slot.route, completion.latency);
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
                let pause = UNREACHABLE_PAUSE.min(self.policy.contact * UNREACHABLE_CONTACTS);
                self.unreachable_until.insert(pair, now + pause);
            }
            Outcome::Moved => self.remove_upstream(slot.upstream),
            Outcome::Cancelled => pool.forget_unused(slot.upstream),
            _ => {}
        }
    }

    /// Records in the belief in an upstream, and in that in others on which it throws light, what an outcome says
    /// about it and not about the path of the host.
    fn observe_evidence(&mut self, host: &str, slot: &Slot, completion: &Completion, now: Instant) {
        let (outcome, upstream) = (completion.outcome, slot.upstream);
        let finding = match outcome {
            Outcome::Answered | Outcome::Failed | Outcome::Shed | Outcome::Moved => {
                let contact = &mut self.contact;
                let charges = contact.note_response(host, &slot.zone, upstream, now);
                self.apply(&charges, now);
                self.change_upstream(upstream, now, |state| state.observe_outcome(outcome, now));
                return;
            }
            Outcome::Cancelled => return,
            Outcome::Unreachable if completion.latency < MAX_REFUSAL_TIME => Finding::Refused,
            Outcome::Unreachable => Finding::Unreachable,
            Outcome::TimedOut | Outcome::Truncated => Finding::Unanswered,
        };
        let ratio = match finding {
            Finding::Refused
                if !self.runs_others(slot) && !self.contact.is_reached(upstream, now) =>
            {
                REFUSED_RATIO
            }
            Finding::Refused | Finding::Unreachable | Finding::Unanswered => Belief::ratio(outcome),
        };
        if self.charge(host, slot, finding, ratio, now) && finding == Finding::Unanswered {
            self.change_upstream(upstream, now, |state| state.last_failed = Some(now));
        }
    }

    /// Records that an upstream did not respond; returns whether that speaks against it.
    pub(super) fn charge(
        &mut self,
        host: &str,
        slot: &Slot,
        finding: Finding,
        ratio: f64,
        now: Instant,
    ) -> bool {
        let silence = Silence {
            upstream: slot.upstream,
            ratio,
            finding,
            since: slot.since,
        };
        let charges = self.contact.note_silence(host, &slot.zone, silence, now);
        self.apply(&charges, now);
        let is_charged = |charge: &Charge| charge.upstream == slot.upstream && charge.ratio > 1.0;
        charges.iter().any(is_charged)
    }

    /// Returns whether requests of others still run at the upstream of a slot that was freed: the end of an
    /// upstream breaks these off before anybody finds its port closed.
    fn runs_others(&self, slot: &Slot) -> bool {
        let pool = self.pools.get(&slot.service);
        let state = pool.and_then(|pool| pool.get(slot.upstream));
        state.is_some_and(|state| state.running > 0)
    }

    fn apply(&mut self, charges: &[Charge], now: Instant) {
        for charge in charges {
            self.change_upstream(charge.upstream, now, |state| {
                state.belief.weigh(charge.ratio, now);
                state.dead_until = charge.dead_until;
            });
        }
    }

    /// Records the running attempts that take far longer than expected.
    pub(super) fn record_late_attempts(&mut self, now: Instant) {
        let publication = Rc::clone(&self.publication);
        let mut late = Vec::new();
        for (ticket, slot) in &self.slots_in_use {
            let age = now.saturating_duration_since(slot.since);
            let is_new = age <= MIN_LATE_AFTER * (slot.late_count + 1);
            // The silence of an absent host says nothing about the upstream.
            let is_absent = slot.absent_until.is_some();
            if is_new || is_absent || slot.late_count >= MAX_LATE_COUNT {
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
            if age > limit {
                late.push((ticket.clone(), slot.clone()));
            }
        }
        for (ticket, slot) in late {
            if let Some(slot) = self.slots_in_use.get_mut(&ticket) {
                slot.late_count += 1;
            }
            self.charge(&ticket.host, &slot, Finding::Unanswered, LATE_RATIO, now);
        }
    }

    /// Returns the timing of a route, or the initial one before its first outcome.
    pub(super) fn timing(&self, name: &str, route: &Route) -> Timing {
        let known = self.timings.get(name).copied();
        known.unwrap_or_else(|| Timing::new(route.objective))
    }
}
