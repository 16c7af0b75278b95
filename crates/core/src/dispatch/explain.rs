//! Where a request would go now and why, for operators.
//!
//! [`Dispatcher::explain`] decides about a request as [`Dispatcher::reserve`] does, by the same functions, on
//! a copy of what they need of the one service. The dispatcher itself stays as it is: no token, permit or
//! retry is spent, and the next requests are placed as if nothing had been asked. What an extra send of a
//! running request would get is not explained.
//!
//! A route leads to several services by weight, so an [`Explanation`] holds one [`Branch`] for each of them.
//! Every upstream of the service is a [`Candidate`]; all but the chosen one have exactly one [`Reason`].

mod answer;
mod question;
mod reason;
mod text;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

pub use answer::Branch;
pub use answer::Candidate;
pub use answer::Explanation;
pub use answer::Part;
pub use question::Question;
pub use question::Unknown;
pub use reason::Reason;

use crate::dispatch::Choice;
use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::dispatch::Refusals;
use crate::dispatch::Request;
use crate::dispatch::admission::Verdict;
use crate::dispatch::contact::Contact;
use crate::dispatch::refused;
use crate::error::Kind;
use crate::id::ServiceId;
use crate::poison;
use crate::publication::Route;
use crate::roster::Number;
use crate::roster::evacuation::Evacuations;
use crate::statement::Limit;
use crate::steward::Ticket;

impl Dispatcher {
    /// Returns where a request would go now and why, and changes nothing.
    ///
    /// `evacuations` tells the upstreams that drain since their zone is evacuated from others.
    ///
    /// # Errors
    ///
    /// Returns the route or the tenant if the publication in force does not have it.
    pub fn explain(
        &self,
        question: &Question,
        evacuations: &Evacuations,
        now: Instant,
    ) -> Result<Explanation, Unknown> {
        let (routes, tenants) = (&self.publication.routes, &self.publication.tenants);
        let route = routes.get(&question.route);
        let route = route.ok_or_else(|| Unknown::new("route", &question.route, routes.keys()))?;
        let tenant = question.tenant.as_deref();
        if let Some(unknown) = tenant.filter(|tenant| !tenants.contains_key(*tenant)) {
            return Err(Unknown::new("tenant", unknown, tenants.keys()));
        }
        let branch = |(service, share): (&ServiceId, f64)| {
            let request = request(question, route, service, now);
            let mut branch = self.explain_request(&request, evacuations, now)?;
            branch.share = share;
            Some(branch)
        };
        let known = tenant.and_then(|tenant| tenants.get(tenant));
        Ok(Explanation {
            question: question.clone(),
            version: self.publication.version,
            priority: self.priority_of(tenant, route),
            is_tenant_priority: known.is_some_and(|known| known.priority.is_some()),
            is_idempotent: route.idempotent,
            lacks_key: tenant.is_none() && !route.open,
            objective: route.objective,
            timeout: route.timeout,
            attempts: route.attempts,
            evacuated_zones: evacuations.zones().cloned().collect(),
            branches: shares(route).into_iter().filter_map(branch).collect(),
        })
    }

    /// Returns what [`Dispatcher::reserve`] would decide now about a request that is no extra send, and why;
    /// `None` if its route does not lead to its service.
    #[must_use]
    pub fn explain_request(
        &self,
        request: &Request,
        evacuations: &Evacuations,
        now: Instant,
    ) -> Option<Branch> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&request.route);
        let route = route.filter(|route| route.leads_to(&request.service))?;
        let mut copy = self.copy_for(request);
        let admitted = copy.admit(request, route, now);
        let window = copy.window(request, now);
        let choice = admitted
            .is_ok()
            .then(|| copy.find_place(request, route, now));
        let finding = Finding {
            request,
            route,
            admission: admitted.err().map(|(kind, _)| kind),
            choice: choice.flatten(),
            window: &window,
            evacuations,
            unreachable: copy.unreachable_upstreams(&request.ticket.host, now),
            now,
        };
        // Read before the request takes its slot, or its place in the queue.
        let verdict = match (admitted, finding.choice) {
            (Ok(()), None) => Some(copy.verdict(request, route, now)),
            _ => None,
        };
        let mut branch = copy.describe(&finding)?;
        let answer = match (admitted, finding.choice) {
            (Err((kind, wait)), _) => Some(refused(request.ticket.clone(), kind, wait)),
            (Ok(()), Some(choice)) => Some(copy.grant(request.clone(), choice, now)),
            (Ok(()), None) => copy.enqueue(request.clone(), route, now).pop(),
        };
        branch.decision = answer?.decision;
        branch.is_late = matches!(verdict, Some(Ok(Verdict::Late(_) | Verdict::Refused(_))));
        branch.expected_wait = verdict.map(|verdict| match verdict {
            Ok(Verdict::Timely(wait) | Verdict::Late(wait) | Verdict::Refused(wait)) => wait,
            Err(wait) => wait,
        });
        Some(branch)
    }

    /// Returns a dispatcher that knows of the service, tenant and host of a request what this one knows, which
    /// is all that the decision about it depends on.
    fn copy_for(&self, request: &Request) -> Self {
        let service = &request.service;
        let pool = self.pools.get(service).cloned();
        let numbers = self.services.iter().filter(|(_, own)| *own == service);
        let timing = self.timings.get(&request.route).copied();
        Self {
            policy: self.policy,
            share: self.share,
            leader_heard: self.leader_heard,
            first_permit: self.first_permit,
            publication: Rc::clone(&self.publication),
            pools: pool
                .map(|pool| (service.clone(), pool))
                .into_iter()
                .collect(),
            services: numbers
                .map(|(number, own)| (*number, own.clone()))
                .collect(),
            slots_in_use: BTreeMap::new(),
            timings: timing
                .map(|timing| (request.route.clone(), timing))
                .into_iter()
                .collect(),
            quotas: self.quotas.clone(),
            usage: self.usage.clone(),
            hosts: self.hosts.clone(),
            ledger: self.ledger.clone(),
            cold: self.cold.clone(),
            poison: poison::Ledger::default(),
            contact: Contact::new(self.policy.contact),
            ended_limits: Vec::new(),
            unreachable_until: self.unreachable_until.clone(),
            steps: 0,
            refusals: Refusals::default(),
        }
    }

    /// Returns the upstreams that the next choice compares.
    fn window(&self, request: &Request, now: Instant) -> BTreeSet<Number> {
        let Some(pool) = self.pools.get(&request.service) else {
            return BTreeSet::new();
        };
        let pauses = self.ledger.pauses(&request.ticket.host, now);
        let window = pool.free().clone().candidates(&request.zone, pauses);
        window.into_iter().collect()
    }
}

