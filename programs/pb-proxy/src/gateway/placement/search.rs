//! The order in which a host without a link tries replicas, relays and deputies.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::gateway::state::State;

/// Shortest pause before the next target is tried; the pause doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause before the next target is tried.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Failed replicas in a row after which other hosts are asked to relay the link.
const FAILURES_BEFORE_RELAY: u32 = 2;

/// Replicas in a row that know no leader, each after waiting for one for a while, after which other
/// hosts are asked to relay the link.
const MAX_LEADERLESS_REPLIES: u32 = 3;

/// Most hosts in a row that are tried as relays; a host that cannot relay closes the connection at
/// once.
const MAX_RELAY_TRIES: u32 = 5;

/// Most hosts that are tried as deputies after the relays, in the order of the deputy group.
const MAX_DEPUTY_TRIES: u32 = 4;

/// A control replica or host to which a link may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A control replica.
    Replica(SocketAddr),
    /// A host that may have a link to the leader.
    Relay(SocketAddr),
    /// A host that may place requests while control cannot be reached.
    Deputy(SocketAddr),
}

impl Target {
    /// Returns the address of the target.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        match self {
            Self::Replica(address) | Self::Relay(address) | Self::Deputy(address) => address,
        }
    }
}

/// State of the search for a dispatcher.
#[derive(Debug)]
pub struct Search {
    /// Target that is tried next: a leader that a replica named, or a target that is better than
    /// the last link.
    hint: Option<Target>,
    /// Leader whose link was lost last.
    lost_leader: Option<SocketAddr>,
    /// Targets in a row that were not reached or did not accept the link.
    failures: u32,
    /// Replicas in a row that knew no leader.
    leaderless_replies: u32,
    /// Index of the replica that was tried last.
    replica_index: usize,
    pause: Duration,
}

impl Search {
    /// Creates a search that begins after the replica with the index `replica_index`.
    #[must_use]
    pub const fn new(replica_index: usize) -> Self {
        Self {
            hint: None,
            lost_leader: None,
            failures: 0,
            leaderless_replies: 0,
            replica_index,
            pause: MIN_PAUSE,
        }
    }

    /// Returns whether relays and deputies are tried: several replicas in a row failed or knew no
    /// leader, or the lost link went to a relay or a deputy.
    #[must_use]
    pub const fn is_control_unreachable(&self) -> bool {
        self.failures >= FAILURES_BEFORE_RELAY
    }

    /// Returns the next target, if any is known.
    pub fn next(&mut self, state: &State) -> Option<Target> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let tries = self.failures.checked_sub(FAILURES_BEFORE_RELAY);
        let helper = tries.and_then(|tries| {
            if tries < MAX_RELAY_TRIES {
                random_relay(state).map(Target::Relay)
            } else {
                let relays = state.placer().relays();
                let deputy = relays.get((tries - MAX_RELAY_TRIES) as usize).copied();
                deputy.map(Target::Deputy)
            }
        });
        helper.or_else(|| self.replica(state).map(Target::Replica))
    }

    /// Returns the time until the next target is tried.
    pub fn pause(&mut self, state: &State) -> Duration {
        let jitter = state.rng().random_range(0.5..1.0);
        self.pause.mul_f64(jitter)
    }

    /// Notes that a link was lost.
    pub fn note_lost(&mut self, target: Target) {
        self.pause = MIN_PAUSE;
        self.leaderless_replies = 0;
        match target {
            Target::Replica(address) => {
                self.lost_leader = Some(address);
                self.failures = 0;
            }
            // Other hosts may relay the link or be the deputy, so they are tried first.
            Target::Relay(_) | Target::Deputy(_) => self.failures = FAILURES_BEFORE_RELAY,
        }
    }

    /// Notes a target that is better than the present link.
    pub const fn note_better(&mut self, target: Target) {
        self.pause = MIN_PAUSE;
        self.hint = Some(target);
    }

    /// Notes that a replica that does not lead answered, and which leader it named.
    pub fn note_redirect(&mut self, target: Target, leader: Option<SocketAddr>) {
        let leader = leader.filter(|leader| *leader != target.address());
        self.hint = leader.map(Target::Replica);
        if leader.is_some() {
            self.pause = MIN_PAUSE;
        } else {
            self.leaderless_replies += 1;
            self.failures = if self.leaderless_replies < MAX_LEADERLESS_REPLIES {
                0
            } else {
                self.failures.max(FAILURES_BEFORE_RELAY)
            };
            self.back_off();
        }
    }

    /// Notes that a target was not reached or did not accept the link.
    pub fn note_failure(&mut self) {
        self.lost_leader = None;
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_RELAY + MAX_RELAY_TRIES + MAX_DEPUTY_TRIES {
            // A replica is tried again; after one more failure relays and deputies are tried again.
            self.failures = FAILURES_BEFORE_RELAY - 1;
        }
        if self.failures > FAILURES_BEFORE_RELAY {
            self.pause = MIN_PAUSE;
        } else {
            self.back_off();
        }
    }

    fn back_off(&mut self) {
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Returns the next replica of those that were listed and those of the settings.
    ///
    /// The leader whose link was lost last is skipped where there are other replicas: it may be
    /// frozen or cut off, and if it leads again, the other replicas name it.
    fn replica(&mut self, state: &State) -> Option<SocketAddr> {
        let mut all = replicas(state);
        if all.len() > 1 {
            all.retain(|address| Some(*address) != self.lost_leader);
        }
        self.replica_index = self.replica_index.wrapping_add(1);
        let index = self.replica_index % all.len().max(1);
        all.get(index).copied()
    }
}

/// Returns the replicas that were listed and those of the settings.
pub fn replicas(state: &State) -> Vec<SocketAddr> {
    let mut all = state.placer().replicas();
    for seed in state.settings().seeds.borrow().iter() {
        if !all.contains(seed) {
            all.push(*seed);
        }
    }
    all
}

/// Returns a random other host of those that the leader listed as relays.
pub fn random_relay(state: &State) -> Option<SocketAddr> {
    let own = state.settings().relay;
    let mut others = state.placer().relays();
    others.retain(|relay| *relay != own);
    let index = state.rng().random_range(0..others.len().max(1));
    others.get(index).copied()
}
