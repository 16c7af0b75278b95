//! Frames of the slot protocol between hosts and stewards.
//!
//! A host opens a connection with `Purpose::Slots`, introduces itself with [`Frame::Hello`] and
//! then sends reservations and their ends; the steward answers reservations by their number.
//! Frames are packed Cap'n Proto structs behind their length; names travel once per connection
//! and direction. [`channel`] moves them over a connection, many to a write.

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
    /// The first frame of a host; its earlier reservations at this steward are void.
    Hello {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: Zone,
    },
    /// Asks for a slot.
    Reserve {
        /// Number of the reservation.
        number: u32,
        /// Service whose slot is wanted.
        service: ServiceId,
        /// Tenant of the request, if a key came with it.
        tenant: Option<TenantId>,
        /// Time until the answer to the caller is due, in whole milliseconds.
        left: Duration,
        /// Upstreams that were tried already.
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
    /// Reports a slot that is used without a grant of this steward.
    Hold {
        /// Number of the reservation.
        number: u32,
        /// Service of the upstream.
        service: ServiceId,
        /// Tenant of the request, if a key came with it.
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
        /// Time from sending to the end of the attempt, in whole microseconds.
        latency: Duration,
        /// Whether the connection had been used before.
        reused: bool,
    },
    /// Asks whether the other side is there.
    Ping {
        /// Number that the answer repeats.
        number: u32,
    },
    /// Answers a ping.
    Pong {
        /// Number of the ping.
        number: u32,
    },
    /// Tells the verdict on an upstream, for hosts that have to choose on their own.
    Advice {
        /// Service of the upstream.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
        /// The verdict, its weight in thousandths.
        verdict: Verdict,
    },
}
