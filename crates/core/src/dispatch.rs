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
mod failures;
mod free;
mod hedge;
mod latencies;
mod line;
mod observation;
mod pace;
mod placing;
mod pool;
mod queueing;
mod quotas;
mod refusals;
mod request;
mod reserve;
mod retries;
mod review;
mod statements;
mod timing;
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

use serde::Serialize;

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
pub use pace::Pace;
pub use pool::Pool;
pub use quotas::Quotas;
pub use quotas::Share;
pub use quotas::share_without_leader;
pub use refusals::Refusals;
pub use request::Answer;
pub use request::Completion;
pub use request::Decision;
pub use request::Request;
pub use reserve::Reserve;
pub use retries::Budget;
pub use retries::Retries;
pub use timing::Timing;
pub use upstream::Upstream;
pub use usage::Usage;
pub use usual::Usual;
pub use view::Waiting;

use crate::dispatch::contact::Contact;
use crate::dispatch::warmup::Cold;
use crate::error::Kind;
use crate::health::Outcome;
use crate::id::HostId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Zone;
use crate::poison;
use crate::publication::Publication;
use crate::publication::Quota;
use crate::roster::Entry;
use crate::roster::Number;
use crate::statement::Ledger;
use crate::statement::Limit;
use crate::steward::Ticket;
use crate::upstream::Stage;

/// Shortest time after which a running attempt counts as late.
const MIN_LATE_AFTER: Duration = Duration::from_millis(200);

/// Time for which the share of a disconnected host is withheld from the quotas of tenants, since
/// the host may still spend this share on its own.
const DISCONNECTED_HOST_SHARE_TIME: Duration = Duration::from_secs(30);

/// Shortest time after which a refused request may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries that operators allow for each service.
    pub retries: Retries,
    /// Time without an announcement after which an upstream counts as silent.
    pub max_silence: Duration,
    /// Tokens of a tenant with a quota at its first request.
    pub initial_balance: Balance,
    /// Whether this is the first dispatcher that the fleet has had.
    pub is_first_dispatcher: bool,
    /// Floor: least share of a service's upstreams that stay in use while some requests fail.
    pub floor: f64,
    /// Most extra sends of running requests, as a share of the requests to a service whose terms set none;
    /// `None` if only the retry budget limits them.
    pub hedge_share: Option<f64>,
}

/// Tokens of a tenant with a quota at its first request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Balance {
    /// A share of the burst; an earlier dispatcher may have granted the rest.
    Share(f64),
    /// A share of the tolerance beyond the quota, up to the burst; an earlier dispatcher may have
    /// granted the whole quota, and hosts without a dispatcher use another share of the tolerance.
    Tolerated(Tolerance),
    /// One token with a probability that follows from the host's share of the tolerance beyond the
    /// quota, and less than one token otherwise.
    Sampled {
        /// Tolerance over the whole fleet.
        tolerance: Tolerance,
        /// Random number of the host in `0..1`.
        draw: f64,
    },
}

/// Requests beyond a quota that operators tolerate over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a share of the quota in one window.
    pub part: f64,
    /// Tolerated requests in one window in addition to the share.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the requests beyond a quota that are tolerated in one window.
    #[must_use]
    pub fn excess(&self, quota: &Quota) -> f64 {
        let window = self.window.as_secs_f64() * quota.per_second;
        self.slack + self.part * (window + quota.burst)
    }
}

/// Share of the tolerance that hosts without a dispatcher may use at first; the rest covers what
/// the last dispatcher has just granted.
const HOST_TOLERANCE_SHARE: f64 = 0.2;

/// Share of the tolerance that a later dispatcher starts with: three dispatchers within one window,
/// together with hosts without a dispatcher, stay within the tolerance.
const INITIAL_TOLERANCE_SHARE: f64 = 0.26;

/// Initial tokens of a host that is not sampled; below one, so that it waits for the refill.
const UNSAMPLED_TOKENS: f64 = 0.6;

