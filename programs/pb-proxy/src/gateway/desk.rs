//! The link to the dispatcher on the control replica that leads, and what this host decides while
//! there is none.
//!
//! [`Desk::reserve`] asks the dispatcher for an upstream. When it is silent or away, a dispatcher
//! of this host's own decides by what the host has seen itself, with this host's part of each
//! quota and of each budget of repeats.

mod asking;
mod link;
mod reservation;
mod search;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use futures_channel::mpsc::UnboundedSender;
use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Sender;
use serde_json::json;

pub use link::run;
pub use reservation::Reservation;

use crate::gateway::settings::Settings;

/// Part of a quota's and a budget's share that hosts on their own use.
const OWN_SHARE: f64 = 0.8;

/// Hosts that share quotas and budgets before the dispatcher told how many there are.
const UNKNOWN_HOSTS: u32 = 128;

/// A request that needs an upstream.
#[derive(Debug, Clone)]
pub struct Need {
    /// Name of the request, for logs.
    pub request: String,
    /// Route of the request.
    pub route: RouteId,
    /// Service that its split chose.
    pub service: ServiceId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// Time within which an answer earns its full credit.
    pub objective: Duration,
    /// Upstreams that have been sent the request.
    pub attempts: u32,
    /// Whether an upstream was handed the request before.
    pub repeat: bool,
    /// Upstreams that were tried already.
    pub avoid: Vec<Number>,
}

/// Why a request got no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: Kind,
    /// When it makes sense to come back.
    pub retry_after: Duration,
}

/// A slot that this host uses.
#[derive(Debug, Clone)]
struct Use {
    service: ServiceId,
    upstream: Number,
    route: RouteId,
}

/// The dispatcher as this host sees it.
pub struct Desk {
    host: HostId,
    zone: Zone,
    link: RefCell<Option<Sender>>,
    /// When whoever is linked was last heard.
    heard: Cell<Option<Instant>>,
    /// When a leader was last heard.
    led: Cell<Option<Instant>>,
    /// Whether the link goes to a host that stands in for the leader.
    deputised: Cell<bool>,
    /// Whether replicas of control are asked in vain.
    away: Cell<bool>,
    /// Version of this host when the last beat told of a newer one.
    behind: Cell<Option<Version>>,
    doubted: Cell<Option<Instant>>,
    doubts: Event,
    linked: Event,
    /// Upstreams that the leader last suspected.
    suspects: RefCell<Option<Vec<Number>>>,
    known: RefCell<Vec<SocketAddr>>,
    /// The leader, while this host has a link to it that no other host relays.
    leader: Cell<Option<SocketAddr>>,
    /// Hosts that relay links to the leader.
    relays: RefCell<Vec<SocketAddr>>,
    local: RefCell<Dispatcher>,
    /// Hosts of the fleet as the leader last said, 0 before it did.
    hosts: Cell<u32>,
    waiting: RefCell<BTreeMap<u32, UnboundedSender<Decision>>>,
    uses: RefCell<BTreeMap<u32, Use>>,
    next: Cell<u32>,
}

