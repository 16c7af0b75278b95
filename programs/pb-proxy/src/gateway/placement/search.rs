//! Whom a host without a dispatcher asks next.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::gateway::state::State;

/// Pause before the next one is asked; it doubles from the shortest to the longest.
const MIN_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Replicas in a row that were not reached before another host is asked to relay the link.
const FAILURES_BEFORE_RELAY: u32 = 2;

/// Replicas in a row that know no leader, each after waiting a while for one, before others are asked.
const MAX_LEADERLESS_REPLIES: u32 = 3;

/// Hosts that are asked to relay it; one that cannot says so at once.
const MAX_RELAY_TRIES: u32 = 5;

/// Hosts that are asked to be the deputy afterwards, in the order of their cell.
const MAX_DEPUTY_TRIES: u32 = 4;

/// One to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A replica of control.
    Replica(SocketAddr),
    /// A host that may have a link to the leader.
    Relay(SocketAddr),
    /// A host that may place requests while control is away.
    Deputy(SocketAddr),
}

impl Target {
    /// Returns its address.
    #[must_use]
    pub const fn address(self) -> SocketAddr {
        match self {
            Self::Replica(address) | Self::Relay(address) | Self::Deputy(address) => address,
        }
    }
}

/// How far the search for a dispatcher has come.
#[derive(Debug)]
pub struct Search {
    /// One that is said to help.
    hint: Option<Target>,
    /// The leader that was lost last.
    lost_leader: Option<SocketAddr>,
    /// Replicas and hosts in a row that did not help.
    failures: u32,
    /// Replicas in a row that knew no leader.
    leaderless_replies: u32,
    replica_index: usize,
    pause: Duration,
}

impl Search {
    /// Creates a search that begins with a replica of number `replica_index`.
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

    /// Returns whether replicas of control were asked in vain.
    #[must_use]
    pub const fn is_control_unreachable(&self) -> bool {
        self.failures >= FAILURES_BEFORE_RELAY
    }

    /// Returns the next one to ask, if any is known.
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

    /// Returns the time until the next one is asked.
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
            // Others may relay too, and another deputy may be found.
            Target::Relay(_) | Target::Deputy(_) => self.failures = FAILURES_BEFORE_RELAY,
        }
    }

    /// Notes that one that helps better than the present link is known.
    pub const fn note_better(&mut self, target: Target) {
        self.pause = MIN_PAUSE;
        self.hint = Some(target);
    }

    /// Notes that a replica that does not lead was reached, and whom it names as the leader.
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

    /// Notes that one was not reached or could not help.
    pub fn note_failure(&mut self) {
        self.lost_leader = None;
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_RELAY + MAX_RELAY_TRIES + MAX_DEPUTY_TRIES {
            // The replicas are tried again; one more miss and others are asked again.
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

    /// Returns the next replica, of those that are known and those of the settings.
    ///
    /// The leader that was lost last is left out where there are others: it may be frozen or cut
    /// off, and where it leads again the others say so.
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

/// Returns the replicas that are known and those of the settings.
pub fn replicas(state: &State) -> Vec<SocketAddr> {
    let mut all = state.placer().replicas();
    for seed in state.settings().seeds.borrow().iter() {
        if !all.contains(seed) {
            all.push(*seed);
        }
    }
    all
}

/// Returns another host that the leader named.
pub fn random_relay(state: &State) -> Option<SocketAddr> {
    let own = state.settings().relay;
    let mut others = state.placer().relays();
    others.retain(|relay| *relay != own);
    let index = state.rng().random_range(0..others.len().max(1));
    others.get(index).copied()
}
