//! Whom a host without a dispatcher asks next.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::gateway::state::State;

/// Pause before the next one is asked; it doubles from the shortest to the longest.
const SHORTEST_PAUSE: Duration = Duration::from_millis(40);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Replicas in a row that were not reached before another host is asked to relay the link.
const RELAY_AFTER: u32 = 2;

/// Replicas in a row that know no leader, each after waiting a while for one, before others are asked.
const LEADERLESS: u32 = 3;

/// Hosts that are asked to relay it; one that cannot says so at once.
const RELAY_TRIES: u32 = 5;

/// Hosts that are asked to be the deputy afterwards, in the order of their cell.
const DEPUTY_TRIES: u32 = 4;

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
    lost: Option<SocketAddr>,
    /// Replicas and hosts in a row that did not help.
    missed: u32,
    /// Replicas in a row that knew no leader.
    leaderless: u32,
    turn: usize,
    pause: Duration,
}

impl Search {
    /// Creates a search that begins with a replica of number `turn`.
    #[must_use]
    pub const fn new(turn: usize) -> Self {
        Self {
            hint: None,
            lost: None,
            missed: 0,
            leaderless: 0,
            turn,
            pause: SHORTEST_PAUSE,
        }
    }

    /// Returns whether replicas of control were asked in vain.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.missed >= RELAY_AFTER
    }

    /// Returns the next one to ask, if any is known.
    pub fn next(&mut self, state: &State) -> Option<Target> {
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let tries = self.missed.checked_sub(RELAY_AFTER);
        let helper = tries.and_then(|tries| {
            if tries < RELAY_TRIES {
                any_relay(state).map(Target::Relay)
            } else {
                let relays = state.desk().relays();
                let deputy = relays.get((tries - RELAY_TRIES) as usize).copied();
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
        self.pause = SHORTEST_PAUSE;
        self.leaderless = 0;
        match target {
            Target::Replica(address) => {
                self.lost = Some(address);
                self.missed = 0;
            }
            // Others may relay too, and another deputy may be found.
            Target::Relay(_) | Target::Deputy(_) => self.missed = RELAY_AFTER,
        }
    }

    /// Notes that one that helps better than the present link is known.
    pub const fn note_better(&mut self, target: Target) {
        self.pause = SHORTEST_PAUSE;
        self.hint = Some(target);
    }

    /// Notes that a replica that does not lead was reached, and whom it names as the leader.
    pub fn note_elsewhere(&mut self, target: Target, leader: Option<SocketAddr>) {
        let leader = leader.filter(|leader| *leader != target.address());
        self.hint = leader.map(Target::Replica);
        if leader.is_some() {
            self.pause = SHORTEST_PAUSE;
        } else {
            self.leaderless += 1;
            self.missed = if self.leaderless < LEADERLESS {
                0
            } else {
                self.missed.max(RELAY_AFTER)
            };
            self.slow_down();
        }
    }

    /// Notes that one was not reached or could not help.
    pub fn note_missed(&mut self) {
        self.lost = None;
        self.missed += 1;
        if self.missed >= RELAY_AFTER + RELAY_TRIES + DEPUTY_TRIES {
            // The replicas are tried again; one more miss and others are asked again.
            self.missed = RELAY_AFTER - 1;
        }
        if self.missed > RELAY_AFTER {
            self.pause = SHORTEST_PAUSE;
        } else {
            self.slow_down();
        }
    }

    fn slow_down(&mut self) {
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Returns the next replica, of those that are known and those of the settings.
    ///
    /// The leader that was lost last is left out where there are others: it may be frozen or cut
    /// off, and where it leads again the others say so.
    fn replica(&mut self, state: &State) -> Option<SocketAddr> {
        let mut all = replicas(state);
        if all.len() > 1 {
            all.retain(|address| Some(*address) != self.lost);
        }
        self.turn = self.turn.wrapping_add(1);
        let index = self.turn % all.len().max(1);
        all.get(index).copied()
    }
}

/// Returns the replicas that are known and those of the settings.
pub fn replicas(state: &State) -> Vec<SocketAddr> {
    let mut all = state.desk().replicas();
    for seed in state.settings().seeds.borrow().iter() {
        if !all.contains(seed) {
            all.push(*seed);
        }
    }
    all
}

/// Returns another host that the leader named.
pub fn any_relay(state: &State) -> Option<SocketAddr> {
    let own = state.settings().relay;
    let mut others = state.desk().relays();
    others.retain(|relay| *relay != own);
    let index = state.rng().random_range(0..others.len().max(1));
    others.get(index).copied()
}
