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
use crate::gateway::desk::OWN_SHARE;
use crate::gateway::state::State;

/// Time for a connection to a replica, which takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the first answer of a replica, which waits a while for a leader to be known.
const GREETING_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before the next replica is tried; it doubles from the shortest to the longest.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time between two signs of life of this host.
const BEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which the leader counts as lost; it says something every 400 ms.
const LEADER_SILENCE: Duration = Duration::from_millis(1_000);

/// Silence after which a leader that left an ask unanswered counts as lost.
const DOUBTED_SILENCE: Duration = Duration::from_millis(240);

/// Control replicas that are remembered.
const MAX_KNOWN: usize = 64;

/// Replicas in a row that were not reached before another host is asked to relay the link.
const RELAY_AFTER: u32 = 2;

/// Hosts that are asked before the replicas are tried again; one that cannot help says so at once.
const RELAY_TRIES: u32 = 8;

/// Time between two attempts to reach the leader without the relay.
const DIRECT_INTERVAL: Duration = Duration::from_secs(2);

/// Keeps a link to the leader until the future is dropped.
pub async fn run(state: Rc<State>) {
    let mut hint = None;
    let mut lost = None;
    let mut missed = 0;
    let mut turn: usize = state.rng().random_range(0..MAX_KNOWN);
    let mut pause = SHORTEST_PAUSE;
    loop {
        let relay = (missed >= RELAY_AFTER).then(|| any_relay(&state)).flatten();
        let direct = || hint.take().or_else(|| next(&state, lost, &mut turn));
        let target = relay.or_else(direct);
        let Some(target) = target else {
            compio::time::sleep(LONGEST_PAUSE).await;
            continue;
        };
        let was_linked = match follow(&state, target, relay.is_some()).await {
            Ended::Elsewhere(leader) => {
                hint = leader.filter(|leader| *leader != target);
                if hint.is_none() {
                    missed = 0;
                }
                hint.is_some()
            }
            Ended::Unreachable => {
                lost = None;
                missed += 1;
                if missed > RELAY_AFTER + RELAY_TRIES {
                    missed = RELAY_AFTER - 1;
                }
                relay.is_some() && missed > RELAY_AFTER
            }
            Ended::Direct(leader) => {
                missed = 0;
                hint = Some(leader);
                true
            }
            Ended::Lost(error) => {
                missed = if relay.is_some() { RELAY_AFTER } else { 0 };
                lost = Some(target);
                warn!(leader = %target, relayed = relay.is_some(), error = %error, "control_lost");
                true
            }
        };
        pause = if was_linked {
            SHORTEST_PAUSE
        } else {
            (pause * 2).min(LONGEST_PAUSE)
        };
        let jitter = state.rng().random_range(0.5..1.0);
        compio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Why a replica is no longer followed.
enum Ended {
    Elsewhere(Option<SocketAddr>),
    Unreachable,
    /// The leader can be reached without the relay again.
    Direct(SocketAddr),
    Lost(Error),
}

fn any_relay(state: &State) -> Option<SocketAddr> {
    let relays = state.desk().relays.borrow();
    let own = state.settings().relay;
    let others: Vec<_> = relays.iter().filter(|relay| **relay != own).collect();
    let index = state.rng().random_range(0..others.len().max(1));
    others.get(index).map(|relay| **relay)
}

/// Returns the next replica to try, of those that are known and those of the settings.
///
/// The leader that was `lost` last is left out where there are others: it may be frozen or cut
/// off, and where it leads again the others say so.
fn next(state: &State, lost: Option<SocketAddr>, turn: &mut usize) -> Option<SocketAddr> {
    let mut all = state.desk().known.borrow().clone();
    for seed in state.settings().seeds.borrow().iter() {
        if !all.contains(seed) {
            all.push(*seed);
        }
    }
    if all.len() > 1 {
        all.retain(|address| Some(*address) != lost);
    }
    *turn = turn.wrapping_add(1);
    let index = *turn % all.len().max(1);
    all.get(index).copied()
}

async fn follow(state: &Rc<State>, target: SocketAddr, relayed: bool) -> Ended {
    let dialing = link::dial(target, &state.settings().secret, Purpose::Dispatch);
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, dialing).await else {
        return Ended::Unreachable;
    };
    let (sender, writer, mut receiver) = dispatch::split(stream);
    let writing = spawn(writer.run());
    sender.send(Frame::Hello {
        host: state.settings().host.clone(),
        zone: state.settings().zone.clone(),
        version: state.version(),
        relay: Some(state.settings().relay),
    });
    let ended = match timeout(GREETING_TIMEOUT, receiver.next()).await {
        Ok(Ok(frames)) => attend(state, &sender, &mut receiver, frames, relayed).await,
        _ => Ended::Unreachable,
    };
    sender.close();
    drop(writing);
    ended
}

async fn attend(
    state: &Rc<State>,
    sender: &Sender,
    receiver: &mut Receiver,
    first: Vec<Frame>,
    relayed: bool,
) -> Ended {
    let mut frames = first.into_iter();
    let leader = match frames.next() {
        Some(Frame::Welcome {
            term,
            leader,
            control,
        }) => {
            state.desk().learn(&control);
            info!(term, relayed, version = state.version(), "control_linked");
            leader
        }
        Some(Frame::Elsewhere { leader, control }) => {
            state.desk().learn(&control);
            return Ended::Elsewhere(leader);
        }
        _ => return Ended::Unreachable,
    };
    let mut whole = true;
    let result = take(state, sender, frames.collect(), &mut whole);
    if let Err(error) = result {
        return Ended::Lost(error);
    }
    state.desk().open(sender);
    state.desk().leader.set(leader.filter(|_| !relayed));
    let listening = listen(state, sender, receiver, &mut whole);
    let reaching = reach(state, leader.filter(|_| relayed));
    let ended = match select(Box::pin(listening), Box::pin(reaching)).await {
        Either::Left((error, _)) => Ended::Lost(error),
        Either::Right((leader, _)) => Ended::Direct(leader),
    };
    state.desk().leader.set(None);
    state.desk().close();
    ended
}

/// Waits until a leader that another host relays can be reached directly.
async fn reach(state: &Rc<State>, leader: Option<SocketAddr>) -> SocketAddr {
    let Some(leader) = leader else {
        return std::future::pending().await;
    };
    loop {
        compio::time::sleep(DIRECT_INTERVAL).await;
        let dialing = link::dial(leader, &state.settings().secret, Purpose::Dispatch);
        if let Ok(Ok(_)) = timeout(CONNECT_TIMEOUT, dialing).await {
            return leader;
        }
    }
}

async fn listen(
    state: &Rc<State>,
    sender: &Sender,
    receiver: &mut Receiver,
    whole: &mut bool,
) -> Error {
    let mut beat = state.now();
    state.desk().heard.set(Some(beat));
    loop {
        let mut next = Box::pin(receiver.next());
        let frames = loop {
            let now = state.now();
            if now.saturating_duration_since(beat) >= BEAT_INTERVAL {
                beat = now;
                sender.send(Frame::Here);
                state.desk().tick(state);
            }
            let doubted = state.desk().doubts.listen();
            let event = select(&mut next, doubted);
            match timeout(BEAT_INTERVAL, event).await {
                Ok(Either::Left((Ok(frames), _))) => break frames,
                Ok(Either::Left((Err(error), _))) => return error,
                Ok(Either::Right(_)) if !state.desk().is_heard(DOUBTED_SILENCE, state.now()) => {
                    return Error::Timeout;
                }
                Err(_) if !sender.is_open() => return Error::Timeout,
                Err(_) if !state.desk().is_heard(LEADER_SILENCE, state.now()) => {
                    return Error::Timeout;
                }
                Ok(Either::Right(_)) | Err(_) => {}
            }
        };
        drop(next);
        state.desk().heard.set(Some(state.now()));
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
            Frame::Beat { hosts, suspects } => {
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

    fn open(&self, sender: &Sender) {
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

    /// Gives up the link; the requests that wait for an answer decide on their own.
    fn close(&self) {
        *self.link.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
    }

    fn note_hosts(&self, hosts: u32) {
        if hosts == 0 {
            return;
        }
        self.hosts.set(hosts);
        let share = OWN_SHARE / f64::from(hosts);
        self.local.borrow_mut().set_share(share);
    }

    fn note_suspects(&self, suspects: Vec<Number>, now: Instant) {
        self.local.borrow_mut().take_over(&suspects, true, now);
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
                (number, Decision::Granted { upstream, patience })
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
