//! Settings of a replica.

use std::time::Duration;

use persimmonbend_core::id::HostId;

/// Another replica, with which this one bootstraps a log or which it asks to join one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Host of the other replica.
    pub host: HostId,
    /// Address of the other replica.
    pub address: String,
}

/// Intervals and limits of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time after a leader's message for which a follower grants no vote to another replica.
    pub lease: Duration,
    /// Part at the end of the lease that a leader does not use, because clocks run at different
    /// speeds.
    pub max_clock_drift: Duration,
    /// Shortest time without a leader after which a follower starts an election; the longest is
    /// twice this time.
    pub election_timeout: Duration,
    /// Largest size of the entries in one message, in bytes; a larger single entry is still sent.
    pub batch_bytes: usize,
    /// Largest part of a snapshot in one message, in bytes.
    pub chunk_bytes: usize,
    /// Entries by which a learner may be behind the leader and still be promoted to a voter.
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
    /// Address at which other replicas reach this one.
    pub address: String,
    /// Other replicas to bootstrap a log with, or to ask to join an existing one.
    pub peers: Vec<Peer>,
    /// Whether this replica may bootstrap a new log with its peers.
    pub may_bootstrap: bool,
    /// Number of voters that the leader maintains by changing members itself; `None` leaves such
    /// changes to operators.
    pub voters: Option<usize>,
    /// Intervals and limits of the protocol.
    pub limits: Limits,
    /// Seed of the random election timeouts.
    pub seed: u64,
}
