//! A second look at queued requests: those that wait too long are put behind or refused.

use std::rc::Rc;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Dispatcher;
use crate::dispatch::MIN_RETRY_AFTER;
use crate::dispatch::Request;
use crate::dispatch::Verdict;
use crate::dispatch::backlog::Rank;
use crate::error::Kind;
use crate::steward::Ticket;

/// Divisor of the estimated wait of a request that is queued already, so that an estimate which varies
/// does not refuse what it has just let in.
const REVIEW_DIVISOR: f64 = 1.5;

/// Most tenants of a line whose last requests are looked at in one tick.
const MAX_REVIEWED_TENANTS: usize = 64;

impl Dispatcher {
    /// Looks again at queued requests of a service: puts those behind that can no longer be answered within
    /// their objective, and refuses those that can no longer be answered in time, or that no upstream can
    /// take any more.
    pub(super) fn review(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let mut answers = self.refuse_stranded(service, now);
        answers.extend(self.review_due(service, now));
        answers.extend(self.review_last(service, now));
        answers
    }

    /// Refuses the queued requests that no upstream can take any more.
    fn refuse_stranded(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let Some(pool) = self.pools.get(service) else {
            return Vec::new();
        };
        let is_closed = pool.free().capacity() <= 0.0;
        let only_tried = !is_closed && self.ledger.has_no_pauses();
        let mut answers = Vec::new();
        for ticket in pool.backlog.tickets(only_tried) {
            self.steps += 1;
            let pool = self.pools.get(service);
            let request = pool.and_then(|pool| pool.backlog.get(&ticket));
            let wait = request.and_then(|request| self.time_without_upstream(request, now));
            if let Some(wait) = wait
                && let Some(request) = self.remove(service, &ticket)
            {
                answers.push(self.refuse(request, Kind::NoUpstream, wait, now));
            }
        }
        answers
    }

    /// Looks again at the requests whose objective or deadline can no longer be met.
    fn review_due(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let Some(pool) = self.pools.get(service) else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for ticket in pool.backlog.due(now) {
            self.steps += 1;
            let pool = self.pools.get_mut(service);
            let Some((rank, request)) = pool.and_then(|pool| pool.backlog.remove(&ticket)) else {
                continue;
            };
            answers.extend(self.demote(request, rank, now));
        }
        answers
    }

    /// Looks again at the last request of each tenant and at those before it, as long as the queue ahead has
    /// grown too long for them: more urgent ones have arrived, or upstreams were lost.
    ///
    /// Requests that wait although slots are free wait for a better one, and get one of these at last.
    fn review_last(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let pool = self.pools.get(service);
        let Some(pool) = pool.filter(|pool| pool.is_full(now)) else {
            return Vec::new();
        };
        let lines = pool.backlog.lines();
        let pairs: Vec<(Rank, String)> = lines
            .flat_map(|(rank, line)| {
                let tenants = line.turns().take(MAX_REVIEWED_TENANTS);
                tenants.map(move |tenant| (rank, tenant.clone()))
            })
            .collect();
        let mut answers = Vec::new();
        for (rank, tenant) in pairs {
            while let Some(ticket) = self.hopeless(service, rank, &tenant, now) {
                let Some(request) = self.remove(service, &ticket) else {
                    break;
                };
                answers.extend(self.demote(request, rank, now));
            }
        }
        answers
    }

    /// Returns the last request of a tenant if it waits too far behind for its rank.
    fn hopeless(
        &mut self,
        service: &str,
        rank: Rank,
        tenant: &str,
        now: Instant,
    ) -> Option<Ticket> {
        self.steps += 1;
        let pool = self.pools.get(service)?;
        let (request, before) = pool.backlog.line(rank)?.last(tenant)?;
        let route = self.publication.routes.get(&request.route)?;
        let mut prospect = self.prospect(pool, request, route, now);
        let before = (pool.backlog.work_ahead(rank) + before).div_f64(REVIEW_DIVISOR);
        (prospect.ahead, prospect.behind) = (before, before);
        let own = pool.backlog.line(rank)?.work_of(tenant);
        prospect.own = own.div_f64(REVIEW_DIVISOR);
        let verdict = prospect.verdict();
        let is_hopeless = match verdict {
            Verdict::Timely(_) => false,
            Verdict::Late(_) => !rank.is_late,
            Verdict::Refused(_) => true,
        };
        is_hopeless.then(|| request.ticket.clone())
    }

    /// Puts a request that was taken from the backlog behind the others of its priority, or refuses it.
    fn demote(&mut self, request: Request, rank: Rank, now: Instant) -> Option<Answer> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&request.route);
        let Some(route) = route.filter(|_| !self.is_too_late(&request, now)) else {
            return Some(self.refuse(request, Kind::Overloaded, MIN_RETRY_AFTER, now));
        };
        let Some(pool) = self.pools.get(&request.service) else {
            return Some(self.refuse(request, Kind::NoUpstream, MIN_RETRY_AFTER, now));
        };
        let prospect = self.prospect(pool, &request, route, now);
        let wait = prospect.late_wait();
        if rank.is_late || wait + prospect.run_time > prospect.deadline_left {
            return Some(self.refuse(request, Kind::Overloaded, wait, now));
        }
        self.insert(request, route, true, now);
        None
    }

    fn remove(&mut self, service: &str, ticket: &Ticket) -> Option<Request> {
        let pool = self.pools.get_mut(service)?;
        pool.backlog.remove(ticket).map(|(_, request)| request)
    }

    /// Returns whether less than half of the mean time of its route is left to a queued request.
    fn is_too_late(&self, request: &Request, now: Instant) -> bool {
        let Some(route) = self.publication.routes.get(&request.route) else {
            return true;
        };
        now + self.run_time(request, route) / 2 > request.deadline
    }
}
