//! Repairs of the members that a leader makes by itself.
//!
//! A log that is told how many voters to keep takes in replicas that apply, replaces the identity
//! of a host whose disk was lost, and gives the place of a voter that stays silent to a learner
//! that has caught up. Each call proposes at most one change; the next follows once it is
//! committed.

use std::time::Duration;

use crate::id::Id;
use crate::members::Change;
use crate::members::Member;
use crate::members::Role;
use crate::replica::Replica;
use crate::replica::Role as ReplicaRole;

/// Age up to which an application counts; an applicant repeats it with every heartbeat.
const MAX_JOIN_REQUEST_AGE: Duration = Duration::from_secs(2);

/// Silence after which a voter gives its place to a learner that is ready.
const MAX_VOTER_SILENCE: Duration = Duration::from_secs(2);

/// Silence after which a learner is dropped.
const MAX_LEARNER_SILENCE: Duration = Duration::from_secs(20);

impl Replica {
    /// Returns the change of members that is due, if this replica leads and is to keep them up.
    #[must_use]
    pub fn due_member_change(&self) -> Option<Change> {
        let wanted = self.settings.voters?;
        if !self.leads_with_lease() || self.log.members_index() > self.commit {
            return None;
        }
        self.replaced_disk()
            .or_else(|| self.promotion(wanted))
            .or_else(|| self.addition())
            .or_else(|| self.silent_learner())
    }

    /// Removes the old identity of a host that applies with a new disk.
    fn replaced_disk(&self) -> Option<Change> {
        let mut hosts = self.joining().map(|id| &id.host);
        let members = self.log.members().list();
        let old = hosts.find_map(|host| members.iter().find(|one| &one.id.host == host))?;
        Some(Change::Remove { id: old.id.clone() })
    }

    /// Makes a learner a voter, after it has removed a voter that is silent where there are enough.
    fn promotion(&self, wanted: usize) -> Option<Change> {
        let members = self.log.members();
        let mut learners = members
            .list()
            .iter()
            .filter(|one| one.role == Role::Learner);
        let learner = learners.find(|one| self.has_caught_up(&one.id))?;
        if members.voters().count() < wanted {
            return Some(Change::Promote {
                host: learner.id.host.clone(),
            });
        }
        let mut voters = members.voters().filter(|id| *id != &self.id);
        let silent = voters.find(|id| self.is_silent(id, MAX_VOTER_SILENCE))?;
        Some(Change::Remove { id: silent.clone() })
    }

    fn addition(&self) -> Option<Change> {
        let host = self.joining().next()?.host.clone();
        Some(Change::Add { host })
    }

    fn silent_learner(&self) -> Option<Change> {
        let members = self.log.members().list().iter();
        let lost = |one: &&Member| {
            one.role == Role::Learner && self.is_silent(&one.id, MAX_LEARNER_SILENCE)
        };
        let id = members.into_iter().find(lost)?.id.clone();
        Some(Change::Remove { id })
    }

    /// Returns those that asked lately to be taken in and are no members.
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
        let ReplicaRole::Leader(lead) = &self.role else {
            return false;
        };
        let acknowledged = lead.follower(id).and_then(|one| one.acknowledged);
        let since = acknowledged.unwrap_or(lead.started());
        self.clock.now().saturating_duration_since(since) >= limit
    }
}
