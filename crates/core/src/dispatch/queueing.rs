//! Queueing and refusal of requests that find no free slot.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::dispatch::Level;
use crate::dispatch::MIN_RETRY_AFTER;
use crate::dispatch::Pool;
use crate::dispatch::Request;
use crate::dispatch::admission::Prospect;
use crate::dispatch::admission::Verdict;
use crate::dispatch::backlog::Rank;
use crate::dispatch::backlog::Waiting;
use crate::dispatch::refused;
use crate::error::Kind;
use crate::publication::Route;
use crate::steward::Ticket;

/// Time between two offers of the free slots of suspects to the queued requests of a service.
const SUSPECT_OFFER_INTERVAL: Duration = Duration::from_millis(5);

/// Most queued requests of a rank that are looked at in vain at one event. Others are looked at with the next
/// event, so that a decision costs the same however many wait for a healthy upstream.
const MAX_LOOKS: usize = 32;

/// Most queued requests of one service, beyond which only tenants with less than their part are queued.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Longest time after which a refused request may be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Longest time over which the returns of requests are spread that no upstream could take.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Share of the objective for which an urgent request may wait without harm.
const PATIENCE_SHARE: f64 = 1.0 / 16.0;

impl Dispatcher {
    /// Records a request that arrives, whatever becomes of it.
    pub(super) fn note_arrival(&mut self, request: &Request, route: &Route, now: Instant) {
        let priority = self.priority(request, route);
        let mean = self.timing(&request.route, route).mean();
        if let Some(pool) = self.pools.get_mut(&request.service) {
            let cost = pool.cost(mean).as_secs_f64();
            let tenant = request.tenant.as_deref().unwrap_or_default();
            let patience = route.objective.mul_f64(PATIENCE_SHARE);
            pool.demand
                .note_arrival(priority, tenant, cost, patience, now);
        }
        if request.is_first_placing()
            && let Some(tenant) = &request.tenant
        {
            self.usage.note(tenant, now);
        }
    }

    /// Returns whether a request leaves the free slots of its service to more urgent ones, which will need
    /// them before others become free.
    pub(super) fn is_kept_from(&self, request: &Request, now: Instant) -> bool {
        let route = self.publication.routes.get(&request.route);
        let Some((pool, route)) = self.pools.get(&request.service).zip(route) else {
            return false;
        };
        let priority = self.priority(request, route);
        let cost = pool.cost(self.timing(&request.route, route).mean());
        pool.kept_slots(priority, cost, now) >= pool.free_slots()
    }

    /// Queues a request, or refuses it if it will probably not be answered before its deadline.
    pub(super) fn enqueue(&mut self, request: Request, route: &Route, now: Instant) -> Vec<Answer> {
        let (kind, wait) = match self.verdict(&request, route, now) {
            Ok(Verdict::Timely(_)) => return self.queue(request, route, false, now),
            Ok(Verdict::Late(_)) => return self.queue(request, route, true, now),
            Ok(Verdict::Refused(wait)) => (Kind::Overloaded, wait),
            Err(wait) => (Kind::NoUpstream, wait),
        };
        if let Some(pool) = self.pools.get_mut(&request.service) {
            pool.failures.observe_refusal(now);
        }
        vec![self.refuse(request, kind, wait, now)]
    }

    /// Grants free slots of a service to its queued requests.
    ///
    /// Slots of suspects, and all slots while some are of no use to paused hosts, are offered at intervals
    /// only: most queued requests wait for another upstream, and a search through all of them at every event
    /// would take longer than the event is worth.
    pub(super) fn place_queued(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let mut answers = self.place_earmarked(service, now);
        let Some(pool) = self.pools.get_mut(service) else {
            return answers;
        };
        let offers_suspects = pool.next_suspect_offer.is_none_or(|at| now >= at);
        let is_search_due = offers_suspects || self.ledger.has_no_pauses();
        if pool.backlog.is_empty() || !is_search_due || !has_offer(pool, offers_suspects) {
            return answers;
        }
        if offers_suspects {
            pool.next_suspect_offer = Some(now + SUSPECT_OFFER_INTERVAL);
        }
        let mut backlog = std::mem::take(&mut pool.backlog);
        let most_bytes = if backlog.bytes() > 0 {
            self.most_room(service, now)
        } else {
            u32::MAX
        };
        let is_offering = |dispatcher: &Self| {
            let pool = dispatcher.pools.get(service);
            pool.is_some_and(|pool| has_offer(pool, offers_suspects))
        };
        let place = |dispatcher: &mut Self, request: &Request| {
            let is_kept = dispatcher.is_kept_from(request, now);
            if is_kept {
                return None;
            }
            let choice = dispatcher.choose(request, now);
            // Upstreams that were tried, or that pause the host, may be those with room.
            if choice.is_none()
                && (request.body_bytes > most_bytes
                    || !request.avoid.is_empty()
                    || dispatcher.is_paused_anywhere(request, now))
            {
                dispatcher.earmark_upstream(request, now);
            }
            choice
        };
        let ranks: Vec<Rank> = backlog.lines().map(|(rank, _)| rank).collect();
        for rank in ranks {
            let mut looks = MAX_LOOKS;
            while is_offering(self)
                && let Some((request, choice)) =
                    backlog.take(rank, most_bytes, &mut looks, |request| place(self, request))
            {
                looks += 1;
                answers.push(self.grant(request, choice, now));
            }
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.backlog = backlog;
        }
        answers
    }

