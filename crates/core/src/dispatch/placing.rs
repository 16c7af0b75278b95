//! Choice of an upstream for a request.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Attempt;
use crate::dispatch::Choice;
use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::dispatch::Hold;
use crate::dispatch::MIN_LATE_AFTER;
use crate::dispatch::Pool;
use crate::dispatch::Request;
use crate::dispatch::Slot;
use crate::dispatch::Timing;
use crate::dispatch::backlog::Rank;
use crate::dispatch::held::Bound;
use crate::publication::Route;
use crate::roster::Number;
use crate::statement::Pauses;

/// Share of the objective for which a request that cannot be retried waits for a slot of a healthy
/// upstream before it takes a free slot of a suspect.
const HEALTHY_WAIT_SHARE: f64 = 0.4;

/// Multiple of the expected time after which another attempt is better than waiting on; one request
/// in a hundred takes about three times as long as most.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// A search among the candidates for one request.
pub(super) struct Search<'a> {
    pub(super) pool: &'a Pool,
    pub(super) candidates: &'a [Number],
    pub(super) attempt: &'a Attempt<'a>,
    max_silence: Duration,
    /// Upstreams that were tried for the request.
    avoid: &'a [Number],
    /// Size of the request body in bytes.
    body_bytes: u32,
    held_bound: Bound,
    /// Upstreams that the host could not connect to.
    unreachable: &'a BTreeSet<Number>,
    /// Upstreams that want no requests from the host, whatever else speaks for them.
    pauses: Pauses<'a>,
    pub(super) now: Instant,
}

impl Search<'_> {
    /// Returns the cheapest upstream that counts for the floor and is not in use.
    fn idle(&self) -> Option<Number> {
        let (pool, now) = (self.pool, self.now);
        self.find(|number| {
            let counts = pool.counts_for_floor(number, now) && self.is_reachable(number);
            counts && !pool.is_in_use(number, now)
        })
    }

    /// Returns the cheapest upstream that is worth a trial, for a request that can be retried.
    fn due_trial(&self) -> Option<Number> {
        if !self.attempt.is_idempotent || !self.attempt.can_retry {
            return None;
        }
        self.find(|number| self.is_reachable(number) && self.pool.is_trial_due(number, self.now))
    }

    /// Returns the cheapest upstream, one that the host could connect to if there is any.
    fn cheapest(&self, accepts_suspects: bool) -> Option<Number> {
        let is_accepted =
            |number: Number| accepts_suspects || !self.pool.is_suspect(number, self.now);
        let reachable = self.find(|number| is_accepted(number) && self.is_reachable(number));
        reachable.or_else(|| self.find(|number| is_accepted(number) && self.is_eligible(number)))
    }

    pub(super) fn find<F: Fn(Number) -> bool>(&self, is_allowed: F) -> Option<Number> {
        let (candidates, attempt) = (self.candidates, self.attempt);
        self.pool
            .cheapest(candidates, attempt, self.max_silence, self.now, is_allowed)
    }

    fn is_eligible(&self, number: Number) -> bool {
        let state = self.pool.get(number);
        let fits = state.is_some_and(|state| state.held.fits(self.body_bytes, self.held_bound));
        fits && !self.avoid.contains(&number) && !self.pauses.contains(number)
    }

    pub(super) fn is_reachable(&self, number: Number) -> bool {
        self.is_eligible(number) && !self.unreachable.contains(&number)
    }
}

impl Dispatcher {
    /// Returns the priority of the tenant of a request, or else that of its route.
    pub(super) fn priority(&self, request: &Request, route: &Route) -> u32 {
        self.priority_of(request.tenant.as_deref(), route)
    }

    pub(super) fn priority_of(&self, tenant: Option<&str>, route: &Route) -> u32 {
        let tenant = tenant.and_then(|tenant| self.publication.tenants.get(tenant));
        let tenant_priority = tenant.and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(route.priority)
    }

