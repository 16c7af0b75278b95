//! Entry hosts as they announce themselves to each other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Zone;

/// Time after which the watchers of a host doubt it unless they hear of it.
pub const LIFETIME: Duration = Duration::from_secs(6);

/// Longest name of a host or zone in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// What a host says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the host.
    pub id: HostId,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Raised at each start.
    pub incarnation: Incarnation,
    /// Raised at each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

impl Announcement {
    /// Returns whether this announcement is newer than `other` of the same host.
    #[must_use]
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
            || (self.incarnation == other.incarnation && self.sequence > other.sequence)
    }

    /// Checks what a sender could have got wrong.
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

/// A host on the board of another.
#[derive(Debug, Clone)]
pub struct Host {
    /// What it last said about itself.
    pub announcement: Announcement,
    /// When news of it last arrived.
    pub last_heard: Instant,
    /// Whether enough witnesses suspect that it is gone.
    pub suspected: bool,
    /// When this host learnt that it is gone, if it is.
    pub gone_since: Option<Instant>,
}

impl Host {
    /// Returns whether the host can be given duties.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        !self.suspected && !self.announcement.stopping
    }
}
