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
mod health;
mod learning;
mod place;
mod placing;
mod pool;
mod quotas;
mod request;
mod retries;
mod timing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

pub use belief::Belief;
pub use cost::Subject;
pub use health::Health;
pub use place::Place;
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
const LATE_LEAST: Duration = Duration::from_millis(200);

/// Time for which the share of a host that fell silent is withheld from tenants' quotas.
const SHARE_HELD: Duration = Duration::from_secs(30);

/// Shortest time after which a refused request is told to come back.
const RETRY_LEAST: Duration = Duration::from_millis(150);

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
    pub fn of(&self, quota: &Quota) -> f64 {
        let window = self.window.as_secs_f64() * quota.per_second;
        self.slack + self.part * (window + quota.burst)
    }
}

/// Part of the tolerance that hosts on their own may use at first; the rest covers what the last
/// dispatcher has just given.
const TOLERANCE_USED: f64 = 0.2;

/// Part of the tolerance that a later dispatcher begins with: three of them within one window stay
/// within it, with what hosts on their own use.
const TOLERANCE_FIRST: f64 = 0.26;

/// Tokens of a host that draws none: the next one flows in before long.
const NEARLY_ONE: f64 = 0.6;

/// A slot in use.
#[derive(Debug, Clone)]
struct Hold {
    service: ServiceId,
    upstream: Number,
    route: RouteId,
    since: Instant,
    /// Whether no other attempt may follow.
    last: bool,
    /// Whether it is there for the floor only.
    forced: bool,
    /// Times that it has counted as late.
    late: u32,
}

/// An upstream that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    upstream: Number,
    /// Whether it was chosen to keep the floor, and not for its cost.
    forced: bool,
}

