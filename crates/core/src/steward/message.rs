//! Messages between hosts and a steward.

use std::time::Duration;
use std::time::Instant;

use crate::error::Kind;
use crate::health::Outcome;
use crate::id::HostId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;

/// Identifies one reservation in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Host that made the request.
    pub host: HostId,
    /// Number of the request, given by the host.
    pub number: u32,
}

/// A host's request for a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifies the reservation.
    pub ticket: Ticket,
    /// Zone of the host that made the request.
    pub zone: Zone,
    /// Tenant of the client's request, if it carried a key.
    pub tenant: Option<TenantId>,
    /// When the response to the client is due.
    pub deadline: Instant,
    /// Upstreams that were tried already and are not chosen again.
    pub avoid: Vec<UpstreamId>,
    /// Whether the client's request may be sent again. A request that may not is used for a trial
    /// only when no other upstream has a free slot.
    pub idempotent: bool,
}

/// The slot that a reservation uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Zone of the host that uses the slot.
    pub zone: Zone,
    /// Tenant of the client's request, if it carried a key.
    pub tenant: Option<TenantId>,
    /// Upstream whose slot is used.
    pub upstream: UpstreamId,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Identifies the reservation.
    pub ticket: Ticket,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    /// Whether the attempt used a pooled connection.
    pub reused: bool,
}

/// A steward's decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A slot is granted.
    Granted {
        /// Upstream whose slot is granted.
        upstream: UpstreamId,
    },
    /// The request waits for a slot; another answer follows.
    Queued,
    /// No slot is granted, for this reason.
    Refused(Kind),
}

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Identifies the reservation.
    pub ticket: Ticket,
    /// The decision.
    pub decision: Decision,
}

impl Answer {
    /// Creates a refusal.
    #[must_use]
    pub const fn refused(ticket: Ticket, kind: Kind) -> Self {
        Self {
            ticket,
            decision: Decision::Refused(kind),
        }
    }
}
