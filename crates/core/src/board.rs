//! The state of the fleet as one process knows it.
//!
//! I/O code writes received state to the [`Board`]; controllers read the board, decide and write
//! their decisions to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::config::Order;
use crate::config::State;
use crate::event::Ring;
use crate::host;
use crate::host::Host;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::key::Digest;
use crate::retry::Limits;
use crate::route::Table;
use crate::upstream::Announcement;
use crate::upstream::Stage;
use crate::upstream::Upstream;

/// Upper bound on the upstreams of a board.
pub const MAX_UPSTREAMS: usize = 65_536;

/// Upper bound on the hosts of a board.
pub const MAX_HOSTS: usize = 8_192;

/// Upper bound on the withdrawals that the configuration does not hold yet.
pub const MAX_WITHDRAWN: usize = 4_096;

/// Smallest number of lapsed upstreams at which the lapses of a service are disregarded, if most of
/// its upstreams lapsed.
const MIN_LAPSED_UPSTREAMS: usize = 4;

/// Time for which an upstream that has left or lapsed, or a host that stopped, stays on the board.
pub const GONE_RETENTION: Duration = Duration::from_secs(120);

/// Time for which a suspected host stays on the board and counts as part of the fleet.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// The state of the fleet as one process knows it.
#[derive(Debug)]
pub struct Board {
    clock: Rc<dyn Clock>,
    config: Rc<State>,
    routes: Rc<Table>,
    withdrawn: BTreeSet<Digest>,
    services: BTreeMap<ServiceId, BTreeMap<UpstreamId, Upstream>>,
    hosts: BTreeMap<HostId, Host>,
    retries: BTreeMap<ServiceId, Limits>,
    host_changes: u64,
    upstream_changes: u64,
    upstream_count: usize,
    events: Ring,
}

