//! Frames of the slot protocol between hosts and stewards.
//!
//! A steward is the host that grants the slots of a service. A host opens a connection with
//! `Purpose::Slots`, sends [`Frame::Hello`], and then reserves and releases slots; the steward
//! answers each reservation under the number that the host gave it.
//!
//! A frame is a packed Cap'n Proto struct, preceded by its length. A name is sent once per
//! connection and direction and is a number after that. [`channel`] sends frames over a
//! connection; one write carries all queued frames.

pub mod channel;
mod codec;
pub(crate) mod codes;
mod raw;

use std::time::Duration;

use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;

pub use codec::Decoder;
pub use codec::Encoder;
pub use raw::MAX_FRAME_BYTES;

/// One message of the slot protocol.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// The first frame of a host; cancels its earlier reservations at this steward.
    Hello {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: Zone,
    },
    /// Requests a slot.
    Reserve {
        /// Number of the reservation.
        number: u32,
        /// Service of the slot.
        service: ServiceId,
        /// Tenant of the request, if it carried a key.
        tenant: Option<TenantId>,
        /// Time until the deadline of the request, in whole milliseconds.
        left: Duration,
        /// Upstreams that were tried before.
        avoid: Vec<UpstreamId>,
        /// Whether the request may be sent again.
        idempotent: bool,
    },
    /// Grants a slot.
    Granted {
        /// Number of the reservation.
        number: u32,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The reservation waits for a slot.
    Queued {
        /// Number of the reservation.
        number: u32,
    },
    /// Refuses a slot.
    Refused {
        /// Number of the reservation.
        number: u32,
        /// The reason, [`Kind::NoUpstream`] or [`Kind::Overloaded`].
        kind: Kind,
    },
    /// Reports a slot that the host uses without a grant of this steward.
    Hold {
        /// Number of the reservation.
        number: u32,
        /// Service of the upstream.
        service: ServiceId,
        /// Tenant of the request, if it carried a key.
        tenant: Option<TenantId>,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Ends a reservation.
    Release {
        /// Number of the reservation.
        number: u32,
        /// Service of the upstream.
        service: ServiceId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time from sending the request to the end of the attempt, in whole microseconds.
        latency: Duration,
        /// Whether the attempt used an existing connection to the upstream.
        reused: bool,
    },
    /// A heartbeat that the other side answers with [`Frame::Pong`].
    Ping {
        /// Number that the answer returns.
        number: u32,
    },
    /// The answer to [`Frame::Ping`].
    Pong {
        /// Number of the heartbeat.
        number: u32,
    },
    /// Sends the verdict on an upstream, for hosts that choose upstreams without the steward.
    Advice {
        /// Service of the upstream.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
        /// The verdict; a weight is rounded to thousandths.
        verdict: Verdict,
    },
}
