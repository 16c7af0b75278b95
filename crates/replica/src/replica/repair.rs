//! Changes of members that a leader makes without an operator.
//!
//! With a configured number of voters, the leader adds replicas that ask to join, removes the old
//! identity of a host whose disk was lost, and replaces a voter that stays silent by a learner that
//! has caught up. At most one change is due at a time; the next follows once the last is committed.

use std::time::Duration;

use crate::id::Id;
use crate::members::Change;
use crate::members::Member;
use crate::members::Role;
use crate::replica::Replica;
use crate::replica::Role as ReplicaRole;

/// Greatest age of a join request that counts; a replica repeats its request at every heartbeat
/// interval.
const MAX_JOIN_REQUEST_AGE: Duration = Duration::from_secs(2);

/// Silence after which a voter is replaced, if a learner has caught up.
const MAX_VOTER_SILENCE: Duration = Duration::from_secs(2);

/// Silence after which a learner is removed.
const MAX_LEARNER_SILENCE: Duration = Duration::from_secs(20);

impl Replica {
    /// Returns the next change of members to propose, if this replica leads and its settings state
    /// a number of voters.
    #[must_use]
    pub fn due_member_change(&self) -> Option<Change> {
        let target_voters = self.settings.voters?;
        if !self.leads_with_lease() || self.log.members_index() > self.commit {
            return None;
        }
        self.replaced_disk_removal()
            .or_else(|| self.promotion(target_voters))
            .or_else(|| self.addition())
            .or_else(|| self.silent_learner_removal())
    }

    /// Returns the removal of the old identity of a host that asks to join with a new disk.
    fn replaced_disk_removal(&self) -> Option<Change> {
        let mut hosts = self.joining().map(|id| &id.host);
        let members = self.log.members().list();
        let old = hosts.find_map(|host| members.iter().find(|one| &one.id.host == host))?;
        Some(Change::Remove { id: old.id.clone() })
    }

    /// Returns the promotion of a learner that has caught up.
    ///
    /// With enough voters already, returns the removal of a silent voter instead; the promotion
    /// follows once that is committed.
    fn promotion(&self, target_voters: usize) -> Option<Change> {
        let members = self.log.members();
        let mut learners = members
            .list()
            .iter()
            .filter(|one| one.role == Role::Learner);
        let learner = learners.find(|one| self.has_caught_up(&one.id))?;
        if members.voters().count() < target_voters {
            return Some(Change::Promote {
                host: learner.id.host.clone(),
            });
        }
        let mut voters = members.voters().filter(|id| *id != &self.id);
        let silent = voters.find(|id| self.is_silent(id, MAX_VOTER_SILENCE))?;
        Some(Change::Remove { id: silent.clone() })
    }

    /// Returns the addition of a replica that asks to join.
    fn addition(&self) -> Option<Change> {
        let host = self.joining().next()?.host.clone();
        Some(Change::Add { host })
    }

    /// Returns the removal of a learner that was silent for [`MAX_LEARNER_SILENCE`].
    fn silent_learner_removal(&self) -> Option<Change> {
        let members = self.log.members().list().iter();
        let is_silent_learner = |one: &&Member| {
            one.role == Role::Learner && self.is_silent(&one.id, MAX_LEARNER_SILENCE)
        };
        let id = members.into_iter().find(is_silent_learner)?.id.clone();
        Some(Change::Remove { id })
    }

    /// Returns the replicas that asked to join lately and are no members.
    fn joining(&self) -> impl Iterator<Item = &Id> {
        let now = self.clock.now();
        let members = self.log.members();
        let recent = self.join_requests.values();
        let recent = recent.filter(move |one| {
            now.saturating_duration_since(one.received_at) < MAX_JOIN_REQUEST_AGE
        });
        let ids = recent.map(|one| &one.id);
        ids.filter(|id| members.get(id).is_none())
    }

    fn is_silent(&self, id: &Id, limit: Duration) -> bool {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return false;
        };
        let acknowledged = leadership.follower(id).and_then(|one| one.acknowledged);
        let since = acknowledged.unwrap_or(leadership.started());
        self.clock.now().saturating_duration_since(since) >= limit
    }
}