impl Board {
    /// Creates an empty board.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            config: Rc::new(State::default()),
            routes: Rc::new(Table::default()),
            withdrawn: BTreeSet::new(),
            services: BTreeMap::new(),
            hosts: BTreeMap::new(),
            retries: BTreeMap::new(),
            host_changes: 0,
            upstream_changes: 0,
            upstream_count: 0,
            events: Ring::default(),
        }
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Rc<State> {
        Rc::clone(&self.config)
    }

    /// Returns the route table of the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Rc<Table> {
        Rc::clone(&self.routes)
    }

    /// Returns the digests of withdrawn keys that the configuration does not hold yet.
    #[must_use]
    pub const fn withdrawn(&self) -> &BTreeSet<Digest> {
        &self.withdrawn
    }

    /// Returns the announced upstreams of a service.
    pub fn upstreams(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns every upstream on the board.
    pub fn all_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Returns one upstream.
    #[must_use]
    pub fn upstream(&self, service: &str, id: &str) -> Option<&Upstream> {
        self.services.get(service)?.get(id)
    }

    /// Returns whether an upstream may get new requests by its announcement and the orders of
    /// operators.
    ///
    /// An upstream whose announcement lapsed still gets requests while most of its service lapsed,
    /// since the fault then likely lies in the transport of announcements.
    #[must_use]
    pub fn takes_requests(&self, upstream: &Upstream) -> bool {
        let orders = self.config.orders();
        let is_drained_or_ejected = matches!(
            orders.get(&upstream.announcement.id),
            Some(Order::Drain | Order::Eject)
        );
        upstream.announcement.stage.takes_requests()
            && !is_drained_or_ejected
            && (upstream.is_current() || self.disregards_lapses(&upstream.announcement.service))
    }

    /// Returns whether so many upstreams of a service lapsed that their lapses are disregarded.
    #[must_use]
    pub fn disregards_lapses(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(disregards_lapses_of)
    }

    /// Returns whether a key was withdrawn in the configuration or on the board.
    #[must_use]
    pub fn is_withdrawn(&self, digest: &Digest) -> bool {
        let known = self.config.keys().get(digest);
        known.is_some_and(|key| key.withdrawn) || self.withdrawn.contains(digest)
    }

    /// Returns a number that rises with every change of the hosts.
    #[must_use]
    pub const fn host_changes(&self) -> u64 {
        self.host_changes
    }

    /// Returns a number that rises with every change of the upstreams.
    #[must_use]
    pub const fn upstream_changes(&self) -> u64 {
        self.upstream_changes
    }

    /// Returns one upstream for changes of its local state, such as requests in flight.
    pub fn upstream_mut(&mut self, service: &str, id: &str) -> Option<&mut Upstream> {
        self.services.get_mut(service)?.get_mut(id)
    }

    /// Returns the known hosts, this one included.
    #[must_use]
    pub const fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Returns the names of the hosts that are neither suspected nor stopping.
    pub fn live_hosts(&self) -> impl Iterator<Item = &str> {
        let live = self.hosts.iter().filter(|(_, host)| host.is_live());
        live.map(|(id, _)| id.as_str())
    }

    /// Returns the retry limits of a service on this host.
    pub fn retries_mut(&mut self, service: &str) -> &mut Limits {
        self.retries.entry(service.to_owned()).or_default()
    }

    /// Returns the events of this process.
    #[must_use]
    pub const fn events(&self) -> &Ring {
        &self.events
    }

    /// Puts a configuration in force if it is newer than the current one, and returns whether it
    /// was.
    pub fn put_config(&mut self, state: State) -> bool {
        if state.revision() <= self.config.revision() {
            return false;
        }
        self.record_changes(&state);
        self.routes = Rc::new(Table::from(&state));
        self.config = Rc::new(state);
        let config = Rc::clone(&self.config);
        let is_in_config =
            |digest: &Digest| config.keys().get(digest).is_some_and(|key| key.withdrawn);
        self.withdrawn.retain(|digest| !is_in_config(digest));
        true
    }

    /// Marks a key as withdrawn and returns whether the board changed.
    ///
    /// A withdrawal is never undone; the board drops it only once the configuration holds it.
    /// Withdrawals beyond [`MAX_WITHDRAWN`] are ignored.
    pub fn withdraw(&mut self, digest: Digest) -> bool {
        if self.is_withdrawn(&digest) || self.withdrawn.len() >= MAX_WITHDRAWN {
            return false;
        }
        self.withdrawn.insert(digest)
    }

    /// Applies an announcement of an upstream and returns whether the board changed.
    pub fn announce(&mut self, announcement: Announcement) -> bool {
        self.put_upstream(announcement, false)
    }

    /// Applies a record of an upstream and returns whether the board changed.
    ///
    /// A record of an unknown upstream that has left or lapsed is ignored.
    pub fn put_upstream(&mut self, announcement: Announcement, lapsed: bool) -> bool {
        let now = self.now();
        let gone = lapsed || announcement.stage == Stage::Left;
        let known = self.upstream(&announcement.service, &announcement.id);
        let (since, in_flight) = match known {
            None if gone || self.upstream_count >= MAX_UPSTREAMS => return false,
            None => (now, 0),
            Some(known) if !supersedes(&announcement, lapsed, known) => return false,
            Some(known) if announcement.incarnation > known.announcement.incarnation => {
                (now, known.in_flight)
            }
            Some(known) => (known.since, known.in_flight),
        };
        if known.is_none() {
            self.upstream_count += 1;
        }
        let upstream = Upstream {
            last_heard: now,
            since,
            lapsed,
            gone_since: gone.then_some(now),
            in_flight,
            announcement,
        };
        self.upstream_changes += 1;
        self.services
            .entry(upstream.announcement.service.clone())
            .or_default()
            .insert(upstream.announcement.id.clone(), upstream);
        true
    }

    /// Applies an announcement of a host and returns whether the board changed.
    pub fn announce_host(&mut self, announcement: host::Announcement) -> bool {
        self.put_host(announcement, false)
    }

    /// Applies a record of a host and returns whether the board changed.
    ///
    /// A record of an unknown host that is suspected or stopping is ignored.
    pub fn put_host(&mut self, announcement: host::Announcement, suspected: bool) -> bool {
        let now = self.now();
        let gone = suspected || announcement.stopping;
        match self.hosts.get(&announcement.id) {
            None if gone || self.hosts.len() >= MAX_HOSTS => return false,
            None => {}
            Some(known) => {
                let held = &known.announcement;
                let held = (held.incarnation, held.sequence, known.suspected);
                if (announcement.incarnation, announcement.sequence, suspected) <= held {
                    return false;
                }
            }
        }
        let host = Host {
            last_heard: now,
            suspected,
            gone_since: gone.then_some(now),
            announcement,
        };
        self.host_changes += 1;
        self.hosts.insert(host.announcement.id.clone(), host);
        true
    }

    /// Marks a host as suspected or clears the suspicion.
    pub fn suspect(&mut self, id: &str, suspected: bool) {
        let now = self.now();
        if let Some(host) = self.hosts.get_mut(id)
            && host.suspected != suspected
        {
            host.suspected = suspected;
            host.gone_since = (suspected || host.announcement.stopping).then_some(now);
            self.host_changes += 1;
        }
    }

    /// Sets the time at which an upstream was last heard to now.
    pub fn touch_upstream(&mut self, service: &str, id: &str) {
        let now = self.now();
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.last_heard = now;
        }
    }

    /// Sets the time at which a host was last heard to now.
    pub fn touch_host(&mut self, id: &str) {
        let now = self.now();
        if let Some(host) = self.hosts.get_mut(id) {
            host.last_heard = now;
        }
    }

    /// Removes upstreams and hosts that have been gone for longer than their retention.
    pub fn remove_expired(&mut self) {
        let now = self.now();
        let age = |since: Option<Instant>| {
            since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
        };
        for service in self.services.values_mut() {
            let keeps_lapsed = disregards_lapses_of(service);
            service.retain(|_, one| {
                let stays = keeps_lapsed && one.announcement.stage.takes_requests();
                age(one.gone_since) < GONE_RETENTION || one.in_flight > 0 || stays
            });
        }
        self.services.retain(|_, service| !service.is_empty());
        let left = self.services.values().map(BTreeMap::len).sum();
        if left != self.upstream_count {
            self.upstream_count = left;
            self.upstream_changes += 1;
        }
        let hosts = self.hosts.len();
        self.hosts.retain(|_, host| {
            let retention = if host.announcement.stopping {
                GONE_RETENTION
            } else {
                SUSPECT_RETENTION
            };
            age(host.gone_since) < retention
        });
        if self.hosts.len() != hosts {
            self.host_changes += 1;
        }
    }

    fn record_changes(&mut self, state: &State) {
        let before = self.config.revision();
        if before == 0 {
            return;
        }
        let newer = state.history().iter().filter(|one| one.revision > before);
        for line in newer {
            let text = format!("{}, by {}.", line.text, line.operator);
            let subject = format!("revision {}", line.revision);
            self.record("config", &subject, text);
        }
    }

    /// Records an event of a part of the program about a subject.
    pub fn record(&mut self, part: &str, subject: &str, text: String) {
        self.events.push(self.clock.wall(), part, subject, text);
    }
}

fn supersedes(announcement: &Announcement, lapsed: bool, known: &Upstream) -> bool {
    let known_version = (
        known.announcement.incarnation,
        known.announcement.sequence,
        known.lapsed,
    );
    (announcement.incarnation, announcement.sequence, lapsed) > known_version
}

/// Returns whether all upstreams of a service lapsed, or at least [`MIN_LAPSED_UPSTREAMS`] and
/// more than half of them.
fn disregards_lapses_of(service: &BTreeMap<UpstreamId, Upstream>) -> bool {
    let upstreams = service.values();
    let serving = upstreams.filter(|one| one.announcement.stage.takes_requests());
    let (lapsed, current): (Vec<&Upstream>, Vec<&Upstream>) = serving.partition(|one| one.lapsed);
    let most = lapsed.len() >= MIN_LAPSED_UPSTREAMS && lapsed.len() > current.len();
    current.is_empty() || most
}
