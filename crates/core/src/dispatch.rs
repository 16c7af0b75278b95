//! The dispatcher chooses an upstream for each request of the fleet.
//!
//! The leader of the control replicas runs one [`Dispatcher`]. A host calls
//! [`Dispatcher::reserve`] before it sends a request and [`Dispatcher::release`] when the attempt
//! has ended; both return the [`Answer`]s that are due, to this host and to others. A single
//! dispatcher counts the slots of every upstream, combines the outcomes that all hosts observe,
//! and enforces the quotas of tenants and the retry budgets of services.
//!
//! While slots are free, a request is granted the upstream of least expected cost, which weighs
//! failure, lateness and traffic between zones. When all slots are in use, requests queue by
//! priority and fairly among the tenants of one priority. A request that cannot be answered before
//! its deadline is refused at once, with the time after which the queue ahead of it will probably
//! have been served.

mod absence;
mod admission;
mod backlog;
mod belief;
mod contact;
mod cost;
mod demand;
pub mod explain;
mod failures;
mod free;
mod hedge;
mod held;
mod hosts;
mod large;
mod latencies;
mod line;
mod load;
mod members;
mod observation;
mod pace;
mod placing;
mod policy;
mod pool;
mod queueing;
mod quotas;
mod ration;
mod refusals;
mod request;
mod resend;
mod reserve;
mod retries;
mod review;
mod slots;
mod statements;
mod timing;
mod tokens;
mod upstream;
mod usage;
mod usual;
mod view;
mod warmup;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

pub use admission::Prospect;
pub use admission::Verdict;
pub use belief::Belief;
pub use cost::Attempt;
pub use demand::Demand;
pub use demand::Hold;
pub use demand::Level;
pub use failures::Failures;
pub use free::Free;
pub use hedge::Counts;
pub use held::Held;
pub use load::Load;
pub use pace::Pace;
pub use policy::Balance;
pub use policy::Policy;
pub use policy::Tolerance;
pub use pool::Pool;
pub use quotas::Quotas;
pub use quotas::Share;
pub use quotas::share_without_leader;
pub use refusals::Refusals;
pub use request::Answer;
pub use request::Completion;
pub use request::Decision;
pub use request::Request;
pub use resend::Resend;
pub use reserve::Reserve;
pub use retries::Budget;
pub use retries::Retries;
pub use slots::Placement;
pub use timing::Timing;
pub use upstream::Upstream;
pub use usage::Usage;
pub use usual::Usual;
pub use view::Waiting;

use crate::dispatch::contact::Contact;
use crate::dispatch::hosts::DISCONNECTED_HOST_SHARE_TIME;
use crate::dispatch::hosts::Host;
use crate::dispatch::slots::Slot;
use crate::dispatch::warmup::Cold;
use crate::error::Kind;
use crate::health::Outcome;
use crate::id::HostId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::poison;
use crate::publication::Publication;
use crate::publication::Route;
use crate::roster::Number;
use crate::statement::Ledger;
use crate::steward::Ticket;

/// Shortest time after which a running attempt counts as late.
const MIN_LATE_AFTER: Duration = Duration::from_millis(200);

/// Shortest time after which a refused request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// An upstream that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    upstream: Number,
    /// Whether the upstream was chosen to keep it in use rather than for its cost.
    is_trial: bool,
}

