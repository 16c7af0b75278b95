//! Finds upstreams for requests, over a link to the dispatcher or with a local one.
//!
//! [`Placer::reserve`] asks the dispatcher on the control leader, or on a deputy, for an upstream.
//! While there is no link or the dispatcher does not answer, the host's local dispatcher decides
//! from what the host has observed itself, within this host's share of each quota and retry budget.

mod link;
mod reservation;
mod reserve;
mod search;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use event_listener::EventListener;
use futures_channel::mpsc::UnboundedSender;
use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::share_without_leader;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::poison::End;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::poison::Standing;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::steward::Ticket;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Sender;
use serde_json::json;

pub use link::run;
pub use reservation::Reservation;
pub(in crate::gateway) use search::replicas;

use crate::gateway::settings::Settings;

/// The criteria by which the placer finds an upstream for a request.
#[derive(Debug, Clone)]
pub struct Criteria {
    /// Id of the request, for logs.
    pub request: String,
    /// Route of the request.
    pub route: RouteId,
    /// Service that the route's traffic split selected.
    pub service: ServiceId,
    /// Tenant of the request, if it has a key.
    pub tenant: Option<TenantId>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// Time within which an answer earns its full credit, the unit of the dispatcher's costs.
    pub objective: Duration,
    /// Attempts that may have run the request, including those in flight.
    pub attempts: u32,
    /// Whether the request was sent to an upstream before.
    pub is_retry: bool,
    /// Upstreams that were tried before.
    pub avoid: Vec<Number>,
    /// Whether another upstream is running the request.
    pub is_hedge: bool,
    /// Size of the request body in bytes.
    pub body_bytes: u32,
}

/// Why no upstream was found for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: Kind,
    /// Time after which the client may retry.
    pub retry_after: Duration,
}

/// A slot that a request of this host uses.
#[derive(Debug, Clone)]
struct Slot {
    service: ServiceId,
    upstream: Number,
    route: RouteId,
    /// Size of the request body in bytes.
    body_bytes: u32,
}

/// Finds upstreams for the requests of one host.
pub struct Placer {
    host: HostId,
    zone: Zone,
    /// Link to the leader or a deputy.
    link: RefCell<Option<Sender>>,
    /// When this host was last in contact with the other end of the link.
    last_heard: Cell<Option<Instant>>,
    /// When this host was last in contact with a leader, directly or over a relay.
    leader_last_heard: Cell<Option<Instant>>,
    /// Whether the link goes to a deputy.
    via_deputy: Cell<bool>,
    /// Whether control counts as unreachable by [`search::Search::is_control_unreachable`], until a
    /// link to the leader is opened, directly or over a relay.
    control_unreachable: Cell<bool>,
    /// Whether the host asked for the publication and the upstreams on the link in use.
    is_subscribed: Cell<bool>,
    /// When the dispatcher last failed to answer in time, unless it has answered since.
    unanswered_since: Cell<Option<Instant>>,
    /// Notifies the link that the dispatcher failed to answer in time.
    unanswered: Event,
    /// Notifies waiting requests that a link was opened.
    link_opened: Event,
    /// Notifies the timers of the local dispatcher that the link was closed.
    link_closed: Event,
    /// Upstreams that the leader last reported as suspected.
    suspects: RefCell<Option<BTreeSet<Number>>>,
    /// Whether a heartbeat arrived on the link in use, so that the suspects are those of its
    /// dispatcher.
    has_suspects_of_link: Cell<bool>,
    /// Control replicas that the leader or another replica last listed.
    replicas: RefCell<Vec<SocketAddr>>,
    /// Address of the leader, while this host has a direct link to it.
    direct_leader: Cell<Option<SocketAddr>>,
    /// Hosts that relay links to the leader, as it last listed them.
    relays: RefCell<Vec<SocketAddr>>,
    /// Places requests while the dispatcher does not answer.
    local_dispatcher: RefCell<Dispatcher>,
    /// Number of hosts in the fleet as last reported, 0 before the first report.
    fleet_hosts: Cell<u32>,
    /// Requests that wait for a decision, by the number of the reservation.
    pending: RefCell<BTreeMap<u32, UnboundedSender<Decision>>>,
    /// Slots in use, by the number of the reservation.
    slots: RefCell<BTreeMap<u32, Slot>>,
    /// Number of the latest reservation.
    last_number: Cell<u32>,
}

