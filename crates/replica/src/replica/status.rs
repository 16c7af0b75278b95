//! What a replica tells about itself.

use serde::Serialize;

use crate::id::Id;
use crate::id::Index;
use crate::id::Term;
use crate::members::Member;
use crate::replica::Replica;
use crate::replica::Role;

/// A member as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// Index up to which it holds the log; only a leader knows it of others.
    pub matched: Option<Index>,
    /// Milliseconds since the newest message that it acknowledged was sent.
    pub silent_ms: Option<u64>,
}

/// State of a replica for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Its identity.
    pub id: Id,
    /// Its role: follower, polling, candidate or leader.
    pub role: String,
    /// Its term.
    pub term: Term,
    /// Whom it follows.
    pub leader: Option<Id>,
    /// Index of its snapshot.
    pub snapshot: Index,
    /// Index up to which entries are committed.
    pub commit: Index,
    /// Index of its newest entry.
    pub last: Index,
    /// The members.
    pub members: Vec<Peer>,
    /// Hosts with an empty disk that ask to be taken in.
    #[serde(rename = "applicants")]
    pub join_requests: Vec<Id>,
    /// Why it stopped, if it did.
    pub failure: Option<String>,
}

impl Replica {
    /// Returns the state for operators.
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
            Role::Leader(lead) => lead.follower(&member.id),
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
