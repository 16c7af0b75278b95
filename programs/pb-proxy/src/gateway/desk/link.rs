//! Finding the leader of control and keeping the link to it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Number;
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

use crate::gateway::desk;
use crate::gateway::desk::Desk;
use crate::gateway::desk::search::Search;
use crate::gateway::desk::search::Target;
use crate::gateway::desk::search::any_relay;
use crate::gateway::desk::search::replicas;
use crate::gateway::state::State;

/// Time for a connection to a replica, which takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the first answer of a replica, which waits a while for a leader to be known.
const GREETING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two signs of life of this host.
const BEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which the leader counts as lost; it says something every 400 ms.
const LEADER_SILENCE: Duration = Duration::from_millis(1_000);

/// Silence after which a leader that left an ask unanswered counts as lost.
const DOUBTED_SILENCE: Duration = Duration::from_millis(240);

/// Control replicas that are remembered.
const MAX_KNOWN: usize = 64;

/// Time between two attempts to reach the leader where another host stands in for it.
const DIRECT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds of looking for a leader from behind a deputy.
const DEPUTY_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps a link to the leader, or to a host that helps, until the future is dropped.
pub async fn run(state: Rc<State>) {
    let mut search = Search::new(state.rng().random_range(0..MAX_KNOWN));
    loop {
        if let Some(target) = search.next(&state) {
            match follow(&state, target).await {
                Ended::Elsewhere(leader) => search.note_elsewhere(target, leader),
                Ended::Unreachable => search.note_missed(),
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
        if search.is_away() {
            state.desk().away.set(true);
        }
        let pause = search.pause(&state);
        compio::time::sleep(pause).await;
    }
}

/// Why one is no longer followed.
enum Ended {
    Elsewhere(Option<SocketAddr>),
    Unreachable,
    /// One that helps better can be reached.
    Better(Target),
    Lost(Error),
}

async fn follow(state: &Rc<State>, target: Target) -> Ended {
    let Some((sender, mut receiver, frames)) = greet(state, target).await else {
        return Ended::Unreachable;
    };
    let ended = attend(state, &sender, &mut receiver, frames, target).await;
    sender.close();
    ended
}

/// Connects to a target and greets it; returns the link with the first frames that come back.
async fn greet(state: &State, target: Target) -> Option<(Sender, Receiver, Vec<Frame>)> {
    let settings = state.settings();
    let dialing = link::dial(target.address(), &settings.secret, Purpose::Dispatch);
    let stream = timeout(CONNECT_TIMEOUT, dialing).await.ok()?.ok()?;
    let (sender, writer, mut receiver) = dispatch::split(stream);
    spawn(writer.run()).detach();
    sender.send(Frame::Hello {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        version: state.version(),
        relay: Some(settings.relay),
        deputy: matches!(target, Target::Deputy(_)),
    });
    match timeout(GREETING_TIMEOUT, receiver.next()).await {
        Ok(Ok(frames)) => Some((sender, receiver, frames)),
        _ => {
            sender.close();
            None
        }
    }
}

async fn attend(
    state: &Rc<State>,
    sender: &Sender,
    receiver: &mut Receiver,
    first: Vec<Frame>,
    target: Target,
) -> Ended {
    let mut frames = first.into_iter();
    let leader = match frames.next() {
        Some(Frame::Welcome {
            term,
            leader,
            control,
        }) => {
            state.desk().learn(&control);
            let version = state.version();
            match target {
                Target::Deputy(deputy) => info!(%deputy, version, "deputy_linked"),
                _ => info!(term, target = ?target, version, "control_linked"),
            }
            leader
        }
        Some(Frame::Elsewhere { leader, control }) => {
            state.desk().learn(&control);
            return Ended::Elsewhere(leader);
        }
        _ => return Ended::Unreachable,
    };
    state.desk().behind.set(None);
    let mut whole = true;
    let result = take(state, sender, frames.collect(), &mut whole);
    if let Err(error) = result {
        return Ended::Lost(error);
    }
    state.desk().open(sender, target, leader);
    let listening = listen(state, sender, receiver, &mut whole);
    let reaching = reach(state, target, leader);
    let ended = match select(Box::pin(listening), Box::pin(reaching)).await {
        Either::Left((error, _)) => Ended::Lost(error),
        Either::Right((better, _)) => Ended::Better(better),
    };
    state.desk().close();
    ended
}

/// Waits until one that helps better than `target` can be reached.
async fn reach(state: &State, target: Target, leader: Option<SocketAddr>) -> Target {
    loop {
        let better = match target {
            Target::Replica(_) => return std::future::pending().await,
            Target::Relay(_) => {
                compio::time::sleep(DIRECT_INTERVAL).await;
                leader.map(Target::Replica).into_iter().collect()
            }
            // A replica that knows no leader yet answers as soon as there is one.
            Target::Deputy(_) => {
                compio::time::sleep(DEPUTY_INTERVAL).await;
                let replicas = replicas(state).into_iter().map(Target::Replica);
                replicas
                    .chain(any_relay(state).map(Target::Relay))
                    .collect::<Vec<_>>()
            }
        };
        for one in better {
            if leads(state, one).await {
                return one;
            }
        }
    }
}

/// Returns whether the leader answers there.
async fn leads(state: &State, target: Target) -> bool {
    let greeted = greet(state, target).await;
    greeted.is_some_and(|(sender, _, frames)| {
        sender.close();
        matches!(frames.first(), Some(Frame::Welcome { .. }))
    })
}

async fn listen(
    state: &Rc<State>,
    sender: &Sender,
    receiver: &mut Receiver,
    whole: &mut bool,
) -> Error {
    let mut beat = state.now();
    state.desk().hear(beat);
    let received = receiver.received();
    let mut before = received.get();
    loop {
        let mut next = Box::pin(receiver.next());
        let frames = loop {
            let now = state.now();
            if now.saturating_duration_since(beat) >= BEAT_INTERVAL {
                beat = now;
                sender.send(Frame::Here);
                state.desk().tick(state);
            }
            // A large frame takes several seconds over a narrow link.
            if received.get() > before {
                before = received.get();
                state.desk().heard.set(Some(now));
            }
            let doubted = state.desk().doubts.listen();
            let event = select(&mut next, doubted);
            match timeout(BEAT_INTERVAL, event).await {
                Ok(Either::Left((Ok(frames), _))) => break frames,
                Ok(Either::Left((Err(error), _))) => return error,
                Ok(Either::Right(_)) if !state.desk().is_linked(DOUBTED_SILENCE, state.now()) => {
                    return Error::Timeout;
                }
                Err(_) if !sender.is_open() => return Error::Timeout,
                Err(_) if !state.desk().is_linked(LEADER_SILENCE, state.now()) => {
                    return Error::Timeout;
                }
                Ok(Either::Right(_)) | Err(_) => {}
            }
        };
        drop(next);
        state.desk().hear(state.now());
        if let Err(error) = take(state, sender, frames, whole) {
            return error;
        }
    }
}

fn take(
    state: &Rc<State>,
    sender: &Sender,
    frames: Vec<Frame>,
    whole: &mut bool,
) -> Result<(), Error> {
    for frame in frames {
        match frame {
            Frame::Published(delta) => {
                if !state.publish(delta.open()?) {
                    let text = "a change that does not lead on from the version in force";
                    return Err(Error::Malformed(text.to_owned()));
                }
            }
            Frame::Relays(relays) => *state.desk().relays.borrow_mut() = relays,
            Frame::Announced { version } => state.note_announced(version),
            Frame::Upstreams(entries) => state.enrol(entries.open()?, std::mem::take(whole)),
            Frame::Beat {
                hosts,
                version,
                suspects,
            } => {
                state.note_announced(version);
                if state.desk().has_missed(version, state.version()) {
                    warn!(version, own = state.version(), "publication_missed");
                    let text = "two beats with a version that did not come".to_owned();
                    return Err(Error::Malformed(text));
                }
                state.desk().note_hosts(hosts);
                state.desk().note_suspects(suspects, state.now());
            }
            other => state.desk().take(sender, other)?,
        }
    }
    Ok(())
}

impl Desk {
    fn learn(&self, control: &[SocketAddr]) {
        if !control.is_empty() {
            let known = control.iter().take(MAX_KNOWN).copied();
            *self.known.borrow_mut() = known.collect();
        }
    }

    /// Takes the link to `target`, behind which a leader stands unless it is a deputy.
    fn open(&self, sender: &Sender, target: Target, leader: Option<SocketAddr>) {
        let is_deputy = matches!(target, Target::Deputy(_));
        let direct = matches!(target, Target::Replica(_));
        self.leader.set(leader.filter(|_| direct));
        self.deputised.set(is_deputy);
        if !is_deputy {
            self.away.set(false);
        }
        for (number, used) in self.uses.borrow().iter() {
            sender.send(desk::hold(*number, used));
        }
        if let Some(suspects) = &*self.suspects.borrow() {
            sender.send(Frame::Suspects(suspects.clone()));
        }
        self.doubted.set(None);
        *self.link.borrow_mut() = Some(sender.clone());
        self.linked.notify(usize::MAX);
    }

    /// Notes a sign of life of the leader or of the host that stands in for it.
    fn hear(&self, now: Instant) {
        self.heard.set(Some(now));
        if !self.deputised.get() {
            self.led.set(Some(now));
        }
    }

    /// Returns whether whoever is linked was heard within `age`.
    fn is_linked(&self, age: Duration, now: Instant) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|heard| now.saturating_duration_since(heard) < age)
    }

    /// Gives up the link; the requests that wait for an answer decide on their own.
    fn close(&self) {
        self.leader.set(None);
        self.deputised.set(false);
        self.local.borrow_mut().reset_quotas();
        *self.link.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
    }

    /// Returns whether two beats in a row told of a newer version than this host has: changes are
    /// sent before the beat that tells of them, but for a pause of 100 ms.
    fn has_missed(&self, version: Version, own: Version) -> bool {
        let behind = (version > own).then_some(own);
        let before = self.behind.replace(behind);
        behind.is_some() && before == behind
    }

    fn note_hosts(&self, hosts: u32) {
        if hosts == 0 {
            return;
        }
        self.hosts.set(hosts);
        self.local.borrow_mut().set_share(self.share(1));
    }

    fn note_suspects(&self, suspects: Vec<Number>, now: Instant) {
        self.local.borrow_mut().adopt_suspects(&suspects, true, now);
        *self.suspects.borrow_mut() = Some(suspects);
    }

    fn tick(&self, state: &State) {
        let answers = self.local.borrow_mut().tick(state.now());
        self.deliver(answers);
    }

    fn take(&self, sender: &Sender, frame: Frame) -> Result<(), Error> {
        self.doubted.set(None);
        let (number, decision) = match frame {
            Frame::Granted {
                number,
                upstream,
                patience_ms,
            } => {
                let patience = Duration::from_millis(u64::from(patience_ms));
                let patience = (!patience.is_zero()).then_some(patience);
                (
                    number,
                    Decision::Granted {
                        upstream,
                        attempt_timeout: patience,
                    },
                )
            }
            Frame::Queued { number } => (number, Decision::Queued),
            Frame::Refused {
                number,
                kind,
                after_ms,
            } => {
                let kind = dispatch::kind(kind)?;
                let retry_after = Duration::from_millis(u64::from(after_ms));
                (number, Decision::Refused { kind, retry_after })
            }
            other => return Err(Error::Malformed(format!("unexpected {other:?}"))),
        };
        let granted = matches!(decision, Decision::Granted { .. });
        if !self.decide(number, decision) && granted {
            sender.send(desk::cancelled(number));
        }
        Ok(())
    }
}