impl Placer {
    /// Creates a placer without a link; `draw` is a random number from 0 up to 1.
    #[must_use]
    pub fn new(settings: &Settings, draw: f64, now: Instant) -> Self {
        let mut local = Dispatcher::new(Policy {
            retries: settings.retries,
            max_silence: Duration::MAX,
            contact: settings.contact,
            initial_balance: Balance::Sampled {
                tolerance: settings.tolerance,
                draw,
            },
            is_first_dispatcher: false,
            floor: settings.floor,
            hedge_share: settings.hedge_share,
        });
        local.set_share(share_without_leader(1, None), now);
        local.set_first_permit(draw);
        local.poison_mut().set_draw(draw);
        Self {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            link: RefCell::new(None),
            last_heard: Cell::new(None),
            leader_last_heard: Cell::new(None),
            via_deputy: Cell::new(false),
            control_unreachable: Cell::new(false),
            is_subscribed: Cell::new(false),
            unanswered_since: Cell::new(None),
            unanswered: Event::new(),
            link_opened: Event::new(),
            link_closed: Event::new(),
            suspects: RefCell::new(None),
            has_suspects_of_link: Cell::new(false),
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

    /// Returns whether this host was in contact with the leader within `age`.
    #[must_use]
    pub fn has_heard_leader(&self, age: Duration, now: Instant) -> bool {
        let last_heard = self.leader_last_heard.get();
        last_heard.is_some_and(|last_heard| now.saturating_duration_since(last_heard) < age)
    }

    /// Returns when this host was last in contact with the leader.
    #[must_use]
    pub const fn leader_last_heard(&self) -> Option<Instant> {
        self.leader_last_heard.get()
    }

    /// Returns whether this host has had a link to the leader or a deputy.
    #[must_use]
    pub const fn was_linked(&self) -> bool {
        self.last_heard.get().is_some()
    }

    /// Returns a listener for the next link.
    pub fn listen_for_link(&self) -> EventListener {
        self.link_opened.listen()
    }

    /// Returns whether control counts as unreachable, so that this host may act as a deputy.
    #[must_use]
    pub const fn is_control_unreachable(&self) -> bool {
        self.control_unreachable.get()
    }

    /// Returns the share of quotas and retry budgets that `hosts` hosts without the leader may use.
    #[must_use]
    pub fn share(&self, hosts: usize) -> f64 {
        let known = Some(self.fleet_hosts.get()).filter(|hosts| *hosts > 0);
        share_without_leader(u32::try_from(hosts).unwrap_or(u32::MAX), known)
    }

    /// Returns the upstreams that the leader last reported as suspected.
    #[must_use]
    pub fn suspects(&self) -> BTreeSet<Number> {
        self.suspects.borrow().clone().unwrap_or_default()
    }

    /// Returns the control replicas that were last listed.
    #[must_use]
    pub fn replicas(&self) -> Vec<SocketAddr> {
        self.replicas.borrow().clone()
    }

    /// Returns the hosts that may relay links, or act as deputies, as the leader last listed them.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        self.relays.borrow().clone()
    }

    /// Returns the link to the leader, direct or through a relay.
    #[must_use]
    pub fn leader_link(&self) -> Option<Sender> {
        let link = self.link.borrow().clone();
        link.filter(|_| !self.via_deputy.get())
    }

    /// Returns the address of the leader while this host has a direct link to it.
    #[must_use]
    pub const fn direct_leader(&self) -> Option<SocketAddr> {
        self.direct_leader.get()
    }

    /// Passes the publication in force to the local dispatcher.
    pub fn publish(&self, publication: Rc<Publication>, now: Instant) {
        self.local_dispatcher.borrow_mut().publish(publication, now);
    }

    /// Passes a new or changed upstream to the local dispatcher.
    pub fn update_upstream(&self, entry: &Entry, now: Instant) {
        let answers = self
            .local_dispatcher
            .borrow_mut()
            .update_upstream(entry, now);
        self.deliver(answers);
    }

    /// Records what an upstream states about itself, and reports it to the dispatcher; returns whether it
    /// changes what this host knows.
    pub fn note_statement(&self, upstream: Number, statement: Statement, now: Instant) -> bool {
        let mut local = self.local_dispatcher.borrow_mut();
        let is_new = local.note_statement(&self.host, upstream, &statement, now);
        // The dispatcher has to know when a limit was last stated.
        let is_reported = is_new || statement.limit.is_some();
        if let (true, Some(link)) = (is_reported, &*self.link.borrow()) {
            link.send(stated_frame(upstream, statement));
        }
        is_new
    }

    /// Returns what upstreams have stated about themselves, as this host knows it.
    #[must_use]
    pub fn statements(&self, now: Instant) -> Vec<(Number, Statement)> {
        let local = self.local_dispatcher.borrow();
        local.ledger().statements(&self.host, now)
    }

    /// Returns whether an upstream has stated that it wants no requests from this host.
    #[must_use]
    pub fn is_unwanted_at(&self, upstream: Number, now: Instant) -> bool {
        let local = self.local_dispatcher.borrow();
        let ledger = local.ledger();
        ledger.is_draining(upstream) || ledger.pauses(&self.host, now).contains(upstream)
    }

    /// Returns whether a request may be sent to an upstream; `content` is called only if ends are known.
    pub fn standing<C: FnOnce() -> Fingerprint>(&self, content: C, now: Instant) -> Standing {
        let local = self.local_dispatcher.borrow();
        if local.poison().is_empty() {
            return Standing::Allowed;
        }
        local.poison().standing(content(), now)
    }

    /// Records that a content is sent as a trial.
    pub fn note_trial(&self, content: Fingerprint, now: Instant) {
        let mut local = self.local_dispatcher.borrow_mut();
        local.poison_mut().note_trial(content, now);
    }

    /// Takes back the trial of a content that reached no upstream.
    pub fn withdraw_trial(&self, content: Fingerprint) {
        let mut local = self.local_dispatcher.borrow_mut();
        local.poison_mut().withdraw_trial(content);
    }

    /// Records that an upstream ended under a request, and reports it to the dispatcher.
    pub fn note_end(&self, end: End, now: Instant) {
        if self
            .local_dispatcher
            .borrow_mut()
            .poison_mut()
            .note(&end, now)
        {
            self.report_ends(vec![end]);
        }
    }

    /// Records that a request was answered, and reports it to the dispatcher if upstreams had ended under its
    /// content; `content` is called only if ends are known.
    pub fn note_answer<C: FnOnce() -> Fingerprint>(&self, content: C, now: Instant) {
        let mut local = self.local_dispatcher.borrow_mut();
        if !local.poison().is_empty() {
            let changed = local.poison_mut().note_answer(content(), now);
            drop(local);
            self.report_ends(changed);
        }
    }

    /// Returns the ends of upstreams that this host knows of.
    #[must_use]
    pub fn ends(&self, now: Instant) -> Vec<End> {
        self.local_dispatcher.borrow().poison().ends(now)
    }

    fn report_ends(&self, ends: Vec<End>) {
        if let (false, Some(link)) = (ends.is_empty(), &*self.link.borrow()) {
            link.send(Frame::Ends(ends));
        }
    }

    /// Announces to the dispatcher that this host stops as planned.
    pub fn announce_stop(&self) {
        if let Some(link) = self.link.borrow().as_ref() {
            link.send(Frame::Stopping);
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
            "ends": self.ends(now).iter().map(shown_end).collect::<Vec<_>>(),
            "own_view": self.local_dispatcher.borrow().dump(now),
        })
    }