    /// Chooses an upstream with a free slot for a request.
    ///
    /// Returns `None` if no slot is free, or if a request that cannot be retried should wait for a
    /// healthy upstream.
    pub(super) fn choose(&mut self, request: &Request, now: Instant) -> Option<Choice> {
        self.steps += 1;
        if self.pools.get(&request.service)?.free().is_empty() {
            return None;
        }
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&request.route)?;
        let waits = self.waits_for_healthy(request, route, now);
        let floor = self.policy.floor;
        let pool = self.pools.get_mut(&request.service)?;
        let is_below_floor = pool.is_below_floor(floor, now);
        if waits && !pool.free().has_healthy() && !is_below_floor {
            return None;
        }
        let pauses = self.ledger.pauses(&request.ticket.host, now);
        let candidates = pool.candidates(&request.zone, pauses);
        self.steps += candidates.len() as u64;
        let timing = self.timing(&request.route, route);
        let unreachable = self.unreachable_upstreams(&request.ticket.host, now);
        let is_limited_hedge = self.is_limited_hedge(request);
        let can_retry = self.can_retry(request, route, now);
        let held_bound = self.held_bound(&request.service);
        let pool = self.pools.get_mut(&request.service)?;
        if route.idempotent && can_retry {
            pool.last_scout = Some(now);
        }
        let attempt = self.attempt(request, route, &timing, now);
        let pool = self.pools.get(&request.service)?;
        let search = Search {
            pool,
            candidates: &candidates,
            attempt: &attempt,
            max_silence: self.policy.max_silence,
            avoid: &request.avoid,
            body_bytes: request.body_bytes,
            held_bound,
            unreachable: &unreachable,
            pauses,
            now,
        };
        if is_limited_hedge {
            return search.for_hedge(request.avoid.last().copied());
        }
        let idle = is_below_floor.then(|| search.idle()).flatten();
        let trial = idle.or_else(|| search.due_trial());
        if let Some(upstream) = trial {
            return Some(Choice {
                upstream,
                is_trial: true,
            });
        }
        search.cheapest(!waits).map(|upstream| Choice {
            upstream,
            is_trial: false,
        })
    }

    /// Returns what the cost of an upstream for a request depends on.
    pub(super) fn attempt<'a>(
        &self,
        request: &'a Request,
        route: &Route,
        timing: &'a Timing,
        now: Instant,
    ) -> Attempt<'a> {
        let pool = self.pools.get(&request.service);
        Attempt {
            zone: &request.zone,
            is_idempotent: route.idempotent,
            can_retry: self.can_retry(request, route, now),
            has_scouts: pool.is_some_and(|pool| pool.has_scouts(now)),
            time_left: time_left(request, route, now).as_secs_f64(),
            timing,
        }
    }

    /// Returns whether another attempt of a request may follow, and its service has retries to spare.
    fn can_retry(&self, request: &Request, route: &Route, now: Instant) -> bool {
        let rank = self.rank(request, route, now);
        let pool = self.pools.get(&request.service);
        let has_retry = pool.is_some_and(|pool| pool.has_retry(rank, &self.retries(), now));
        request.attempts + 1 < route.attempts && has_retry
    }

    /// Returns whether a new request is placed before the queued ones: none is ahead of it, or those
    /// ahead wait for a healthy upstream and the request does not.
    pub(super) fn is_next(
        &self,
        request: &Request,
        route: &Route,
        priority: u32,
        now: Instant,
    ) -> bool {
        let Some(pool) = self.pools.get(&request.service) else {
            return false;
        };
        let are_others_waiting_for_healthy = !pool.free().is_empty();
        let rank = Rank {
            priority,
            is_late: false,
        };
        pool.backlog.is_clear(rank)
            || (are_others_waiting_for_healthy && !self.waits_for_healthy(request, route, now))
    }

    /// Returns whether a request waits for a slot of a healthy upstream rather than take one of a
    /// suspect: it cannot be retried, or the retries left are for others, and such a slot will probably be
    /// free soon enough.
    ///
    /// Answers the load of a service of which a part is grey. If all of it sheds, too few upstreams
    /// are healthy for those who would wait, and requests take what the service still offers.
    pub(super) fn waits_for_healthy(&self, request: &Request, route: &Route, now: Instant) -> bool {
        let Some(pool) = self.pools.get(&request.service) else {
            return false;
        };
        let has_attempt_left = route.idempotent && request.attempts + 1 < route.attempts;
        let has_retry = pool.has_retry(self.rank(request, route, now), &self.retries(), now);
        if has_attempt_left && has_retry {
            return false;
        }
        let until = healthy_wait_end(request, route);
        let capacity = pool.free().healthy_capacity();
        if capacity <= 0.0 || now >= until {
            return false;
        }
        if pool.free().has_healthy() {
            return true;
        }
        let priority = self.priority(request, route);
        let rank = Rank {
            priority,
            is_late: true,
        };
        // More urgent requests wait for healthy upstreams too while retries are scarce.
        let (_, urgent) = pool.demand.above(priority, now);
        let urgent = if has_retry { 0.0 } else { urgent.lately };
        let left = (capacity - urgent).max(0.0);
        let wait = pool.backlog.work_until(rank).as_secs_f64() / left;
        wait < until.saturating_duration_since(now).as_secs_f64()
    }

    /// Returns the upstreams that a host could not connect to a short time ago.
    pub(super) fn unreachable_upstreams(&self, host: &str, now: Instant) -> BTreeSet<Number> {
        let first = (host.to_owned(), Number::MIN);
        let last = (host.to_owned(), Number::MAX);
        let own = self.unreachable_until.range(first..=last);
        own.filter(|(_, until)| now < **until)
            .map(|((_, number), _)| *number)
            .collect()
    }

    /// Records a slot of the chosen upstream as in use and returns the answer to the host.
    pub(super) fn grant(&mut self, request: Request, choice: Choice, now: Instant) -> Answer {
        let Choice { upstream, is_trial } = choice;
        let attempt_timeout = self.attempt_timeout(&request, upstream, now);
        let hedge_of = self.hedged_attempt(&request);
        let body_bytes = request.body_bytes;
        self.change_upstream(upstream, now, |state| {
            state.note_grant(now);
            state.held.take(body_bytes);
        });
        let route = self.publication.routes.get(&request.route);
        let is_last =
            route.is_none_or(|route| !route.idempotent || request.attempts + 1 >= route.attempts);
        let hold = self.hold(&request.service, &request.route, request.tenant.as_deref());
        if let Some(pool) = self.pools.get_mut(&request.service) {
            pool.demand.note_grant(hold);
        }
        let slot = Slot {
            service: request.service,
            upstream,
            zone: request.zone,
            route: request.route,
            hold,
            body_bytes,
            since: now,
            deadline: request.deadline,
            absent_until: None,
            is_last,
            is_trial,
            late_count: 0,
            hedge_of,
        };
        self.slots_in_use.insert(request.ticket.clone(), slot);
        Answer {
            ticket: request.ticket,
            decision: Decision::Granted {
                upstream,
                attempt_timeout,
            },
        }
    }

    /// Returns the use of a slot of a service by a request of a route and tenant.
    pub(super) fn hold(&self, service: &str, route: &str, tenant: Option<&str>) -> Hold {
        let pool = self.pools.get(service);
        let known = pool.zip(self.publication.routes.get(route));
        let Some((pool, known)) = known else {
            return Hold::new(0, MIN_LATE_AFTER.as_secs_f64());
        };
        let cost = pool.cost(self.timing(route, known).mean());
        Hold::new(self.priority_of(tenant, known), cost.as_secs_f64())
    }

    /// Returns how long an idempotent request waits for an answer before it is sent to another
    /// upstream, or `None` when no attempt could follow before the deadline.
    pub(super) fn attempt_timeout(
        &self,
        request: &Request,
        upstream: Number,
        now: Instant,
    ) -> Option<Duration> {
        let route = self.publication.routes.get(&request.route)?;
        if !route.idempotent || request.attempts + 1 >= route.attempts {
            return None;
        }
        let timing = self.timing(&request.route, route);
        let state = self.pools.get(&request.service)?.get(upstream)?;
        let expected = state.expected_seconds(&timing, now).max(timing.mean());
        let attempt_timeout =
            Duration::from_secs_f64(expected * ATTEMPT_TIMEOUT_FACTOR).max(MIN_LATE_AFTER);
        let attempt_timeout =
            self.resend_after((route, &timing), request, state, attempt_timeout, now);
        let attempt_timeout = self.hedge_after(request, attempt_timeout);
        let retry_time = Duration::from_secs_f64(timing.mean());
        (now + attempt_timeout + retry_time < request.deadline).then_some(attempt_timeout)
    }
}

/// Returns until when a request that cannot be retried waits for a slot of a healthy upstream.
fn healthy_wait_end(request: &Request, route: &Route) -> Instant {
    request.arrived + route.objective.mul_f64(HEALTHY_WAIT_SHARE)
}

/// Returns the time left to the objective of a request, or to its deadline once the objective has
/// passed.
fn time_left(request: &Request, route: &Route, now: Instant) -> Duration {
    let objective = request.arrived + route.objective;
    let time_left = objective
        .min(request.deadline)
        .saturating_duration_since(now);
    if time_left.is_zero() {
        return request.deadline.saturating_duration_since(now);
    }
    time_left
}
