//! State that the parts of a gateway share: configuration, upstreams, connections and metrics.

use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::key::Digest;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Table;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::dispatch;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tracing::info;
use tracing::warn;

use crate::gateway::detour;
use crate::gateway::dialect::Dialect;
use crate::gateway::feed::Feed;
use crate::gateway::memory::Memory;
use crate::gateway::meters::Meters;
use crate::gateway::paths::Paths;
use crate::gateway::placement::Placer;
use crate::gateway::settings::Settings;
use crate::gateway::zones::Zones;
use crate::pool::Pool;

/// Most connections to one upstream, idle ones and those in use; a few hundred hosts share the
/// connections that an upstream accepts.
const MAX_UPSTREAM_CONNECTIONS: u32 = 4;

/// Silence of the control leader after which this host reports that it is not ready.
const READY_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence of the control leader after which the publication in force may be outdated: routes and
/// keys that it does not contain may exist.
const CURRENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause beyond which an upstream that asks for it is worth an operator's look.
const LONG_PAUSE: Duration = Duration::from_secs(60);

/// A publication with its indexes of routes and keys.
#[derive(Debug, Default)]
pub struct Configuration {
    /// The publication.
    pub publication: Rc<Publication>,
    /// Routes by host name and path prefix.
    pub table: Table,
    /// Tenants by the digests of their keys.
    pub keys: BTreeMap<Digest, TenantId>,
}

impl From<Publication> for Configuration {
    fn from(publication: Publication) -> Self {
        Self {
            table: Table::from(&publication),
            keys: publication.keys(),
            publication: Rc::new(publication),
        }
    }
}

/// The shared state of one gateway.
pub struct State {
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    clock: Rc<dyn Clock>,
    in_force: RefCell<Rc<Configuration>>,
    /// Newest version that the leader announced.
    announced_version: Cell<Option<Version>>,
    publication_changed: Event,
    upstreams: RefCell<BTreeMap<Number, Entry>>,
    zones: Zones,
    feed: Feed,
    placer: Placer,
    pool: Pool,
    paths: Paths,
    detours: detour::Hosts,
    meters: Meters,
    memory: Rc<Memory>,
    rng: RefCell<ChaCha8Rng>,
    running: Cell<usize>,
    stop: Stop,
    closing: Stop,
    last_send: Stop,
    giving_up: Stop,
}