impl Desk {
    /// Creates a desk without a link; `draw` is a random number from 0 up to 1.
    #[must_use]
    pub fn new(settings: &Settings, draw: f64) -> Self {
        let mut local = Dispatcher::new(Policy {
            retries: settings.retries,
            max_silence: Duration::MAX,
            initial_balance: Balance::Sampled {
                tolerance: settings.tolerance,
                draw,
            },
            is_first_dispatcher: false,
            floor: settings.floor,
        });
        local.set_share(OWN_SHARE / f64::from(UNKNOWN_HOSTS));
        Self {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            link: RefCell::new(None),
            heard: Cell::new(None),
            led: Cell::new(None),
            deputised: Cell::new(false),
            away: Cell::new(false),
            behind: Cell::new(None),
            doubted: Cell::new(None),
            doubts: Event::new(),
            linked: Event::new(),
            suspects: RefCell::new(None),
            known: RefCell::default(),
            leader: Cell::new(None),
            relays: RefCell::default(),
            local: RefCell::new(local),
            hosts: Cell::new(0),
            waiting: RefCell::default(),
            uses: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Returns whether the leader was heard within `age`.
    #[must_use]
    pub fn is_heard(&self, age: Duration, now: Instant) -> bool {
        let led = self.led.get();
        led.is_some_and(|led| now.saturating_duration_since(led) < age)
    }

    /// Returns whether replicas of control are asked in vain.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away.get()
    }

    /// Returns the part of quotas and budgets that so many hosts on their own use together.
    #[must_use]
    pub fn share(&self, hosts: usize) -> f64 {
        let known = match self.hosts.get() {
            0 => UNKNOWN_HOSTS,
            known => known,
        };
        let all = f64::from(known).max(hosts as f64);
        OWN_SHARE * hosts as f64 / all
    }

    /// Returns the upstreams that the leader last suspected.
    #[must_use]
    pub fn suspects(&self) -> Vec<Number> {
        self.suspects.borrow().clone().unwrap_or_default()
    }

    /// Returns the replicas of control that are known.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.known.borrow().clone()
    }

    /// Returns the hosts that may help while the leader cannot be reached.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        self.relays.borrow().clone()
    }

    /// Returns the leader that this host has a link to, unless another host relays it.
    #[must_use]
    pub const fn leader(&self) -> Option<SocketAddr> {
        self.leader.get()
    }

    /// Takes note of the publication in force.
    pub fn publish(&self, publication: Rc<Publication>) {
        self.local.borrow_mut().publish(publication);
    }

    /// Takes note of a new or changed upstream.
    pub fn enrol(&self, entry: &Entry, now: Instant) {
        let answers = self.local.borrow_mut().update_upstream(entry, now);
        self.deliver(answers);
    }

    /// Says that this host stops by plan.
    pub fn say_bye(&self) {
        if let Some(link) = self.link.borrow().as_ref() {
            link.send(Frame::Bye);
        }
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let heard = self.heard.get();
        let silent = heard.map(|heard| now.saturating_duration_since(heard).as_millis());
        json!({
            "linked": self.link.borrow().is_some(),
            "silent_ms": silent.map(|silent| u64::try_from(silent).unwrap_or(u64::MAX)),
            "hosts": self.hosts.get(),
            "control": *self.known.borrow(),
            "waiting": self.waiting.borrow().len(),
            "in_use": self.uses.borrow().len(),
            "own_view": self.local.borrow().dump(now),
        })
    }

    fn report(&self, number: u32, used: &Use) -> Placement {
        Placement {
            ticket: self.ticket(number),
            service: used.service.clone(),
            upstream: used.upstream,
            route: used.route.clone(),
        }
    }

    fn ticket(&self, number: u32) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number,
        }
    }

    fn deliver(&self, answers: Vec<Answer>) {
        for answer in answers {
            self.decide(answer.ticket.number, answer.decision);
        }
    }

    /// Hands a decision to the request that waits for it; returns whether one does.
    fn decide(&self, number: u32, decision: Decision) -> bool {
        let waiting = self.waiting.borrow();
        let sender = waiting.get(&number);
        sender.is_some_and(|sender| sender.unbounded_send(decision).is_ok())
    }

    fn number(&self) -> u32 {
        let number = self.next.get().wrapping_add(1);
        self.next.set(number);
        number
    }
}

impl fmt::Debug for Desk {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Desk")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

fn hold(number: u32, used: &Use) -> Frame {
    Frame::Hold {
        number,
        service: used.service.clone(),
        upstream: used.upstream,
        route: used.route.clone(),
    }
}

fn cancelled(number: u32) -> Frame {
    Frame::Release {
        number,
        outcome: dispatch::outcome_code(persimmonbend_core::health::Outcome::Cancelled),
        latency_ms: 0,
        bytes: 0,
    }
}
