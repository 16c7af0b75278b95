//! The dispatcher, which places the requests of the whole fleet.
//!
//! The leader of control runs one [`Dispatcher`]. A host asks with [`Dispatcher::reserve`] before
//! it sends a request and calls [`Dispatcher::release`] when the attempt has ended; both return
//! the [`Answer`]s that are due, to this host and to others. One place thus counts the slots of
//! every upstream, pools what all hosts see of it, and holds tenants to their quotas and services
//! to their budget of repeats.
//!
//! It answers three loads. At ordinary load the cheapest upstream takes the request at once, where
//! the cost weighs failure, lateness and zones. When all slots are taken, asks wait by rank and
//! then fairly among tenants. An ask that cannot be answered in time is refused at once, with the
//! time after which the queue ahead of it is served.

mod belief;
mod cost;
mod failures;
mod observation;
mod placing;
mod pool;
mod quotas;
mod request;
mod retries;
mod timing;
mod upstream;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

pub use belief::Belief;
pub use cost::Attempt;
pub use failures::Failures;
pub use pool::Pool;
pub use quotas::Quotas;
pub use quotas::Share;
pub use request::Answer;
pub use request::Completion;
pub use request::Decision;
pub use request::Request;
pub use retries::Budget;
pub use retries::Retries;
pub use timing::Timing;
pub use upstream::Upstream;

use crate::error::Kind;
use crate::id::HostId;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::publication::Publication;
use crate::publication::Quota;
use crate::roster::Entry;
use crate::roster::Number;
use crate::steward::Ticket;
use crate::upstream::Stage;

/// Least time after which a running attempt counts as late.
const MIN_LATE_AFTER: Duration = Duration::from_millis(200);

/// Time for which the share of a host that fell silent is withheld from tenants' quotas.
const LOST_HOST_SHARE_TIME: Duration = Duration::from_secs(30);

/// Shortest time after which a refused request is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Repeats that operators allow for each service.
    pub retries: Retries,
    /// Silence after which an upstream counts as missing.
    pub max_silence: Duration,
    /// What a tenant finds when it is first seen.
    pub initial_balance: Balance,
    /// Whether no other dispatcher of the fleet came before this one.
    pub is_first_dispatcher: bool,
    /// Share of a service's upstreams that stay in use while some of its requests fail.
    pub floor: f64,
}

/// What a tenant with a quota finds when it is first seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Balance {
    /// This part of its burst; an earlier dispatcher may have given the rest.
    Share(f64),
    /// What operators tolerate beyond the quota, as far as hosts on their own leave of it; an
    /// earlier dispatcher may have given the whole quota.
    Tolerated(Tolerance),
    /// One token where the draw falls into the host's share of what operators tolerate beyond the
    /// quota, and a part of one elsewhere.
    Sampled {
        /// What operators tolerate.
        tolerance: Tolerance,
        /// A random number of the host, from 0 up to 1.
        draw: f64,
    },
}

/// What operators tolerate beyond a quota, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Time over which requests are counted.
    pub window: Duration,
    /// Part of the quota in such a time.
    pub part: f64,
    /// Requests beyond that part.
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

/// Part of the tolerance that hosts on their own may use at first; the rest covers what the last
/// dispatcher has just given.
const HOST_TOLERANCE_SHARE: f64 = 0.2;

/// Part of the tolerance that a later dispatcher begins with: three of them within one window stay
/// within it, with what hosts on their own use.
const INITIAL_TOLERANCE_SHARE: f64 = 0.26;

/// Tokens of a host that draws none: the next one flows in before long.
const UNSAMPLED_TOKENS: f64 = 0.6;

/// A slot in use.
#[derive(Debug, Clone)]
struct Slot {
    service: ServiceId,
    upstream: Number,
    route: RouteId,
    since: Instant,
    /// Whether no other attempt may follow.
    is_last: bool,
    /// Whether it is there for the floor only.
    is_for_floor: bool,
    /// Times that it has counted as late.
    late_count: u32,
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    upstream: Number,
    /// Whether it was chosen to keep the floor, and not for its cost.
    is_for_floor: bool,
}

/// A host of the fleet as the dispatcher knows it.
#[derive(Debug, Clone, Copy)]
struct Host {
    /// When its connection was lost, if it is.
    lost_at: Option<Instant>,
}

/// What a host reports of a request that it placed on its own or through another dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Name of the reservation.
    pub ticket: Ticket,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Route of the request.
    pub route: RouteId,
}

/// The use of one upstream, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Load {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Requests that are known to run there.
    pub running: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Probability that it is grey.
    pub grey: f64,
}

