//! Times of the events of a run, from which figures are measured.

use std::time::Instant;

/// The time of an event.
#[derive(Debug, Clone)]
pub struct Mark {
    /// When the event happened.
    pub at: Instant,
    /// Upstream, host, replica or tenant that the event affected.
    pub subject: String,
}

/// The events of a run.
#[derive(Debug, Clone, Default)]
pub struct Marks {
    /// Upstreams that were given a fault.
    pub faults: Vec<Mark>,
    /// Upstreams whose fault was removed.
    pub heals: Vec<Mark>,
    /// Upstreams that began to drain.
    pub drains: Vec<Mark>,
    /// Tenants whose key was withdrawn, at the time that control accepted it.
    pub withdrawals: Vec<Mark>,
    /// Hosts and replicas that were killed or frozen.
    pub interruptions: Vec<Mark>,
    /// Races in which both of two concurrent publications were accepted.
    pub races_accepted_twice: u64,
}

impl Mark {
    /// Creates a mark with the current time.
    #[must_use]
    pub fn now(subject: &str) -> Self {
        Self {
            at: Instant::now(),
            subject: subject.to_owned(),
        }
    }
}
