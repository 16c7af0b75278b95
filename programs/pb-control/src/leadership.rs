//! Whether this replica leads, and who is told when that changes.

use std::fmt;
use std::time::Instant;

use persimmonbend_core::machine::Reply;

/// Number of a leader's reign; rises with each election.
pub type Term = u64;

/// Role of this replica as its observers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leadership {
    /// The replica leads and holds the lease.
    Leader {
        /// Term that it leads.
        term: Term,
        /// When it began to answer as leader.
        since: Instant,
    },
    /// The replica follows, or its lease ended.
    Follower {
        /// Newest term that it knows.
        term: Term,
    },
}

impl Leadership {
    /// Returns whether the replica leads.
    #[must_use]
    pub const fn is_leader(self) -> bool {
        matches!(self, Self::Leader { .. })
    }

    /// Returns the term.
    #[must_use]
    pub const fn term(self) -> Term {
        match self {
            Self::Leader { term, .. } | Self::Follower { term } => term,
        }
    }
}

/// Is told of each change of leadership, in order.
///
/// A leader is told of only after every command of earlier terms was applied.
pub trait Observer {
    /// Takes note of the new role.
    fn leadership_changed(&self, leadership: Leadership);

    /// Takes note of a command that was applied.
    fn command_applied(&self, _reply: &Reply) {}
}

impl fmt::Debug for dyn Observer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Observer")
    }
}
