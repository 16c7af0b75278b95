//! Frames between hosts and the dispatcher on the control replica that leads.
//!
//! A host opens a connection with `Purpose::Dispatch` and sends [`Frame::Hello`]. A replica that
//! does not lead answers [`Frame::NotLeader`]. The leader answers [`Frame::Welcome`], sends the
//! configuration and the upstreams whenever they change, and answers each reservation under the
//! number that the host gave it.
//!
//! The publication and the upstreams come from a replica in the zone of the host, so that they cross
//! no zone once for every host. The host opens a second connection to it, with [`Frame::Follow`] as
//! the first frame; [`Frame::Followed`] answers it. Without such a replica the host asks the leader
//! for both, with [`Frame::Subscribe`].
//!
//! Builds of two versions share links while hosts are replaced: fields are only appended, with
//! `trailing`, and a new frame is only sent to a build that reads it, see [`Level`]. A frame that
//! cannot be decoded is skipped.
//!
//! A frame is encoded by postcard and preceded by its length; one write carries all queued frames.
//! A frame takes a few bytes, where a capnp-rpc call takes about two hundred.

mod hosts;
mod level;
mod packed;
mod trailing;

use std::net::IpAddr;
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
use persimmonbend_core::poison::End;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Revision;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use serde::Deserialize;
use serde::Serialize;
use tracing::warn;

pub use hosts::Hosts;
pub use level::FIRST as FIRST_LEVEL;
pub use level::Level;
pub use level::OWN as OWN_LEVEL;
pub use packed::Packed;

use crate::channel;
use crate::channel::Decode;
use crate::channel::Encode;
use crate::error::Error;
use crate::meter;
use crate::meter::Purpose;
use crate::slots::codes;

/// Longest frame in bytes; the first publication for a host carries all routes, and those of a
/// fleet of the target size have to fit.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Size in bytes of the length that precedes a frame.
const LENGTH_BYTES: usize = 4;

/// What frames that cannot be decoded are counted as.
const SKIPPED: Purpose = "skipped";