impl State {
    /// Creates a gateway that has no configuration yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        dialect: Rc<dyn Dialect>,
        clock: Rc<dyn Clock>,
        stop: Stop,
    ) -> Self {
        let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
        Self {
            feed: Feed::new(clock.now()),
            placer: Placer::new(&settings, rng.random(), clock.now()),
            dialect,
            clock,
            in_force: RefCell::default(),
            announced_version: Cell::new(None),
            publication_changed: Event::new(),
            upstreams: RefCell::default(),
            zones: Zones::default(),
            pool: Pool::new(MAX_UPSTREAM_CONNECTIONS),
            paths: Paths::new(settings.contact),
            detours: detour::Hosts::default(),
            meters: Meters::new(),
            memory: Rc::new(Memory::new(settings.buffer_bytes)),
            rng: RefCell::new(rng),
            running: Cell::new(0),
            settings,
            stop,
            closing: Stop::new(),
            last_send: Stop::new(),
            giving_up: Stop::new(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the platform's dialect.
    #[must_use]
    pub fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the clock.
    #[must_use]
    pub const fn clock(&self) -> &Rc<dyn Clock> {
        &self.clock
    }

    /// Returns the publication in force.
    #[must_use]
    pub fn in_force(&self) -> Rc<Configuration> {
        Rc::clone(&self.in_force.borrow())
    }

    /// Waits on a host that has just started for the first publication and the first link to a
    /// dispatcher, for at most `limit`; returns the publication in force.
    pub async fn wait_for_start(&self, limit: Duration) -> Rc<Configuration> {
        let deadline = self.now() + limit;
        while self.version().is_none() || !self.placer.was_linked() {
            let left = deadline.saturating_duration_since(self.now());
            if left.is_zero() {
                break;
            }
            let published = self.publication_changed.listen();
            let linked = self.placer.listen_for_link();
            let either = futures_util::future::select(published, linked);
            let _ = compio::time::timeout(left, either).await;
        }
        self.in_force()
    }

    /// Returns the source of the publication and the upstreams.
    #[must_use]
    pub const fn feed(&self) -> &Feed {
        &self.feed
    }

    /// Returns the placer, which finds upstreams for requests.
    #[must_use]
    pub const fn placer(&self) -> &Placer {
        &self.placer
    }

    /// Returns the connections to upstreams.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns what this host knows of its own paths to upstreams.
    #[must_use]
    pub const fn paths(&self) -> &Paths {
        &self.paths
    }

    /// Returns the hosts that can send requests in place of this one.
    #[must_use]
    pub const fn detours(&self) -> &detour::Hosts {
        &self.detours
    }

    /// Returns the counters and histograms.
    #[must_use]
    pub const fn meters(&self) -> &Meters {
        &self.meters
    }

    /// Returns the memory that this host holds for clients and upstreams.
    #[must_use]
    pub const fn memory(&self) -> &Rc<Memory> {
        &self.memory
    }

    /// Returns the stop signal of the process.
    #[must_use]
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Returns the stop signal of the client port, which is set after the notice period.
    #[must_use]
    pub const fn closing(&self) -> &Stop {
        &self.closing
    }

    /// Returns the signal after which a stopping host no longer sends requests for the first time.
    #[must_use]
    pub const fn last_send(&self) -> &Stop {
        &self.last_send
    }

    /// Returns the signal after which a stopping host waits for no answer any more.
    #[must_use]
    pub const fn giving_up(&self) -> &Stop {
        &self.giving_up
    }

    /// Returns the count of requests that are running.
    #[must_use]
    pub const fn running(&self) -> &Cell<usize> {
        &self.running
    }

    /// Returns a random number from 0 up to 1.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        self.rng().random()
    }

    /// Returns the random generator; the borrow must not be held over an await.
    pub fn rng(&self) -> RefMut<'_, ChaCha8Rng> {
        self.rng.borrow_mut()
    }

    /// Returns all upstreams.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Entry> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns whether a later start of an upstream holds the address that one had.
    #[must_use]
    pub fn is_replaced(&self, number: Number, address: SocketAddr) -> bool {
        let upstreams = self.upstreams.borrow();
        let mut holders = upstreams
            .values()
            .filter(|one| one.announcement.address == address);
        holders.any(|one| one.number > number)
    }

    /// Returns an upstream if it takes requests, by its stage and by what it has stated to this host.
    #[must_use]
    pub fn upstream(&self, number: Number) -> Option<Entry> {
        if self.placer.is_unwanted_at(number, self.now()) {
            return None;
        }
        let upstreams = self.upstreams.borrow();
        let entry = upstreams.get(&number)?;
        entry
            .announcement
            .stage
            .takes_requests()
            .then(|| entry.clone())
    }

    /// Records, logs and counts what an upstream states about itself in an answer, if it is news.
    pub fn note_statement(&self, number: Number, statement: Statement) {
        if !self.placer.note_statement(number, statement, self.now()) {
            return;
        }
        let draining = statement.is_draining;
        if draining {
            self.meters.count_statement("draining");
        }
        let limit = statement.limit.map(Limit::per_second);
        if limit.is_some() {
            self.meters.count_statement("limit");
        }
        let upstream = self.id_of(number);
        let pause_ms = statement.pause.map(dispatch::millis);
        if let Some(pause) = statement.pause {
            self.meters.count_statement("pause");
            if pause > LONG_PAUSE {
                self.meters.count_statement("long_pause");
                warn!(upstream, number, pause_ms, "upstream_paused_long");
            }
        }
        info!(
            upstream,
            number, draining, limit, pause_ms, "upstream_stated"
        );
    }

    /// Logs and counts that an upstream no longer states a limit.
    pub fn note_ended_limit(&self, number: Number) {
        self.meters.count_statement("limit_ended");
        info!(
            upstream = self.id_of(number),
            number, "upstream_limit_ended"
        );
    }

    /// Returns the id of an upstream that is in the roster.
    fn id_of(&self, number: Number) -> Option<UpstreamId> {
        let upstreams = self.upstreams.borrow();
        let entry = upstreams.get(&number);
        entry.map(|entry| entry.announcement.id.clone())
    }

    /// Returns whether the load balancer may send new clients to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.version().is_some()
            && !self.stop.is_asked()
            && self
                .placer
                .has_heard_leader(READY_SILENCE_TIMEOUT, self.now())
    }

    /// Returns whether the publication in force is known to be the newest one.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.version() >= self.announced_version.get()
            && self
                .placer
                .has_heard_leader(CURRENT_SILENCE_TIMEOUT, self.now())
    }

    /// Notes that the leader announced the changes up to a version, if it knows one.
    pub fn note_announced(&self, version: Option<Version>) {
        self.announced_version
            .set(self.announced_version.get().max(version));
    }

    /// Returns the version of the publication in force, `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.in_force.borrow().publication.version
    }

    /// Applies a change to the publication in force; returns whether its base version matched.
    #[must_use]
    pub fn publish(&self, delta: Delta) -> bool {
        let current = self.in_force();
        let blank = Publication::default();
        let from = delta.base();
        let base = if from.is_none() {
            &blank
        } else {
            &*current.publication
        };
        let Some(publication) = delta.apply(base) else {
            return false;
        };
        let version = publication.version;
        if version <= self.version() {
            return true;
        }
        let in_force = Rc::new(Configuration::from(publication));
        self.placer
            .publish(Rc::clone(&in_force.publication), self.now());
        *self.in_force.borrow_mut() = in_force;
        self.publication_changed.notify(usize::MAX);
        info!(version, from, "publication_in_force");
        true
    }

    /// Updates upstreams; with `is_complete`, those that are not listed are removed.
    pub fn update_upstreams(&self, mut entries: Vec<Entry>, is_complete: bool) {
        let mut upstreams = self.upstreams.borrow_mut();
        if is_complete {
            let listed: BTreeSet<Number> = entries.iter().map(|entry| entry.number).collect();
            let gone = upstreams
                .values()
                .filter(|entry| !listed.contains(&entry.number));
            let gone = gone.cloned().map(|mut entry| {
                entry.announcement.stage = Stage::Left;
                entry
            });
            entries.extend(gone.collect::<Vec<_>>());
        }
        for entry in entries {
            self.placer.update_upstream(&entry, self.now());
            if entry.announcement.stage == Stage::Left {
                upstreams.remove(&entry.number);
                self.paths.forget(entry.number);
                self.pool.close_idle(entry.announcement.address);
            } else {
                upstreams.insert(entry.number, entry);
            }
        }
        self.zones.update(upstreams.values());
    }

    /// Returns the upstreams by zone.
    #[must_use]
    pub const fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the state for operators, without secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let in_force = self.in_force();
        json!({
            "host": self.settings.host,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "current": self.is_current(),
            "stopping": self.stop.is_asked(),
            "running": self.running.get(),
            "version": in_force.publication.version,
            "feed": self.feed.status(),
            "closed_zones": self.zones.closed(),
            "blocked_services": self.paths.blocked_services(),
            "blocked_upstreams": self.paths.blocked_upstreams(),
            "routes": in_force.publication.routes.len(),
            "upstreams": self.upstreams.borrow().values().collect::<Vec<_>>(),
            "desk": self.placer.status(self.now()),
        })
    }
}

impl fmt::Debug for State {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("State")
            .field("host", &self.settings.host)
            .finish_non_exhaustive()
    }
}
