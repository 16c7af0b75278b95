//! The members of the log, their roles, and the quorum of the voters.

use std::fmt;

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Id;

/// Role of a member in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Counts towards quorums and may become the leader.
    Voter,
    /// Receives the log, but does not count towards quorums and does not vote.
    Learner,
}

/// A replica that holds the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member.
    pub id: Id,
    /// Address at which other replicas reach the member.
    pub address: String,
    /// Role of the member.
    pub role: Role,
}

/// A change that concerns one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add {
        /// Host of the replica, which must have asked to join.
        host: HostId,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Host of the learner.
        host: HostId,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member; the host alone is ambiguous, since a host whose disk was
        /// replaced can have two members.
        id: Id,
    },
}

/// Reason for which a replica does not propose a change of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The replica is not the leader, or its lease ended.
    NotLeader,
    /// An earlier change, or the first entry of the leader's term, is not committed yet.
    ChangePending,
    /// No replica with an empty data folder asked to join from this host.
    NoJoinRequest,
    /// The host or identity has no member in the role that the change needs, or is a member already.
    WrongRole,
    /// The learner lags too far behind the leader or does not answer.
    NotCaughtUp,
    /// The member to remove is the leader itself.
    IsLeader,
    /// The voters that answer at present would not be a quorum after the change.
    QuorumLost,
    /// Another voter is silent, so that the loss of the promoted one would cost the quorum.
    SilentVoter,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotLeader => "not the leader",
            Self::ChangePending => "an earlier change of members is not committed yet",
            Self::NoJoinRequest => "the host has not asked to join with an empty data folder",
            Self::WrongRole => "no such member in the role that the change needs",
            Self::NotCaughtUp => "the learner has not caught up yet",
            Self::IsLeader => "the leader does not remove itself; stop its process first",
            Self::SilentVoter => "a voter is silent; remove it before the promotion",
            Self::QuorumLost => "the voters that answer now would not be a quorum after the change",
        })
    }
}

/// The members of a log at one index.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    list: Vec<Member>,
}

impl Members {
    /// Creates the members from a list.
    #[must_use]
    pub const fn new(list: Vec<Member>) -> Self {
        Self { list }
    }

    /// Returns the members as a list.
    #[must_use]
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the member with the given identity.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Member> {
        self.list.iter().find(|member| &member.id == id)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Id> {
        let voters = self.list.iter().filter(|one| one.role == Role::Voter);
        voters.map(|voter| &voter.id)
    }

    /// Returns whether a replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: &Id) -> bool {
        self.voters().any(|voter| voter == id)
    }

    /// Returns the largest value that a quorum of voters has or exceeds, or `None` without voters.
    pub fn reached_by_quorum<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord,
        F: FnMut(&Id) -> T,
    {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = values.len() / 2 + 1;
        values.into_iter().nth(quorum - 1)
    }

    /// Returns the members with one more.
    #[must_use]
    pub fn with(mut self, member: Member) -> Self {
        self.list.push(member);
        self
    }

    /// Returns the members with the given one as a voter.
    #[must_use]
    pub fn promoted(mut self, id: &Id) -> Self {
        for member in self.list.iter_mut().filter(|member| &member.id == id) {
            member.role = Role::Voter;
        }
        self
    }

    /// Returns the members without the given one.
    #[must_use]
    pub fn without(mut self, id: &Id) -> Self {
        self.list.retain(|member| &member.id != id);
        self
    }
}
