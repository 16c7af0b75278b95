//! Finds the control leader and maintains the link to the leader, a relay or a deputy.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::poison::End;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Revision;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Receiver;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::link;
use rand::RngExt;
use tracing::info;
use tracing::warn;

use crate::gateway::feed;
use crate::gateway::placement;
use crate::gateway::placement::Placer;
use crate::gateway::placement::search::Search;
use crate::gateway::placement::search::Target;
use crate::gateway::placement::search::random_relay;
use crate::gateway::placement::search::replicas;
use crate::gateway::state::State;

/// Time limit for a connection to a replica, which takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for the answer to a hello; a replica that knows no leader waits for one for a while.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two heartbeats of this host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which the leader counts as lost; it sends a heartbeat every 400 ms.
const LEADER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence after which a leader that failed to answer a request in time counts as lost.
const UNANSWERED_SILENCE_TIMEOUT: Duration = Duration::from_millis(240);

/// Most control replicas that are stored.
const MAX_REPLICAS: usize = 64;

/// Time between two attempts to reach the leader directly while another host relays the link.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds of looking for a leader while the link goes to a deputy.
const DEPUTY_EXIT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks of the local dispatcher's timers while there is no link.
const UNLINKED_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maintains a link to the leader, a relay or a deputy until the future is dropped.
pub async fn run(state: Rc<State>) {
    let ticking = spawn(tick_unlinked(Rc::clone(&state)));
    maintain_link(state).await;
    drop(ticking);
}

/// Runs the timers of the local dispatcher while there is no link; a link runs them with its heartbeats.
async fn tick_unlinked(state: Rc<State>) {
    let placer = state.placer();
    loop {
        let closed = placer.link_closed.listen();
        if placer.link.borrow().is_some() {
            closed.await;
        }
        placer.tick(&state);
        compio::time::sleep(UNLINKED_TICK_INTERVAL).await;
    }
}

async fn maintain_link(state: Rc<State>) {
    let mut search = Search::new(state.rng().random_range(0..MAX_REPLICAS));
    loop {
        if let Some(target) = search.next(&state) {
            match serve_link(&state, target).await {
                Ended::Redirected(leader) => search.note_redirect(target, leader),
                Ended::Unreachable => search.note_failure(),
                Ended::Better(better) => search.note_better(better),
                Ended::Lost(error) => {
                    match target {
                        Target::Deputy(deputy) => warn!(%deputy, error = %error, "deputy_lost"),
                        _ => warn!(target = ?target, error = %error, "control_lost"),
                    }
                    search.note_lost(target);
                }
            }
        }
        if search.is_control_unreachable() {
            state.placer().control_unreachable.set(true);
        }
        let pause = search.pause(&state);
        compio::time::sleep(pause).await;
    }
}

/// Why the attempt to use a target ended.
enum Ended {
    /// The replica does not lead; it named this leader, if it knows one.
    Redirected(Option<SocketAddr>),
    /// The target did not answer, or its answer was not a welcome.
    Unreachable,
    /// A better target can be reached.
    Better(Target),
    /// The link was lost.
    Lost(Error),
}

/// Opens a link to a target and keeps it until it is lost or a better target is found.
async fn serve_link(state: &Rc<State>, target: Target) -> Ended {
    let Some((sender, mut receiver, frames)) = connect(state, target).await else {
        return Ended::Unreachable;
    };
    let ended = serve(state, &sender, &mut receiver, frames, target).await;
    sender.close();
    ended
}

/// Connects to a target and sends the hello; returns the link and the first frames received.
async fn connect(state: &State, target: Target) -> Option<(Sender, Receiver, Vec<Frame>)> {
    let settings = state.settings();
    let dialing = link::dial(target.address(), &settings.secret, Purpose::Dispatch);
    let stream = timeout(CONNECT_TIMEOUT, dialing).await.ok()?.ok()?;
    let (sender, writer, mut receiver) = dispatch::split(stream);
    spawn(writer.run()).detach();
    sender.send(Frame::Hello {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        version: state.version().unwrap_or_default(),
        relay: Some(settings.relay),
        deputy: matches!(target, Target::Deputy(_)),
        build: dispatch::OWN_LEVEL,
        is_published: state.version().is_some(),
    });
    match timeout(HELLO_TIMEOUT, receiver.next()).await {
        Ok(Ok(frames)) => Some((sender, receiver, frames)),
        _ => {
            sender.close();
            None
        }
    }
}

