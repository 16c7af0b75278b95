//! Takes the publication and the upstreams from a control replica of the own zone.
//!
//! Where no replica of the zone offers its feed, or it lags behind what the leader announces, the host
//! subscribes at the leader instead, over its link for placements.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::timeout;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Revision;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Receiver;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::link;
use rand::RngExt;
use rand::seq::SliceRandom;
use serde_json::json;
use tracing::info;
use tracing::warn;

use crate::gateway::placement::replicas;
use crate::gateway::state::State;

/// Time limit for a connection to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for the answer of a replica; one of the zone waits for a leader for a while.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the host subscribes at the leader although the search for a replica goes on.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time between two searches while a replica of the zone waits for a leader.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(40);

/// Longest time between two searches; hosts that lost one replica do not all come at once.
const MAX_SEARCH_PAUSE: Duration = Duration::from_secs(4);

/// Number of heartbeats of the leader after which the host must have what a heartbeat announced.
const MAX_HEARTBEATS_BEHIND: usize = 2;

/// Where the host takes the publication and the upstreams from.
#[derive(Debug, Clone)]
enum Source {
    /// A replica is being looked for since this time.
    Searching(Instant),
    /// No replica offers its feed.
    Leader,
    /// A replica of the zone.
    Replica(Sender),
}

/// What the leader announced with one heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announced {
    version: Option<Version>,
    revision: Revision,
}

/// The source of the publication and the upstreams, and what is known of their newest state.
#[derive(Debug)]
pub struct Feed {
    source: RefCell<Source>,
    /// Revision of the roster that this host has.
    revision: Cell<Revision>,
    /// What the latest heartbeats of the leader announced, on the link in use.
    announced: RefCell<Vec<Announced>>,
}

impl Feed {
    /// Creates the feed of a host that begins to look for a replica.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            source: RefCell::new(Source::Searching(now)),
            revision: Cell::new(0),
            announced: RefCell::new(Vec::new()),
        }
    }

    /// Returns whether the host has to subscribe at the leader.
    #[must_use]
    pub fn needs_leader(&self, now: Instant) -> bool {
        match &*self.source.borrow() {
            Source::Searching(since) => now.saturating_duration_since(*since) >= SEARCH_TIMEOUT,
            Source::Leader => true,
            Source::Replica(_) => false,
        }
    }

    /// Returns whether the host has not given up its first search.
    fn is_searching(&self, now: Instant) -> bool {
        matches!(&*self.source.borrow(), Source::Searching(_)) && !self.needs_leader(now)
    }

    /// Returns the revision of the roster that this host has.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision.get()
    }

    /// Sets the revision of the roster that this host has; returns false if it is an earlier one.
    #[must_use]
    fn advance(&self, revision: Revision) -> bool {
        let is_later = revision >= self.revision.get();
        if is_later {
            self.revision.set(revision);
        }
        is_later
    }

    /// Sets the revision to that of a complete roster; returns false if it is an earlier one and the host follows
    /// a replica. Without one, the leader may begin anew: all replicas have lost their disks.
    #[must_use]
    fn replace_revision(&self, revision: Revision) -> bool {
        if matches!(&*self.source.borrow(), Source::Replica(_)) {
            return self.advance(revision);
        }
        self.revision.set(revision);
        true
    }

    /// Forgets what was announced over the last link.
    pub fn begin_link(&self) {
        self.announced.borrow_mut().clear();
    }

    /// Notes what a heartbeat of the leader announces; returns whether the host, which has `version`,
    /// still lacks what was announced some heartbeats before.
    #[must_use]
    pub fn is_behind(
        &self,
        announced: (Option<Version>, Revision),
        version: Option<Version>,
    ) -> bool {
        let mut earlier = self.announced.borrow_mut();
        earlier.push(Announced {
            version: announced.0,
            revision: announced.1,
        });
        if earlier.len() <= MAX_HEARTBEATS_BEHIND {
            return false;
        }
        let oldest = earlier.remove(0);
        oldest.version > version || oldest.revision > self.revision.get()
    }

    /// Returns the source and the revision for operators.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let source = match &*self.source.borrow() {
            Source::Searching(_) => "searching",
            Source::Leader => "leader",
            Source::Replica(_) => "replica",
        };
        json!({ "source": source, "revision": self.revision.get() })
    }

    /// Gives up the replica that the host follows; returns whether there was one.
    #[must_use]
    pub fn give_up(&self) -> bool {
        let source = self.source.replace(Source::Leader);
        if let Source::Replica(sender) = &source {
            sender.close();
        }
        matches!(source, Source::Replica(_))
    }
}

/// Follows a replica of the zone, one after the other, until the future is dropped.
pub async fn run(state: Rc<State>) {
    let mut elsewhere = BTreeSet::new();
    loop {
        let pause = match find(&state, &mut elsewhere).await {
            Search::Found(link) => {
                let replica = link.replica;
                info!(%replica, version = state.version(), "feed_opened");
                *state.feed().source.borrow_mut() = Source::Replica(link.sender.clone());
                state.placer().unsubscribe();
                let sender = link.sender.clone();
                let error = follow(&state, link).await;
                sender.close();
                info!(%replica, error = %error, "feed_lost");
                let _ = state.feed().give_up();
                MAX_SEARCH_PAUSE
            }
            Search::NotYet if state.feed().is_searching(state.now()) => MIN_SEARCH_PAUSE,
            Search::NotYet | Search::NoneInZone => {
                *state.feed().source.borrow_mut() = Source::Leader;
                MAX_SEARCH_PAUSE
            }
        };
        state.placer().subscribe(&state);
        let pause = pause.mul_f64(state.rng().random_range(0.25..1.0));
        compio::time::sleep(pause).await;
    }
}

