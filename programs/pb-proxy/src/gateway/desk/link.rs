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

/// Keeps a link to the leader until the future is dropped.
pub async fn run(state: Rc<State>) {
    let mut hint = None;
    let mut lost = None;
    let mut turn: usize = state.rng().random_range(0..MAX_KNOWN);
    let mut pause = SHORTEST_PAUSE;
    loop {
        let target = hint.take().or_else(|| next(&state, lost, &mut turn));
        let Some(target) = target else {
            compio::time::sleep(LONGEST_PAUSE).await;
            continue;
        };
        let was_linked = match follow(&state, target).await {
            Ended::Elsewhere(leader) => {
                hint = leader.filter(|leader| *leader != target);
                hint.is_some()
            }
            Ended::Unreachable => {
                lost = None;
                false
            }
            Ended::Lost(error) => {
                lost = Some(target);
                warn!(leader = %target, error = %error, "control_lost");
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
    Lost(Error),
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

async fn follow(state: &Rc<State>, target: SocketAddr) -> Ended {
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
    });
    let ended = match timeout(GREETING_TIMEOUT, receiver.next()).await {
        Ok(Ok(frames)) => attend(state, &sender, &mut receiver, frames).await,
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
) -> Ended {
    let mut frames = first.into_iter();
    match frames.next() {
        Some(Frame::Welcome { term, control }) => {
            state.desk().learn(&control);
            info!(term, version = state.version(), "control_linked");
        }
        Some(Frame::Elsewhere { leader, control }) => {
            state.desk().learn(&control);
            return Ended::Elsewhere(leader);
        }
        _ => return Ended::Unreachable,
    }
    let mut whole = true;
    let result = take(state, sender, frames.collect(), &mut whole);
    if let Err(error) = result {
        return Ended::Lost(error);
    }
    state.desk().open(sender);
    let error = listen(state, sender, receiver, &mut whole).await;
    state.desk().close();
    Ended::Lost(error)
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
