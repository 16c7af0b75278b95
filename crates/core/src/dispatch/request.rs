//! What hosts ask of the dispatcher and what it decides.

use std::time::Duration;
use std::time::Instant;

use crate::error::Kind;
use crate::health::Outcome;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::id::Zone;
use crate::roster::Number;
use crate::steward::Ticket;

/// An ask for an upstream to send a request to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of the ask.
    pub ticket: Ticket,
    /// Zone of the host that asks.
    pub zone: Zone,
    /// Route of the request.
    pub route: RouteId,
    /// Service that the route's split chose.
    pub service: ServiceId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// When the request arrived at the host.
    pub arrived: Instant,
    /// When the answer to the client is due.
    pub deadline: Instant,
    /// Upstreams that have been sent the request before, as far as that counts as an attempt.
    pub attempts: u32,
    /// Whether an upstream was handed the request before, so that this send draws on the budget of
    /// repeats.
    pub is_retry: bool,
    /// Upstreams that were tried already.
    pub avoid: Vec<Number>,
}

/// A decision about one ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Name of the ask.
    pub ticket: Ticket,
    /// What was decided.
    pub decision: Decision,
}

/// What the dispatcher decides about an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A slot of this upstream.
    Granted {
        /// The upstream.
        upstream: Number,
        /// Time after which another attempt is better than further waiting, if one may follow.
        attempt_timeout: Option<Duration>,
    },
    /// The ask waits for a slot; another answer follows.
    Queued,
    /// No slot.
    Refused {
        /// Why.
        kind: Kind,
        /// When it makes sense to come back.
        retry_after: Duration,
    },
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from sending to the end.
    pub latency: Duration,
    /// Bytes of the request and the answer.
    pub bytes: u32,
}
