//! The replicas that hold the log, and their quorum.

use std::fmt;

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Id;

/// What a member may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Counts for quorums and may lead.
    Voter,
    /// Receives the log and counts for nothing.
    Learner,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: Id,
    /// Address that other replicas reach it at.
    pub address: String,
    /// What it may do.
    pub role: Role,
}

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add {
        /// Host of the replica, which must have applied.
        host: HostId,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Host of the learner.
        host: HostId,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member, since a replaced disk leaves two members on one host.
        id: Id,
    },
}

/// Why a change of members is not proposed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The replica does not lead or its lease ended.
    NotLeader,
    /// An earlier change is not committed yet.
    ChangePending,
    /// The host has not applied with a fresh data folder.
    NoJoinRequest,
    /// The host or identity is no member, or not in the role that the change needs.
    WrongRole,
    /// The learner has not caught up.
    NotCaughtUp,
    /// The leader does not remove itself.
    IsLeader,
    /// The voters that answer now would be no quorum after the change.
    QuorumLost,
    /// A promotion beside a silent voter would leave no room for the loss of the new one.
    SilentVoter,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotLeader => "not the leader",
            Self::ChangePending => "an earlier change of members is not committed yet",
            Self::NoJoinRequest => "the host has not applied with an empty data folder",
            Self::WrongRole => "no such member in the role that the change needs",
            Self::NotCaughtUp => "the learner has not caught up yet",
            Self::IsLeader => "the leader does not remove itself; stop its process first",
            Self::SilentVoter => "a voter is silent; remove it before the promotion",
            Self::QuorumLost => "the voters that answer now would be no quorum after the change",
        })
    }
}

/// All members.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    list: Vec<Member>,
}

impl Members {
    /// Creates a set of members.
    #[must_use]
    pub const fn new(list: Vec<Member>) -> Self {
        Self { list }
    }

    /// Returns the members.
    #[must_use]
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Returns whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns a member.
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

    /// Returns the largest value that a quorum of voters reaches, if there are voters.
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

    /// Adds a member.
    #[must_use]
    pub fn with(mut self, member: Member) -> Self {
        self.list.push(member);
        self
    }

    /// Makes a member a voter.
    #[must_use]
    pub fn promoted(mut self, id: &Id) -> Self {
        for member in self.list.iter_mut().filter(|member| &member.id == id) {
            member.role = Role::Voter;
        }
        self
    }

    /// Removes a member.
    #[must_use]
    pub fn without(mut self, id: &Id) -> Self {
        self.list.retain(|member| &member.id != id);
        self
    }
}
