//! State of a replica, as operators see it.

use serde::Serialize;

use crate::id::Id;
use crate::id::Index;
use crate::id::Term;
use crate::members::Member;
use crate::replica::Replica;
use crate::replica::Role;

/// A member and its replication state, as the reporting replica knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// Index up to which the member holds the log; a follower knows only its own.
    pub matched: Option<Index>,
    /// Milliseconds since the newest message that the member acknowledged was sent; only a leader
    /// knows this.
    pub silent_ms: Option<u64>,
}

/// State of a replica for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Identity of the replica.
    pub id: Id,
    /// Role of the replica: follower, polling (asking for pre-votes), candidate or leader.
    pub role: String,
    /// Newest term that the replica knows.
    pub term: Term,
    /// Leader of the present term, if the replica knows it.
    pub leader: Option<Id>,
    /// Index of the last entry that the replica's snapshot covers.
    pub snapshot: Index,
    /// Index up to which entries are committed.
    pub commit: Index,
    /// Index of the replica's newest entry.
    pub last: Index,
    /// Members of the log, committed or not.
    pub members: Vec<Peer>,
    /// Replicas with empty disks that asked to join and are no members.
    #[serde(rename = "applicants")]
    pub join_requests: Vec<Id>,
    /// Reason for which the replica stopped, if it did.
    pub failure: Option<String>,
}

impl Replica {
    /// Returns the state of the replica for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let members = self.log.members().list().iter();
        let requests = self.join_requests.values();
        let unknown = requests.filter(|one| self.log.members().get(&one.id).is_none());
        Status {
            id: self.id.clone(),
            role: self.role.name().to_owned(),
            term: self.hard.term,
            leader: self.leader.clone(),
            snapshot: self.log.snapshot().index,
            commit: self.commit,
            last: self.log.last().index,
            members: members.map(|member| self.peer(member)).collect(),
            join_requests: unknown.map(|one| one.id.clone()).collect(),
            failure: self.failure.clone(),
        }
    }

    fn peer(&self, member: &Member) -> Peer {
        let now = self.clock.now();
        let follower = match &self.role {
            Role::Leader(leadership) => leadership.follower(&member.id),
            _ => None,
        };
        let own = (member.id == self.id).then_some(self.synced);
        let sent = follower.and_then(|one| one.acknowledged);
        Peer {
            member: member.clone(),
            matched: own.or(follower.map(|one| one.matched)),
            silent_ms: sent.map(|sent| {
                let silent = now.duration_since(sent).as_millis();
                u64::try_from(silent).unwrap_or(u64::MAX)
            }),
        }
    }
}

impl Role {
    const fn name(&self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::PreCandidate(_) => "polling",
            Self::Candidate(_) => "candidate",
            Self::Leader(_) => "leader",
        }
    }
}
