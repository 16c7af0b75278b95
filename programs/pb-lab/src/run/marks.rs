//! Moments of a run that figures are measured from.

use std::time::Instant;

/// A moment that a figure is measured from.
#[derive(Debug, Clone)]
pub struct Mark {
    /// When it was.
    pub at: Instant,
    /// Upstream, host or tenant that it is about.
    pub subject: String,
}

/// What was done during a run.
#[derive(Debug, Clone, Default)]
pub struct Marks {
    /// Upstreams that got a fault.
    pub faults: Vec<Mark>,
    /// Upstreams that lost their fault.
    pub heals: Vec<Mark>,
    /// Upstreams that began to drain.
    pub drains: Vec<Mark>,
    /// Tenants whose key was withdrawn, once that was accepted.
    pub withdrawals: Vec<Mark>,
    /// Hosts that were killed, frozen or cut off.
    pub interruptions: Vec<Mark>,
    /// Races in which not exactly one of two equal changes was accepted.
    pub races_accepted_twice: u64,
}

impl Mark {
    /// Creates a mark of this moment.
    #[must_use]
    pub fn now(subject: &str) -> Self {
        Self {
            at: Instant::now(),
            subject: subject.to_owned(),
        }
    }
}