/// A slot of an upstream that a host is using.
#[derive(Debug, Clone)]
struct Slot {
    service: ServiceId,
    upstream: Number,
    /// Zone of the host, if it is known.
    zone: Zone,
    route: RouteId,
    /// What the request takes of the service.
    hold: Hold,
    since: Instant,
    /// When the answer to the client is due, after which the host no longer waits for the upstream.
    deadline: Instant,
    /// Until when the slot stays in use while its host has no link, or has not reported yet what it runs.
    absent_until: Option<Instant>,
    /// Whether no other attempt of the request may follow.
    is_last: bool,
    /// Whether the upstream was chosen to keep it in use rather than for its cost.
    is_trial: bool,
    /// Number of times that the attempt has been recorded as late.
    late_count: u32,
    /// The attempt that this one is an extra send to, if the service limits these.
    hedge_of: Option<Ticket>,
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    upstream: Number,
    /// Whether the upstream was chosen to keep it in use rather than for its cost.
    is_trial: bool,
}

/// The connection state of a host.
#[derive(Debug, Clone, Copy)]
struct Host {
    /// When the connection was lost; `None` while the host is connected.
    disconnected_at: Option<Instant>,
}

/// A running request that a host placed on its own or through another dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Identifier of the reservation.
    pub ticket: Ticket,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Route of the request.
    pub route: RouteId,
}

/// The load of one upstream, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Load {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Requests that are known to run on the upstream.
    pub running: u32,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Probability that the upstream is grey.
    pub grey: f64,
    /// Whether the upstream has stated in an answer that it is draining.
    pub states_draining: bool,
    /// Requests a second that the upstream has stated to take from all hosts.
    pub limit: Option<f64>,
    /// Whether the upstream counts as cold, so that the terms of its service limit its requests.
    pub is_cold: bool,
    /// Hosts from which the upstream wants no requests for now.
    pub paused_hosts: usize,
}

