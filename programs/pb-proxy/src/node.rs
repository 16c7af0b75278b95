//! What the parts of one proxy share.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::cell::RefMut;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use log::info;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::board::Board;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::key;
use persimmonbend_core::routing::TwoChoices;
use persimmonbend_core::traffic::Traffic;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::pool::Pool;
use crate::settings::Settings;
use crate::slots::Slots;

/// Time between two sweeps of the board.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// One proxy.
pub struct Node {
    settings: Settings,
    clock: Rc<dyn Clock>,
    board: RefCell<Board>,
    traffic: RefCell<Traffic>,
    rng: RefCell<ChaCha8Rng>,
    pool: Pool,
    slots: Slots,
    ready: Cell<bool>,
    stop: Stop,
    closing: Stop,
}

impl Node {
    /// Creates a proxy that has no configuration yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>, stop: Stop) -> Self {
        Self {
            board: RefCell::new(Board::new(Rc::clone(&clock))),
            traffic: RefCell::new(Traffic::new(clock.now())),
            rng: RefCell::new(ChaCha8Rng::from_rng(&mut rand::rng())),
            pool: Pool::new(settings.idle_connections),
            slots: Slots::new(Box::new(TwoChoices)),
            ready: Cell::new(false),
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

    /// Returns the monotonic time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the wall time.
    #[must_use]
    pub fn wall(&self) -> SystemTime {
        self.clock.wall()
    }

    /// Returns the board for reading.
    #[must_use]
    pub fn board(&self) -> Ref<'_, Board> {
        self.board.borrow()
    }

    /// Returns the board for writing; the borrow must not be held over an await.
    #[must_use]
    pub fn board_mut(&self) -> RefMut<'_, Board> {
        self.board.borrow_mut()
    }

    /// Returns the counts of requests for reading.
    #[must_use]
    pub fn traffic(&self) -> Ref<'_, Traffic> {
        self.traffic.borrow()
    }

    /// Returns the counts of requests for writing; the borrow must not be held over an await.
    #[must_use]
    pub fn traffic_mut(&self) -> RefMut<'_, Traffic> {
        self.traffic.borrow_mut()
    }

    /// Returns the random generator; the borrow must not be held over an await.
    #[must_use]
    pub fn rng(&self) -> RefMut<'_, ChaCha8Rng> {
        self.rng.borrow_mut()
    }

    /// Returns the connections to upstreams.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the choice of upstreams.
    #[must_use]
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Returns the stop that the operator asked for.
    #[must_use]
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Returns the stop of the callers' port, which follows after the notice period.
    #[must_use]
    pub const fn closing(&self) -> &Stop {
        &self.closing
    }

    /// Returns whether the platform's balancer may send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.stop.is_asked()
    }

    /// Returns whether a configuration known as current was in force since the start.
    #[must_use]
    pub const fn is_configured(&self) -> bool {
        self.ready.get()
    }

    /// Notes that the configuration in force is known as current.
    pub fn set_configured(&self) {
        if !self.ready.replace(true) {
            info!("proxy: {} is ready", self.settings.host);
        }
    }

    /// Returns what operators ask for first.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let board = self.board();
        json!({
            "host": self.settings.host,
            "zone": self.settings.zone,
            "ready": self.is_ready(),
            "stopping": self.stop.is_asked(),
            "revision": board.config().revision(),
            "upstreams": board.all_upstreams().count(),
        })
    }

    /// Returns the whole state without secrets.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let board = self.board();
        let now = board.now();
        let upstream = |one: &persimmonbend_core::upstream::Upstream| {
            json!({
                "announcement": one.announcement,
                "heard_ms_ago": u64::try_from(now.duration_since(one.heard).as_millis()).unwrap_or(u64::MAX),
                "in_flight": one.in_flight,
            })
        };
        json!({
            "status": self.status(),
            "config": *board.config(),
            "withdrawn": board.withdrawn().iter().map(key::Digest::short).collect::<Vec<_>>(),
            "upstreams": board.all_upstreams().map(upstream).collect::<Vec<_>>(),
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

/// Removes lapsed entries from the board until the future is dropped.
pub async fn sweep(node: Rc<Node>) {
    loop {
        compio::time::sleep(SWEEP_INTERVAL).await;
        node.board_mut().sweep();
    }
}

/// Closes the callers' port once the notice period after a stop is over.
pub async fn close_after_notice(node: Rc<Node>) {
    node.stop().asked().await;
    info!("proxy: {} is stopping", node.settings().host);
    compio::time::sleep(node.settings().stop_notice).await;
    node.closing().ask();
}
