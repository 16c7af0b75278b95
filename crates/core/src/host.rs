//! Entry hosts, which run a proxy, and their announcements to each other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Zone;

/// Time without contact after which the watchers of a host report it overdue.
pub const LIFETIME: Duration = Duration::from_secs(6);

/// Maximum length of the name of a host or zone in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An announcement of a host about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the host.
    pub id: HostId,
    /// Zone of the host.
    pub zone: Zone,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Incarnation; raised at each start.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Whether the host is stopping.
    pub stopping: bool,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same host.
    #[must_use]
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
            || (self.incarnation == other.incarnation && self.sequence > other.sequence)
    }

    /// Validates the fields that a sender could have set wrong.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the field.
    pub fn check(&self) -> Result<(), String> {
        if self.id.is_empty() || self.id.len() > MAX_NAME_BYTES {
            return Err(format!("host id: must have 1 to {MAX_NAME_BYTES} bytes"));
        }
        if self.zone.len() > MAX_NAME_BYTES {
            return Err(format!(
                "host zone: must have at most {MAX_NAME_BYTES} bytes"
            ));
        }
        Ok(())
    }
}

/// A host as known to a process.
#[derive(Debug, Clone)]
pub struct Host {
    /// The latest announcement of the host.
    pub announcement: Announcement,
    /// Time at which the host was last heard, directly or through others.
    pub last_heard: Instant,
    /// Whether more than half of its watchers reported the host overdue.
    pub suspected: bool,
    /// Time at which the process learned that the host is gone, if it is.
    pub gone_since: Option<Instant>,
}

impl Host {
    /// Returns whether the host is neither suspected nor stopping.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !self.suspected && !self.announcement.stopping
    }
}