    /// Returns whether some upstream wants no requests from the host of a request for now.
    fn is_paused_anywhere(&self, request: &Request, now: Instant) -> bool {
        let pauses = self.ledger.pauses(&request.ticket.host, now);
        !pauses.is_empty()
    }

    /// Removes a queued request and returns its token.
    pub(super) fn withdraw(&mut self, ticket: &Ticket) {
        let mut pools = self.pools.values_mut();
        let withdrawn = pools.find_map(|pool| pool.backlog.remove(ticket));
        if let Some((_, request)) = withdrawn {
            self.refund(&request);
        }
    }

    /// Removes the queued requests of a host and returns their tokens.
    pub(super) fn withdraw_host(&mut self, host: &str) {
        let pools = self.pools.values();
        let tickets: Vec<Ticket> = pools
            .flat_map(|pool| pool.backlog.tickets_of(host))
            .collect();
        for ticket in tickets {
            self.withdraw(&ticket);
        }
    }

    /// Returns what becomes of a request that finds no free slot.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if no upstream can take the request.
    pub(super) fn verdict(
        &self,
        request: &Request,
        route: &Route,
        now: Instant,
    ) -> Result<Verdict, Duration> {
        if let Some(wait) = self.time_without_upstream(request, now) {
            return Err(wait);
        }
        let Some(pool) = self.pools.get(&request.service) else {
            return Err(MIN_RETRY_AFTER);
        };
        let prospect = self.prospect(pool, request, route, now);
        let verdict = self.verdict_for_bytes(prospect.verdict(), &prospect, request, route);
        let tenant = request.tenant.as_deref().unwrap_or_default();
        let is_full = pool.backlog.len() >= MAX_QUEUED_REQUESTS && {
            let (own, tenants) = pool.backlog.count_tenants(tenant);
            own >= MAX_QUEUED_REQUESTS / tenants.max(1)
        };
        if is_full {
            return Ok(Verdict::Refused(prospect.late_wait()));
        }
        Ok(verdict)
    }

    /// Returns what a request that is not queued can expect.
    pub(super) fn prospect(
        &self,
        pool: &Pool,
        request: &Request,
        route: &Route,
        now: Instant,
    ) -> Prospect {
        let priority = self.priority(request, route);
        let tenant = request.tenant.as_deref().unwrap_or_default();
        let weight = self.weight(tenant);
        let run_time = self.run_time(request, route);
        let cost = pool.cost(run_time.as_secs_f64());
        let rank = |is_late| Rank { priority, is_late };
        let before = |is_late| {
            let backlog = &pool.backlog;
            backlog.work_before(rank(is_late), tenant, weight, cost) + cost
        };
        // While slots are free, what arrives says nothing about the time until a better one is.
        let is_full = pool.is_full(now);
        let load = |load: Level| if is_full { load } else { Level::default() };
        let (_, urgent_load) = pool.demand.above(priority, now);
        let line = pool.backlog.line(rank(false));
        let own = line.map_or(Duration::ZERO, |line| line.work_of(tenant));
        let own_share = line.map_or(1.0, |line| line.share_of(tenant, weight));
        Prospect {
            own: own + cost,
            cost,
            own_share,
            ahead: before(false),
            behind: before(true),
            capacity: pool.free().capacity(),
            urgent_load: load(urgent_load),
            equal_load: load(pool.demand.load_of(priority, now)),
            own_load: load(pool.demand.load_of_tenant(priority, tenant, now)),
            run_time,
            probable_time: self.probable_time(request, route),
            objective_left: (request.arrived + route.objective).saturating_duration_since(now),
            deadline_left: request.deadline.saturating_duration_since(now),
        }
    }

    fn queue(
        &mut self,
        request: Request,
        route: &Route,
        is_late: bool,
        now: Instant,
    ) -> Vec<Answer> {
        let answer = Answer {
            ticket: request.ticket.clone(),
            decision: Decision::Queued,
        };
        self.insert(request, route, is_late, now);
        vec![answer]
    }

