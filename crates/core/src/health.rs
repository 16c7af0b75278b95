//! Detection of grey upstreams from the outcomes of live requests.
//!
//! A [`Detector`] receives [`Evidence`] about the upstreams of one service and returns a
//! [`Verdict`] on each. It compares every upstream with the others of its service, so that no
//! upstream is ejected when the whole service slows down. It also compares with what the same
//! tenant observes at other upstreams, so that no upstream is ejected for one tenant's bad requests.
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
mod monitor;
mod policy;
mod status;
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
    /// A complete response that is not a server error.
    Answered,
    /// A response with a server error.
    Failed,
    /// A response that was cut short or malformed.
    Truncated,
    /// No response before the timeout.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The upstream shed the request without running it.
    Shed,
    /// The client or a faster attempt cancelled this one, which is no evidence about the upstream.
    Cancelled,
    /// Another upstream now has the address.
    Moved,
}

/// The observed outcome of one attempt at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// Upstream that the attempt was sent to.
    pub upstream: UpstreamId,
    /// Zone of the host that sent the attempt.
    pub zone: Zone,
    /// Tenant of the client's request, if it carried a key.
    pub tenant: Option<TenantId>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    /// Whether the attempt used a pooled connection. A timeout or a cut response over such a
    /// connection may come from the connection and is no evidence about the upstream.
    pub reused: bool,
}

impl Evidence {
    /// Returns whether the outcome is evidence for or against the upstream.
    #[must_use]
    pub const fn counts(&self) -> bool {
        match self.outcome {
            Outcome::Cancelled | Outcome::Moved => false,
            Outcome::TimedOut | Outcome::Truncated => !self.reused,
            Outcome::Answered | Outcome::Failed | Outcome::Unreachable | Outcome::Shed => true,
        }
    }
}

/// Traffic that an upstream may currently receive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Requests up to a share of its slots.
    Use {
        /// Share of the slots that may be used, above 0 and at most 1.
        weight: f64,
    },
    /// One request at a time, to test whether the upstream has recovered.
    Trial,
    /// No requests.
    Ejected,
}
