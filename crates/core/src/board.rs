//! The blackboard that holds what a process knows.
//!
//! Parts of a program write here what they learn; controllers read it, decide, and write their
//! own part.

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

/// Most upstreams that a board holds.
pub const MAX_UPSTREAMS: usize = 65_536;

/// Most hosts that a board holds.
pub const MAX_HOSTS: usize = 8_192;

/// Most withdrawals that a board holds while control has not confirmed them.
pub const MAX_WITHDRAWN: usize = 4_096;

/// Lapsed upstreams from which on the loss of most of a service is not believed.
const MIN_LAPSED_UPSTREAMS: usize = 4;

/// Time for which an upstream or a stopped host that is gone is remembered.
pub const GONE_RETENTION: Duration = Duration::from_secs(120);

/// Time for which a suspected host still counts as part of the fleet.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// What one process knows.
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

    /// Returns the digests known as withdrawn, also those control has not confirmed yet.
    #[must_use]
    pub const fn withdrawn(&self) -> &BTreeSet<Digest> {
        &self.withdrawn
    }

    /// Returns the upstreams of a service that have announced themselves.
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

    /// Returns whether an upstream may get new requests, as far as it says itself and operators
    /// ordered.
    ///
    /// An upstream whose announcement lapsed may get some while most of its service lapsed, since
    /// the fault is then likely on the way of the announcements.
    #[must_use]
    pub fn takes_requests(&self, upstream: &Upstream) -> bool {
        let orders = self.config.orders();
        let ordered_away = matches!(
            orders.get(&upstream.announcement.id),
            Some(Order::Drain | Order::Eject)
        );
        upstream.announcement.stage.takes_requests()
            && !ordered_away
            && (upstream.is_current() || self.disregards_lapses(&upstream.announcement.service))
    }

    /// Returns whether so many upstreams of a service lapsed that they are still used.
    #[must_use]
    pub fn disregards_lapses(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(disregards_lapses_of)
    }

    /// Returns whether a key was withdrawn, as far as this process knows.
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

    /// Returns one upstream for a change of this host's counts.
    pub fn upstream_mut(&mut self, service: &str, id: &str) -> Option<&mut Upstream> {
        self.services.get_mut(service)?.get_mut(id)
    }

    /// Returns the hosts that are known, this one included.
    #[must_use]
    pub const fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// Returns the names of the hosts that can be given duties.
    pub fn live_hosts(&self) -> impl Iterator<Item = &str> {
        let live = self.hosts.iter().filter(|(_, host)| host.is_live());
        live.map(|(id, _)| id.as_str())
    }

    /// Returns what this host knows of a service when it comes to retries.
    pub fn retries_mut(&mut self, service: &str) -> &mut Limits {
        self.retries.entry(service.to_owned()).or_default()
    }

    /// Returns the events of this process.
    #[must_use]
    pub const fn events(&self) -> &Ring {
        &self.events
    }

    /// Puts a configuration in force unless a newer one already is, and returns whether it did.
    pub fn put_config(&mut self, state: State) -> bool {
        if state.revision() <= self.config.revision() {
            return false;
        }
        self.record_changes(&state);
        self.routes = Rc::new(Table::from(&state));
        self.config = Rc::new(state);
        let config = Rc::clone(&self.config);
        let confirmed =
            |digest: &Digest| config.keys().get(digest).is_some_and(|key| key.withdrawn);
        self.withdrawn.retain(|digest| !confirmed(digest));
        true
    }

    /// Marks a key as withdrawn and returns whether that was news.
    ///
    /// A withdrawal is never undone; it is dropped only once the configuration holds it. Beyond
    /// [`MAX_WITHDRAWN`] it is not taken in.
    pub fn withdraw(&mut self, digest: Digest) -> bool {
        if self.is_withdrawn(&digest) || self.withdrawn.len() >= MAX_WITHDRAWN {
            return false;
        }
        self.withdrawn.insert(digest)
    }

    /// Takes in an announcement and returns whether it was newer than what the board held.
    pub fn announce(&mut self, announcement: Announcement) -> bool {
        self.put_upstream(announcement, false)
    }

    /// Takes in what the fleet knows of an upstream and returns whether that was news.
    ///
    /// An upstream that is gone and was not known stays unknown.
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

    /// Takes in an announcement of a host and returns whether it was news.
    pub fn announce_host(&mut self, announcement: host::Announcement) -> bool {
        self.put_host(announcement, false)
    }

    /// Takes in what the fleet knows of a host and returns whether that was news.
    ///
    /// A host that is gone and was not known stays unknown.
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

    /// Notes that an upstream was heard of now.
    pub fn touch_upstream(&mut self, service: &str, id: &str) {
        let now = self.now();
        if let Some(upstream) = self.upstream_mut(service, id) {
            upstream.last_heard = now;
        }
    }

    /// Notes that a host was heard of now.
    pub fn touch_host(&mut self, id: &str) {
        let now = self.now();
        if let Some(host) = self.hosts.get_mut(id) {
            host.last_heard = now;
        }
    }

    /// Removes upstreams and hosts that have been gone for long.
    pub fn sweep(&mut self) {
        let now = self.now();
        let age = |since: Option<Instant>| {
            since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
        };
        for service in self.services.values_mut() {
            let kept = disregards_lapses_of(service);
            service.retain(|_, one| {
                let staying = kept && one.announcement.stage.takes_requests();
                age(one.gone_since) < GONE_RETENTION || one.in_flight > 0 || staying
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

    /// Writes an event.
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

/// Returns whether all upstreams of a service lapsed, or most of several.
fn disregards_lapses_of(service: &BTreeMap<UpstreamId, Upstream>) -> bool {
    let upstreams = service.values();
    let staying = upstreams.filter(|one| one.announcement.stage.takes_requests());
    let (lapsed, current): (Vec<&Upstream>, Vec<&Upstream>) = staying.partition(|one| one.lapsed);
    let most = lapsed.len() >= MIN_LAPSED_UPSTREAMS && lapsed.len() > current.len();
    current.is_empty() || most
}
