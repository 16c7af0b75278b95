//! Requests of hosts for an upstream, and the dispatcher's decisions.

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

/// A request of a host for a slot of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Zone of the host.
    pub zone: Zone,
    /// Route of the request.
    pub route: RouteId,
    /// Service that was chosen by the weights of the route.
    pub service: ServiceId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// When the request arrived at the host.
    pub arrived: Instant,
    /// When the answer to the client is due.
    pub deadline: Instant,
    /// Number of earlier sends of the request that count as attempts.
    pub attempts: u32,
    /// Whether an upstream has received the request before, so that this send draws on the retry
    /// budget.
    pub is_retry: bool,
    /// Upstreams that have been tried and are not chosen again.
    pub avoid: Vec<Number>,
    /// Whether another upstream is running the request, so that this send is an extra one.
    pub is_hedge: bool,
    /// Size of the request body in bytes.
    pub body_bytes: u32,
}

impl Request {
    /// Returns whether no upstream was chosen for the request before.
    #[must_use]
    pub fn is_first_placing(&self) -> bool {
        !self.is_retry && self.attempts == 0 && self.avoid.is_empty()
    }
}

/// A decision about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// The decision.
    pub decision: Decision,
}

/// The dispatcher's decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request gets a slot of an upstream.
    Granted {
        /// The upstream.
        upstream: Number,
        /// Time after which another attempt is better than waiting on; `None` if none may follow.
        attempt_timeout: Option<Duration>,
    },
    /// The request waits for a slot; another answer follows.
    Queued,
    /// The request gets no slot.
    Refused {
        /// Reason of the refusal.
        kind: Kind,
        /// Time after which the client may retry.
        retry_after: Duration,
    },
}

/// The outcome of an attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completion {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending the request to the end of the attempt.
    pub latency: Duration,
    /// Size of request and answer together.
    pub bytes: u32,
}
