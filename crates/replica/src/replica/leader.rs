//! The leader's side of replication: sends entries, advances the commit index and keeps the lease.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Id;
use crate::id::Index;
use crate::id::Round;
use crate::message::Append;
use crate::message::Body;
use crate::message::Install;
use crate::message::Position;
use crate::message::Progress;
use crate::replica::Replica;
use crate::replica::Role;

/// State of a leader during its term.
#[derive(Debug)]
pub(super) struct Leadership {
    started: Instant,
    opening_index: Index,
    heartbeat_due: Instant,
    quorum_contact: Option<Instant>,
    followers: BTreeMap<Id, Follower>,
}

/// Replication state of another member, as the leader knows it.
#[derive(Debug, Clone)]
pub(super) struct Follower {
    /// Index of the next entry to send.
    next: Index,
    /// Index up to which the member's log is known to agree with the leader's.
    pub(super) matched: Index,
    /// Send time of the newest message that the member acknowledged.
    pub(super) acknowledged: Option<Instant>,
    /// Whether a message was sent since the newest acknowledgement.
    in_flight: bool,
    /// Offset of the next chunk, while the member needs the snapshot.
    chunk_offset: Option<u64>,
}

impl Leadership {
    pub(super) const fn new(now: Instant, last: Index) -> Self {
        Self {
            started: now,
            opening_index: last + 1,
            heartbeat_due: now,
            quorum_contact: None,
            followers: BTreeMap::new(),
        }
    }

    /// Returns when this replica became the leader.
    pub(super) const fn started(&self) -> Instant {
        self.started
    }

    /// Returns the index of the empty entry that the leader appended when its term began.
    pub(super) const fn opening_index(&self) -> Index {
        self.opening_index
    }

    /// Returns the latest time for which a quorum acknowledged messages sent then or later.
    pub(super) const fn quorum_contact(&self) -> Option<Instant> {
        self.quorum_contact
    }

    pub(super) fn follower(&self, id: &Id) -> Option<&Follower> {
        self.followers.get(id)
    }

    /// Returns the number of a message: the microseconds since the start of the term, by the
    /// leader's clock.
    fn round(&self, now: Instant) -> Round {
        let elapsed = now.duration_since(self.started);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns when the message with this number was sent, unless that is after `now`.
    fn sent_at(&self, round: Round, now: Instant) -> Option<Instant> {
        let sent = self.started.checked_add(Duration::from_micros(round))?;
        (sent <= now).then_some(sent)
    }
}

impl Replica {
    pub(super) fn holds_lease(&self, leadership: &Leadership) -> bool {
        let limits = &self.settings.limits;
        let usable = limits.lease.saturating_sub(limits.max_clock_drift);
        let now = self.clock.now();
        leadership
            .quorum_contact
            .is_some_and(|sent| now < sent + usable)
    }

    pub(super) fn leads_with_lease(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => self.holds_lease(leadership),
            _ => false,
        }
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        let election = self.settings.limits.election_timeout;
        let heartbeat = self.settings.limits.heartbeat_interval;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let heard = leadership.quorum_contact.unwrap_or(leadership.started);
        if now >= heard + election {
            log::warn!("replica: steps down, since no quorum answers");
            self.follow(None);
            self.reset_deadline(now);
            return;
        }
        if now < leadership.heartbeat_due {
            return;
        }
        leadership.heartbeat_due = now + heartbeat;
        for id in self.other_members() {
            self.send_entries(id);
        }
    }

