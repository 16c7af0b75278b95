//! The link to the dispatcher on the control replica that leads, and what this host decides while
//! there is none.
//!
//! [`Placer::reserve`] asks the dispatcher for an upstream. When it is silent or away, a dispatcher
//! of this host's own decides by what the host has seen itself, with this host's part of each
//! quota and of each budget of repeats.

mod link;
mod reservation;
mod reserve;
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
const LOCAL_SHARE: f64 = 0.8;

/// Hosts that share quotas and budgets before the dispatcher told how many there are.
const DEFAULT_HOST_COUNT: u32 = 128;

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
    pub is_retry: bool,
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
struct Slot {
    service: ServiceId,
    upstream: Number,
    route: RouteId,
}

/// The dispatcher as this host sees it.
pub struct Placer {
    host: HostId,
    zone: Zone,
    link: RefCell<Option<Sender>>,
    /// When whoever is linked was last heard.
    last_heard: Cell<Option<Instant>>,
    /// When a leader was last heard.
    leader_last_heard: Cell<Option<Instant>>,
    /// Whether the link goes to a host that stands in for the leader.
    via_deputy: Cell<bool>,
    /// Whether replicas of control are asked in vain.
    control_unreachable: Cell<bool>,
    /// Version of this host when the last beat told of a newer one.
    outdated_version: Cell<Option<Version>>,
    unanswered_since: Cell<Option<Instant>>,
    unanswered: Event,
    link_opened: Event,
    /// Upstreams that the leader last suspected.
    suspects: RefCell<Option<Vec<Number>>>,
    replicas: RefCell<Vec<SocketAddr>>,
    /// The leader, while this host has a link to it that no other host relays.
    direct_leader: Cell<Option<SocketAddr>>,
    /// Hosts that relay links to the leader.
    relays: RefCell<Vec<SocketAddr>>,
    local_dispatcher: RefCell<Dispatcher>,
    /// Hosts of the fleet as the leader last said, 0 before it did.
    fleet_hosts: Cell<u32>,
    pending: RefCell<BTreeMap<u32, UnboundedSender<Decision>>>,
    slots: RefCell<BTreeMap<u32, Slot>>,
    last_number: Cell<u32>,
}

impl Placer {
    /// Creates a placer without a link; `draw` is a random number from 0 up to 1.
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
        local.set_share(LOCAL_SHARE / f64::from(DEFAULT_HOST_COUNT));
        Self {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            link: RefCell::new(None),
            last_heard: Cell::new(None),
            leader_last_heard: Cell::new(None),
            via_deputy: Cell::new(false),
            control_unreachable: Cell::new(false),
            outdated_version: Cell::new(None),
            unanswered_since: Cell::new(None),
            unanswered: Event::new(),
            link_opened: Event::new(),
            suspects: RefCell::new(None),
            replicas: RefCell::default(),
            direct_leader: Cell::new(None),
            relays: RefCell::default(),
            local_dispatcher: RefCell::new(local),
            fleet_hosts: Cell::new(0),
            pending: RefCell::default(),
            slots: RefCell::default(),
            last_number: Cell::new(0),
        }
    }

    /// Returns whether the leader was heard within `age`.
    #[must_use]
    pub fn has_heard_leader(&self, age: Duration, now: Instant) -> bool {
        let last_heard = self.leader_last_heard.get();
        last_heard.is_some_and(|last_heard| now.saturating_duration_since(last_heard) < age)
    }

    /// Returns whether replicas of control are asked in vain.
    #[must_use]
    pub const fn is_control_unreachable(&self) -> bool {
        self.control_unreachable.get()
    }

    /// Returns the part of quotas and budgets that so many hosts on their own use together.
    #[must_use]
    pub fn share(&self, hosts: usize) -> f64 {
        let known = match self.fleet_hosts.get() {
            0 => DEFAULT_HOST_COUNT,
            known => known,
        };
        let all = f64::from(known).max(hosts as f64);
        LOCAL_SHARE * hosts as f64 / all
    }

    /// Returns the upstreams that the leader last suspected.
    #[must_use]
    pub fn suspects(&self) -> Vec<Number> {
        self.suspects.borrow().clone().unwrap_or_default()
    }

    /// Returns the replicas of control that are known.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.replicas.borrow().clone()
    }

    /// Returns the hosts that may help while the leader cannot be reached.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        self.relays.borrow().clone()
    }

    /// Returns the leader that this host has a link to, unless another host relays it.
    #[must_use]
    pub const fn direct_leader(&self) -> Option<SocketAddr> {
        self.direct_leader.get()
    }

    /// Takes note of the publication in force.
    pub fn publish(&self, publication: Rc<Publication>) {
        self.local_dispatcher.borrow_mut().publish(publication);
    }

    /// Takes note of a new or changed upstream.
    pub fn update_upstream(&self, entry: &Entry, now: Instant) {
        let answers = self
            .local_dispatcher
            .borrow_mut()
            .update_upstream(entry, now);
        self.deliver(answers);
    }

    /// Says that this host stops by plan.
    pub fn announce_stop(&self) {
        if let Some(link) = self.link.borrow().as_ref() {
            link.send(Frame::Bye);
        }
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let heard = self.last_heard.get();
        let silent = heard.map(|heard| now.saturating_duration_since(heard).as_millis());
        json!({
            "linked": self.link.borrow().is_some(),
            "silent_ms": silent.map(|silent| u64::try_from(silent).unwrap_or(u64::MAX)),
            "hosts": self.fleet_hosts.get(),
            "control": *self.replicas.borrow(),
            "waiting": self.pending.borrow().len(),
            "in_use": self.slots.borrow().len(),
            "own_view": self.local_dispatcher.borrow().dump(now),
        })
    }

    fn placement(&self, number: u32, slot: &Slot) -> Placement {
        Placement {
            ticket: self.ticket(number),
            service: slot.service.clone(),
            upstream: slot.upstream,
            route: slot.route.clone(),
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
            self.deliver_decision(answer.ticket.number, answer.decision);
        }
    }

    /// Hands a decision to the request that waits for it; returns whether one does.
    fn deliver_decision(&self, number: u32, decision: Decision) -> bool {
        let pending = self.pending.borrow();
        let sender = pending.get(&number);
        sender.is_some_and(|sender| sender.unbounded_send(decision).is_ok())
    }

    fn next_number(&self) -> u32 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        number
    }
}

impl fmt::Debug for Placer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Placer")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

fn hold_frame(number: u32, slot: &Slot) -> Frame {
    Frame::Hold {
        number,
        service: slot.service.clone(),
        upstream: slot.upstream,
        route: slot.route.clone(),
    }
}

fn cancellation_frame(number: u32) -> Frame {
    Frame::Release {
        number,
        outcome: dispatch::outcome_code(persimmonbend_core::health::Outcome::Cancelled),
        latency_ms: 0,
        bytes: 0,
    }
}
