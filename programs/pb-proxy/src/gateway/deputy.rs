//! Places the requests of other hosts while control cannot be reached.
//!
//! Hosts that reach neither the leader nor a relay connect to the first host of their deputy group
//! that cannot reach control either. Each host contributes its share of the quotas and retry
//! budgets: a deputy of `k` of `n` hosts hands out `k / n` of them, however many deputies there
//! are. A deputy closes the links of its hosts as soon as it has a link to the leader again.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::roster::Revision;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::Receiver;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::error::Error;
use tracing::info;

use crate::gateway::state::State;

/// Time between two runs of the deputy's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for a host's hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Silence after which a host counts as lost; hosts send a heartbeat every 400 ms.
const HOST_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Fraction of the tolerated quota overshoot that a deputy hands out; local dispatchers and the
/// next leader use the rest.
const TOLERANCE_FRACTION: f64 = 0.5;

/// Places requests for other hosts while this host cannot reach control.
#[derive(Debug, Default)]
pub struct Deputy {
    hosts: RefCell<Option<Hosts>>,
    /// Revision of the roster that the dispatcher has.
    revision: Cell<Revision>,
}

impl Deputy {
    /// Runs the timers until the future is dropped, and closes the deputy once control is reached
    /// or no host is left.
    pub async fn run(&self, state: &State) {
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let mut hosts = self.hosts.borrow_mut();
            let Some(serving) = hosts.as_mut() else {
                continue;
            };
            if !state.placer().is_control_unreachable() || serving.is_empty() {
                info!(hosts = serving.len(), "deputy_closed");
                serving.close();
                *hosts = None;
                continue;
            }
            self.update_upstreams(state, serving);
            let share = state.placer().share(serving.len());
            let dispatcher = serving.dispatcher_mut();
            dispatcher.set_share(share, state.now());
            dispatcher.note_leader_heard(state.placer().leader_last_heard());
            serving.tick(0, None, 0, state.now());
        }
    }

    /// Serves the connection of a host that asks for a deputy.
    pub async fn serve(&self, state: &State, stream: TcpStream, from: SocketAddr) {
        let (sender, writer, receiver) = dispatch::split(stream);
        let writing = spawn(writer.run());
        let reason = self.serve_host(state, &sender, receiver).await;
        info!(peer = %from, reason = %reason, "host_link_ended");
        sender.close();
        drop(writing);
    }

    /// Answers the hello of a host and handles its frames; returns why the link ended.
    async fn serve_host(&self, state: &State, sender: &Sender, mut receiver: Receiver) -> Error {
        let first = match timeout(HELLO_TIMEOUT, receiver.next()).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(error)) => return error,
            Err(_) => return Error::Timeout,
        };
        let mut frames = first.into_iter();
        let Some(Frame::Hello {
            host,
            zone,
            deputy: true,
            build,
            ..
        }) = frames.next()
        else {
            return Error::Role;
        };
        if !state.placer().is_control_unreachable() {
            return Error::Role;
        }
        let now = state.now();
        sender.set_level(build);
        sender.send(Frame::Welcome {
            term: 0,
            leader: None,
            control: Vec::new(),
            build: dispatch::OWN_LEVEL,
        });
        self.with_hosts(state, |hosts| {
            hosts.connect(&host, zone, sender, now);
            info!(host, hosts = hosts.len(), "deputy_joined");
        });
        let mut waiting = frames.collect();
        let error = loop {
            let now = state.now();
            self.with_hosts(state, |hosts| {
                for frame in std::mem::take(&mut waiting) {
                    hosts.handle(&host, sender, frame, now);
                }
            });
            let next = timeout(HOST_SILENCE_TIMEOUT, receiver.next()).await;
            match next {
                Ok(Ok(frames)) if sender.is_open() => waiting = frames,
                Ok(Ok(_)) => break Error::Role,
                Ok(Err(error)) => break error,
                Err(_) => break Error::Timeout,
            }
        };
        let now = state.now();
        if let Some(hosts) = self.hosts.borrow_mut().as_mut() {
            hosts.disconnect(&host, sender, now);
        }
        error
    }

    /// Applies `change` to the hosts, with a new dispatcher if there is none.
    fn with_hosts<F: FnOnce(&mut Hosts)>(&self, state: &State, change: F) {
        let mut hosts = self.hosts.borrow_mut();
        change(hosts.get_or_insert_with(|| {
            self.revision.set(state.feed().revision());
            Hosts::new(dispatcher(state))
        }));
    }

    /// Passes the upstreams of this host on to the dispatcher, if the feed has changed them: a replica may still
    /// send its feed while the leader is lost.
    fn update_upstreams(&self, state: &State, serving: &mut Hosts) {
        let revision = state.feed().revision();
        if self.revision.replace(revision) == revision {
            return;
        }
        let (dispatcher, now) = (serving.dispatcher_mut(), state.now());
        let upstreams = state.upstreams();
        dispatcher.retain_upstreams(&upstreams.iter().map(|entry| entry.number).collect());
        let mut answers = Vec::new();
        for entry in upstreams {
            answers.extend(dispatcher.update_upstream(&entry, now));
        }
        serving.send(answers);
    }
}

/// Creates a dispatcher with the publication, upstreams and suspicions that this host has.
fn dispatcher(state: &State) -> Dispatcher {
    let settings = state.settings();
    let now = state.now();
    let mut tolerance = settings.tolerance;
    tolerance.part *= TOLERANCE_FRACTION;
    tolerance.slack *= TOLERANCE_FRACTION;
    let mut dispatcher = Dispatcher::new(Policy {
        retries: settings.retries,
        max_silence: Duration::MAX,
        contact: settings.contact,
        initial_balance: Balance::Tolerated(tolerance),
        is_first_dispatcher: false,
        floor: settings.floor,
        hedge_share: settings.hedge_share,
    });
    dispatcher.set_share(state.placer().share(1), now);
    dispatcher.set_first_permit(state.random_fraction());
    dispatcher.publish(Rc::clone(&state.in_force().publication), now);
    for entry in state.upstreams() {
        dispatcher.update_upstream(&entry, now);
    }
    dispatcher.adopt_suspects(&state.placer().suspects(), true, now);
    for (number, statement) in state.placer().statements(now) {
        dispatcher.note_statement(&settings.host, number, &statement, now);
    }
    for end in state.placer().ends(now) {
        dispatcher.poison_mut().note(&end, now);
    }
    info!(version = state.version(), "deputy_opened");
    dispatcher
}