    fn placement(&self, number: u32, slot: &Slot) -> Placement {
        Placement {
            ticket: self.ticket(number),
            service: slot.service.clone(),
            upstream: slot.upstream,
            route: slot.route.clone(),
            body_bytes: slot.body_bytes,
        }
    }

    fn ticket(&self, number: u32) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number,
        }
    }

    /// Delivers decisions of the local dispatcher.
    fn deliver(&self, answers: Vec<Answer>) {
        for answer in answers {
            self.deliver_decision(answer.ticket.number, answer.decision);
        }
    }

    /// Delivers a decision to the request that waits for it; returns whether there is one.
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

/// Returns the frame that reports a slot in use to a dispatcher that did not grant it.
fn running_frame(number: u32, slot: &Slot) -> Frame {
    Frame::Running {
        number,
        service: slot.service.clone(),
        upstream: slot.upstream,
        route: slot.route.clone(),
        body_bytes: slot.body_bytes,
    }
}

/// Returns the frame that reports what an upstream has stated about itself.
const fn stated_frame(upstream: Number, statement: Statement) -> Frame {
    Frame::Stated {
        upstream,
        statement,
    }
}

/// Returns an end of an upstream, for operators.
fn shown_end(end: &End) -> serde_json::Value {
    json!({
        "content": end.content.to_string(),
        "upstream": end.upstream,
        "age_ms": dispatch::millis(end.age),
        "holds": end.holds,
    })
}

/// Returns the frame that withdraws a reservation.
fn cancellation_frame(number: u32) -> Frame {
    Frame::Release {
        number,
        outcome: dispatch::outcome_code(persimmonbend_core::health::Outcome::Cancelled),
        latency_ms: 0,
        bytes: 0,
    }
}
