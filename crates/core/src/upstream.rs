//! Upstreams as they announce themselves and as a host sees them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Zone;

/// Time after which an announcement lapses unless it is renewed.
pub const LIFETIME: Duration = Duration::from_secs(10);

/// Stage in the life of an upstream, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Started and not warm yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Gone for good.
    Left,
}

impl Stage {
    /// Returns whether the upstream may get new requests.
    #[must_use]
    pub const fn takes_requests(self) -> bool {
        matches!(self, Self::Starting | Self::Ready)
    }
}

/// What an upstream says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Raised at each start.
    pub incarnation: Incarnation,
    /// Raised at each announcement of one incarnation.
    pub sequence: u64,
    /// Stage of its life.
    pub stage: Stage,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same upstream.
    #[must_use]
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
            || (self.incarnation == other.incarnation && self.sequence > other.sequence)
    }

    /// Returns whether this announcement says the same as `other`, its number aside.
    #[must_use]
    pub fn renews(&self, other: &Self) -> bool {
        let numbered = Self {
            sequence: other.sequence,
            ..self.clone()
        };
        numbered == *other
    }

    /// Checks what a sender could have got wrong.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the field.
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
    /// What it last said about itself.
    pub announcement: Announcement,
    /// When this host last heard of it.
    pub last_heard: Instant,
    /// When this host first heard of this incarnation.
    pub since: Instant,
    /// Whether witnesses agreed that its announcement was not renewed.
    pub lapsed: bool,
    /// When this host learnt that it is gone, if it is.
    pub gone_since: Option<Instant>,
    /// Requests of this host that it is running.
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