/// One message between a host and the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of a host; cancels the reservations of its earlier connections.
    Hello {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: Zone,
        /// Version of the publication that the host holds; see [`held_version`].
        version: Version,
        /// Address at which the host relays links of hosts that cannot reach the leader, if any.
        relay: Option<SocketAddr>,
        /// Whether the sender requests placements from the receiver as a deputy: a host that
        /// places requests while neither the sender nor the deputy can reach the leader.
        deputy: bool,
        /// Level of the build that sends the frame.
        #[serde(deserialize_with = "trailing::or_default")]
        build: Level,
        /// Whether the host holds a publication.
        #[serde(deserialize_with = "trailing::or_default")]
        is_published: bool,
    },
    /// The first frame of the leader or of a deputy.
    Welcome {
        /// Term of the leader, 0 from a deputy.
        term: Term,
        /// Address of the leader, which a host behind a relay does not know; `None` from a deputy.
        leader: Option<SocketAddr>,
        /// Addresses of all control replicas.
        control: Vec<SocketAddr>,
        /// Level of the build that sends the frame.
        #[serde(deserialize_with = "trailing::or_default")]
        build: Level,
    },
    /// The answer of a replica that does not lead.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
        /// Addresses of all control replicas.
        control: Vec<SocketAddr>,
    },
    /// The first frame of a host that follows the publication and the upstreams of a replica.
    Follow {
        /// Name of the host.
        host: HostId,
        /// Zone of the host.
        zone: Zone,
        /// Version of the publication that the host holds; see [`held_version`].
        version: Version,
        /// Level of the build that sends the frame.
        #[serde(deserialize_with = "trailing::or_default")]
        build: Level,
        /// Whether the host holds a publication.
        #[serde(deserialize_with = "trailing::or_default")]
        is_published: bool,
    },
    /// The answer of a replica to [`Frame::Follow`].
    Followed {
        /// Zone of the replica, if it knows it.
        zone: Option<Zone>,
        /// Whether the replica sends its state over this connection.
        is_accepted: bool,
        /// Addresses of all control replicas.
        control: Vec<SocketAddr>,
        /// Level of the build that sends the frame.
        #[serde(deserialize_with = "trailing::or_default")]
        build: Level,
    },
    /// Asks the leader for the publication and the upstreams, and all changes of them.
    Subscribe {
        /// Version of the publication that the host holds; see [`held_version`].
        version: Version,
        /// Whether the host holds a publication.
        #[serde(deserialize_with = "trailing::or_default")]
        is_published: bool,
    },
    /// Ends a subscription, as the host follows a replica.
    Unsubscribe,
    /// Reports a slot that the host uses without a grant of this dispatcher.
    Running {
        /// Number of the reservation.
        number: u32,
        /// Service of the upstream.
        service: ServiceId,
        /// The upstream.
        upstream: Number,
        /// Route of the request.
        route: RouteId,
        /// Size of the request body in bytes; 0, also where it is not known, from an older build.
        #[serde(deserialize_with = "trailing::or_default")]
        body_bytes: u32,
    },
    /// Requests an upstream.
    Reserve(Reserve),
    /// Grants a slot.
    Granted {
        /// Number of the reservation.
        number: u32,
        /// The upstream.
        upstream: Number,
        /// Milliseconds after which another attempt is better than further waiting, 0 for never.
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
        /// Milliseconds after which the client should retry.
        after_ms: u32,
    },
    /// Ends a reservation.
    Release {
        /// Number of the reservation.
        number: u32,
        /// Code of how the attempt ended.
        outcome: u8,
        /// Milliseconds from sending the request to the end of the attempt.
        latency_ms: u32,
        /// Size of the request and the answer in bytes.
        bytes: u32,
    },
    /// Changes of the configuration.
    Published(Packed<Delta>),
    /// Announces that a large change follows, which takes seconds over a slow link.
    Announced {
        /// Version of the publication after the change.
        version: Version,
    },
    /// Upstreams, all or those that changed.
    Upstreams {
        /// Revision of the roster that the host has with these entries.
        revision: Revision,
        /// Whether the entries are the whole roster.
        is_complete: bool,
        /// The entries.
        entries: Packed<Vec<Entry>>,
    },
    /// The heartbeat of the leader or of a deputy.
    Heartbeat {
        /// Number of hosts that share the quotas, 0 while unknown.
        hosts: u32,
        /// Version of the publication in force; see [`held_version`].
        version: Version,
        /// Revision of the roster, 0 while unknown.
        revision: Revision,
        /// Upstreams that became suspects since the last heartbeat on this connection.
        suspected: Vec<Number>,
        /// Upstreams that are no suspects any more.
        cleared: Vec<Number>,
        /// Whether a publication is in force and the sender knows which.
        #[serde(deserialize_with = "trailing::or_default")]
        is_published: bool,
    },
    /// Addresses of the hosts that relay links to the leader.
    Relays(Vec<SocketAddr>),
    /// The heartbeat of a host.
    HostHeartbeat,
    /// Reports the upstreams that the previous leader suspected to a new one.
    Suspects(Vec<Number>),
    /// Announces that the host stops as planned.
    Stopping,
    /// Reports what an upstream has stated about itself in an answer to the host.
    Stated {
        /// The upstream.
        upstream: Number,
        /// What it stated.
        statement: Statement,
    },
    /// Tells a host of the limits that other hosts were told, as differences from what it was sent before.
    Limits {
        /// Limits that are new or have changed.
        stated: Vec<(Number, Limit)>,
        /// Upstreams whose limits have ended.
        ended: Vec<Number>,
    },
    /// Reports ends of upstreams under requests to a dispatcher, or tells a host of those that are new to it.
    Ends(Vec<End>),
    /// Asks the leader whether an address is that of a host.
    Identify(IpAddr),
    /// Says whether an address is that of a host.
    Identified {
        /// The address.
        address: IpAddr,
        /// Whether a host has named it.
        is_host: bool,
    },
}

impl Frame {
    /// Returns what the frame is for, as it is named in counts of bytes.
    #[must_use]
    pub const fn purpose(&self) -> Purpose {
        match self {
            Self::Hello { .. }
            | Self::Welcome { .. }
            | Self::NotLeader { .. }
            | Self::Follow { .. }
            | Self::Followed { .. }
            | Self::Subscribe { .. }
            | Self::Unsubscribe => "greetings",
            Self::Reserve(_) => "reservations",
            Self::Granted { .. } | Self::Queued { .. } | Self::Refused { .. } => "decisions",
            Self::Release { .. } | Self::Running { .. } | Self::Stated { .. } => "reports",
            Self::Published(_) | Self::Announced { .. } => "publications",
            Self::Upstreams { .. } => "upstreams",
            Self::Heartbeat { .. } | Self::Limits { .. } | Self::Ends(_) => "heartbeats",
            Self::Relays(_) | Self::Identify(_) | Self::Identified { .. } => "relays",
            Self::HostHeartbeat | Self::Suspects(_) | Self::Stopping => "host_states",
        }
    }
}