/// Handles the answer to the hello, and the frames of the link until its end.
async fn serve(
    state: &Rc<State>,
    sender: &Sender,
    receiver: &mut Receiver,
    first_frames: Vec<Frame>,
    target: Target,
) -> Ended {
    let mut frames = first_frames.into_iter();
    let leader = match frames.next() {
        Some(Frame::Welcome {
            term,
            leader,
            control,
            build,
        }) => {
            sender.set_level(build);
            state.placer().set_replicas(&control);
            let version = state.version();
            match target {
                Target::Deputy(deputy) => info!(%deputy, version, "deputy_linked"),
                _ => info!(term, target = ?target, version, "control_linked"),
            }
            leader
        }
        Some(Frame::NotLeader { leader, control }) => {
            state.placer().set_replicas(&control);
            return Ended::Redirected(leader);
        }
        _ => return Ended::Unreachable,
    };
    state.feed().begin_link();
    state
        .placer()
        .open_link(sender, target, leader, state.now());
    state.placer().subscribe(state);
    let result = apply_frames(state, sender, frames.collect());
    if let Err(error) = result {
        state.placer().close_link();
        return Ended::Lost(error);
    }
    let receiving = receive(state, sender, receiver);
    let finding = find_better(state, target, leader);
    let ended = match select(Box::pin(receiving), Box::pin(finding)).await {
        Either::Left((error, _)) => Ended::Lost(error),
        Either::Right((better, _)) => Ended::Better(better),
    };
    state.placer().close_link();
    ended
}

/// Waits until a better target than `target` can be reached, and returns it.
async fn find_better(state: &State, target: Target, leader: Option<SocketAddr>) -> Target {
    loop {
        let candidates = match target {
            Target::Replica(_) => return std::future::pending().await,
            Target::Relay(_) => {
                compio::time::sleep(DIRECT_RETRY_INTERVAL).await;
                leader.map(Target::Replica).into_iter().collect()
            }
            // A replica that knows no leader yet answers as soon as there is one.
            Target::Deputy(_) => {
                compio::time::sleep(DEPUTY_EXIT_INTERVAL).await;
                let replicas = replicas(state).into_iter().map(Target::Replica);
                replicas
                    .chain(random_relay(state).map(Target::Relay))
                    .collect::<Vec<_>>()
            }
        };
        for candidate in candidates {
            if is_welcomed(state, candidate).await {
                return candidate;
            }
        }
    }
}

/// Returns whether a target answers the hello with a welcome.
async fn is_welcomed(state: &State, target: Target) -> bool {
    let connected = connect(state, target).await;
    connected.is_some_and(|(sender, _, frames)| {
        sender.close();
        matches!(frames.first(), Some(Frame::Welcome { .. }))
    })
}

/// Sends heartbeats and handles frames until the link is lost; returns why.
async fn receive(state: &Rc<State>, sender: &Sender, receiver: &mut Receiver) -> Error {
    let mut last_sent = state.now();
    state.placer().note_contact(last_sent);
    let received = receiver.received();
    let mut received_before = received.get();
    loop {
        let mut next = Box::pin(receiver.next());
        let frames = loop {
            let now = state.now();
            if now.saturating_duration_since(last_sent) >= HEARTBEAT_INTERVAL {
                last_sent = now;
                sender.send(Frame::HostHeartbeat);
                state.placer().tick(state);
                state.placer().subscribe(state);
            }
            // A large frame takes several seconds over a slow link; its bytes count as contact.
            if received.get() > received_before {
                received_before = received.get();
                state.placer().last_heard.set(Some(now));
            }
            let unanswered = state.placer().unanswered.listen();
            let event = select(&mut next, unanswered);
            match timeout(HEARTBEAT_INTERVAL, event).await {
                Ok(Either::Left((Ok(frames), _))) => break frames,
                Ok(Either::Left((Err(error), _))) => return error,
                Ok(Either::Right(_))
                    if !state
                        .placer()
                        .has_contact(UNANSWERED_SILENCE_TIMEOUT, state.now()) =>
                {
                    return Error::Timeout;
                }
                Err(_) if !sender.is_open() => return Error::Timeout,
                Err(_)
                    if !state
                        .placer()
                        .has_contact(LEADER_SILENCE_TIMEOUT, state.now()) =>
                {
                    return Error::Timeout;
                }
                Ok(Either::Right(_)) | Err(_) => {}
            }
        };
        drop(next);
        state.placer().note_contact(state.now());
        if let Err(error) = apply_frames(state, sender, frames) {
            return error;
        }
    }
}

