//! Proposals of changes of members, one at a time.

use crate::entry::Payload;
use crate::id::Id;
use crate::id::Index;
use crate::id::Term;
use crate::members::Change;
use crate::members::Member;
use crate::members::Members;
use crate::members::Refusal;
use crate::members::Role;
use crate::replica::Replica;
use crate::replica::Role as ReplicaRole;
use crate::replica::leader::Follower;

/// Smallest number of voters with which the log survives the loss of one.
const MIN_FAULT_TOLERANT_VOTERS: usize = 3;

impl Replica {
    /// Proposes a change of members and returns the term and index of its entry, which is not
    /// committed yet.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the change is not proposed.
    pub fn propose_member_change(&mut self, change: &Change) -> Result<(Term, Index), Refusal> {
        let ReplicaRole::Leader(leadership) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if self.failure.is_some() || !self.holds_lease(leadership) {
            return Err(Refusal::NotLeader);
        }
        let term_opened = self.commit >= leadership.opening_index();
        if !term_opened || self.log.members_index() > self.commit {
            return Err(Refusal::ChangePending);
        }
        let members = match change {
            Change::Add { host } => self.with_learner(host)?,
            Change::Promote { host } => self.with_promoted(host)?,
            Change::Remove { id } => self.without(id)?,
        };
        let is_answering = |id: &Id| id == &self.id || self.answered_lately(id);
        if members.reached_by_quorum(is_answering) != Some(true) {
            return Err(Refusal::QuorumLost);
        }
        let index = self.append(Payload::Members(members));
        Ok((self.hard.term, index))
    }

    fn with_learner(&self, host: &str) -> Result<Members, Refusal> {
        let request = self.join_requests.get(host).ok_or(Refusal::NoJoinRequest)?;
        let members = self.log.members();
        if members.get(&request.id).is_some() {
            return Err(Refusal::WrongRole);
        }
        let learner = request.clone().into_member(Role::Learner);
        Ok(members.clone().with(learner))
    }

    fn with_promoted(&self, host: &str) -> Result<Members, Refusal> {
        let members = self.log.members();
        let is_wanted = |one: &&Member| one.id.host == host && one.role == Role::Learner;
        let learner = members.list().iter().find(is_wanted);
        let learner = learner.ok_or(Refusal::WrongRole)?;
        if !self.has_caught_up(&learner.id) {
            return Err(Refusal::NotCaughtUp);
        }
        let promoted = members.clone().promoted(&learner.id);
        let answers_without_learner =
            |id: &Id| id == &self.id || (id != &learner.id && self.answered_lately(id));
        if members.voters().count() >= MIN_FAULT_TOLERANT_VOTERS
            && promoted.reached_by_quorum(answers_without_learner) != Some(true)
        {
            return Err(Refusal::SilentVoter);
        }
        Ok(promoted)
    }

    fn without(&self, id: &Id) -> Result<Members, Refusal> {
        if id == &self.id {
            return Err(Refusal::IsLeader);
        }
        let members = self.log.members();
        members.get(id).ok_or(Refusal::WrongRole)?;
        Ok(members.clone().without(id))
    }

    pub(super) fn has_caught_up(&self, id: &Id) -> bool {
        let max_lag = self.settings.limits.max_learner_lag;
        let matched = self.follower(id).map_or(0, |one| one.matched);
        let has_newest_members = matched >= self.log.members_index();
        let is_within_lag = matched + max_lag >= self.log.last().index;
        self.answered_lately(id) && has_newest_members && is_within_lag
    }

    fn answered_lately(&self, id: &Id) -> bool {
        let now = self.clock.now();
        let election = self.settings.limits.election_timeout;
        let sent = self.follower(id).and_then(|one| one.acknowledged);
        sent.is_some_and(|sent| now < sent + election)
    }

    fn follower(&self, id: &Id) -> Option<&Follower> {
        match &self.role {
            ReplicaRole::Leader(leadership) => leadership.follower(id),
            _ => None,
        }
    }
}
