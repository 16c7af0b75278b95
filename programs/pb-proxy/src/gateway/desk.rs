//! The link to the dispatcher on the control replica that leads, and what this host decides while
//! there is none.
//!
//! [`Desk::reserve`] asks the dispatcher for an upstream. When it is silent or away, a dispatcher
//! of this host's own decides by what the host has seen itself, with this host's part of each
//! quota and of each budget of repeats.

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

use compio::time::timeout;
use event_listener::Event;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Ask;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::First;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Report;
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
use persimmonbend_wire::dispatch::Reserve;
use persimmonbend_wire::dispatch::Sender;
use serde_json::json;
use tracing::info;
use tracing::warn;

pub use link::run;
pub use reservation::Reservation;

use crate::gateway::settings::Settings;
use crate::gateway::state::State;

/// Time that the dispatcher has for its first answer; a round trip takes one or two milliseconds,
/// and a lost packet is sent again after 200.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a dispatcher that did not answer is not asked, unless it says something.
const DOUBT: Duration = Duration::from_millis(500);

/// Part of a quota's and a budget's share that hosts on their own use.
const OWN_SHARE: f64 = 0.8;

/// Part of its objective for which a request that finds no token here waits for the next leader.
const WAIT_PART: f64 = 0.6;

/// Longest time after which a request comes back that this host refused on its own; another host
/// may have a token left, and the next leader is there within a second or two.
const OWN_RETRY: Duration = Duration::from_millis(300);

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

impl Refusal {
    /// Returns the refusal of a host that decides on its own: it has but a part of the quota.
    fn on_own(self) -> Self {
        let kind = match self.kind {
            Kind::RateExceeded => Kind::RateUnavailable,
            kind => kind,
        };
        Self {
            kind,
            retry_after: self.retry_after.min(OWN_RETRY),
        }
    }
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
            repeats: settings.repeats,
            silence: Duration::MAX,
            first: First::Drawn {
                tolerance: settings.tolerance,
                draw,
            },
            is_first: false,
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
        let answers = self.local.borrow_mut().enrol(entry, now);
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

    /// Finds an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns why there is none and when to come back.
    pub async fn reserve(state: &Rc<State>, need: &Need) -> Result<Reservation, Refusal> {
        let desk = state.desk();
        let until = need.arrived + need.objective.mul_f64(WAIT_PART);
        loop {
            if let Some(link) = desk.usable_link(state.now()) {
                let number = desk.number();
                let decision = desk.ask(state, &link, number, need).await;
                if let Some(decision) = decision {
                    if !desk.deputised.get() {
                        return desk.settle(state, need, number, decision, true);
                    }
                    let waiting = desk.wait_for_token(state, until, decision).await;
                    if !waiting {
                        return desk.settle(state, need, number, decision, true);
                    }
                    continue;
                }
                warn!(request = need.request, number, "dispatcher_silent");
                desk.doubted.set(Some(state.now()));
                desk.doubts.notify(usize::MAX);
            }
            let number = desk.number();
            let decision = desk.decide_alone(state, need, number).await;
            if !desk.wait_for_token(state, until, decision).await {
                return desk.settle(state, need, number, decision, false);
            }
        }
    }

    /// Waits for the next leader, which has the whole quota, or for the next token, where a part of
    /// the quota is used up; returns whether it is worth to ask again.
    async fn wait_for_token(&self, state: &State, until: Instant, decision: Decision) -> bool {
        let left = until.saturating_duration_since(state.now());
        let Decision::Refused {
            kind: Kind::RateExceeded,
            retry_after,
        } = decision
        else {
            return false;
        };
        if left.is_zero() {
            return false;
        }
        let linked = self.linked.listen();
        let _ = timeout(retry_after.min(left), linked).await;
        true
    }

    /// Places a request by what this host knows itself.
    async fn decide_alone(&self, state: &State, need: &Need, number: u32) -> Decision {
        let mut receiver = self.register(number);
        let _waiting = Waiting { desk: self, number };
        let ask = self.own_ask(number, need);
        let answers = self.local.borrow_mut().reserve(ask, state.now());
        self.deliver(answers);
        let decision = self.wait(state, &mut receiver, need).await;
        decision.unwrap_or(Decision::Refused {
            kind: Kind::Overloaded,
            retry_after: ASK_TIMEOUT,
        })
    }

    /// Returns the link unless the dispatcher left the last ask unanswered.
    fn usable_link(&self, now: Instant) -> Option<Sender> {
        let doubted = self.doubted.get();
        if doubted.is_some_and(|since| now.saturating_duration_since(since) < DOUBT) {
            return None;
        }
        self.link.borrow().clone()
    }

