//! Settings of a dispatcher.

use std::time::Duration;

use crate::dispatch::Retries;
use crate::publication::Quota;

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries that operators allow for each service.
    pub retries: Retries,
    /// Time without an announcement after which an upstream counts as silent.
    pub max_silence: Duration,
    /// Time after the end of a disturbance by which processes have found each other again.
    pub contact: Duration,
    /// Tokens of a tenant with a quota at its first request.
    pub initial_balance: Balance,
    /// Whether this is the first dispatcher that the fleet has had.
    pub is_first_dispatcher: bool,
    /// Floor: least share of a service's upstreams that stay in use while some requests fail.
    pub floor: f64,
    /// Most extra sends of running requests, as a share of the requests to a service whose terms set none;
    /// `None` if only the retry budget limits them.
    pub hedge_share: Option<f64>,
}

impl Policy {
    /// Returns the length of the window in which the requests of a tenant are counted, if it is known.
    #[must_use]
    pub const fn quota_window(&self) -> Option<Duration> {
        match self.initial_balance {
            Balance::Share(_) => None,
            Balance::Tolerated(tolerance) | Balance::Sampled { tolerance, .. } => {
                Some(tolerance.window)
            }
        }
    }
}

/// Tokens of a tenant with a quota at its first request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Balance {
    /// A share of the burst; an earlier dispatcher may have granted the rest.
    Share(f64),
    /// A share of the tolerance beyond the quota, up to the burst; an earlier dispatcher may have
    /// granted the whole quota, and hosts without a dispatcher use another share of the tolerance.
    Tolerated(Tolerance),
    /// One token with a probability that follows from the host's share of the tolerance beyond the
    /// quota, and less than one token otherwise.
    Sampled {
        /// Tolerance over the whole fleet.
        tolerance: Tolerance,
        /// Random number of the host in `0..1`.
        draw: f64,
    },
}

/// Requests beyond a quota that operators tolerate over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a share of the quota in one window.
    pub part: f64,
    /// Tolerated requests in one window in addition to the share.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the requests beyond a quota that are tolerated in one window.
    #[must_use]
    pub fn excess(&self, quota: &Quota) -> f64 {
        let window = self.window.as_secs_f64() * quota.per_second;
        self.slack + self.part * (window + quota.burst)
    }
}
