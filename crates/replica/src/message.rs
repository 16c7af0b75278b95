//! Messages between replicas.

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::id::Id;
use crate::id::Index;
use crate::id::Round;
use crate::id::StorageId;
use crate::id::Term;
use crate::members::Members;

/// Place of the newest entry of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Its index.
    pub index: Index,
}

/// Entries from the leader; without entries a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Number to acknowledge.
    pub round: Round,
    /// Place that the entries follow.
    pub previous: Position,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Index up to which the leader has committed.
    pub commit: Index,
}

/// A part of the leader's snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// Number to acknowledge.
    pub round: Round,
    /// Place of the last entry that the snapshot covers.
    pub last: Position,
    /// Members at that place.
    pub members: Members,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Place of the chunk in it.
    pub offset: u64,
    /// The chunk.
    pub chunk: Vec<u8>,
}

/// What a follower makes of an [`Append`] or [`Install`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The follower's log agrees with the leader's up to here.
    Matched(Index),
    /// The follower's log differs before the entries; it may agree up to here.
    Mismatched(Index),
    /// The follower knows no members yet and needs a snapshot.
    NeedsSnapshot,
    /// The follower holds this many bytes of the snapshot for that index.
    Received {
        /// Index of the snapshot.
        index: Index,
        /// Bytes held.
        bytes: u64,
    },
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A replica without members asks for them.
    Join {
        /// Address that others reach it at.
        address: String,
    },
    /// The members of a newly founded log.
    Bootstrap(Members),
    /// Asks whether a vote in the next term would be granted.
    PreVote(Position),
    /// Answers a poll.
    PreVoteReply {
        /// Term that the poll was for.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote(Position),
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries entries.
    Append(Append),
    /// Carries a part of a snapshot.
    Install(Install),
    /// Answers [`Body::Append`] and [`Body::Install`].
    Reply {
        /// Number that is acknowledged.
        round: Round,
        /// What became of it.
        progress: Progress,
    },
    /// Tells a replica without members whom else to ask.
    Contacts(Vec<Contact>),
    /// Tells a replica that it was removed from the members.
    Removed,
    /// Asks a follower to lead in the place of the leader, which stops.
    TransferLeadership,
    /// Asks for a vote, at the word of the last leader.
    TransferVote(Position),
}

/// A replica that can be asked to be taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its host.
    pub host: HostId,
    /// Address that it is reached at.
    pub address: String,
}

/// A message to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sent it.
    pub from: Id,
    /// Host that it is for.
    pub to: HostId,
    /// Data folder that it is for; `None` for any.
    pub storage: Option<StorageId>,
    /// Term of the sender.
    pub term: Term,
    /// What it says.
    pub body: Body,
}
