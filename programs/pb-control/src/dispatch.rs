//! Dispatch service of the leader and the connections of the hosts that it serves.
//!
//! The [`Service`] is active while its replica leads. It sends each host the publication and the
//! upstreams, then their changes, and answers reservations. When the replica loses leadership, every
//! connection is closed, so that hosts look for the next leader at once.

mod state;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::roster::Effect;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Receiver;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::listener;
use tracing::info;

use crate::dispatch::state::Hello;
use crate::dispatch::state::State;
use crate::leadership::Leadership;
use crate::leadership::Observer;
use crate::node::Node;

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
    state: RefCell<Option<State>>,
}

impl Service {
    /// Creates the dispatch service of a replica and observes its leadership.
    #[must_use]
    pub fn new(node: Rc<Node>, clock: Rc<dyn Clock>, policy: Policy) -> Rc<Self> {
        let service = Rc::new(Self {
            node,
            clock,
            policy,
            state: RefCell::new(None),
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

    /// Handles timers until the future is dropped.
    pub async fn run(&self) {
        let mut before = self.clock.now();
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            let late = now.saturating_duration_since(before + TICK_INTERVAL);
            if let Some(state) = self.state.borrow_mut().as_mut() {
                state.note_delay(late);
                state.tick(now);
            }
            before = self.clock.now();
        }
    }

    /// Returns the effect of an announcement on the roster. Unless the announcement is outdated,
    /// records that its upstream was in contact.
    #[must_use]
    pub fn receive_announcement(&self, announcement: &Announcement) -> Effect {
        let effect = self
            .node
            .read(|machine| machine.roster().evaluate(announcement));
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return effect;
        };
        if effect == Effect::Outdated || !state.is_latest(announcement) {
            return Effect::Outdated;
        }
        let known = self.node.read(|machine| {
            machine
                .roster()
                .get(&announcement.id)
                .map(|entry| entry.number)
        });
        if let Some(number) = known {
            state.touch_upstream(number, self.clock.now());
        }
        effect
    }

    /// Returns the state of the service as JSON, null while the replica does not lead.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let state = self.state.borrow();
        state.as_ref().map_or(serde_json::Value::Null, |state| {
            state.status(self.clock.now())
        })
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
        let Some(Frame::Hello {
            host,
            zone,
            version,
            relay,
            deputy: _,
        }) = frames.next()
        else {
            return Error::Malformed("the first frame is not a hello".to_owned());
        };
        self.wait_for_leader().await;
        let hello = Hello {
            host: host.clone(),
            zone,
            version,
            relay,
        };
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
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.disconnect_host(&host, sender, now);
        }
        error
    }

    /// Waits at most [`MAX_LEADER_WAIT`] until a leader is known, so that hosts learn of a new
    /// leader at once and need not send a hello repeatedly.
    async fn wait_for_leader(&self) {
        let deadline = self.clock.now() + MAX_LEADER_WAIT;
        let is_known = || {
            self.node.is_leader() || self.node.leader_within(MAX_HOST_REDIRECT_SILENCE).is_some()
        };
        while !is_known() && self.clock.now() < deadline {
            compio::time::sleep(LEADER_POLL_INTERVAL).await;
        }
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
        });
        self.node.read(|machine| {
            state.connect_host(hello, machine.roster(), sender, now);
        });
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
            state.receive_frame(host, sender, frame, now);
        }
    }

    fn begin_term(&self, term: u64) {
        let now = self.clock.now();
        let policy = self.policy(term);
        let state = self.node.read(|machine| {
            let publication = Rc::clone(&machine.published().publication);
            State::new(policy, publication, machine.roster(), now)
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

    fn command_applied(&self, reply: &Reply) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return;
        };
        match reply {
            Reply::Published {
                publication: Some(publication),
            } => state.publish(Rc::clone(publication), now),
            Reply::Registered { changed } => state.update_upstreams(changed, now),
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
