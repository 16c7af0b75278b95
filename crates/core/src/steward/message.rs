//! What hosts tell a steward and what it answers.

use std::time::Duration;
use std::time::Instant;

use crate::error::Kind;
use crate::health::Outcome;
use crate::id::HostId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;

/// Name of one reservation in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Host that asks.
    pub host: HostId,
    /// Number that the host gives to the ask.
    pub number: u32,
}

/// An ask for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of the reservation.
    pub ticket: Ticket,
    /// Zone of the host that asks.
    pub zone: Zone,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// When the answer to the caller is due.
    pub deadline: Instant,
    /// Upstreams that were tried already.
    pub avoid: Vec<UpstreamId>,
    /// Whether the request may be sent again; only such a one is used for a trial while another
    /// upstream has a free slot.
    pub idempotent: bool,
}

/// A slot in use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Zone of the host that uses it.
    pub zone: Zone,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Name of the reservation.
    pub ticket: Ticket,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    /// Whether the connection had been used before.
    pub reused: bool,
}

/// What a steward decides about an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A slot of this upstream.
    Granted {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The ask waits for a slot; another answer follows.
    Queued,
    /// No slot, for this reason.
    Refused(Kind),
}

/// A decision about one ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Name of the reservation.
    pub ticket: Ticket,
    /// What was decided.
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
