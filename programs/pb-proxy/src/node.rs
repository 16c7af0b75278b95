//! The state that all tasks of one proxy share.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use event_listener::Event;
use log::info;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::board::Board;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::config::Entry;
use persimmonbend_core::host;
use persimmonbend_core::key;
use persimmonbend_core::membership::Membership;
use persimmonbend_core::traffic::Traffic;
use persimmonbend_wire::meter;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::control::Control;
use crate::links::Links;
use crate::pool::Pool;
use crate::rates::Rates;
use crate::records::Executions;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::withdrawals::Withdrawals;

/// Time between two removals of expired board entries, links and pooled connections.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// The shared state of one proxy.
pub struct Node {
    settings: Settings,
    clock: Rc<dyn Clock>,
    board: RefCell<Board>,
    membership: RefCell<Membership>,
    links: Links,
    control: Control,
    rates: Rates,
    executions: Executions,
    gossip_wakeup: Event,
    running_exchanges: Cell<usize>,
    is_fetching_config: Cell<bool>,
    recent_changes: RefCell<VecDeque<Entry>>,
    withdrawals: Withdrawals,
    joined: Cell<bool>,
    traffic: RefCell<Traffic>,
    rng: RefCell<ChaCha8Rng>,
    pool: Pool,
    slots: Slots,
    configured: Cell<bool>,
    stop: Stop,
    closing: Stop,
}

impl Node {
    /// Creates the state of a proxy that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>, stop: Stop) -> Self {
        let mut board = Board::new(Rc::clone(&clock));
        let mut rng = ChaCha8Rng::from_rng(&mut rand::rng());
        let membership = Membership::new(
            &mut board,
            announcement(&settings, clock.wall()),
            &settings.seeds,
            settings.isolation,
            rng.random(),
        );
        Self {
            board: RefCell::new(board),
            membership: RefCell::new(membership),
            links: Links::new(),
            control: Control::new(&settings),
            rates: Rates::new(&settings, &*clock),
            executions: Executions::new(),
            gossip_wakeup: Event::new(),
            running_exchanges: Cell::new(0),
            is_fetching_config: Cell::new(false),
            recent_changes: RefCell::new(VecDeque::new()),
            withdrawals: Withdrawals::new(),
            joined: Cell::new(false),
            rng: RefCell::new(rng),
            pool: Pool::new(settings.connections_max),
            slots: Slots::new(settings.routing),
            traffic: RefCell::new(Traffic::new(clock.now())),
            configured: Cell::new(false),
            closing: Stop::new(),
            settings,
            clock,
            stop,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the current monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the current wall-clock time.
    #[must_use]
    pub fn wall_time(&self) -> SystemTime {
        self.clock.wall()
    }

    /// Returns the board (configuration, hosts and upstreams) for reading.
    #[must_use]
    pub fn board(&self) -> Ref<'_, Board> {
        self.board.borrow()
    }

