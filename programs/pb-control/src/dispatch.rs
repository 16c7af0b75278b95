//! Dispatch service of the leader and the connections of the hosts that it serves.
//!
//! While its replica leads, the [`Service`] answers the reservations of hosts. When the replica loses
//! leadership, their connections are closed, so that hosts look for the next leader at once. On every
//! replica it sends the publication and the upstreams to the hosts that take them from this one.

pub mod meters;
mod state;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::future::Either;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::LatestWall;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::explain::Explanation;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::dispatch::explain::Unknown;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Revision;
use persimmonbend_core::roster::admission::Admission;
use persimmonbend_core::roster::admission::Context;
use persimmonbend_core::roster::admission::Decision;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Receiver;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::listener;
use tracing::info;

use crate::dispatch::meters::Meters;
use crate::dispatch::state::Hello;
use crate::dispatch::state::State;
use crate::feed::Feed;
use crate::leadership::Leadership;
use crate::leadership::Observer;
use crate::node::Node;
use crate::settings::Settings;

/// Time between two checks of timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Silence after which the connection of a host is closed; hosts send a frame every 400 ms.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which a host must send its first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which the answer to a hello is held back while no leader is known; hosts give
/// up after 500 ms.
const MAX_LEADER_WAIT: Duration = Duration::from_millis(350);

/// Silence of the leader up to which hosts are redirected to it: two heartbeats and some margin.
const MAX_HOST_REDIRECT_SILENCE: Duration = Duration::from_millis(300);

/// Silence of the leader up to which hosts take the feed of a follower.
const MAX_FEED_SILENCE: Duration = Duration::from_secs(2);

/// Time between two checks for a leader while a hello waits for one.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Term of the first leader of a fleet.
const FIRST_TERM: u64 = 1;

/// Time for which queued frames may still be written before a connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The dispatch service of a replica, active while the replica leads.
pub struct Service {
    node: Rc<Node>,
    clock: Rc<dyn Clock>,
    policy: Policy,
    zone: Option<Zone>,
    feed: RefCell<Feed>,
    /// When a leader was last known.
    leader_known: Cell<Instant>,
    state: RefCell<Option<State>>,
    admission: RefCell<Admission>,
    wall: LatestWall,
}

impl Service {
    /// Creates the dispatch service of a replica and observes its leadership.
    #[must_use]
    pub fn new(node: Rc<Node>, clock: Rc<dyn Clock>, settings: &Settings) -> Rc<Self> {
        let service = Rc::new(Self {
            feed: RefCell::new(node.read(Feed::new)),
            leader_known: Cell::new(clock.now()),
            node,
            wall: LatestWall::new(Rc::clone(&clock)),
            clock,
            policy: settings.policy,
            zone: settings.zone.clone(),
            state: RefCell::new(None),
            admission: RefCell::new(Admission::new(settings.announcements)),
        });
        let observer: Rc<dyn Observer> = Rc::new(Forwarder(Rc::clone(&service)));
        service.node.observe(observer);
        service
    }

    /// Returns the handler of connections of hosts.
    #[must_use]
    pub fn handler(self: &Rc<Self>) -> listener::Handler {
        let service = Rc::clone(self);
        Rc::new(move |stream, from| {
            let service = Rc::clone(&service);
            spawn(async move { service.serve_connection(stream, from).await }).detach();
        })
    }

    /// Returns the gauges of the replica as text.
    #[must_use]
    pub fn metrics(&self, meters: &Meters) -> String {
        meters.text(self.state.borrow().as_ref(), self.clock.now())
    }

