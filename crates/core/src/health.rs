//! Grey failures: evidence from live requests and the verdict on each upstream.
//!
//! [`Detector`] takes [`Evidence`] on the upstreams of one service and gives a [`Verdict`] on each.
//! It compares every upstream with the others of its service, so that a service that slows down
//! as a whole ejects nobody, and with what the same tenant sees elsewhere, so that one tenant's
//! bad requests eject nobody either.
//!
//! ```
//! use std::time::Instant;
//!
//! use persimmonbend_core::health::Detector;
//! use persimmonbend_core::health::Descriptor;
//! use persimmonbend_core::health::Policy;
//! use persimmonbend_core::health::Verdict;
//!
//! let now = Instant::now();
//! let mut detector = Detector::new(Policy::default());
//! detector.set_upstreams([Descriptor::new("herd-1", 3, true)], now);
//! assert_eq!(detector.verdict("herd-1", "a", now), Verdict::Use { weight: 1.0 });
//! ```

mod detector;
mod policy;
mod standing;
mod subject;
pub(crate) mod window;

use std::time::Duration;

use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;

pub use detector::Descriptor;
pub use detector::Detector;
pub use detector::Report;
pub use detector::Transition;
pub use policy::Policy;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A whole answer that is no server error.
    Answered,
    /// A server error.
    Failed,
    /// An answer that broke off or was malformed.
    Truncated,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// Shed without running.
    Shed,
    /// Given up by the caller or by a faster attempt; says nothing about the upstream.
    Cancelled,
    /// Another upstream has its address now.
    Moved,
}

/// One observation of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Zone of the host that saw it.
    pub zone: Zone,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    /// Whether the connection had been used before; a timeout over such a one says nothing yet
    /// about the upstream.
    pub reused: bool,
}

impl Evidence {
    /// Returns whether the observation says anything about the upstream.
    #[must_use]
    pub const fn counts(&self) -> bool {
        match self.outcome {
            Outcome::Cancelled | Outcome::Moved => false,
            Outcome::TimedOut | Outcome::Truncated => !self.reused,
            Outcome::Answered | Outcome::Failed | Outcome::Unreachable | Outcome::Shed => true,
        }
    }
}

/// What may be sent to an upstream now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Requests, with a weight above 0 and up to 1.
    Use {
        /// Share of its slots that may be used.
        weight: f64,
    },
    /// One request at a time, to find out whether it has recovered.
    Trial,
    /// Nothing.
    Ejected,
}
