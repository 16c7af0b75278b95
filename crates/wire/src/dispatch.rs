//! Frames between hosts and the dispatcher on the control replica that leads.
//!
//! A host opens a connection with `Purpose::Dispatch` and says [`Frame::Hello`]. A replica that
//! does not lead answers [`Frame::NotLeader`]; the leader answers [`Frame::Welcome`], then sends
//! configuration and upstreams whenever they change, and answers reservations by their number.
//! Frames are postcard behind a length, many to a write, since each of them is a few bytes and a
//! call by capnp-rpc takes some two hundred.

mod hosts;
mod packed;

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::Term;
use persimmonbend_core::id::Zone;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use serde::Deserialize;
use serde::Serialize;

pub use hosts::Hosts;
pub use packed::Packed;

use crate::channel;
use crate::channel::Decode;
use crate::channel::Encode;
use crate::error::Error;
use crate::slots::codes;

/// Longest frame in bytes; the first frame of a fleet of the target size carries all routes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// One message between a host and the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a host; its earlier reservations are void.
    Hello {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: Zone,
        /// Version of the publication that it has, 0 for none.
        version: Version,
        /// Address at which it relays links of hosts that cannot reach the leader, if it does.
        relay: Option<SocketAddr>,
        /// Whether a host that cannot reach the leader either may place requests meanwhile.
        deputy: bool,
    },
    /// The first frame of the leader.
    Welcome {
        /// Term that it leads.
        term: Term,
        /// Address of the leader, which a host that came over a relay does not know.
        leader: Option<SocketAddr>,
        /// Addresses of all control replicas.
        control: Vec<SocketAddr>,
    },
    /// The answer of a replica that does not lead.
    NotLeader {
        /// Address of the leader, if it is known.
        leader: Option<SocketAddr>,
        /// Addresses of all control replicas.
        control: Vec<SocketAddr>,
    },
    /// Reports a slot that is used without a grant of this dispatcher.
    Running {
        /// Number of the reservation.
        number: u32,
        /// Service of the upstream.
        service: ServiceId,
        /// The upstream.
        upstream: Number,
        /// Route of the request.
        route: RouteId,
    },
    /// Asks for an upstream.
    Reserve(Reserve),
    /// Grants a slot.
    Granted {
        /// Number of the reservation.
        number: u32,
        /// The upstream.
        upstream: Number,
        /// Milliseconds after which another attempt is better than waiting on, 0 for never.
        attempt_timeout_ms: u32,
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
        /// Code of the kind of error.
        kind: u8,
        /// Milliseconds after which it makes sense to come back.
        after_ms: u32,
    },
    /// Ends a reservation.
    Release {
        /// Number of the reservation.
        number: u32,
        /// Code of how the attempt ended.
        outcome: u8,
        /// Milliseconds from sending to the end.
        latency_ms: u32,
        /// Bytes of the request and the answer.
        bytes: u32,
    },
    /// Changes of the configuration.
    Published(Packed<Delta>),
    /// Says that changes up to this version follow, for which a narrow link takes its time.
    Announced {
        /// Version that the changes lead to.
        version: Version,
    },
    /// Upstreams that are new or changed.
    Upstreams(Packed<Vec<Entry>>),
    /// Says that the leader is there.
    Heartbeat {
        /// Hosts that share the quotas, 0 while they are not known yet.
        hosts: u32,
        /// Version of the publication in force, 0 where that is not known.
        version: Version,
        /// Upstreams that are likely grey.
        suspects: Vec<Number>,
    },
    /// Hosts that relay links to the leader.
    Relays(Vec<SocketAddr>),
    /// Says that the host is there.
    HostHeartbeat,
    /// Tells a new leader which upstreams the last one suspected.
    Suspects(Vec<Number>),
    /// The host stops by plan.
    Stopping,
}

/// An ask for an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// Number of the reservation.
    pub number: u32,
    /// Route of the request.
    pub route: RouteId,
    /// Service that its split chose.
    pub service: ServiceId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// Milliseconds since the request arrived.
    pub waited_ms: u32,
    /// Milliseconds until the answer is due.
    pub left_ms: u32,
    /// Upstreams that have been sent the request before.
    pub attempts: u8,
    /// Whether an upstream was handed the request before.
    pub is_retry: bool,
    /// Upstreams that were tried already.
    pub avoid: Vec<Number>,
}

/// Queues frames for a connection.
pub type Sender = channel::Sender<Frame>;

/// Reads frames from a connection.
pub type Receiver = channel::Receiver<Codec>;

/// Writes the queued frames to a connection.
pub type Writer = channel::Writer<Codec, Frame>;

/// Splits an authenticated connection.
///
/// [`channel::Writer::run`] has to be polled for frames to leave.
#[must_use]
pub fn split(stream: TcpStream) -> (Sender, Writer, Receiver) {
    channel::split(stream, Codec::default(), Codec::default())
}

/// Turns frames into bytes and back, for one direction.
#[derive(Debug, Default)]
pub struct Codec {
    buffer: Vec<u8>,
}

impl Encode<Frame> for Codec {
    fn encode(&mut self, frame: &Frame, bytes: &mut Vec<u8>) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame).map_err(|error| malformed(&error))?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(Error::Malformed(format!("a frame of {} bytes", body.len())));
        }
        let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&body);
        Ok(())
    }
}

impl Decode<Frame> for Codec {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, Error> {
        self.buffer.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let mut rest = self.buffer.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_le_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(Error::Malformed(format!("a frame of {length} bytes")));
            }
            let Some((body, after)) = after.split_at_checked(length) else {
                break;
            };
            frames.push(postcard::from_bytes(body).map_err(|error| malformed(&error))?);
            rest = after;
        }
        let used = self.buffer.len() - rest.len();
        self.buffer.drain(..used);
        Ok(frames)
    }
}

/// Returns the code of a kind of error.
#[must_use]
pub fn kind_code(kind: Kind) -> u8 {
    codes::position(Kind::ALL, &kind)
}

/// Returns the kind of error of a code.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for an unknown code.
pub fn kind(code: u8) -> Result<Kind, Error> {
    codes::item(Kind::ALL, code)
}

/// Returns the code of a sign.
#[must_use]
pub fn outcome_code(outcome: Outcome) -> u8 {
    codes::position(&codes::OUTCOMES, &outcome)
}

/// Returns the sign of a code.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for an unknown code.
pub fn outcome(code: u8) -> Result<Outcome, Error> {
    codes::item(&codes::OUTCOMES, code)
}

/// Returns whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn malformed(error: &postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}