/// A request for an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// Number of the reservation.
    pub number: u32,
    /// Route of the request.
    pub route: RouteId,
    /// Service that the traffic split of the route chose.
    pub service: ServiceId,
    /// Tenant of the request, if it carried a key.
    pub tenant: Option<TenantId>,
    /// Milliseconds since the request arrived.
    pub waited_ms: u32,
    /// Milliseconds until the deadline of the request.
    pub left_ms: u32,
    /// Number of earlier sends of the request that count as attempts.
    pub attempts: u8,
    /// Whether an upstream has received the request before, so that this send draws on the retry
    /// budget.
    pub is_retry: bool,
    /// Upstreams that have been tried and are not chosen again.
    pub avoid: Vec<Number>,
    /// Whether another upstream is running the request, so that this send is an extra one.
    #[serde(deserialize_with = "trailing::or_default")]
    pub is_hedge: bool,
    /// Size of the request body in bytes.
    #[serde(deserialize_with = "trailing::or_default")]
    pub body_bytes: u32,
}

/// Queues frames for a connection.
pub type Sender = channel::Sender<Frame>;

/// Reads frames from a connection.
pub type Receiver = channel::Receiver<Codec>;

/// Writes the queued frames to a connection.
pub type Writer = channel::Writer<Codec, Frame>;

/// Splits an authenticated connection.
///
/// Frames are only written while [`channel::Writer::run`] is polled.
#[must_use]
pub fn split(stream: TcpStream) -> (Sender, Writer, Receiver) {
    channel::split(stream, Codec::default(), Codec::default())
}

/// Encodes or decodes the frames of one direction of a connection.
#[derive(Debug, Default)]
pub struct Codec {
    buffer: Vec<u8>,
    /// Number of received frames that could not be decoded.
    skipped: u64,
}

impl Codec {
    /// Counts a frame that cannot be decoded; logs the first one of a connection, and then each time that
    /// their number has doubled.
    fn skip(&mut self, bytes: usize, error: &postcard::Error) {
        self.skipped += 1;
        meter::add_skipped();
        meter::add_received_frame(SKIPPED, LENGTH_BYTES + bytes);
        if self.skipped.is_power_of_two() {
            warn!(bytes, skipped = self.skipped, error = %error, "frame_skipped");
        }
    }
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
        meter::add_sent_frame(frame.purpose(), LENGTH_BYTES + body.len());
        Ok(())
    }
}

impl Decode<Frame> for Codec {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, Error> {
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let mut rest = buffer.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_le_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(Error::Malformed(format!("a frame of {length} bytes")));
            }
            let Some((body, after)) = after.split_at_checked(length) else {
                break;
            };
            match postcard::from_bytes::<Frame>(body) {
                Ok(frame) => {
                    meter::add_received_frame(frame.purpose(), LENGTH_BYTES + length);
                    frames.push(frame);
                }
                Err(error) => self.skip(length, &error),
            }
            rest = after;
        }
        let used = buffer.len() - rest.len();
        buffer.drain(..used);
        self.buffer = buffer;
        Ok(frames)
    }
}

/// Returns the version that a frame names by a number and whether there is one.
///
/// Builds that do not send the flag name no version by 0.
#[must_use]
pub const fn held_version(number: Version, is_published: bool) -> Option<Version> {
    if is_published || number > 0 {
        Some(number)
    } else {
        None
    }
}

/// Returns the code of a kind of error.
#[must_use]
pub fn kind_code(kind: Kind) -> u8 {
    codes::position(Kind::ALL, &kind)
}

/// Returns the kind of error of a code; one that only a newer build knows reads as overload, which the
/// client may repeat.
#[must_use]
pub fn kind(code: u8) -> Kind {
    codes::item(Kind::ALL, code).unwrap_or(level::OTHER_KIND)
}

/// Returns the code of an outcome.
#[must_use]
pub fn outcome_code(outcome: Outcome) -> u8 {
    codes::position(&codes::OUTCOMES, &outcome)
}

/// Returns the outcome of a code; one that only a newer build knows frees the slot and is no evidence
/// about the upstream.
#[must_use]
pub fn outcome(code: u8) -> Outcome {
    codes::item(&codes::OUTCOMES, code).unwrap_or(level::OTHER_OUTCOME)
}

/// Returns a duration in whole milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn malformed(error: &postcard::Error) -> Error {
    Error::Malformed(error.to_string())
}