/// Applies frames of the dispatcher.
fn apply_frames(state: &Rc<State>, sender: &Sender, frames: Vec<Frame>) -> Result<(), Error> {
    for frame in frames {
        match frame {
            Frame::Published(_) | Frame::Announced { .. } | Frame::Upstreams { .. } => {
                feed::apply_from_leader(state, frame)?;
            }
            Frame::Relays(relays) => *state.placer().relays.borrow_mut() = relays,
            Frame::Heartbeat {
                hosts,
                version,
                revision,
                suspected,
                cleared,
                is_published,
            } => {
                let version = dispatch::held_version(version, is_published);
                note_announced(state, version, revision)?;
                let placer = state.placer();
                placer.note_hosts(hosts, state.now());
                placer.note_suspects(&suspected, &cleared, state.now());
            }
            Frame::Limits { stated, ended } => {
                state.placer().note_limits(&stated, &ended, state.now());
            }
            Frame::Identified { address, is_host } => {
                let admission = state.detours().admission();
                admission.note_answer(address, is_host, state.now());
            }
            Frame::Ends(ends) => state.placer().apply_ends(&ends, state.now()),
            other => state.placer().apply_answer(sender, other),
        }
    }
    Ok(())
}

/// Notes what a heartbeat announces. A host that lacks what earlier ones announced takes it from the
/// leader, or links anew if it does so already.
fn note_announced(
    state: &State,
    version: Option<Version>,
    revision: Revision,
) -> Result<(), Error> {
    state.note_announced(version);
    if !state.feed().is_behind((version, revision), state.version()) {
        return Ok(());
    }
    let (own, own_revision) = (state.version(), state.feed().revision());
    warn!(version, own, revision, own_revision, "publication_missed");
    if state.feed().give_up() {
        state.feed().begin_link();
        state.placer().subscribe(state);
        return Ok(());
    }
    let text =
        format!("version {version:?} and roster {revision} were announced and did not arrive");
    Err(Error::Malformed(text))
}

impl Placer {
    /// Stores the control replicas that a replica listed.
    pub(in crate::gateway) fn set_replicas(&self, control: &[SocketAddr]) {
        if !control.is_empty() {
            let replicas = control.iter().take(MAX_REPLICAS).copied();
            *self.replicas.borrow_mut() = replicas.collect();
        }
    }

    /// Makes `sender` the link in use and reports the slots in use, the suspected upstreams,
    /// what upstreams have stated about themselves and which ended under which requests.
    ///
    /// `target` is the other end of the link, which leads to `leader` unless it is a deputy.
    fn open_link(&self, sender: &Sender, target: Target, leader: Option<SocketAddr>, now: Instant) {
        let is_deputy = matches!(target, Target::Deputy(_));
        let is_direct = matches!(target, Target::Replica(_));
        self.direct_leader.set(leader.filter(|_| is_direct));
        self.via_deputy.set(is_deputy);
        if !is_deputy {
            self.control_unreachable.set(false);
        }
        for (number, slot) in self.slots.borrow().iter() {
            sender.send(placement::running_frame(*number, slot));
        }
        if let Some(suspects) = &*self.suspects.borrow() {
            sender.send(Frame::Suspects(suspects.iter().copied().collect()));
        }
        for (upstream, statement) in self.statements(now) {
            sender.send(placement::stated_frame(upstream, statement));
        }
        let ends = self.ends(now);
        if !ends.is_empty() {
            sender.send(Frame::Ends(ends));
        }
        self.has_suspects_of_link.set(false);
        self.is_subscribed.set(false);
        self.unanswered_since.set(None);
        *self.link.borrow_mut() = Some(sender.clone());
        self.link_opened.notify(usize::MAX);
    }

    /// Notes contact with the other end of the link.
    fn note_contact(&self, now: Instant) {
        self.last_heard.set(Some(now));
        if !self.via_deputy.get() {
            self.leader_last_heard.set(Some(now));
        }
    }

    /// Returns whether there was contact with the other end of the link within `age`.
    fn has_contact(&self, age: Duration, now: Instant) -> bool {
        let last_heard = self.last_heard.get();
        last_heard.is_some_and(|last_heard| now.saturating_duration_since(last_heard) < age)
    }

    /// Drops the link and resets the local quotas; requests that wait for an answer are placed
    /// locally.
    fn close_link(&self) {
        self.direct_leader.set(None);
        self.via_deputy.set(false);
        self.local_dispatcher.borrow_mut().reset_quotas();
        *self.link.borrow_mut() = None;
        self.pending.borrow_mut().clear();
        self.link_closed.notify(usize::MAX);
    }