/// Chooses an upstream for each request of the fleet.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    /// Share of the quotas and retry budgets that this dispatcher hands out.
    share: f64,
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
            contact: Contact::default(),
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

    /// Adds, updates or removes an upstream by its entry of the roster.
    ///
    /// Returns answers to the queued requests that can now be placed.
    pub fn update_upstream(&mut self, entry: &Entry, now: Instant) -> Vec<Answer> {
        let announcement = &entry.announcement;
        if announcement.stage == Stage::Left {
            self.ledger.forget(entry.number);
            self.remove_upstream(entry.number);
            return Vec::new();
        }
        let service = announcement.service.clone();
        let changed_service = self
            .services
            .get(&entry.number)
            .is_some_and(|known| *known != service);
        if changed_service {
            self.remove_upstream(entry.number);
        }
        self.services.insert(entry.number, service.clone());
        let before = self.stage(entry.number);
        let retries = self.retries();
        let is_first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, is_first), now));
        if !pool.change(entry.number, now, |state| state.update(announcement)) {
            pool.add(entry.number, Upstream::new(announcement, now), now);
            self.apply_ledger(entry.number, now);
        }
        self.note_stage(entry.number, before, now);
        self.place_queued(&service, now)
    }

    /// Removes the upstreams that are not `listed`.
    pub fn retain_upstreams(&mut self, listed: &BTreeSet<Number>) {
        let known: Vec<Number> = self.services.keys().copied().collect();
        for number in known.into_iter().filter(|one| !listed.contains(one)) {
            self.ledger.forget(number);
            self.remove_upstream(number);
        }
    }

    /// Resets the tokens of all tenants to their initial balance, because another dispatcher has
    /// spent from their quotas in the meantime.
    pub fn reset_quotas(&mut self) {
        self.quotas.retain(|_| false);
    }

    /// Records an announcement of an upstream.
    pub fn touch_upstream(&mut self, number: Number, now: Instant) {
        let lives = self.contact.note_announcement(number, now);
        self.change_upstream(number, now, |state| {
            state.last_heard = now;
            state.dead_until = state.dead_until.filter(|_| !lives);
        });
    }

    /// Removes a host that stops as planned, with its slots and queued requests.
    ///
    /// Returns answers to requests of other hosts that can now be placed.
    pub fn remove_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.hosts.remove(host);
        self.ledger.forget_host(host);
        self.release_host(host, now)
    }

    /// Returns the number of hosts that share the quotas.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the probability that an upstream is grey, or `None` for an unknown upstream.
    #[must_use]
    pub fn grey(&self, number: Number, now: Instant) -> Option<f64> {
        let pool = self.pools.get(self.services.get(&number)?)?;
        let state = pool.get(number)?;
        Some(state.belief.grey(now))
    }

    /// Returns the upstreams that are more likely grey than not.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> BTreeSet<Number> {
        let upstreams = self.pools.values().flat_map(Pool::upstreams);
        let suspects = upstreams.filter(|(_, state)| state.belief.is_suspect(now));
        suspects.map(|(number, _)| number).collect()
    }

    /// Adopts the suspects of another dispatcher for upstreams without an outcome observed here.
    ///
    /// With `overrides_observed`, they replace the beliefs about all other upstreams too.
    pub fn adopt_suspects(
        &mut self,
        suspects: &BTreeSet<Number>,
        overrides_observed: bool,
        now: Instant,
    ) {
        for pool in self.pools.values_mut() {
            pool.change_all(now, |number, state| {
                if overrides_observed || !state.belief.is_observed() {
                    state.belief.adopt(suspects.contains(&number), now);
                }
            });
        }
    }

    /// Returns the load of every upstream and the probability that it is grey, for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Vec<Load> {
        let pools = self.pools.iter();
        let upstreams = pools.flat_map(|(service, pool)| {
            let each = pool.upstreams();
            each.map(move |(number, state)| Load {
                service: service.clone(),
                upstream: number,
                running: state.running,
                slots: state.slots,
                grey: state.belief.grey(now),
                states_draining: self.ledger.is_draining(number),
                limit: self.ledger.limit(number).map(Limit::per_second),
                is_cold: self.cold.contains(number),
                paused_hosts: self.ledger.count_paused_hosts(number, now),
            })
        });
        upstreams.collect()
    }

    /// Returns the number of requests that are known to run on an upstream.
    #[must_use]
    pub fn running(&self, number: Number) -> u32 {
        let pool = self
            .services
            .get(&number)
            .and_then(|service| self.pools.get(service));
        let state = pool.and_then(|pool| pool.get(number));
        state.map_or(0, |state| state.running)
    }

    /// Returns the number of requests and upstreams that were looked at to place requests so far, which
    /// most of the work of the dispatcher is in proportion to.
    #[must_use]
    pub const fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn queued(&self, service: &str) -> usize {
        self.pools.get(service).map_or(0, Pool::queued)
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

    /// Returns the number of hosts that could not connect to some upstream a short time ago.
    #[must_use]
    pub fn hosts_with_unreachable(&self, now: Instant) -> usize {
        let current = self.unreachable_until.iter();
        let current = current.filter(|(_, until)| now < **until);
        let hosts: BTreeSet<&HostId> = current.map(|((host, _), _)| host).collect();
        hosts.len()
    }

    /// Returns the number of upstreams at which several hosts in contact found no listener.
    #[must_use]
    pub fn dead_upstreams(&self, now: Instant) -> usize {
        self.contact.dead(now)
    }

    /// Returns the number of hosts whose own paths count as the cause of their failures.
    #[must_use]
    pub fn hosts_out_of_contact(&self) -> usize {
        self.contact.out_of_contact()
    }

    /// Returns the retries that each service may still send.
    pub fn retries_left(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        let pools = self.pools.iter();
        pools.map(|(service, pool)| (service, pool.retry_budget.tokens()))
    }

    /// Records a slot that a host uses without a grant of this dispatcher, or still uses after its link ended.
    pub fn record_running(&mut self, placement: Placement, now: Instant) {
        let known = self.slots_in_use.get_mut(&placement.ticket);
        if let Some(slot) = known.filter(|slot| slot.upstream == placement.upstream) {
            slot.absent_until = None;
            return;
        }
        self.free_slot(&placement.ticket, now);
        if !self.change_upstream(placement.upstream, now, |state| state.running += 1) {
            return;
        }
        let hold = self.hold(&placement.service, &placement.route, None);
        if let Some(pool) = self.pools.get_mut(&placement.service) {
            pool.demand.note_grant(hold);
        }
        let route = self.publication.routes.get(&placement.route);
        let timeout = route.map_or(DISCONNECTED_HOST_SHARE_TIME, |route| route.timeout);
        let slot = Slot {
            service: placement.service,
            upstream: placement.upstream,
            zone: Zone::new(),
            route: placement.route,
            hold,
            since: now,
            deadline: now + timeout,
            absent_until: None,
            is_last: false,
            is_trial: false,
            late_count: 0,
            hedge_of: None,
        };
        self.slots_in_use.insert(placement.ticket, slot);
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
        let retries = self.retries();
        let is_first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(request.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, is_first), now));
        if request.is_retry && !pool.retry_budget.withdraw() {
            return vec![refused(
                request.ticket,
                Kind::RetryBudgetSpent,
                MIN_RETRY_AFTER,
            )];
        }
        if let Err(wait) = self.take_token(&request, now) {
            return vec![refused(request.ticket, Kind::RateExceeded, wait)];
        }
        // A request without a token is placed again as a first one, so it earns its retries only now.
        if request.is_first_placing()
            && let Some(pool) = self.pools.get_mut(&request.service)
        {
            pool.retry_budget.deposit(&retries);
            self.deposit_hedge(&request.service);
        }
        self.note_arrival(&request, route, now);
        let priority = self.priority(&request, route);
        if self.is_next(&request, route, priority, now)
            && !self.is_kept_from(&request, now)
            && let Some(choice) = self.choose(&request, now)
        {
            return vec![self.grant(request, choice, now)];
        }
        self.enqueue(request, route, now)
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

    /// Takes a token for the first attempt of a request whose tenant has a quota.
    fn take_token(&mut self, request: &Request, now: Instant) -> Result<(), Duration> {
        if !request.is_first_placing() {
            return Ok(());
        }
        let Some(tenant) = &request.tenant else {
            return Ok(());
        };
        let known = self.publication.tenants.get(tenant);
        let Some(quota) = known.and_then(|known| known.quota) else {
            return Ok(());
        };
        let disconnected = self
            .hosts
            .values()
            .filter(|host| host.disconnected_at.is_some())
            .count();
        let all = self.hosts.len().max(1);
        let connected = 1.0 - disconnected as f64 / all as f64;
        let share = Share {
            per_second: quota.per_second * self.share * connected,
            burst: quota.burst * self.share,
            initial: match self.policy.initial_balance {
                Balance::Share(part) => quota.burst * self.share * part,
                Balance::Tolerated(tolerance) => {
                    let tokens = tolerance.excess(&quota) * INITIAL_TOLERANCE_SHARE;
                    tokens.min(quota.burst) * self.share
                }
                Balance::Sampled { tolerance, draw } => {
                    let chance = tolerance.excess(&quota) * HOST_TOLERANCE_SHARE * self.share;
                    if draw < chance { 1.0 } else { UNSAMPLED_TOKENS }
                }
            },
        };
        self.quotas.take_token(tenant, share, now)
    }

    /// Returns the token of a first attempt that was not placed.
    fn refund(&mut self, request: &Request) {
        if request.is_first_placing()
            && let Some(tenant) = &request.tenant
        {
            self.quotas.refund(tenant);
        }
    }

    fn retries(&self) -> Retries {
        let retries = self.policy.retries;
        Retries {
            ratio: retries.ratio,
            burst: retries.burst * self.share,
        }
    }

    fn release_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.contact.forget_host(host);
        self.withdraw_host(host);
        self.free_slots(self.tickets(host, |_| true), now)
    }

    /// Frees slots and returns answers to queued requests that can now be placed.
    fn free_slots(&mut self, tickets: Vec<Ticket>, now: Instant) -> Vec<Answer> {
        let mut services = BTreeSet::new();
        for ticket in tickets {
            services.extend(self.free_slot(&ticket, now).map(|slot| slot.service));
        }
        let served = services
            .iter()
            .map(|service| self.place_queued(service, now));
        served.flatten().collect()
    }

    fn free_slot(&mut self, ticket: &Ticket, now: Instant) -> Option<Slot> {
        let slot = self.slots_in_use.remove(ticket)?;
        if let Some(pool) = self.pools.get_mut(&slot.service) {
            pool.demand.note_end(slot.hold);
        }
        self.change_upstream(slot.upstream, now, |state| {
            state.running = state.running.saturating_sub(1);
        });
        Some(slot)
    }

    /// Removes an upstream until it announces itself again.
    fn remove_upstream(&mut self, number: Number) {
        self.cold.remove(number);
        self.contact.forget_upstream(number);
        let service = self.services.remove(&number);
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) {
            pool.remove(number);
        }
    }

    /// Changes an upstream; returns whether it is known.
    fn change_upstream<F>(&mut self, number: Number, now: Instant, change: F) -> bool
    where
        F: FnOnce(&mut Upstream),
    {
        let service = self.services.get(&number);
        let pool = service.and_then(|service| self.pools.get_mut(service));
        pool.is_some_and(|pool| pool.change(number, now, change))
    }
}

const fn refused(ticket: Ticket, kind: Kind, retry_after: Duration) -> Answer {
    Answer {
        ticket,
        decision: Decision::Refused { kind, retry_after },
    }
}