/// A link to a replica that accepted the host.
struct Link {
    replica: SocketAddr,
    sender: Sender,
    receiver: Receiver,
    /// The first frames behind the replica's answer.
    frames: Vec<Frame>,
}

/// Outcome of the search for a replica.
enum Search {
    /// A replica accepted the host.
    Found(Link),
    /// A replica of the zone does not offer its feed now, or a replica was not reached.
    NotYet,
    /// All replicas are in other zones.
    NoneInZone,
}

/// Looks for a replica of the zone that offers its feed. `elsewhere` holds those of other zones.
async fn find(state: &State, elsewhere: &mut BTreeSet<SocketAddr>) -> Search {
    let mut asked = BTreeSet::new();
    let mut outcome = Search::NoneInZone;
    loop {
        let mut candidates = replicas(state);
        candidates.retain(|replica| !asked.contains(replica) && !elsewhere.contains(replica));
        candidates.shuffle(&mut *state.rng());
        let Some(replica) = candidates.pop() else {
            return outcome;
        };
        asked.insert(replica);
        let Some((sender, receiver, frames)) = ask(state, replica).await else {
            outcome = Search::NotYet;
            continue;
        };
        let mut frames = frames.into_iter();
        if let Some(Frame::Followed {
            zone,
            is_accepted,
            control,
            build,
        }) = frames.next()
        {
            sender.set_level(build);
            state.placer().set_replicas(&control);
            if is_accepted {
                return Search::Found(Link {
                    replica,
                    sender,
                    receiver,
                    frames: frames.collect(),
                });
            }
            if zone.as_ref() == Some(&state.settings().zone) {
                outcome = Search::NotYet;
            } else {
                elsewhere.insert(replica);
            }
        }
        sender.close();
    }
}

/// Asks a replica for its feed; returns the link and the first frames received.
async fn ask(state: &State, replica: SocketAddr) -> Option<(Sender, Receiver, Vec<Frame>)> {
    let settings = state.settings();
    let dialing = link::dial(replica, &settings.secret, Purpose::Dispatch);
    let stream = timeout(CONNECT_TIMEOUT, dialing).await.ok()?.ok()?;
    let (sender, writer, mut receiver) = dispatch::split(stream);
    spawn(writer.run()).detach();
    sender.send(Frame::Follow {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        version: state.version().unwrap_or_default(),
        build: dispatch::OWN_LEVEL,
        is_published: state.version().is_some(),
    });
    match timeout(ANSWER_TIMEOUT, receiver.next()).await {
        Ok(Ok(frames)) => Some((sender, receiver, frames)),
        _ => {
            sender.close();
            None
        }
    }
}

/// Applies what a replica sends until the link ends or the replica is given up.
async fn follow(state: &Rc<State>, link: Link) -> Error {
    let Link {
        mut receiver,
        mut frames,
        ..
    } = link;
    loop {
        for frame in frames {
            if let Err(error) = apply(state, frame) {
                return error;
            }
        }
        frames = match receiver.next().await {
            Ok(frames) => frames,
            Err(error) => return error,
        };
        if !matches!(&*state.feed().source.borrow(), Source::Replica(_)) {
            return Error::Timeout;
        }
    }
}

/// Applies a frame of a replica.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for a frame without a part of the state, one that does not fit what
/// the host has, or a roster that is older than that of the host.
fn apply(state: &Rc<State>, frame: Frame) -> Result<(), Error> {
    if let Frame::Upstreams {
        revision,
        is_complete: true,
        ..
    } = &frame
        && *revision < state.feed().revision()
    {
        let text = format!("upstreams of revision {revision}, which is outdated");
        return Err(Error::Malformed(text));
    }
    apply_from_leader(state, frame)
}

/// Applies a frame of the leader, whose roster replaces any other one, unless the host has a newer one from a
/// replica that it follows: a roster takes seconds over a slow link, and the host asked for it before.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for a frame without a part of the state, or one that does not fit what
/// the host has.
pub fn apply_from_leader(state: &Rc<State>, frame: Frame) -> Result<(), Error> {
    match frame {
        Frame::Published(delta) => {
            if !state.publish(delta.open()?) {
                let text = "a change that does not apply to the version in force";
                return Err(Error::Malformed(text.to_owned()));
            }
        }
        Frame::Announced { version } => state.note_announced(Some(version)),
        Frame::Upstreams {
            revision,
            is_complete,
            entries,
        } => {
            if is_complete {
                if !state.feed().replace_revision(revision) {
                    info!(revision, "roster_outdated");
                    return Ok(());
                }
            } else if !state.feed().advance(revision) {
                return Ok(());
            }
            state.update_upstreams(entries.open()?, is_complete);
        }
        other => warn!(frame = ?other, "frame_unexpected"),
    }
    Ok(())
}
