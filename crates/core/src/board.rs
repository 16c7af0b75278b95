//! The blackboard that holds what a process knows.
//!
//! Parts of a program write here what they learn; controllers read it, decide, and write their
//! own part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use crate::clock::Clock;
use crate::config::State;
use crate::event::Ring;
use crate::host;
use crate::host::Host;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::key::Digest;
use crate::retry::Account;
use crate::route::Table;
use crate::upstream::Announcement;
use crate::upstream::LIFETIME;
use crate::upstream::Stage;
use crate::upstream::Upstream;

/// Most upstreams that a board holds.
pub const MAX_UPSTREAMS: usize = 65_536;

/// What one process knows.
#[derive(Debug)]
pub struct Board {
    clock: Rc<dyn Clock>,
    config: Rc<State>,
    routes: Rc<Table>,
    withdrawn: BTreeSet<Digest>,
    services: BTreeMap<ServiceId, BTreeMap<UpstreamId, Upstream>>,
    hosts: BTreeMap<HostId, Host>,
    retries: BTreeMap<ServiceId, Account>,
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
    pub fn retries_mut(&mut self, service: &str) -> &mut Account {
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
        true
    }

    /// Marks a key as withdrawn and returns whether that was news.
    pub fn withdraw(&mut self, digest: Digest) -> bool {
        self.withdrawn.insert(digest)
    }

    /// Takes in an announcement and returns whether it was newer than what the board held.
    pub fn announce(&mut self, announcement: Announcement) -> bool {
        let now = self.now();
        let full = self.all_upstreams().count() >= MAX_UPSTREAMS;
        let service = self
            .services
            .entry(announcement.service.clone())
            .or_default();
        let Some(known) = service.get_mut(&announcement.id) else {
            if full {
                return false;
            }
            let upstream = Upstream {
                heard: now,
                since: now,
                in_flight: 0,
                announcement,
            };
            service.insert(upstream.announcement.id.clone(), upstream);
            return true;
        };
        if !announcement.supersedes(&known.announcement) {
            return false;
        }
        if announcement.incarnation > known.announcement.incarnation {
            known.since = now;
        }
        known.heard = now;
        known.announcement = announcement;
        true
    }

    /// Takes in an announcement of a host and returns whether it was news.
    pub fn announce_host(&mut self, announcement: host::Announcement) -> bool {
        let now = self.now();
        let known = self.hosts.get(&announcement.id);
        if known.is_some_and(|known| !announcement.supersedes(&known.announcement)) {
            return false;
        }
        let host = Host {
            heard: now,
            suspected: false,
            announcement,
        };
        self.hosts.insert(host.announcement.id.clone(), host);
        true
    }

    /// Marks a host as suspected or clears the suspicion.
    pub fn suspect(&mut self, id: &str, suspected: bool) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.suspected = suspected;
        }
    }

    /// Removes upstreams whose announcement lapsed long ago or that have left.
    pub fn sweep(&mut self) {
        let now = self.now();
        for service in self.services.values_mut() {
            service.retain(|_, upstream| {
                let age = now.saturating_duration_since(upstream.heard);
                let gone = upstream.announcement.stage == Stage::Left && upstream.in_flight == 0;
                age < LIFETIME * 6 && !(gone && age > LIFETIME)
            });
        }
        self.services.retain(|_, service| !service.is_empty());
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