/// A host of the fleet as the dispatcher knows it.
#[derive(Debug, Clone, Copy)]
struct Host {
    /// When its connection was lost, if it is.
    lost: Option<Instant>,
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
    homes: BTreeMap<Number, ServiceId>,
    held: BTreeMap<Ticket, Hold>,
    timings: BTreeMap<RouteId, Timing>,
    quotas: Quotas,
    hosts: BTreeMap<HostId, Host>,
    /// Hosts that could not connect to an upstream, with the end of the pause.
    pairs: BTreeMap<(HostId, Number), Instant>,
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
            homes: BTreeMap::new(),
            held: BTreeMap::new(),
            timings: BTreeMap::new(),
            quotas: Quotas::default(),
            hosts: BTreeMap::new(),
            pairs: BTreeMap::new(),
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
            self.dismiss(entry.number);
            return Vec::new();
        }
        let service = announcement.service.clone();
        let moved = self
            .homes
            .get(&entry.number)
            .is_some_and(|home| *home != service);
        if moved {
            self.dismiss(entry.number);
        }
        self.homes.insert(entry.number, service.clone());
        let retries = self.retries();
        let first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, first), now));
        match pool.places.get_mut(&entry.number) {
            Some(place) => place.update(announcement),
            None => pool.add(entry.number, Place::new(announcement, now)),
        }
        self.serve(&service, now)
    }

    /// Starts all tenants anew: another dispatcher has spent from their quotas since.
    pub fn reset_quotas(&mut self) {
        self.quotas.retain(|_| false);
    }

    /// Notes that an upstream was heard from.
    pub fn touch_upstream(&mut self, number: Number, now: Instant) {
        if let Some(place) = self.place_mut(number) {
            place.heard = now;
        }
    }

    /// Notes that a host is connected.
    pub fn connect_host(&mut self, host: &str) {
        self.hosts.insert(host.to_owned(), Host { lost: None });
    }

    /// Gives up what a host had reserved and asked for after its connection was lost.
    pub fn disconnect_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        if let Some(known) = self.hosts.get_mut(host) {
            known.lost = Some(now);
        }
        self.give_up(host, now)
    }

    /// Forgets a host that stops by plan.
    pub fn remove_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.hosts.remove(host);
        self.give_up(host, now)
    }

    /// Returns how many hosts share the quotas.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the probability that an upstream is grey, if it is known.
    #[must_use]
    pub fn grey(&self, number: Number, now: Instant) -> Option<f64> {
        let pool = self.pools.get(self.homes.get(&number)?)?;
        let place = pool.places.get(&number)?;
        Some(place.belief.grey(now))
    }

    /// Returns the upstreams that are more likely grey than not.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<Number> {
        let places = self.pools.values().flat_map(|pool| &pool.places);
        let suspects = places.filter(|(_, place)| place.belief.is_suspect(now));
        suspects.map(|(number, _)| *number).collect()
    }

    /// Takes over which upstreams another dispatcher suspects; `all` tells that its word goes
    /// before what was observed here.
    pub fn adopt_suspects(&mut self, suspects: &[Number], all: bool, now: Instant) {
        for pool in self.pools.values_mut() {
            for (number, place) in &mut pool.places {
                if all || !place.belief.is_observed() {
                    place.belief.take_over(suspects.contains(number), now);
                }
            }
        }
    }

    /// Returns the load and the belief of every upstream, for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Vec<Load> {
        let pools = self.pools.iter();
        let places = pools.flat_map(|(service, pool)| {
            let each = pool.places.iter();
            each.map(move |(number, place)| Load {
                service: service.clone(),
                upstream: *number,
                running: place.running,
                slots: place.slots,
                grey: place.belief.grey(now),
            })
        });
        places.collect()
    }

    /// Returns the requests that are known to run on an upstream.
    #[must_use]
    pub fn running(&self, number: Number) -> u32 {
        let pool = self
            .homes
            .get(&number)
            .and_then(|home| self.pools.get(home));
        let place = pool.and_then(|pool| pool.places.get(&number));
        place.map_or(0, |place| place.running)
    }

    /// Returns how many asks of a service wait.
    #[must_use]
    pub fn queued(&self, service: &str) -> usize {
        self.pools.get(service).map_or(0, Pool::queued)
    }

    /// Takes in a slot that a host uses without a grant of this dispatcher.
    pub fn record_running(&mut self, report: Placement, now: Instant) {
        self.free(&report.ticket);
        let Some(place) = self.place_mut(report.upstream) else {
            return;
        };
        place.running += 1;
        let hold = Hold {
            service: report.service,
            upstream: report.upstream,
            route: report.route,
            since: now,
            last: false,
            forced: false,
            late: 0,
        };
        self.held.insert(report.ticket, hold);
    }

    /// Asks for an upstream.
    pub fn reserve(&mut self, ask: Request, now: Instant) -> Vec<Answer> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&ask.route);
        let Some(route) = route.filter(|route| route.leads_to(&ask.service)) else {
            return vec![refused(ask.ticket, Kind::RouteChanged, RETRY_LEAST)];
        };
        let retries = self.retries();
        let first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(ask.service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, first), now));
        if !ask.is_retry {
            pool.retry_budget.deposit(&retries);
        } else if !pool.retry_budget.withdraw() {
            return vec![refused(ask.ticket, Kind::RetryBudgetSpent, RETRY_LEAST)];
        }
        if let Err(wait) = self.admit(&ask, now) {
            return vec![refused(ask.ticket, Kind::RateExceeded, wait)];
        }
        let priority = self.priority(&ask, route);
        let pool = self.pools.get(&ask.service);
        if pool.is_some_and(|pool| pool.ahead(priority) == 0)
            && let Some(choice) = self.choose(&ask, now)
        {
            return vec![self.grant(ask, choice, now)];
        }
        if let Some((kind, wait)) = self.hopeless(&ask, priority, now) {
            self.give_back(&ask);
            if let Some(pool) = self.pools.get_mut(&ask.service) {
                pool.health.observe_refusal(now);
            }
            return vec![refused(ask.ticket, kind, wait)];
        }
        self.enqueue(ask, priority)
    }

    /// Ends an attempt, or withdraws an ask that waits, and takes in what the attempt showed.
    pub fn release(&mut self, ticket: &Ticket, end: &Completion, now: Instant) -> Vec<Answer> {
        let Some(hold) = self.free(ticket) else {
            self.withdraw(|ask| ask.ticket == *ticket);
            return Vec::new();
        };
        self.learn(&ticket.host, &hold, end, now);
        self.serve(&hold.service, now)
    }

    /// Lets time pass: notes late attempts, refuses asks whose time has come, forgets what lapsed.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        self.note_late(now);
        self.pairs.retain(|_, until| now < *until);
        let lasts = |host: &Host| {
            let lost = host.lost;
            lost.is_none_or(|at| now.saturating_duration_since(at) < SHARE_HELD)
        };
        self.hosts.retain(|_, host| lasts(host));
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        let mut answers = Vec::new();
        for service in services {
            answers.extend(self.expire(&service, now));
            answers.extend(self.serve(&service, now));
        }
        answers
    }

    /// Takes a token for the first attempt of a request whose tenant has a quota.
    fn admit(&mut self, ask: &Request, now: Instant) -> Result<(), Duration> {
        if ask.is_retry || ask.attempts > 0 || !ask.avoid.is_empty() {
            return Ok(());
        }
        let Some(tenant) = &ask.tenant else {
            return Ok(());
        };
        let known = self.publication.tenants.get(tenant);
        let Some(quota) = known.and_then(|known| known.quota) else {
            return Ok(());
        };
        let lost = self
            .hosts
            .values()
            .filter(|host| host.lost.is_some())
            .count();
        let all = self.hosts.len().max(1);
        let kept = 1.0 - lost as f64 / all as f64;
        let share = Share {
            per_second: quota.per_second * self.share * kept,
            burst: quota.burst * self.share,
            initial: match self.policy.initial_balance {
                Balance::Share(part) => quota.burst * self.share * part,
                Balance::Tolerated(tolerance) => {
                    let spare = tolerance.of(&quota) * TOLERANCE_FIRST;
                    spare.min(quota.burst) * self.share
                }
                Balance::Sampled { tolerance, draw } => {
                    let chance = tolerance.of(&quota) * TOLERANCE_USED * self.share;
                    if draw < chance { 1.0 } else { NEARLY_ONE }
                }
            },
        };
        self.quotas.take(tenant, share, now)
    }

    /// Gives back the token of a first attempt that was not placed.
    fn give_back(&mut self, ask: &Request) {
        if ask.attempts == 0
            && ask.avoid.is_empty()
            && let Some(tenant) = &ask.tenant
        {
            self.quotas.give_back(tenant);
        }
    }

    fn retries(&self) -> Retries {
        let retries = self.policy.retries;
        Retries {
            ratio: retries.ratio,
            burst: retries.burst * self.share,
        }
    }

    fn give_up(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        let own = |ticket: &&Ticket| ticket.host == host;
        let tickets: Vec<Ticket> = self.held.keys().filter(own).cloned().collect();
        let mut services = BTreeSet::new();
        for ticket in tickets {
            services.extend(self.free(&ticket).map(|hold| hold.service));
        }
        self.withdraw(|ask| ask.ticket.host == host);
        let served = services.iter().map(|service| self.serve(service, now));
        served.flatten().collect()
    }

    fn free(&mut self, ticket: &Ticket) -> Option<Hold> {
        let hold = self.held.remove(ticket)?;
        if let Some(place) = self.place_mut(hold.upstream) {
            place.running = place.running.saturating_sub(1);
        }
        Some(hold)
    }

    /// Stops placing requests on an upstream until it announces itself anew.
    fn dismiss(&mut self, number: Number) {
        let home = self.homes.remove(&number);
        if let Some(pool) = home.and_then(|home| self.pools.get_mut(&home)) {
            pool.remove(number);
        }
    }

    fn place_mut(&mut self, number: Number) -> Option<&mut Place> {
        let pool = self.pools.get_mut(self.homes.get(&number)?)?;
        pool.places.get_mut(&number)
    }
}

const fn refused(ticket: Ticket, kind: Kind, retry_after: Duration) -> Answer {
    Answer {
        ticket,
        decision: Decision::Refused { kind, retry_after },
    }
}