    /// Adds a request to the backlog of its service.
    pub(super) fn insert(&mut self, request: Request, route: &Route, is_late: bool, now: Instant) {
        let run_time = self.run_time(&request, route);
        let pool = self.pools.get(&request.service);
        let cost = pool.map_or(run_time, |pool| pool.cost(run_time.as_secs_f64()));
        let tenant = request.tenant.as_deref().unwrap_or_default();
        let objective_end = request.arrived + route.objective;
        // An answer after the deadline is certain once less than half of the mean time is left.
        let last = request.deadline.checked_sub(run_time / 2).unwrap_or(now);
        let timely = objective_end.checked_sub(run_time).unwrap_or(now);
        let waiting = Waiting {
            rank: Rank {
                priority: self.priority(&request, route),
                is_late,
            },
            weight: self.weight(tenant),
            cost,
            review: if is_late { last } else { timely.min(last) },
            request,
        };
        if let Some(pool) = self.pools.get_mut(&waiting.request.service) {
            pool.backlog.push(waiting);
        }
    }

    /// Refuses a request and returns its token.
    pub(super) fn refuse(
        &mut self,
        request: Request,
        kind: Kind,
        wait: Duration,
        now: Instant,
    ) -> Answer {
        self.refund(&request);
        let wait = if kind == Kind::NoUpstream {
            self.spread_return(&request.service, wait, now)
        } else {
            wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        };
        self.deny(request, kind, wait, now)
    }

    /// Refuses a request that has paid no token, and counts the refusal.
    pub(super) fn deny(
        &mut self,
        request: Request,
        kind: Kind,
        wait: Duration,
        now: Instant,
    ) -> Answer {
        self.refusals.note(&request, kind, &self.publication, now);
        refused(request.ticket, kind, wait)
    }

    /// Returns the share of a tenant among those of one priority.
    pub(super) fn weight(&self, tenant: &str) -> f64 {
        let known = self.publication.tenants.get(tenant);
        let quota = known.and_then(|known| known.quota);
        let quota = quota.map(|quota| quota.per_second);
        self.usage.weight(tenant, quota)
    }

    pub(super) fn run_time(&self, request: &Request, route: &Route) -> Duration {
        Duration::from_secs_f64(self.timing(&request.route, route).mean())
    }

    /// Returns the rank of a request that is sent now.
    pub(super) fn rank(&self, request: &Request, route: &Route, now: Instant) -> Rank {
        let objective_end = request.arrived + route.objective;
        Rank {
            priority: self.priority(request, route),
            is_late: now + self.run_time(request, route) > objective_end,
        }
    }

    fn probable_time(&self, request: &Request, route: &Route) -> Duration {
        Duration::from_secs_f64(self.timing(&request.route, route).probable())
    }

    /// Returns how long no upstream can take a request: none is open, or each of them has been tried or wants
    /// no requests from the host. Returns `None` if there is an upstream to wait for.
    pub(super) fn time_without_upstream(
        &self,
        request: &Request,
        now: Instant,
    ) -> Option<Duration> {
        let pool = self.pools.get(&request.service)?;
        if pool.free().capacity() <= 0.0 {
            return Some(MIN_RETRY_AFTER * 2);
        }
        let pauses = self.ledger.pauses(&request.ticket.host, now);
        if pauses.is_empty() && request.avoid.is_empty() {
            return None;
        }
        let is_eligible = |number: &_| !pauses.contains(*number) && !request.avoid.contains(number);
        let mut open = pool.upstreams().filter(|(_, state)| state.is_open());
        if open.any(|(number, _)| is_eligible(&number)) {
            return None;
        }
        let open = pool.upstreams().filter(|(_, state)| state.is_open());
        let ends = open.filter_map(|(number, _)| pauses.end(number));
        let end = ends.min().map_or(MIN_RETRY_AFTER * 2, |end| end - now);
        Some(end.max(MIN_RETRY_AFTER))
    }

    /// Returns the time after which a request that no upstream could take may be retried: those who return
    /// come one after the other, as fast as the upstreams can answer them.
    fn spread_return(&mut self, service: &str, wait: Duration, now: Instant) -> Duration {
        let Some(pool) = self.pools.get_mut(service) else {
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
}

/// Returns whether a service has a free slot for queued requests: that of a healthy upstream, or of any
/// upstream if `offers_suspects`.
const fn has_offer(pool: &Pool, offers_suspects: bool) -> bool {
    let free = pool.free();
    free.has_healthy() || (offers_suspects && !free.is_empty())
}