    /// Asks the leader for the publication and the upstreams, unless the host has them from a replica
    /// or has asked on this link already.
    pub(in crate::gateway) fn subscribe(&self, state: &State) {
        if self.via_deputy.get() || !state.feed().needs_leader(state.now()) {
            return;
        }
        let link = self.link.borrow();
        let Some(link) = link.as_ref() else {
            return;
        };
        if !self.is_subscribed.replace(true) {
            link.send(Frame::Subscribe {
                version: state.version().unwrap_or_default(),
                is_published: state.version().is_some(),
            });
        }
    }

    /// Ends the subscription at the leader, as the host has a replica to follow.
    pub(in crate::gateway) fn unsubscribe(&self) {
        if let (true, Some(link)) = (self.is_subscribed.replace(false), &*self.link.borrow()) {
            link.send(Frame::Unsubscribe);
        }
    }

    /// Stores the number of hosts in the fleet, unless the leader does not know it yet.
    fn note_hosts(&self, hosts: u32, now: Instant) {
        if hosts == 0 {
            return;
        }
        self.fleet_hosts.set(hosts);
        let share = self.share(1);
        self.local_dispatcher.borrow_mut().set_share(share, now);
    }

    /// Updates the suspects from the changes in a heartbeat; the first heartbeat of a link names all.
    fn note_suspects(&self, suspected: &[Number], cleared: &[Number], now: Instant) {
        let mut current = self.suspects.borrow_mut();
        let suspects = match &mut *current {
            Some(suspects) if self.has_suspects_of_link.replace(true) => suspects,
            _ => {
                self.has_suspects_of_link.set(true);
                current.insert(BTreeSet::new())
            }
        };
        suspects.extend(suspected);
        for number in cleared {
            suspects.remove(number);
        }
        self.local_dispatcher
            .borrow_mut()
            .adopt_suspects(suspects, true, now);
    }

    /// Notes limits that upstreams have stated to other hosts, and the end of such limits.
    fn note_limits(&self, stated: &[(Number, Limit)], ended: &[Number], now: Instant) {
        let mut local = self.local_dispatcher.borrow_mut();
        for (upstream, limit) in stated {
            let statement = Statement {
                limit: Some(*limit),
                ..Statement::default()
            };
            local.note_statement(&self.host, *upstream, &statement, now);
        }
        for upstream in ended {
            local.remove_limit(*upstream, now);
        }
        info!(?stated, ?ended, "limits_noted");
    }

    /// Notes ends of upstreams under requests of other hosts.
    fn apply_ends(&self, ends: &[End], now: Instant) {
        let mut local = self.local_dispatcher.borrow_mut();
        for end in ends {
            if local.poison_mut().note(end, now) {
                let (content, number) = (end.content, end.upstream);
                info!(%content, number, holds = end.holds, "upstream_end_noted");
            }
        }
    }

    /// Runs the timers of the local dispatcher.
    fn tick(&self, state: &State) {
        let mut local = self.local_dispatcher.borrow_mut();
        local.note_leader_heard(self.leader_last_heard.get());
        let answers = local.tick(state.now());
        drop(local);
        self.deliver(answers);
    }

    /// Delivers the dispatcher's answer on a reservation, and withdraws a grant that no request
    /// waits for.
    fn apply_answer(&self, sender: &Sender, frame: Frame) {
        self.unanswered_since.set(None);
        let (number, decision) = match frame {
            Frame::Granted {
                number,
                upstream,
                attempt_timeout_ms,
            } => {
                let limit = Duration::from_millis(u64::from(attempt_timeout_ms));
                let limit = (!limit.is_zero()).then_some(limit);
                (
                    number,
                    Decision::Granted {
                        upstream,
                        attempt_timeout: limit,
                    },
                )
            }
            Frame::Queued { number } => (number, Decision::Queued),
            Frame::Refused {
                number,
                kind,
                after_ms,
            } => {
                let kind = dispatch::kind(kind);
                let retry_after = Duration::from_millis(u64::from(after_ms));
                (number, Decision::Refused { kind, retry_after })
            }
            other => {
                warn!(frame = ?other, "frame_unexpected");
                return;
            }
        };
        let granted = matches!(decision, Decision::Granted { .. });
        if !self.deliver_decision(number, decision) && granted {
            sender.send(placement::cancellation_frame(number));
        }
    }
}
