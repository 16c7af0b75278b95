//! Choice of an upstream for a request, queueing and refusal.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Attempt;
use crate::dispatch::Choice;
use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::dispatch::MIN_LATE_AFTER;
use crate::dispatch::MIN_RETRY_AFTER;
use crate::dispatch::Pool;
use crate::dispatch::Request;
use crate::dispatch::Slot;
use crate::dispatch::refused;
use crate::error::Kind;
use crate::publication::Route;
use crate::roster::Number;
use crate::statement::Pauses;

/// Share of the objective for which a request that cannot be retried waits for a slot of a healthy
/// upstream before it takes a free slot of a suspect.
const HEALTHY_WAIT_SHARE: f64 = 0.4;

/// Time between two offers of the free slots of suspects to the queued requests of a service.
const SUSPECT_OFFER_INTERVAL: Duration = Duration::from_millis(5);

/// Most queued requests of one service.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Multiple of the expected time after which another attempt is better than waiting on; one request
/// in a hundred takes about three times as long as most.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Longest time after which a refused request may be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time over which the returns of requests are spread that no upstream could take.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Longest wait that is estimated; clients wait for less.
const MAX_ESTIMATED_WAIT: Duration = Duration::from_secs(60 * 60);

/// A search among the candidates for one request.
pub(super) struct Search<'a> {
    pub(super) pool: &'a Pool,
    pub(super) candidates: &'a [Number],
    pub(super) attempt: &'a Attempt<'a>,
    max_silence: Duration,
    /// Upstreams that were tried for the request.
    avoid: &'a [Number],
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
        !self.avoid.contains(&number) && !self.pauses.contains(number)
    }

    pub(super) fn is_reachable(&self, number: Number) -> bool {
        self.is_eligible(number) && !self.unreachable.contains(&number)
    }
}

