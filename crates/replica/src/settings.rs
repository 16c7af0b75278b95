//! What a replica is told at its start.

use std::time::Duration;

use persimmonbend_core::id::HostId;

/// Another replica that the log may be founded with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// Address that it is reached at.
    pub address: String,
}

/// Intervals and bounds of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time for which a follower that heard the leader grants no vote to others.
    pub lease: Duration,
    /// Part of the lease that a leader leaves unused, for clocks that run at different speeds.
    pub max_clock_drift: Duration,
    /// Shortest time without a leader until an election; the longest is twice as much.
    pub election_timeout: Duration,
    /// Bytes of entries in one message.
    pub batch_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries that a learner may miss and still be promoted.
    pub max_learner_lag: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            lease: Duration::from_millis(500),
            max_clock_drift: Duration::from_millis(50),
            election_timeout: Duration::from_millis(500),
            batch_bytes: 256 * 1024,
            chunk_bytes: 256 * 1024,
            max_learner_lag: 64,
        }
    }
}

/// Settings of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address that others reach this replica at.
    pub address: String,
    /// The other replicas that the log is founded with, or that are asked to be taken in.
    pub peers: Vec<Peer>,
    /// Whether this replica may found a log with its peers.
    pub may_bootstrap: bool,
    /// Voters that the leader keeps up by itself; `None` leaves members to operators.
    pub voters: Option<usize>,
    /// Intervals and bounds.
    pub limits: Limits,
    /// Seed of the election timeouts.
    pub seed: u64,
}