/// Places the requests of the whole fleet.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    /// Part of the quotas and budgets that is handed out here.
    share: f64,
    publication: Rc<Publication>,
    pools: BTreeMap<ServiceId, Pool>,
    /// Service of each upstream.
    services: BTreeMap<Number, ServiceId>,
    slots_in_use: BTreeMap<Ticket, Slot>,
    timings: BTreeMap<RouteId, Timing>,
    quotas: Quotas,
    hosts: BTreeMap<HostId, Host>,
    /// Hosts that could not connect to an upstream, with the end of the pause.
    unreachable_until: BTreeMap<(HostId, Number), Instant>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows of no upstreams and no hosts.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            share: 1.0,
            publication: Rc::default(),
            pools: BTreeMap::new(),
            services: BTreeMap::new(),
            slots_in_use: BTreeMap::new(),
            timings: BTreeMap::new(),
            quotas: Quotas::default(),
            hosts: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
        }
    }

    /// Sets the part of the quotas and budgets that is handed out here.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Puts a publication in force.
    pub fn publish(&mut self, publication: Rc<Publication>) {
        self.timings
            .retain(|route, _| publication.routes.contains_key(route));
        let limited = |tenant: &str| {
            let known = publication.tenants.get(tenant);
            known.is_some_and(|tenant| tenant.quota.is_some())
        };
        self.quotas.retain(limited);
        self.publication = publication;
    }

    /// Takes in what the roster says of an upstream; returns the asks that can now be placed.
    pub fn update_upstream(&mut self, entry: &Entry, now: Instant) -> Vec<Answer> {
        let announcement = &entry.announcement;
        if announcement.stage == Stage::Left {
            self.remove_upstream(entry.number);
            return Vec::new();
        }
        let service = announcement.service.clone();
        let moved = self
            .services
            .get(&entry.number)
            .is_some_and(|known| *known != service);
        if moved {
            self.remove_upstream(entry.number);
        }
        self.services.insert(entry.number, service.clone());
        let retries = self.retries();
        let first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, first), now));
        match pool.upstreams.get_mut(&entry.number) {
            Some(state) => state.update(announcement),
            None => pool.add(entry.number, Upstream::new(announcement, now)),
        }
        self.place_waiting(&service, now)
    }

    /// Starts all tenants anew: another dispatcher has spent from their quotas since.
    pub fn reset_quotas(&mut self) {
        self.quotas.retain(|_| false);
    }

    /// Notes that an upstream was heard from.
    pub fn touch_upstream(&mut self, number: Number, now: Instant) {
        if let Some(state) = self.upstream_mut(number) {
            state.last_heard = now;
        }
    }

    /// Notes that a host is connected.
    pub fn connect_host(&mut self, host: &str) {
        self.hosts.insert(host.to_owned(), Host { lost_at: None });
    }

    /// Gives up what a host had reserved and asked for after its connection was lost.
    pub fn disconnect_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        if let Some(known) = self.hosts.get_mut(host) {
            known.lost_at = Some(now);
        }
        self.release_host(host, now)
    }

    /// Forgets a host that stops by plan.
    pub fn remove_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.hosts.remove(host);
        self.release_host(host, now)
    }

    /// Returns how many hosts share the quotas.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the probability that an upstream is grey, if it is known.
    #[must_use]
    pub fn grey(&self, number: Number, now: Instant) -> Option<f64> {
        let pool = self.pools.get(self.services.get(&number)?)?;
        let state = pool.upstreams.get(&number)?;
        Some(state.belief.grey(now))
    }

    /// Returns the upstreams that are more likely grey than not.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<Number> {
        let upstreams = self.pools.values().flat_map(|pool| &pool.upstreams);
        let suspects = upstreams.filter(|(_, state)| state.belief.is_suspect(now));
        suspects.map(|(number, _)| *number).collect()
    }

    /// Takes over which upstreams another dispatcher suspects; `all` tells that its word goes
    /// before what was observed here.
    pub fn adopt_suspects(&mut self, suspects: &[Number], all: bool, now: Instant) {
        for pool in self.pools.values_mut() {
            for (number, state) in &mut pool.upstreams {
                if all || !state.belief.is_observed() {
                    state.belief.adopt(suspects.contains(number), now);
                }
            }
        }
    }

    /// Returns the load and the belief of every upstream, for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Vec<Load> {
        let pools = self.pools.iter();
        let upstreams = pools.flat_map(|(service, pool)| {
            let each = pool.upstreams.iter();
            each.map(move |(number, state)| Load {
                service: service.clone(),
                upstream: *number,
                running: state.running,
                slots: state.slots,
                grey: state.belief.grey(now),
            })
        });
        upstreams.collect()
    }

    /// Returns the requests that are known to run on an upstream.
    #[must_use]
    pub fn running(&self, number: Number) -> u32 {
        let pool = self
            .services
            .get(&number)
            .and_then(|service| self.pools.get(service));
        let state = pool.and_then(|pool| pool.upstreams.get(&number));
        state.map_or(0, |state| state.running)
    }

    /// Returns how many asks of a service wait.
    #[must_use]
    pub fn queued(&self, service: &str) -> usize {
        self.pools.get(service).map_or(0, Pool::queued)
    }

    /// Takes in a slot that a host uses without a grant of this dispatcher.
    pub fn record_running(&mut self, placement: Placement, now: Instant) {
        self.free_slot(&placement.ticket);
        let Some(state) = self.upstream_mut(placement.upstream) else {
            return;
        };
        state.running += 1;
        let slot = Slot {
            service: placement.service,
            upstream: placement.upstream,
            route: placement.route,
            since: now,
            is_last: false,
            is_for_floor: false,
            late_count: 0,
        };
        self.slots_in_use.insert(placement.ticket, slot);
    }

    /// Asks for an upstream.
    pub fn reserve(&mut self, request: Request, now: Instant) -> Vec<Answer> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&request.route);
        let Some(route) = route.filter(|route| route.leads_to(&request.service)) else {
            return vec![refused(request.ticket, Kind::RouteChanged, MIN_RETRY_AFTER)];
        };
        let retries = self.retries();
        let first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(request.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, first), now));
        if !request.is_retry {
            pool.retry_budget.deposit(&retries);
        } else if !pool.retry_budget.withdraw() {
            return vec![refused(
                request.ticket,
                Kind::RetryBudgetSpent,
                MIN_RETRY_AFTER,
            )];
        }
        if let Err(wait) = self.take_token(&request, now) {
            return vec![refused(request.ticket, Kind::RateExceeded, wait)];
        }
        let priority = self.priority(&request, route);
        let pool = self.pools.get(&request.service);
        if pool.is_some_and(|pool| pool.count_ahead(priority) == 0)
            && let Some(choice) = self.choose(&request, now)
        {
            return vec![self.grant(request, choice, now)];
        }
        if let Some((kind, wait)) = self.refusal(&request, priority, now) {
            self.refund(&request);
            if let Some(pool) = self.pools.get_mut(&request.service) {
                pool.failures.observe_refusal(now);
            }
            return vec![refused(request.ticket, kind, wait)];
        }
        self.enqueue(request, priority)
    }

    /// Ends an attempt, or withdraws an ask that waits, and takes in what the attempt showed.
    pub fn release(
        &mut self,
        ticket: &Ticket,
        completion: &Completion,
        now: Instant,
    ) -> Vec<Answer> {
        let Some(slot) = self.free_slot(ticket) else {
            self.withdraw(|request| request.ticket == *ticket);
            return Vec::new();
        };
        self.record_completion(&ticket.host, &slot, completion, now);
        self.place_waiting(&slot.service, now)
    }

    /// Lets time pass: notes late attempts, refuses asks whose time has come, forgets what lapsed.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        self.record_late_attempts(now);
        self.unreachable_until.retain(|_, until| now < *until);
        let is_kept = |host: &Host| {
            let lost = host.lost_at;
            lost.is_none_or(|at| now.saturating_duration_since(at) < LOST_HOST_SHARE_TIME)
        };
        self.hosts.retain(|_, host| is_kept(host));
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        let mut answers = Vec::new();
        for service in services {
            answers.extend(self.refuse_late(&service, now));
            answers.extend(self.place_waiting(&service, now));
        }
        answers
    }

    /// Takes a token for the first attempt of a request whose tenant has a quota.
    fn take_token(&mut self, request: &Request, now: Instant) -> Result<(), Duration> {
        if request.is_retry || request.attempts > 0 || !request.avoid.is_empty() {
            return Ok(());
        }
        let Some(tenant) = &request.tenant else {
            return Ok(());
        };
        let known = self.publication.tenants.get(tenant);
        let Some(quota) = known.and_then(|known| known.quota) else {
            return Ok(());
        };
        let lost = self
            .hosts
            .values()
            .filter(|host| host.lost_at.is_some())
            .count();
        let all = self.hosts.len().max(1);
        let connected = 1.0 - lost as f64 / all as f64;
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
        self.quotas.take(tenant, share, now)
    }

    /// Gives back the token of a first attempt that was not placed.
    fn refund(&mut self, request: &Request) {
        if request.attempts == 0
            && request.avoid.is_empty()
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
        let own = |ticket: &&Ticket| ticket.host == host;
        let tickets: Vec<Ticket> = self.slots_in_use.keys().filter(own).cloned().collect();
        let mut services = BTreeSet::new();
        for ticket in tickets {
            services.extend(self.free_slot(&ticket).map(|slot| slot.service));
        }
        self.withdraw(|request| request.ticket.host == host);
        let served = services
            .iter()
            .map(|service| self.place_waiting(service, now));
        served.flatten().collect()
    }

    fn free_slot(&mut self, ticket: &Ticket) -> Option<Slot> {
        let slot = self.slots_in_use.remove(ticket)?;
        if let Some(state) = self.upstream_mut(slot.upstream) {
            state.running = state.running.saturating_sub(1);
        }
        Some(slot)
    }

    /// Stops placing requests on an upstream until it announces itself anew.
    fn remove_upstream(&mut self, number: Number) {
        let service = self.services.remove(&number);
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) {
            pool.remove(number);
        }
    }

    fn upstream_mut(&mut self, number: Number) -> Option<&mut Upstream> {
        let pool = self.pools.get_mut(self.services.get(&number)?)?;
        pool.upstreams.get_mut(&number)
    }
}

const fn refused(ticket: Ticket, kind: Kind, retry_after: Duration) -> Answer {
    Answer {
        ticket,
        decision: Decision::Refused { kind, retry_after },
    }
}