    /// Handles timers until the future is dropped.
    pub async fn run(&self) {
        let mut before = self.clock.now();
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            let late = now.saturating_duration_since(before + TICK_INTERVAL);
            let revision = self.tick_feed(now);
            if let Some(state) = self.state.borrow_mut().as_mut() {
                state.note_delay(late);
                state.tick(revision, now);
            }
            before = self.clock.now();
        }
    }

    /// Sends what is due to the hosts that take the feed, unless this replica may be outdated; returns
    /// the revision of the roster.
    fn tick_feed(&self, now: Instant) -> Revision {
        let mut feed = self.feed.borrow_mut();
        if self.knows_leader() {
            self.leader_known.set(now);
        }
        let silence = now.saturating_duration_since(self.leader_known.get());
        if silence > MAX_FEED_SILENCE || !self.node.read(|machine| feed.is_of(machine)) {
            if feed.len() > 0 {
                info!(hosts = feed.len(), "feed_closed");
            }
            feed.close();
            *feed = self.node.read(Feed::new);
        }
        feed.tick(now);
        feed.revision()
    }

    /// Decides what to do with an announcement. Unless its start is not used or a later announcement was received,
    /// records that its upstream was in contact.
    #[must_use]
    pub fn receive_announcement(&self, announcement: &Announcement) -> Decision {
        let decision = self.with_context(|context| {
            let mut admission = self.admission.borrow_mut();
            admission.decide(announcement, context)
        });
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return decision;
        };
        match &decision {
            Decision::Renew | Decision::Apply(_) => {}
            Decision::Refuse(_) => {
                state.count_refused_announcement();
                return decision;
            }
            Decision::Ignore | Decision::Reinstate | Decision::Depart(_) => return decision,
        }
        if !state.is_latest(announcement) && announcement.stage.takes_requests() {
            return Decision::Ignore;
        }
        let known = self.node.read(|machine| {
            let entry = machine.roster().get(&announcement.id);
            entry.map(|entry| entry.number)
        });
        if let Some(number) = known {
            let is_renewal = decision == Decision::Renew;
            state.touch_upstream(number, is_renewal, self.clock.now());
        }
        decision
    }

    /// Returns the announcement that notes the departure of an upstream. `start` is the start that has left, if the departure names it.
    pub fn departure(&self, id: &UpstreamId, start: Option<Incarnation>) -> Announcement {
        self.with_context(|context| {
            let mut admission = self.admission.borrow_mut();
            admission.departure(id, start, context)
        })
    }

    /// Counts a start that was reinstated.
    pub fn note_reinstated(&self) {
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.count_reinstated();
        }
    }

    fn with_context<T, F>(&self, use_context: F) -> T
    where
        F: FnOnce(&Context<'_>) -> T,
    {
        let wall = self.wall.now().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default().as_millis();
        self.node.read(|machine| {
            use_context(&Context {
                roster: machine.roster(),
                publication: &machine.published().publication,
                wall: Incarnation::try_from(wall).unwrap_or(Incarnation::MAX),
                now: self.clock.now(),
            })
        })
    }

    /// Returns the state of the service as JSON, null while the replica does not lead.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let state = self.state.borrow();
        state.as_ref().map_or(serde_json::Value::Null, |state| {
            state.status(self.clock.now())
        })
    }

    /// Returns where a request would go now and why, `None` while the replica does not lead.
    #[must_use]
    pub fn explain(&self, question: &Question) -> Option<Result<Explanation, Unknown>> {
        let state = self.state.borrow();
        let state = state.as_ref().filter(|_| self.node.is_leader())?;
        let now = self.clock.now();
        let explain = |machine: &Machine| {
            let evacuations = machine.roster().evacuations();
            state.explain(question, evacuations, now)
        };
        Some(self.node.read(explain))
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let members = self.node.member_addresses();
        let addresses = members
            .iter()
            .filter_map(|(_, address)| address.parse().ok());
        addresses.collect()
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let (sender, writer, receiver) = dispatch::split(stream);
        let writing = spawn(writer.run());
        let reason = self.serve_host(&sender, receiver).await;
        info!(peer = %from, reason = %reason, "host_link_ended");
        let _ = timeout(FLUSH_TIMEOUT, writing).await;
        sender.close();
    }

    async fn serve_host(&self, sender: &Sender, mut receiver: Receiver) -> Error {
        let first = match timeout(HELLO_TIMEOUT, receiver.next()).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) => return error,
            Err(_) => return Error::Timeout,
        };
        let mut frames = first.into_iter();
        let hello = match frames.next() {
            Some(Frame::Hello {
                host,
                zone,
                version,
                relay,
                deputy: _,
                build,
                is_published,
            }) => {
                sender.set_level(build);
                Hello {
                    host,
                    zone,
                    version: dispatch::held_version(version, is_published),
                    relay,
                }
            }
            Some(Frame::Follow {
                host,
                zone,
                version,
                build,
                is_published,
            }) => {
                sender.set_level(build);
                let version = dispatch::held_version(version, is_published);
                return self
                    .serve_follower(&host, &zone, version, sender, receiver)
                    .await;
            }
            _ => return Error::Malformed("the first frame is not a hello".to_owned()),
        };
        self.wait_for_leader().await;
        let host = hello.host.clone();
        if !self.accept_host(hello, sender) {
            sender.send(Frame::NotLeader {
                leader: self.node.leader_within(MAX_HOST_REDIRECT_SILENCE),
                control: self.control_addresses(),
            });
            return Error::NotLeader(self.node.leader_hint());
        }
        self.receive_frames(&host, sender, frames.collect());
        let error = loop {
            let next = async {
                futures_util::select_biased! {
                    () = futures_util::FutureExt::fuse(sender.closed()) => Err(Error::Role),
                    frames = futures_util::FutureExt::fuse(receiver.next()) => frames,
                }
            };
            match timeout(HOST_TIMEOUT, Box::pin(next)).await {
                Ok(Ok(frames)) => self.receive_frames(&host, sender, frames),
                Ok(Err(error)) => break error,
                Err(_) => break Error::Timeout,
            }
        };
        let now = self.clock.now();
        self.feed.borrow_mut().remove(&host, sender);
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.disconnect_host(&host, sender, now);
        }
        error
    }

    /// Sends the feed to a host of the zone of this replica until its connection ends.
    async fn serve_follower(
        &self,
        host: &str,
        zone: &str,
        version: Option<Version>,
        sender: &Sender,
        mut receiver: Receiver,
    ) -> Error {
        let is_accepted = self.zone.as_deref() == Some(zone) && self.wait_for_feed(version).await;
        sender.send(Frame::Followed {
            zone: self.zone.clone(),
            is_accepted,
            control: self.control_addresses(),
            build: dispatch::OWN_LEVEL,
        });
        if !is_accepted {
            return Error::Role;
        }
        self.add_to_feed(host, version, sender);
        let error = loop {
            let closed = std::pin::pin!(sender.closed());
            let next = std::pin::pin!(receiver.next::<Frame>());
            match futures_util::future::select(closed, next).await {
                Either::Left(_) => break Error::Role,
                Either::Right((Err(error), _)) => break error,
                Either::Right((Ok(_), _)) => {}
            }
        };
        self.feed.borrow_mut().remove(host, sender);
        error
    }

    fn add_to_feed(&self, host: &str, version: Option<Version>, sender: &Sender) {
        let now = self.clock.now();
        let mut feed = self.feed.borrow_mut();
        self.node
            .read(|machine| feed.add(host, version, sender, machine, now));
    }

    /// Waits at most [`MAX_LEADER_WAIT`] until a leader is known, so that hosts learn of a new
    /// leader at once and need not send a hello repeatedly.
    async fn wait_for_leader(&self) {
        self.wait_until(|| self.knows_leader()).await;
    }

    /// Returns whether this replica leads or has just heard the leader.
    fn knows_leader(&self) -> bool {
        self.node.is_leader() || self.node.leader_within(MAX_HOST_REDIRECT_SILENCE).is_some()
    }

    /// Waits until this replica has applied what the leader had committed, and holds `version`;
    /// returns whether it does so in time.
    async fn wait_for_feed(&self, version: Option<Version>) -> bool {
        let has_it = || {
            let feed = self.feed.borrow();
            let is_applied = self.node.read(|machine| feed.is_of(machine));
            self.node.is_current() && is_applied && version <= feed.version()
        };
        self.wait_until(has_it).await
    }

    /// Waits at most [`MAX_LEADER_WAIT`] until a condition holds; returns whether it does.
    async fn wait_until<F: Fn() -> bool>(&self, condition: F) -> bool {
        let deadline = self.clock.now() + MAX_LEADER_WAIT;
        while !condition() {
            if self.clock.now() >= deadline {
                return false;
            }
            compio::time::sleep(LEADER_POLL_INTERVAL).await;
        }
        true
    }

    fn accept_host(&self, hello: Hello, sender: &Sender) -> bool {
        if !self.node.is_leader() {
            return false;
        }
        let control = self.control_addresses();
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return false;
        };
        sender.send(Frame::Welcome {
            term: self.node.term(),
            leader: self.node.leader_hint().parse().ok(),
            control,
            build: dispatch::OWN_LEVEL,
        });
        state.connect_host(hello, sender, now);
        true
    }

    fn receive_frames(&self, host: &str, sender: &Sender, frames: Vec<Frame>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            sender.close();
            return;
        };
        for frame in frames {
            match frame {
                Frame::Subscribe {
                    version,
                    is_published,
                } => {
                    let version = dispatch::held_version(version, is_published);
                    self.add_to_feed(host, version, sender);
                }
                Frame::Unsubscribe => self.feed.borrow_mut().remove(host, sender),
                frame => state.receive_frame(host, sender, frame, now),
            }
        }
    }

    fn begin_term(&self, term: u64) {
        let now = self.clock.now();
        let policy = self.policy(term);
        let state = self.node.read(|machine| {
            let publication = Rc::clone(&machine.published().publication);
            State::new(policy, publication, machine.roster(), now)
        });
        self.node.read(|machine| {
            let mut admission = self.admission.borrow_mut();
            admission.begin_term(machine.roster(), now);
        });
        info!(term, "desk_opened");
        *self.state.borrow_mut() = Some(state);
    }

    /// Returns the policy for the leader of a term. The first leader of a fleet starts with full
    /// quotas and retry budgets, as no predecessor can have spent any.
    fn policy(&self, term: u64) -> Policy {
        if term > FIRST_TERM {
            return self.policy;
        }
        Policy {
            initial_balance: Balance::Share(1.0),
            is_first_dispatcher: true,
            ..self.policy
        }
    }

    fn end_term(&self, term: u64) {
        if let Some(mut state) = self.state.borrow_mut().take() {
            state.log_load(self.clock.now());
            info!(term, hosts = state.host_count(), "desk_closed");
            state.close();
        }
    }

    fn update_feed(&self, reply: &Reply, now: Instant) {
        let mut feed = self.feed.borrow_mut();
        match reply {
            Reply::Published {
                publication: Some(publication),
            } => feed.publish(Rc::clone(publication), now),
            Reply::Registered { changed } if !changed.is_empty() => {
                let revision = self.node.read(|machine| machine.roster().revision());
                feed.update_upstreams(changed, revision, now);
            }
            Reply::Evacuation {
                zone,
                is_evacuated,
                changed,
            } => {
                let upstreams = changed.len();
                if *is_evacuated {
                    info!(zone, upstreams, "zone_evacuated");
                } else {
                    info!(zone, upstreams, "zone_readmitted");
                }
                let revision = self.node.read(|machine| machine.roster().revision());
                feed.update_upstreams(changed, revision, now);
            }
            _ => {}
        }
    }

    fn command_applied(&self, reply: &Reply) {
        let now = self.clock.now();
        if let Reply::Registered { changed } = reply {
            self.admission.borrow_mut().note_changes(changed, now);
        }
        self.update_feed(reply, now);
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return;
        };
        match reply {
            Reply::Published {
                publication: Some(publication),
            } => state.publish(Rc::clone(publication), now),
            Reply::Registered { changed } | Reply::Evacuation { changed, .. } => {
                state.update_upstreams(changed, now);
            }
            _ => {}
        }
    }
}

/// An observer that passes leadership changes and applied commands on to the service.
struct Forwarder(Rc<Service>);

impl Observer for Forwarder {
    fn leadership_changed(&self, leadership: Leadership) {
        self.0.end_term(leadership.term());
        if let Leadership::Leader { term, .. } = leadership {
            self.0.begin_term(term);
        }
    }

    fn command_applied(&self, reply: &Reply) {
        self.0.command_applied(reply);
    }
}