    /// Advances the commit index to newly synced entries and sends followers the entries they lack.
    pub(super) fn replicate(&mut self) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.advance_commit();
        let last = self.log.last().index;
        for id in self.other_members() {
            let follower = self.follower_mut(&id);
            if follower.is_some_and(|one| !one.in_flight && one.next <= last) {
                self.send_entries(id);
            }
        }
    }

    pub(super) fn on_reply(&mut self, from: &Id, round: Round, progress: Progress) {
        let now = self.clock.now();
        let last = self.log.last().index;
        let snapshot = self.log.snapshot().index;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(sent) = leadership.sent_at(round, now) else {
            return;
        };
        let Some(follower) = leadership.followers.get_mut(from) else {
            return;
        };
        follower.acknowledged = follower.acknowledged.max(Some(sent));
        follower.in_flight = false;
        match progress {
            Progress::Matched(index) => follower.match_up_to(index.min(last)),
            Progress::Mismatched(index) => follower.step_back(index),
            Progress::NeedsSnapshot => follower.chunk_offset = follower.chunk_offset.or(Some(0)),
            Progress::Received { index, bytes } => {
                follower.chunk_offset = Some(if index == snapshot { bytes } else { 0 });
            }
        }
        self.advance_commit();
        let lacks = |one: &mut Follower| one.chunk_offset.is_some() || one.next <= last;
        if self
            .follower_mut(from)
            .is_some_and(|one| !one.in_flight && lacks(one))
        {
            self.send_entries(from.clone());
        }
    }

    /// Renews the lease and the commit index from the acknowledgements of a quorum.
    ///
    /// Only an entry of the present term is committed by counting; it commits all entries before.
    fn advance_commit(&mut self) {
        let now = self.clock.now();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let members = self.log.members();
        let own = &self.id;
        let heard = members.reached_by_quorum(|id| {
            let follower = leadership.followers.get(id);
            if id == own {
                Some(now)
            } else {
                follower.and_then(|one| one.acknowledged)
            }
        });
        leadership.quorum_contact = leadership.quorum_contact.max(heard.flatten());
        let synced = self.synced;
        let held = members.reached_by_quorum(|id| {
            let follower = leadership.followers.get(id);
            if id == own {
                synced
            } else {
                follower.map_or(0, |one| one.matched)
            }
        });
        let held = held.unwrap_or(0);
        if held > self.commit && self.log.term_at(held) == Some(self.hard.term) {
            self.commit = held;
            self.announce_commit();
            self.step_down_if_removed();
        }
    }

    fn step_down_if_removed(&mut self) {
        let change_committed = self.log.members_index() <= self.commit;
        if change_committed && !self.log.members().is_voter(&self.id) {
            self.follow(None);
        }
    }

    /// Sends the new commit index to followers without a message in flight, instead of with the
    /// next heartbeat.
    fn announce_commit(&mut self) {
        for id in self.other_members() {
            if self.follower_mut(&id).is_some_and(|one| !one.in_flight) {
                self.send_entries(id);
            }
        }
    }

    fn send_entries(&mut self, to: Id) {
        let now = self.clock.now();
        let snapshot = self.log.snapshot().index;
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let round = leadership.round(now);
        let Some(follower) = self.follower_mut(&to) else {
            return;
        };
        follower.in_flight = true;
        if follower.next <= snapshot && follower.chunk_offset.is_none() {
            follower.chunk_offset = Some(0);
        }
        let body = match follower.chunk_offset {
            Some(offset) => Body::Install(self.snapshot_chunk(round, offset)),
            None => {
                let next = follower.next;
                Body::Append(self.append_from(round, next))
            }
        };
        self.send(to, body);
    }

    fn append_from(&self, round: Round, next: Index) -> Append {
        let index = next - 1;
        Append {
            round,
            previous: Position {
                term: self.log.term_at(index).unwrap_or_default(),
                index,
            },
            entries: self.log.batch(next, self.settings.limits.batch_bytes),
            commit: self.commit,
        }
    }

    fn snapshot_chunk(&self, round: Round, offset: u64) -> Install {
        let snapshot = self.log.snapshot();
        let length = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(length).min(length);
        let end = length.min(start + self.settings.limits.chunk_bytes);
        Install {
            round,
            last: Position {
                term: snapshot.term,
                index: snapshot.index,
            },
            members: snapshot.members.clone(),
            total: length as u64,
            offset: start as u64,
            chunk: snapshot.data[start..end].to_vec(),
        }
    }

    fn other_members(&self) -> Vec<Id> {
        let members = self.log.members().list().iter();
        let ids = members.map(|member| &member.id);
        ids.filter(|id| *id != &self.id).cloned().collect()
    }

    fn follower_mut(&mut self, id: &Id) -> Option<&mut Follower> {
        let next = self.log.last().index + 1;
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        let follower = leadership.followers.entry(id.clone());
        Some(follower.or_insert(Follower {
            next,
            matched: 0,
            acknowledged: None,
            in_flight: false,
            chunk_offset: None,
        }))
    }
}

impl Follower {
    fn match_up_to(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.matched + 1;
        self.chunk_offset = None;
    }

    fn step_back(&mut self, index: Index) {
        self.next = self.next.min(index + 1).max(self.matched + 1);
    }
}