impl Dispatcher {
    /// Returns the priority of the tenant of a request, or else that of its route.
    pub(super) fn priority(&self, request: &Request, route: &Route) -> u32 {
        let tenant = request.tenant.as_ref();
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
        let retries = self.retries();
        let is_limited_hedge = self.is_limited_hedge(request);
        let pool = self.pools.get_mut(&request.service)?;
        let has_attempt_left = request.attempts + 1 < route.attempts;
        let can_retry = has_attempt_left && !pool.retry_budget.is_scarce(&retries);
        if route.idempotent && can_retry {
            pool.last_scout = Some(now);
        }
        let attempt = Attempt {
            zone: &request.zone,
            is_idempotent: route.idempotent,
            can_retry,
            has_scouts: pool.has_scouts(now),
            time_left: time_left(request, route, now).as_secs_f64(),
            timing: &timing,
        };
        let search = Search {
            pool,
            candidates: &candidates,
            attempt: &attempt,
            max_silence: self.policy.max_silence,
            avoid: &request.avoid,
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
        pool.count_ahead(priority) == 0
            || (are_others_waiting_for_healthy && !self.waits_for_healthy(request, route, now))
    }

    /// Returns whether a request waits for a slot of a healthy upstream rather than take one of a
    /// suspect: it cannot be retried, and such a slot will probably be free soon enough.
    ///
    /// Answers the load of a service of which a part is grey. If all of it sheds, too few upstreams
    /// are healthy for those who would wait, and requests take what the service still offers.
    fn waits_for_healthy(&self, request: &Request, route: &Route, now: Instant) -> bool {
        if route.idempotent && request.attempts + 1 < route.attempts {
            return false;
        }
        let Some(pool) = self.pools.get(&request.service) else {
            return false;
        };
        let until = healthy_wait_end(request, route);
        let capacity = pool.free().healthy_capacity();
        if capacity <= 0.0 || now >= until {
            return false;
        }
        if pool.free().has_healthy() {
            return true;
        }
        let priority = self.priority(request, route);
        let ahead = u32::try_from(pool.count_ahead(priority)).unwrap_or(u32::MAX);
        let wait = pool.mean_slot_time().as_secs_f64() * f64::from(ahead) / capacity;
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
        self.change_upstream(upstream, now, |state| state.note_grant(now));
        let route = self.publication.routes.get(&request.route);
        let is_last =
            route.is_none_or(|route| !route.idempotent || request.attempts + 1 >= route.attempts);
        let slot = Slot {
            service: request.service,
            upstream,
            zone: request.zone,
            route: request.route,
            since: now,
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
        let attempt_timeout = self.hedge_after(request, attempt_timeout);
        let retry_time = Duration::from_secs_f64(timing.mean());
        (now + attempt_timeout + retry_time < request.deadline).then_some(attempt_timeout)
    }

    /// Returns why a request is refused instead of queued, and when it may be retried.
    ///
    /// Returns `None` for a request that can be answered before its deadline.
    pub(super) fn refusal(
        &self,
        request: &Request,
        priority: u32,
        now: Instant,
    ) -> Option<(Kind, Duration)> {
        if let Some(wait) = self.time_without_upstream(request, now) {
            return Some((Kind::NoUpstream, wait));
        }
        let pool = self.pools.get(&request.service)?;
        let capacity = pool.free().capacity();
        let ahead = u32::try_from(pool.count_ahead(priority)).unwrap_or(u32::MAX);
        let slot_time = pool.mean_slot_time();
        let wait = slot_time.as_secs_f64() * (f64::from(ahead) + 1.0) / capacity;
        let wait = Duration::from_secs_f64(wait.min(MAX_ESTIMATED_WAIT.as_secs_f64()));
        let route = self.publication.routes.get(&request.route)?;
        let run_time = Duration::from_secs_f64(self.timing(&request.route, route).mean());
        let is_full = pool.queued() >= MAX_QUEUED_REQUESTS;
        let is_late = now + wait + run_time > request.deadline;
        (is_full || is_late).then_some((
            Kind::Overloaded,
            wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        ))
    }

    /// Returns how long no upstream can take a request: none is open, or each of them has been tried or wants
    /// no requests from the host. Returns `None` if there is an upstream to wait for.
    fn time_without_upstream(&self, request: &Request, now: Instant) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        if pool.free().capacity() <= 0.0 {
            return Some(MIN_RETRY_AFTER * 2);
        }
        let pauses = self.ledger.pauses(&request.ticket.host, now);
        if pauses.is_empty() && request.avoid.is_empty() {
            return None;
        }
        let is_eligible =
            |number: &Number| !pauses.contains(*number) && !request.avoid.contains(number);
        let mut open = pool.upstreams().filter(|(_, state)| state.is_open());
        if open.any(|(number, _)| is_eligible(&number)) {
            return None;
        }
        let open = pool.upstreams().filter(|(_, state)| state.is_open());
        let ends = open.filter_map(|(number, _)| pauses.end(number));
        let end = ends.min().map_or(MIN_RETRY_AFTER * 2, |end| end - now);
        Some(end.max(MIN_RETRY_AFTER))
    }

    /// Returns the time after which a refused request may be retried: where no upstream could take it, those
    /// who return come one after the other, as fast as the upstreams can answer them.
    pub(super) fn spread_return(
        &mut self,
        service: &str,
        kind: Kind,
        wait: Duration,
        now: Instant,
    ) -> Duration {
        let Some(pool) = self
            .pools
            .get_mut(service)
            .filter(|_| kind == Kind::NoUpstream)
        else {
            return wait;
        };
        let earliest = now + wait;
        let latest = earliest + MAX_RETURN_SPREAD;
        let next = pool.next_return.unwrap_or(earliest);
        let at = next.clamp(earliest, latest);
        let step = pool
            .mean_slot_time()
            .div_f64(pool.free().capacity().max(1.0));
        pool.next_return = Some(at + step);
        at - now
    }

    /// Queues a request at its priority.
    pub(super) fn enqueue(&mut self, request: Request, priority: u32) -> Vec<Answer> {
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return Vec::new();
        };
        let answer = Answer {
            ticket: request.ticket.clone(),
            decision: Decision::Queued,
        };
        let cost = pool.mean_slot_time();
        let tenant = request.tenant.clone().unwrap_or_default();
        let queue = pool.queues.entry(priority).or_default();
        queue.push(&tenant, cost, request);
        vec![answer]
    }

