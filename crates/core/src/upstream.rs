//! Announcements of upstreams, and the state of an upstream on one host.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Zone;

/// Time after which an announcement lapses unless the upstream renews it.
pub const LIFETIME: Duration = Duration::from_secs(10);

/// Sequence of the announcement by which a start itself says that it has left; nothing follows it.
pub const LAST_SEQUENCE: u64 = u64::MAX;

/// The stage in the life of an upstream that the upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Takes requests but is not warmed up yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes running requests and takes no new ones.
    Draining,
    /// Has left; only a new incarnation can return.
    Left,
}

impl Stage {
    /// Returns whether the upstream may get new requests.
    #[must_use]
    pub const fn takes_requests(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}

/// The state that an upstream announces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Zone that the upstream runs in.
    pub zone: Zone,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Incarnation, raised at each start: the Unix milliseconds of the start where the roster of control holds it.
    pub incarnation: Incarnation,
    /// Sequence, raised at each announcement of one incarnation.
    pub sequence: u64,
    /// Stage of the upstream.
    pub stage: Stage,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same upstream.
    #[must_use]
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
            || (self.incarnation == other.incarnation && self.sequence > other.sequence)
    }

    /// Returns whether this announcement equals `other` but for its sequence.
    #[must_use]
    pub fn renews(&self, other: &Self) -> bool {
        let numbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        numbered == *other
    }

    /// Checks the names, slots and address.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the first invalid field.
    pub fn check(&self) -> Result<(), String> {
        if self.id.is_empty() || self.id.len() > MAX_NAME_BYTES {
            return Err(format!("id: must have 1 to {MAX_NAME_BYTES} bytes"));
        }
        if self.service.is_empty() || self.service.len() > MAX_NAME_BYTES {
            return Err(format!("service: must have 1 to {MAX_NAME_BYTES} bytes"));
        }
        if self.zone.len() > MAX_NAME_BYTES {
            return Err(format!("zone: must have at most {MAX_NAME_BYTES} bytes"));
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(format!("slots: must be 1 to {MAX_SLOTS}"));
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return Err("address: must be an address that hosts can reach".to_owned());
        }
        Ok(())
    }
}

/// Longest name of an upstream, service or zone in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Most slots of one upstream.
const MAX_SLOTS: u32 = 10_000;

/// An upstream on the board of a host.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Latest announcement of the upstream.
    pub announcement: Announcement,
    /// When an announcement of the upstream last arrived at this host, directly or through others.
    pub last_heard: Instant,
    /// When an announcement of this incarnation first arrived at this host.
    pub since: Instant,
    /// Whether more than half of its watchers reported the upstream overdue.
    pub lapsed: bool,
    /// When this host learned that the upstream is gone, if it is.
    pub gone_since: Option<Instant>,
    /// Requests of this host that the upstream is running.
    pub in_flight: u32,
}

impl Upstream {
    /// Returns whether the announcement is still in force.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        !self.lapsed
    }

    /// Returns whether the upstream has left or its announcement lapsed.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.lapsed || self.announcement.stage == Stage::Left
    }
}
