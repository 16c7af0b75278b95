//! The role of this replica and the interface of observers that are notified when it changes.

use std::fmt;
use std::time::Instant;

use persimmonbend_core::machine::Reply;

/// Number of a period with at most one leader; each election uses a higher one.
pub type Term = u64;

/// Role of this replica as its observers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leadership {
    /// The replica is the leader and holds the lease.
    Leader {
        /// Term in which the replica leads.
        term: Term,
        /// When the replica began to answer as the leader.
        since: Instant,
    },
    /// The replica is not the leader, or its lease ended.
    Follower {
        /// Newest term that the replica knows.
        term: Term,
    },
}

impl Leadership {
    /// Returns whether the replica is the leader.
    #[must_use]
    pub const fn is_leader(self) -> bool {
        matches!(self, Self::Leader { .. })
    }

    /// Returns the term in which the replica leads, or the newest that a follower knows.
    #[must_use]
    pub const fn term(self) -> Term {
        match self {
            Self::Leader { term, .. } | Self::Follower { term } => term,
        }
    }
}

/// An observer of the replica's role and of applied commands.
///
/// Changes of the role are reported in order. A replica is reported as leader only after every
/// command of earlier terms was applied.
pub trait Observer {
    /// Handles a change of the replica's role.
    fn leadership_changed(&self, leadership: Leadership);

    /// Handles the reply to a command that was applied.
    fn command_applied(&self, _reply: &Reply) {}
}

impl fmt::Debug for dyn Observer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Observer")
    }
}