    /// Grants free slots of a service to its queued requests.
    ///
    /// Slots of suspects, and all slots while some are of no use to paused hosts, are offered at intervals
    /// only: most queued requests wait for another upstream, and a search through all of them at every event
    /// would take longer than the event is worth.
    pub(super) fn place_queued(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let mut answers = Vec::new();
        let Some(pool) = self.pools.get_mut(service) else {
            return answers;
        };
        let offers_suspects = pool.next_suspect_offer.is_none_or(|at| now >= at);
        let is_search_due = offers_suspects || self.ledger.has_no_pauses();
        if pool.queues.is_empty() || !is_search_due || !has_offer(pool, offers_suspects) {
            return answers;
        }
        if offers_suspects {
            pool.next_suspect_offer = Some(now + SUSPECT_OFFER_INTERVAL);
        }
        let mut queues = std::mem::take(&mut pool.queues);
        let is_offering = |dispatcher: &Self| {
            let pool = dispatcher.pools.get(service);
            pool.is_some_and(|pool| has_offer(pool, offers_suspects))
        };
        for queue in queues.values_mut() {
            while is_offering(self)
                && let Some((request, choice)) = queue.take(|request| self.choose(request, now))
            {
                answers.push(self.grant(request, choice, now));
            }
        }
        queues.retain(|_, queue| !queue.is_empty());
        if let Some(pool) = self.pools.get_mut(service) {
            pool.queues = queues;
        }
        answers
    }

    /// Refuses the queued requests of a service that can no longer be answered in time, or that no upstream
    /// can take any more.
    pub(super) fn refuse_late(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let mut queues = std::mem::take(&mut pool.queues);
        let (mut late, mut stranded) = (Vec::new(), Vec::new());
        for queue in queues.values_mut() {
            late.extend(queue.remove_if(|request| self.is_too_late(request, now)));
            stranded.extend(
                queue.remove_if(|request| self.time_without_upstream(request, now).is_some()),
            );
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.queues = queues;
        }
        for request in late.iter().chain(&stranded) {
            self.refund(request);
        }
        let refuse = |request: Request| refused(request.ticket, Kind::Overloaded, MIN_RETRY_AFTER);
        let mut answers: Vec<Answer> = late.into_iter().map(refuse).collect();
        for request in stranded {
            let wait = self.time_without_upstream(&request, now);
            let wait = wait.unwrap_or(MIN_RETRY_AFTER);
            let wait = self.spread_return(service, Kind::NoUpstream, wait, now);
            answers.push(refused(request.ticket, Kind::NoUpstream, wait));
        }
        answers
    }

    /// Returns whether less than half of the mean time of its route is left to a queued request.
    pub(super) fn is_too_late(&self, request: &Request, now: Instant) -> bool {
        let Some(route) = self.publication.routes.get(&request.route) else {
            return true;
        };
        let run_time = Duration::from_secs_f64(self.timing(&request.route, route).mean() / 2.0);
        now + run_time > request.deadline
    }

    /// Removes the queued requests for which `is_withdrawn` holds and returns their tokens.
    pub(super) fn withdraw<F: Fn(&Request) -> bool>(&mut self, is_withdrawn: F) {
        let mut withdrawn = Vec::new();
        for pool in self.pools.values_mut() {
            for queue in pool.queues.values_mut() {
                withdrawn.extend(queue.remove_if(&is_withdrawn));
            }
        }
        for request in &withdrawn {
            self.refund(request);
        }
    }
}

/// Returns whether a service has a free slot for queued requests: that of a healthy upstream, or of any
/// upstream if `offers_suspects`.
const fn has_offer(pool: &Pool, offers_suspects: bool) -> bool {
    let free = pool.free();
    free.has_healthy() || (offers_suspects && !free.is_empty())
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