/// What was found about a request before it took a slot or a place in the queue.
struct Finding<'a> {
    request: &'a Request,
    route: &'a Route,
    /// Why the request is refused before an upstream is looked for.
    admission: Option<Kind>,
    choice: Option<Choice>,
    /// Upstreams that were compared.
    window: &'a BTreeSet<Number>,
    evacuations: &'a Evacuations,
    /// Upstreams that the host could not connect to.
    unreachable: BTreeSet<Number>,
    now: Instant,
}

impl Dispatcher {
    /// Returns what a branch says of the service; the caller sets the decision.
    fn describe(&self, finding: &Finding<'_>) -> Option<Branch> {
        let (request, route, now) = (finding.request, finding.route, finding.now);
        let pool = self.pools.get(&request.service)?;
        let cost = pool.cost(self.run_time(request, route).as_secs_f64());
        let priority = self.priority(request, route);
        let mut candidates = self.candidates(pool, finding);
        candidates.sort_by(|one, other| {
            let order = |one: &Candidate| {
                (
                    one.left_out.is_some(),
                    one.left_out.is_some_and(Reason::is_closed),
                )
            };
            let by_cost = one.cost.total_cmp(&other.cost);
            order(one).cmp(&order(other)).then(by_cost)
        });
        Some(Branch {
            service: request.service.clone(),
            share: 1.0,
            decision: Decision::Queued,
            is_trial: finding.choice.is_some_and(|choice| choice.is_trial),
            expected_wait: None,
            is_late: false,
            queued: pool.queued(),
            free_slots: pool.free_slots(),
            kept_slots: pool.kept_slots(priority, cost, now),
            retries_left: pool.retry_budget.tokens(),
            tenant: request.tenant.as_deref().map(|tenant| {
                let known = self.publication.tenants.get(tenant);
                Part {
                    weight: self.weight(tenant),
                    share: self.prospect(pool, request, route, now).own_share,
                    quota: known.and_then(|known| known.quota),
                    tokens_left: self.quotas.tokens(tenant),
                }
            }),
            candidates,
        })
    }

    fn candidates(&self, pool: &Pool, finding: &Finding<'_>) -> Vec<Candidate> {
        let (request, now) = (finding.request, finding.now);
        let timing = self.timing(&request.route, finding.route);
        let attempt = self.attempt(request, finding.route, &timing, now);
        let costs = reason::Costs::new(self, pool, &attempt, now);
        let left_out = self.reasons(pool, finding, &costs);
        let each = pool.upstreams().map(|(number, state)| Candidate {
            upstream: number,
            id: None,
            zone: state.zone.clone(),
            stage: state.stage(),
            grey: state.belief.grey(now),
            running: state.running,
            slots: state.slots,
            expected: Duration::try_from_secs_f64(state.expected_seconds(&timing, now))
                .unwrap_or(Duration::MAX),
            cost: costs.get(state),
            states_draining: self.ledger.is_draining(number),
            limit: self.limit(number).map(Limit::per_second),
            is_cold: self.cold.contains(number),
            left_out: left_out.get(&number).copied(),
        });
        each.collect()
    }
}

/// Returns the services of a route with their shares of its requests.
fn shares(route: &Route) -> Vec<(&ServiceId, f64)> {
    let total: f64 = route.parts.iter().map(|part| part.weight).sum();
    let even = 1.0 / route.parts.len().max(1) as f64;
    let share = |weight: f64| if total > 0.0 { weight / total } else { even };
    let parts = route.parts.iter();
    let shares = parts.map(|part| (&part.service, share(part.weight)));
    shares.filter(|(_, share)| *share > 0.0).collect()
}

/// Returns the request that a host would send to a service.
fn request(question: &Question, route: &Route, service: &str, now: Instant) -> Request {
    let host = question.host.clone().unwrap_or_default();
    Request {
        ticket: Ticket {
            host,
            number: u32::MAX,
        },
        zone: question.zone.clone().unwrap_or_default(),
        route: question.route.clone(),
        service: service.to_owned(),
        tenant: question.tenant.clone(),
        arrived: now,
        deadline: now + route.timeout,
        attempts: u32::from(question.is_repeat),
        is_retry: question.is_repeat,
        avoid: Vec::new(),
        is_hedge: false,
        body_bytes: question.body_bytes,
    }
}
