//! Elections: pre-votes, votes, and the lease during which a replica grants neither.

use std::time::Duration;
use std::time::Instant;

use log::info;
use rand::RngExt;

use crate::entry::Payload;
use crate::id::Id;
use crate::id::Term;
use crate::message::Body;
use crate::message::Position;
use crate::replica::Leadership;
use crate::replica::Replica;
use crate::replica::Role;
use crate::storage::Hard;

impl Replica {
    /// Makes the replica grant no vote for one lease after a start, since it may have granted a
    /// lease before, which is not stored.
    pub(super) fn withhold_votes_after_restart(&mut self, now: Instant) {
        let is_only_voter = self.log.members().voters().all(|voter| voter == &self.id);
        if !is_only_voter && self.hard.term > 0 {
            let until = now + self.settings.limits.lease;
            self.lease_granted_until = Some(until);
            self.deadline = until + self.pre_vote_pause();
        }
    }

    /// Follows the leader of the present term, grants it a lease and restarts the election timeout.
    pub(super) fn follow_leader(&mut self, leader: Id) {
        let now = self.clock.now();
        self.follow(Some(leader));
        self.last_leader_message = Some(now);
        self.lease_granted_until = Some(now + self.settings.limits.lease);
        self.reset_deadline(now);
    }

    pub(super) fn reset_deadline(&mut self, now: Instant) {
        let shortest = self.settings.limits.election_timeout;
        self.deadline = now + self.random_duration(shortest, shortest * 2);
    }

    /// Starts a pre-vote, which asks whether an election could be won.
    pub(super) fn start_pre_vote(&mut self, now: Instant) {
        self.deadline = now + self.pre_vote_pause();
        if !self.may_campaign() {
            // The answers tell a learner if it was removed while it was stopped or cut off.
            self.send_to_voters(&Body::PreVote(self.log.last()));
            return;
        }
        self.follow(None);
        self.role = Role::PreCandidate(vec![self.id.clone()]);
        self.send_to_voters(&Body::PreVote(self.log.last()));
        self.count_pre_votes();
    }

    pub(super) fn on_pre_vote(&mut self, from: &Id, term: Term, last: Position) {
        if self.log.members().is_empty() {
            return;
        }
        if self.has_removed(from, last) {
            self.send(from.clone(), Body::Removed);
            return;
        }
        let next_term = term + 1;
        let granted =
            next_term > self.hard.term && last >= self.log.last() && !self.is_bound_by_lease();
        self.send(
            from.clone(),
            Body::PreVoteReply {
                term: next_term,
                granted,
            },
        );
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: Id, term: Term, granted: bool) {
        let is_current = term == self.hard.term + 1;
        if let Role::PreCandidate(pre_votes) = &mut self.role
            && is_current
            && granted
            && !pre_votes.contains(&from)
        {
            pre_votes.push(from);
            self.count_pre_votes();
        }
    }

    pub(super) fn on_vote(&mut self, from: Id, term: Term, last: Position) {
        if self.log.members().is_empty() || self.is_bound_by_lease() {
            return;
        }
        if term > self.hard.term {
            self.enter_term(term);
        }
        let can_vote = self.hard.vote.as_ref().is_none_or(|vote| vote == &from);
        let granted = term == self.hard.term && can_vote && last >= self.log.last();
        if granted {
            if self.hard.vote.is_none() {
                self.set_hard(Hard {
                    term,
                    vote: Some(from.clone()),
                });
            }
            self.reset_deadline(self.clock.now());
        }
        self.send(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: Id, granted: bool) {
        if let Role::Candidate(votes) = &mut self.role
            && granted
            && !votes.contains(&from)
        {
            votes.push(from);
            self.count_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(pre_votes) = &self.role else {
            return;
        };
        if self.is_quorum(pre_votes) {
            self.start_vote(&Body::Vote(self.log.last()));
        }
    }

    pub(super) fn start_vote(&mut self, request: &Body) {
        let longest = self.settings.limits.election_timeout;
        self.deadline = self.clock.now() + self.random_duration(longest / 2, longest);
        self.set_hard(Hard {
            term: self.hard.term + 1,
            vote: Some(self.id.clone()),
        });
        self.role = Role::Candidate(vec![self.id.clone()]);
        self.send_to_voters(request);
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let Role::Candidate(votes) = &self.role else {
            return;
        };
        if self.is_quorum(votes) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        info!("replica: {} leads term {}", self.id.host, self.hard.term);
        let last = self.log.last().index;
        self.leader = Some(self.id.clone());
        self.role = Role::Leader(Leadership::new(self.clock.now(), last));
        self.append(Payload::Empty);
    }

    fn send_to_voters(&mut self, body: &Body) {
        let voters: Vec<Id> = self.log.members().voters().cloned().collect();
        for voter in voters {
            if voter != self.id {
                self.send(voter, body.clone());
            }
        }
    }

    /// Returns whether a replica whose log ends at `last` was removed from the members.
    ///
    /// That replica's log holds the entry that made it a member. If this replica has committed
    /// that far, its members include that entry, and can lack the replica only by a later removal.
    fn has_removed(&self, id: &Id, last: Position) -> bool {
        let known = self.log.members().get(id).is_some();
        let committed = self.log.members_at(self.commit);
        !known && committed.get(id).is_none() && self.commit >= last.index
    }

    /// Returns whether the replica is a voter, or was one until a change that is not known to be
    /// committed.
    ///
    /// A removed voter may be the only replica that still runs and holds the entry of its removal.
    /// The others then cannot win an election against its newer log, so it has to campaign.
    pub(super) fn may_campaign(&self) -> bool {
        let committed = self.log.members_at(self.commit);
        self.log.members().is_voter(&self.id) || committed.is_voter(&self.id)
    }

    fn is_quorum(&self, of: &[Id]) -> bool {
        self.log
            .members()
            .reached_by_quorum(|voter| of.contains(voter))
            == Some(true)
    }

    fn is_bound_by_lease(&self) -> bool {
        let now = self.clock.now();
        let granted = self.lease_granted_until.is_some_and(|until| now < until);
        granted || self.leads_with_lease()
    }

    /// Returns a random time until the next pre-vote, shorter than an election timeout: a pre-vote
    /// is a few bytes and changes no state, and the others may still be bound by a lease during
    /// the first one.
    fn pre_vote_pause(&mut self) -> Duration {
        let longest = self.settings.limits.election_timeout;
        self.random_duration(longest / 8, longest / 3)
    }

    fn random_duration(&mut self, shortest: Duration, longest: Duration) -> Duration {
        self.rng.random_range(shortest..longest)
    }
}