    /// Returns the board for writing; the borrow must not be held over an await.
    #[must_use]
    pub fn board_mut(&self) -> RefMut<'_, Board> {
        self.board.borrow_mut()
    }

    /// Returns the membership; the borrow must not be held over an await.
    #[must_use]
    pub fn membership(&self) -> RefMut<'_, Membership> {
        self.membership.borrow_mut()
    }

    /// Returns the links to other proxies.
    #[must_use]
    pub const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the link to the leader of the control replicas.
    #[must_use]
    pub const fn control(&self) -> &Control {
        &self.control
    }

    /// Returns this host's share of the tenants' quotas.
    #[must_use]
    pub const fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Returns the execution records of non-idempotent requests.
    #[must_use]
    pub const fn executions(&self) -> &Executions {
        &self.executions
    }

    /// Returns the number of gossip exchanges that are running.
    #[must_use]
    pub const fn running_exchanges(&self) -> &Cell<usize> {
        &self.running_exchanges
    }

    /// Returns whether a newer configuration is being fetched from another proxy that sent gossip.
    #[must_use]
    pub const fn is_fetching_config(&self) -> &Cell<bool> {
        &self.is_fetching_config
    }

    /// Returns the latest configuration changes, oldest first.
    #[must_use]
    pub const fn recent_changes(&self) -> &RefCell<VecDeque<Entry>> {
        &self.recent_changes
    }

    /// Returns the key withdrawals that control has not acknowledged.
    #[must_use]
    pub const fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }

    /// Waits until there are changes to push to other proxies, for at most `limit`.
    pub async fn wait_for_gossip(&self, limit: Duration) {
        let listener = self.gossip_wakeup.listen();
        let _ = compio::time::timeout(limit, listener).await;
    }

    /// Wakes the gossip task if there are changes to push to other proxies.
    pub fn wake_gossip(&self) {
        if self.membership().has_pending(&self.board()) {
            self.gossip_wakeup.notify(1);
        }
    }

    /// Returns the request statistics for reading.
    #[must_use]
    pub fn traffic(&self) -> Ref<'_, Traffic> {
        self.traffic.borrow()
    }

    /// Returns the request statistics for writing; the borrow must not be held over an await.
    #[must_use]
    pub fn traffic_mut(&self) -> RefMut<'_, Traffic> {
        self.traffic.borrow_mut()
    }

    /// Returns the random generator; the borrow must not be held over an await.
    #[must_use]
    pub fn rng(&self) -> RefMut<'_, ChaCha8Rng> {
        self.rng.borrow_mut()
    }

    /// Returns the pool of connections to upstreams.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the slot reservations, which choose the upstream of each attempt.
    #[must_use]
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Returns the stop of the whole process.
    #[must_use]
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Returns the stop of the client port, which follows [`Node::stop`] after the notice period.
    #[must_use]
    pub const fn closing(&self) -> &Stop {
        &self.closing
    }

    /// Returns whether the platform's load balancer may send requests to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_configured() && self.is_joined() && !self.stop.is_asked() && !self.is_isolated()
    }

    /// Returns whether this host was in contact with neither control nor most other hosts within
    /// the isolation window.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.membership().is_isolated(&self.board())
    }

    /// Returns whether this proxy has fetched the membership view of another proxy, or found none
    /// to fetch it from.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined.get()
    }

    /// Marks the membership view of this proxy as complete.
    pub fn set_joined(&self) {
        self.joined.set(true);
    }

    /// Returns whether a configuration known to be current has been in force since the start.
    #[must_use]
    pub const fn is_configured(&self) -> bool {
        self.configured.get()
    }

    /// Marks the configuration in force as known to be current.
    pub fn set_configured(&self) {
        if !self.configured.replace(true) {
            info!("proxy: {} is ready", self.settings.host);
        }
    }

    /// Returns the status report for operators and the readiness probe.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let ready = self.is_ready();
        let isolated = self.is_isolated();
        let membership = self.membership();
        let board = self.board();
        let (reachable, all) = membership.reachability().recent_contacts(board.now());
        json!({
            "host": self.settings.host,
            "zone": self.settings.zone,
            "ready": ready,
            "isolated": isolated,
            "stopping": self.stop.is_asked(),
            "revision": board.config().revision(),
            "upstreams": board.all_upstreams().count(),
            "upstreams_taking": board
                .all_upstreams()
                .filter(|upstream| board.takes_requests(upstream))
                .count(),
            "hosts": board.hosts().len(),
            "hosts_live": board.live_hosts().count(),
            "panel": { "heard": reachable, "all": all },
            "vouched": membership.watched_count(),
            "links": self.links.count(),
            "slots": self.slots.status(),
            "control_bytes": meter::counts(),
        })
    }

    /// Returns a dump of the state without secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let status = self.status();
        let board = self.board();
        let now = board.now();
        let upstream = |announced: &persimmonbend_core::upstream::Upstream| {
            json!({
                "announcement": announced.announcement,
                "heard_ms_ago": u64::try_from(now.duration_since(announced.last_heard).as_millis()).unwrap_or(u64::MAX),
                "lapsed": announced.lapsed,
                "in_flight": announced.in_flight,
            })
        };
        let host = |announced: &host::Host| {
            json!({
                "announcement": announced.announcement,
                "heard_ms_ago": u64::try_from(now.duration_since(announced.last_heard).as_millis()).unwrap_or(u64::MAX),
                "suspected": announced.suspected,
            })
        };
        json!({
            "status": status,
            "config": *board.config(),
            "withdrawn": board.withdrawn().iter().map(key::Digest::short).collect::<Vec<_>>(),
            "hosts": board.hosts().values().map(host).collect::<Vec<_>>(),
            "upstreams": board.all_upstreams().map(upstream).collect::<Vec<_>>(),
            "rates": self.rates.dump(now),
            "events": board.events().iter().collect::<Vec<_>>(),
            "traffic": crate::explain::traffic(self),
        })
    }
}

impl fmt::Debug for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Node")
            .field("host", &self.settings.host)
            .finish_non_exhaustive()
    }
}

/// Removes expired board entries, links and pooled connections until the future is dropped.
pub async fn remove_expired(node: Rc<Node>) {
    loop {
        compio::time::sleep(CLEANUP_INTERVAL).await;
        node.board_mut().remove_expired();
        node.links().remove_expired(node.now());
        node.pool().remove_expired(node.now());
    }
}

/// Announces a stop to the other proxies and closes the client port after the notice period.
pub async fn close_after_notice(node: Rc<Node>) {
    node.stop().asked().await;
    info!("proxy: {} is stopping", node.settings().host);
    node.membership().stop(&mut node.board_mut());
    node.wake_gossip();
    compio::time::sleep(node.settings().stop_notice).await;
    node.closing().ask();
}

/// Returns the announcement of a starting proxy; its start time is the incarnation.
fn announcement(settings: &Settings, wall: SystemTime) -> host::Announcement {
    let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    host::Announcement {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        peers: settings.advertise_peers.unwrap_or(settings.peers),
        incarnation: u64::try_from(millis).unwrap_or(u64::MAX),
        sequence: 0,
        stopping: false,
    }
}