/// Chooses an upstream for each request of the fleet.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    policy: Policy,
    /// Share of the quotas and retry budgets that this dispatcher hands out.
    share: f64,
    /// When the leader was last heard, if this dispatcher places without it.
    leader_heard: Option<Instant>,
    /// Part of an interval after which the first permit of a limit is issued.
    first_permit: f64,
    publication: Rc<Publication>,
    pools: BTreeMap<ServiceId, Pool>,
    /// Service of each upstream.
    services: BTreeMap<Number, ServiceId>,
    slots_in_use: BTreeMap<Ticket, Slot>,
    timings: BTreeMap<RouteId, Timing>,
    quotas: Quotas,
    usage: Usage,
    hosts: BTreeMap<HostId, Host>,
    /// What upstreams have stated about themselves.
    ledger: Ledger,
    /// Upstreams that count as cold.
    cold: Cold,
    /// Ends of upstreams, by the content of the requests that they ran.
    poison: poison::Ledger,
    /// Hosts to which upstreams do not respond.
    contact: Contact,
    /// Upstreams whose limits have ended since [`Dispatcher::take_ended_limits`].
    ended_limits: Vec<Number>,
    /// Pairs of a host and an upstream that it could not connect to, with the end of the pause.
    unreachable_until: BTreeMap<(HostId, Number), Instant>,
    /// Requests and upstreams that were looked at to place requests.
    steps: u64,
    /// Refused requests since [`Dispatcher::take_refusals`].
    refusals: Refusals,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams and hosts.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            share: 1.0,
            leader_heard: None,
            first_permit: 1.0,
            publication: Rc::default(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            slots_in_use: BTreeMap::new(),
            timings: BTreeMap::new(),
            quotas: Quotas::default(),
            usage: Usage::default(),
            hosts: BTreeMap::new(),
            ledger: Ledger::default(),
            cold: Cold::default(),
            poison: poison::Ledger::default(),
            contact: Contact::new(policy.contact),
            ended_limits: Vec::new(),
            unreachable_until: BTreeMap::new(),
            steps: 0,
            refusals: Refusals::default(),
        }
    }

    /// Sets the share of the quotas, retry budgets and limits that this dispatcher hands out.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        if (self.share - share).abs() < f64::EPSILON {
            return;
        }
        self.share = share;
        let stated = self.ledger.limits().map(|(number, _)| number);
        let limited: BTreeSet<Number> = stated.chain(self.cold.upstreams()).collect();
        for number in limited {
            self.apply_ledger(number, now);
        }
    }

    /// Replaces the publication in force.
    pub fn publish(&mut self, publication: Rc<Publication>, now: Instant) {
        self.timings
            .retain(|route, _| publication.routes.contains_key(route));
        for pool in self.pools.values_mut() {
            let latencies = pool.hedges.latencies_mut();
            latencies.retain(|route| publication.routes.contains_key(route));
        }
        let limited = |tenant: &str| {
            let known = publication.tenants.get(tenant);
            known.is_some_and(|tenant| tenant.quota.is_some())
        };
        self.quotas.retain(limited);
        let has_new_terms = self.publication.terms != publication.terms;
        self.usage
            .retain(|tenant| publication.tenants.contains_key(tenant));
        self.publication = publication;
        if has_new_terms {
            self.apply_terms(now);
        }
    }

    /// Returns the number of requests and upstreams that were looked at to place requests so far, which
    /// most of the work of the dispatcher is in proportion to.
    #[must_use]
    pub const fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the ends of upstreams under the requests that they ran.
    #[must_use]
    pub const fn poison(&self) -> &poison::Ledger {
        &self.poison
    }

    /// Returns the ends of upstreams for changes.
    pub const fn poison_mut(&mut self) -> &mut poison::Ledger {
        &mut self.poison
    }

    /// Grants a slot of an upstream to a request, queues the request or refuses it.
    pub fn reserve(&mut self, request: Request, now: Instant) -> Vec<Answer> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&request.route);
        let Some(route) = route.filter(|route| route.leads_to(&request.service)) else {
            return vec![refused(request.ticket, Kind::RouteChanged, MIN_RETRY_AFTER)];
        };
        if self.is_limited_hedge(&request) {
            return self.reserve_hedge(request, route, now);
        }
        if let Err((kind, wait)) = self.admit(&request, route, now) {
            return vec![self.deny(request, kind, wait, now)];
        }
        match self.find_place(&request, route, now) {
            Some(choice) => vec![self.grant(request, choice, now)],
            None => self.enqueue_sized(request, route, now),
        }
    }

    /// Releases the slot of an attempt that has ended and records its outcome, or withdraws a
    /// queued request.
    ///
    /// Returns answers to the queued requests that can now be placed.
    pub fn release(
        &mut self,
        ticket: &Ticket,
        completion: &Completion,
        now: Instant,
    ) -> Vec<Answer> {
        let Some(slot) = self.free_slot(ticket, now) else {
            self.withdraw(ticket);
            return Vec::new();
        };
        self.record_completion(&ticket.host, &slot, completion, now);
        if let (Outcome::Answered, Some(first)) = (completion.outcome, &slot.hedge_of) {
            self.note_hedge_won(first, now);
        }
        self.place_queued(&slot.service, now)
    }

    /// Does the periodic work: records late attempts, refuses queued requests that can no longer be
    /// answered in time, and removes expired pauses and hosts.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        self.expire_absent_slots(now);
        self.record_late_attempts(now);
        self.unreachable_until.retain(|_, until| now < *until);
        self.ledger.expire(now);
        self.end_warmups(now);
        self.poison.expire(now);
        let is_kept = |host: &Host| {
            let disconnected = host.disconnected_at;
            disconnected
                .is_none_or(|at| now.saturating_duration_since(at) < DISCONNECTED_HOST_SHARE_TIME)
        };
        self.hosts.retain(|_, host| is_kept(host));
        for pool in self.pools.values_mut() {
            pool.refresh_all(now);
            pool.demand.expire(now);
        }
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        let mut answers = Vec::new();
        for service in services {
            answers.extend(self.review(&service, now));
            answers.extend(self.place_queued(&service, now));
        }
        answers
    }

    /// Takes what a new request has to pay for, and notes its arrival.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused, and the time after which to retry.
    fn admit(
        &mut self,
        request: &Request,
        route: &Route,
        now: Instant,
    ) -> Result<(), (Kind, Duration)> {
        let retries = self.retries();
        let is_first = self.policy.is_first_dispatcher;
        let rank = self.rank(request, route, now);
        let pool = self.pools.entry(request.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, is_first), now));
        if request.is_retry && !pool.withdraw_retry(rank, &retries, now) {
            return Err((Kind::RetryBudgetSpent, MIN_RETRY_AFTER));
        }
        self.take_token(request, now)
            .map_err(|wait| (Kind::RateExceeded, wait))?;
        // A request without a token is placed again as a first one, so it earns its retries only now.
        if request.is_first_placing()
            && let Some(pool) = self.pools.get_mut(&request.service)
        {
            let earned = pool.retry_budget.deposit(&retries);
            pool.ration.note_request(rank.priority, earned, now);
            self.deposit_hedge(&request.service);
        }
        self.note_arrival(request, route, now);
        Ok(())
    }

    /// Returns the upstream that a new request gets, or `None` if it has to wait.
    fn find_place(&mut self, request: &Request, route: &Route, now: Instant) -> Option<Choice> {
        let priority = self.priority(request, route);
        if !self.is_next(request, route, priority, now) || self.is_kept_from(request, now) {
            return None;
        }
        self.choose(request, now)
    }
}

const fn refused(ticket: Ticket, kind: Kind, retry_after: Duration) -> Answer {
    Answer {
        ticket,
        decision: Decision::Refused { kind, retry_after },
    }
}
