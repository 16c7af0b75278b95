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

/// Largest term, index, size and round of a message that a replica reads; none comes near it in centuries, and a
/// larger one could not be counted on.
const MAX_NUMBER: u64 = u64::MAX / 4;

/// Term and index of an entry; of two logs, the one whose last position is greater is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

/// Entries that a leader sends to a follower; without entries, the message is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Number to acknowledge.
    pub round: Round,
    /// Position of the entry right before the sent ones.
    pub previous: Position,
    /// Entries to append, in order of their index.
    pub entries: Vec<Entry>,
    /// Index up to which the leader has committed.
    pub commit: Index,
}

/// A chunk of the leader's snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// Number to acknowledge.
    pub round: Round,
    /// Position of the last entry that the snapshot covers.
    pub last: Position,
    /// Members in force at that position.
    pub members: Members,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Bytes of the chunk.
    pub chunk: Vec<u8>,
}

/// State of a follower's log after an [`Append`] or [`Install`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The follower's log agrees with the leader's up to this index.
    Matched(Index),
    /// The follower lacks the entry before the sent ones, or has another one there; the logs may
    /// agree up to this index.
    Mismatched(Index),
    /// The follower knows no members yet and needs a snapshot before entries.
    NeedsSnapshot,
    /// The follower has received a part of a snapshot.
    Received {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received so far.
        bytes: u64,
    },
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks to join, or to bootstrap a log; sent by a replica that knows no members.
    Join {
        /// Address at which others reach the sender.
        address: String,
    },
    /// Gives the members of a log to a replica that knows none.
    Bootstrap(Members),
    /// Asks for a pre-vote: whether a vote in the term after the sender's would be granted.
    PreVote(Position),
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Term that the pre-vote is for.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote(Position),
    /// Answers [`Body::Vote`] and [`Body::TransferVote`].
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends entries to a follower.
    Append(Append),
    /// Sends a chunk of a snapshot to a follower.
    Install(Install),
    /// Answers [`Body::Append`] and [`Body::Install`].
    Reply {
        /// Number of the acknowledged message.
        round: Round,
        /// State of the follower's log after the message.
        progress: Progress,
    },
    /// Answers [`Body::Join`] with the members, which the sender can ask to join as well.
    Contacts(Vec<Contact>),
    /// Tells a replica that a committed change removed it from the members.
    Removed,
    /// Asks a follower to start an election at once; sent by a leader that gives up leadership.
    TransferLeadership,
    /// Asks for a vote that the lease of the last leader does not prevent, since that leader
    /// transferred its leadership to the sender.
    TransferVote(Position),
}

/// A member that a replica can ask to join.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Host of the member.
    pub host: HostId,
    /// Address of the member.
    pub address: String,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the sender.
    pub from: Id,
    /// Host of the receiver.
    pub to: HostId,
    /// Data folder of the receiver; `None` if the sender does not know it.
    pub storage: Option<StorageId>,
    /// Term of the sender.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

impl Message {
    /// Returns whether terms, indexes and sizes are small enough to count on from there. A replica that adopted a
    /// larger one could never take part in an election again.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let body: [u64; 5] = match &self.body {
            Body::PreVote(last) | Body::Vote(last) | Body::TransferVote(last) => {
                [last.term, last.index, 0, 0, 0]
            }
            Body::PreVoteReply { term, .. } => [*term, 0, 0, 0, 0],
            Body::Append(append) => {
                let previous = append.previous;
                let newest = append.entries.iter().map(|one| one.term.max(one.index));
                let newest = newest.max().unwrap_or_default();
                [
                    append.round,
                    previous.term,
                    previous.index,
                    append.commit,
                    newest,
                ]
            }
            Body::Install(install) => [
                install.round,
                install.last.term,
                install.last.index,
                install.total,
                install.offset,
            ],
            Body::Reply { round, progress } => match progress {
                Progress::Matched(index) | Progress::Mismatched(index) => [*round, *index, 0, 0, 0],
                Progress::Received { index, bytes } => [*round, *index, *bytes, 0, 0],
                Progress::NeedsSnapshot => [*round, 0, 0, 0, 0],
            },
            Body::Join { .. }
            | Body::Bootstrap(_)
            | Body::VoteReply { .. }
            | Body::Contacts(_)
            | Body::Removed
            | Body::TransferLeadership => [0; 5],
        };
        self.term <= MAX_NUMBER && body.iter().all(|number| *number <= MAX_NUMBER)
    }
}