    /// Asks the dispatcher; returns `None` when it is silent or the link is lost.
    async fn ask(
        &self,
        state: &State,
        link: &Sender,
        number: u32,
        need: &Need,
    ) -> Option<Decision> {
        let mut receiver = self.register(number);
        let _waiting = Waiting { desk: self, number };
        let now = state.now();
        link.send(Frame::Reserve(Reserve {
            number,
            route: need.route.clone(),
            service: need.service.clone(),
            tenant: need.tenant.clone(),
            waited_ms: dispatch::millis(now.saturating_duration_since(need.arrived)),
            left_ms: dispatch::millis(need.deadline.saturating_duration_since(now)),
            attempts: u8::try_from(need.attempts).unwrap_or(u8::MAX),
            repeat: need.repeat,
            avoid: need.avoid.clone(),
        }));
        let guard = Withdrawal {
            link,
            number,
            armed: Cell::new(true),
        };
        let first = timeout(ASK_TIMEOUT, receiver.next()).await.ok().flatten()?;
        let decision = match first {
            Decision::Queued => self.wait(state, &mut receiver, need).await,
            decision => Some(decision),
        };
        guard.armed.set(decision.is_none());
        decision
    }

    /// Waits for the final decision on an ask until its deadline.
    async fn wait(
        &self,
        state: &State,
        receiver: &mut UnboundedReceiver<Decision>,
        need: &Need,
    ) -> Option<Decision> {
        loop {
            let left = need.deadline.saturating_duration_since(state.now());
            match timeout(left, receiver.next()).await.ok().flatten()? {
                Decision::Queued => {}
                decision => return Some(decision),
            }
        }
    }

    fn settle(
        &self,
        state: &Rc<State>,
        need: &Need,
        number: u32,
        decision: Decision,
        asked: bool,
    ) -> Result<Reservation, Refusal> {
        let deputy = asked && self.deputised.get();
        let led = asked && !deputy;
        let Decision::Granted { upstream, patience } = decision else {
            let mut refusal = refusal(decision);
            if !led {
                refusal = refusal.on_own();
            }
            info!(
                request = need.request,
                number,
                asked = led,
                deputy,
                kind = %refusal.kind,
                retry_after_ms = dispatch::millis(refusal.retry_after),
                "not_placed"
            );
            return Err(refusal);
        };
        let used = Use {
            service: need.service.clone(),
            upstream,
            route: need.route.clone(),
        };
        self.uses.borrow_mut().insert(number, used.clone());
        if asked {
            let report = self.report(number, &used);
            self.local.borrow_mut().hold(report, state.now());
        } else if let Some(link) = self.link.borrow().as_ref() {
            link.send(hold(number, &used));
        }
        let reservation = Reservation::new(state, number, upstream, patience);
        let Some(entry) = state.upstream(upstream) else {
            drop(reservation);
            return Err(Refusal {
                kind: Kind::RouteChanged,
                retry_after: ASK_TIMEOUT,
            });
        };
        let said = &entry.announcement;
        info!(
            request = need.request,
            number,
            asked = led,
            deputy,
            upstream = %said.id,
            zone = %said.zone,
            attempt = need.attempts + 1,
            grey = self.local.borrow().grey(upstream, state.now()),
            silent_ms = self.status_silence(state.now()),
            "placed"
        );
        Ok(reservation.at(entry))
    }

    fn status_silence(&self, now: Instant) -> Option<u32> {
        let heard = self.heard.get()?;
        Some(dispatch::millis(now.saturating_duration_since(heard)))
    }

    fn report(&self, number: u32, used: &Use) -> Report {
        Report {
            ticket: self.ticket(number),
            service: used.service.clone(),
            upstream: used.upstream,
            route: used.route.clone(),
        }
    }

    fn own_ask(&self, number: u32, need: &Need) -> Ask {
        Ask {
            ticket: self.ticket(number),
            zone: self.zone.clone(),
            route: need.route.clone(),
            service: need.service.clone(),
            tenant: need.tenant.clone(),
            arrived: need.arrived,
            deadline: need.deadline,
            attempts: need.attempts,
            repeat: need.repeat,
            avoid: need.avoid.clone(),
        }
    }

    fn ticket(&self, number: u32) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number,
        }
    }

    fn register(&self, number: u32) -> UnboundedReceiver<Decision> {
        let (sender, receiver) = mpsc::unbounded();
        self.waiting.borrow_mut().insert(number, sender);
        receiver
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

/// Forgets an ask once its decision is in or nobody waits for it any more.
struct Waiting<'a> {
    desk: &'a Desk,
    number: u32,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.desk.waiting.borrow_mut().remove(&self.number);
    }
}

/// Withdraws an ask that was given up.
struct Withdrawal<'a> {
    link: &'a Sender,
    number: u32,
    armed: Cell<bool>,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if self.armed.get() {
            self.link.send(cancelled(self.number));
        }
    }
}

fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Refused { kind, retry_after } => Refusal { kind, retry_after },
        Decision::Granted { .. } | Decision::Queued => Refusal {
            kind: Kind::Overloaded,
            retry_after: ASK_TIMEOUT,
        },
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
        sign: dispatch::sign_code(persimmonbend_core::health::Sign::Cancelled),
        latency_ms: 0,
        bytes: 0,
    }
}
