//! Transfer of leadership by a leader that stops.
//!
//! The leader gives up its lease and asks the follower whose log is longest to start an election.
//! Voters that granted the old leader a lease still vote for that candidate, since the old leader
//! does not use the lease any more.

use log::info;

use crate::id::Id;
use crate::id::Term;
use crate::message::Body;
use crate::message::Position;
use crate::replica::Replica;
use crate::replica::Role;

impl Replica {
    /// Gives up leadership and asks another voter to start an election.
    ///
    /// Returns whether the replica led and another voter holds all committed entries; otherwise
    /// nothing changes. Proposals that are not committed yet may be lost, as with any change of
    /// leader.
    pub fn transfer_leadership(&mut self) -> bool {
        let Some(successor) = self.successor() else {
            return false;
        };
        info!("replica: transfers leadership to {}", successor.host);
        self.follow(None);
        self.reset_deadline(self.clock.now());
        self.send(successor, Body::TransferLeadership);
        true
    }

    /// Starts an election at once, if the sender is the leader that this replica follows.
    pub(super) fn on_transfer_leadership(&mut self, from: &Id) {
        if self.leader.as_ref() != Some(from) || !self.may_campaign() {
            return;
        }
        self.lease_granted_until = None;
        self.start_vote(&Body::TransferVote(self.log.last()));
    }

    /// Votes on a candidate that the last leader transferred leadership to, ignoring that leader's
    /// lease.
    pub(super) fn on_transfer_vote(&mut self, from: Id, term: Term, last: Position) {
        if term > self.hard.term {
            self.lease_granted_until = None;
        }
        self.on_vote(from, term, last);
    }

    /// Returns the other voter whose log is longest, if that log holds all committed entries.
    fn successor(&self) -> Option<Id> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let others = self.log.members().voters().filter(|id| **id != self.id);
        let held = |id: &&Id| {
            leadership
                .follower(id)
                .map_or(0, |follower| follower.matched)
        };
        let most = others.max_by_key(held)?;
        (held(&most) >= self.commit).then(|| most.clone())
    }
}
