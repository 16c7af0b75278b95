//! A replica of the log as a state machine without input and output of its own.
//!
//! A program calls [`Replica::tick`] as time passes, [`Replica::receive`] for each message and
//! [`Replica::propose`] for each command, then [`Replica::flush`]. A flush first syncs all changes
//! and only then returns the messages that depend on them. All calls between two flushes share one
//! sync.

mod bootstrap;
mod election;
mod follower;
mod leader;
mod member_change;
mod repair;
mod status;
mod transfer;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::error;
use log::warn;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::id::HostId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::entry::Entry;
use crate::entry::Payload;
use crate::id::Id;
use crate::id::Index;
use crate::id::Round;
use crate::id::Term;
use crate::log::Log;
use crate::message::Append;
use crate::message::Body;
use crate::message::Install;
use crate::message::Message;
use crate::message::Progress;
use crate::replica::bootstrap::Request;
use crate::replica::follower::Download;
use crate::replica::leader::Leadership;
pub use crate::replica::status::Peer;
pub use crate::replica::status::Status;
use crate::settings::Settings;
use crate::storage::Contents;
use crate::storage::Hard;
use crate::storage::Record;
use crate::storage::Snapshot;
use crate::storage::Storage;

/// Messages and changes of the application's state that a flush returns.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send, in order.
    pub messages: Vec<Message>,
    /// Snapshot that replaces the state of the application, if one was installed.
    pub installed: Option<Rc<Snapshot>>,
    /// Newly committed entries to apply after the snapshot, in order.
    pub committed: Vec<Entry>,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    id: Id,
    settings: Settings,
    clock: Rc<dyn Clock>,
    rng: ChaCha8Rng,
    storage: Box<dyn Storage>,
    hard: Hard,
    log: Log,
    /// Index up to which entries are synced.
    synced: Index,
    commit: Index,
    /// Index up to which committed entries were returned by a flush.
    delivered: Index,
    role: Role,
    leader: Option<Id>,
    last_leader_message: Option<Instant>,
    /// Index that the newest message of a leader says is committed.
    leader_commit: Index,
    lease_granted_until: Option<Instant>,
    /// When the next pre-vote starts if no leader is heard until then.
    deadline: Instant,
    join_due: Instant,
    partial_snapshot: Option<Download>,
    /// Peers with empty disks that answered a join request of this replica.
    empty_peers: BTreeMap<HostId, Request>,
    /// Newest join request of each host, kept until the replica stops.
    join_requests: BTreeMap<HostId, Request>,
    /// Hosts to ask to join beside the configured peers.
    contacts: BTreeSet<HostId>,
    removed: bool,
    unsynced: Unsynced,
    outbox: Vec<Message>,
    installed: bool,
    failure: Option<String>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks for pre-votes; holds the replicas that granted one.
    PreCandidate(Vec<Id>),
    /// Asks for votes; holds the replicas that granted one.
    Candidate(Vec<Id>),
    Leader(Leadership),
}

/// Changes since the last flush.
#[derive(Debug, Default)]
struct Unsynced {
    records: Vec<Record>,
    /// Whether the snapshot changed, so that snapshot and journal are replaced.
    replace: bool,
}

impl Replica {
    /// Creates a replica from the contents of its storage.
    ///
    /// # Errors
    ///
    /// Returns an error when the journal lacks an entry after the snapshot and before another one.
    pub fn new(
        settings: Settings,
        contents: Contents,
        storage: Box<dyn Storage>,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let now = clock.now();
        let installed = contents.snapshot.index > 0;
        let (hard, log) = rebuild(contents.snapshot, contents.records)?;
        let start = log.snapshot().index;
        let mut replica = Self {
            id: contents.id,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            clock,
            storage,
            hard,
            synced: log.last().index,
            log,
            commit: start,
            delivered: start,
            role: Role::Follower,
            leader: None,
            last_leader_message: None,
            leader_commit: 0,
            lease_granted_until: None,
            deadline: now,
            join_due: now,
            partial_snapshot: None,
            empty_peers: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            contacts: BTreeSet::new(),
            removed: false,
            unsynced: Unsynced::default(),
            outbox: Vec::new(),
            installed,
            failure: None,
        };
        replica.withhold_votes_after_restart(now);
        Ok(replica)
    }

    /// Returns the identity of the replica.
    #[must_use]
    pub const fn id(&self) -> &Id {
        &self.id
    }

    /// Returns the address at which other replicas reach this one.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.settings.address
    }

    /// Returns the newest term that the replica knows.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the index up to which entries are committed.
    #[must_use]
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the address of the leader, if the replica knows one; a leader returns its own.
    #[must_use]
    pub fn leader_address(&self) -> Option<&str> {
        let leader = self.leader.as_ref()?;
        let member = self.log.members().get(leader)?;
        Some(&member.address)
    }

    /// Returns when the replica last received a message of a leader.
    ///
    /// On a leader, returns the send time of the newest message that a quorum acknowledged.
    #[must_use]
    pub fn leader_last_contact(&self) -> Option<Instant> {
        if self.failure.is_some() {
            return None;
        }
        match &self.role {
            Role::Leader(leadership) => leadership.quorum_contact(),
            _ => self.last_leader_message,
        }
    }

    /// Returns whether the replica heard the leader within `age` and has delivered all entries that
    /// the leader's newest message says are committed, among them one of the leader's term: before that,
    /// a leader may not know of all committed entries.
    ///
    /// A leader is current if a quorum answered within `age` and the entries of earlier terms are
    /// delivered.
    #[must_use]
    pub fn is_current(&self, age: Duration) -> bool {
        if self.failure.is_some() {
            return false;
        }
        let now = self.clock.now();
        let is_recent = self
            .leader_last_contact()
            .is_some_and(|heard| now < heard + age);
        match &self.role {
            Role::Leader(leadership) => is_recent && self.delivered >= leadership.opening_index(),
            _ => {
                let commit_term = self.log.term_at(self.leader_commit);
                is_recent
                    && self.delivered >= self.leader_commit
                    && commit_term == Some(self.term())
            }
        }
    }

    /// Returns the reason for which the replica stopped, if it did.
    #[must_use]
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Returns whether another member told this replica that it was removed.
    #[must_use]
    pub const fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns whether the replica is the leader, holds the lease and has delivered all entries of
    /// earlier terms.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => {
                self.delivered >= leadership.opening_index() && self.holds_lease(leadership)
            }
            _ => false,
        }
    }

    /// Does what is due by the clock: join requests, heartbeats, elections.
    pub fn tick(&mut self) {
        if self.failure.is_some() {
            return;
        }
        let now = self.clock.now();
        if self.log.members().is_empty() {
            self.seek_members(now);
        } else if matches!(self.role, Role::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.deadline {
            self.start_pre_vote(now);
        }
    }

    /// Processes a message; a message for another identity is dropped.
    pub fn receive(&mut self, message: Message) {
        let is_for_other_storage = message.storage.is_some_and(|one| one != self.id.storage);
        if self.failure.is_some() || message.to != self.id.host || is_for_other_storage {
            return;
        }
        if !message.is_plausible() {
            warn!("replica: dropped a message of {:?}", message.from);
            return;
        }
        match message.body {
            Body::Join { address } => self.on_join(message.from, message.storage, address),
            Body::Bootstrap(members) => self.on_bootstrap(members),
            Body::Contacts(contacts) => self.on_contacts(contacts),
            Body::Removed => self.removed = true,
            Body::PreVote(last) => self.on_pre_vote(&message.from, message.term, last),
            Body::Vote(last) => self.on_vote(message.from, message.term, last),
            Body::TransferVote(last) => self.on_transfer_vote(message.from, message.term, last),
            body => self.receive_in_term(message.from, message.term, body),
        }
    }

    /// Proposes a command and returns the term and index of its entry, which is not committed yet,
    /// or `None` when the replica is not a leader with a lease.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<(Term, Index)> {
        if self.failure.is_some() || !self.leads_with_lease() {
            return None;
        }
        let index = self.append(Payload::Command(command));
        Some((self.hard.term, index))
    }

    /// Replaces the log up to `index` by a snapshot of the application's state.
    ///
    /// Does nothing unless `index` was delivered and is after the present snapshot.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index > self.delivered || index <= self.log.snapshot().index {
            return;
        }
        let members = self.log.members_at(index).clone();
        self.log.set_snapshot(Snapshot {
            index,
            term,
            members,
            data,
        });
        self.unsynced.replace = true;
    }

    /// Makes the replica take no more part in the log: its application cannot apply what was committed.
    pub fn stop(&mut self, reason: &str) {
        if self.failure.is_none() {
            self.fail(reason);
        }
    }

    /// Syncs all changes and returns the messages and entries that may go out after that.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage failed, now or earlier. The replica then does nothing
    /// more: a disk that refused a sync cannot be trusted with the next.
    pub fn flush(&mut self) -> io::Result<Output> {
        self.sync()?;
        self.replicate();
        let committed = self.log.range(self.delivered, self.commit);
        self.delivered = self.commit;
        let installed = std::mem::take(&mut self.installed);
        Ok(Output {
            messages: std::mem::take(&mut self.outbox),
            installed: installed.then(|| Rc::clone(self.log.snapshot())),
            committed,
        })
    }

    fn receive_in_term(&mut self, from: Id, term: Term, body: Body) {
        if term > self.hard.term {
            self.enter_term(term);
        }
        let is_current = term == self.hard.term;
        match body {
            Body::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            Body::TransferLeadership if is_current => self.on_transfer_leadership(&from),
            Body::VoteReply { granted } if is_current => self.on_vote_reply(from, granted),
            Body::Append(append) if is_current => self.on_append(from, append),
            Body::Install(install) if is_current => self.on_install(from, install),
            Body::Reply { round, progress } if is_current => self.on_reply(&from, round, progress),
            Body::Append(Append { round, .. }) | Body::Install(Install { round, .. }) => {
                self.reject_old_term(from, round);
            }
            _ => {}
        }
    }

    /// Answers a leader of an older term, so that the leader learns of the newer term and steps
    /// down.
    ///
    /// No other message from this replica may reach that leader.
    fn reject_old_term(&mut self, from: Id, round: Round) {
        let progress = Progress::Mismatched(self.commit);
        self.send(from, Body::Reply { round, progress });
    }

    fn enter_term(&mut self, term: Term) {
        self.set_hard(Hard { term, vote: None });
        self.follow(None);
    }

    fn follow(&mut self, leader: Option<Id>) {
        self.role = Role::Follower;
        self.leader = leader;
    }

    fn set_hard(&mut self, hard: Hard) {
        self.hard = hard.clone();
        self.unsynced.records.push(Record::Hard(hard));
    }

    fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index + 1;
        self.put(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        index
    }

    fn put(&mut self, entry: Entry) {
        self.unsynced.records.push(Record::Entry(entry.clone()));
        self.log.put(entry);
    }

    fn send(&mut self, to: Id, body: Body) {
        self.outbox.push(Message {
            from: self.id.clone(),
            to: to.host,
            storage: Some(to.storage),
            term: self.hard.term,
            body,
        });
    }

    fn sync(&mut self) -> io::Result<()> {
        if let Some(failure) = &self.failure {
            return Err(io::Error::other(failure.clone()));
        }
        let unsynced = std::mem::take(&mut self.unsynced);
        let result = if unsynced.replace {
            self.storage.replace(self.log.snapshot(), &self.records())
        } else if unsynced.records.is_empty() {
            Ok(())
        } else {
            self.storage.write(&unsynced.records)
        };
        if let Err(error) = &result {
            self.fail(&format!("the storage failed: {error}"));
        }
        self.synced = self.log.last().index;
        result
    }

    fn records(&self) -> Vec<Record> {
        let entries = self.log.entries().iter().cloned().map(Record::Entry);
        std::iter::once(Record::Hard(self.hard.clone()))
            .chain(entries)
            .collect()
    }

    fn fail(&mut self, reason: &str) {
        error!("replica: stops: {reason}");
        self.failure = Some(reason.to_owned());
        self.outbox.clear();
        self.follow(None);
    }
}

fn rebuild(snapshot: Snapshot, records: Vec<Record>) -> io::Result<(Hard, Log)> {
    let mut hard = Hard::default();
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        match record {
            Record::Hard(newer) => hard = newer,
            Record::Entry(entry) => {
                while entries.last().is_some_and(|last| last.index >= entry.index) {
                    entries.pop();
                }
                entries.push(entry);
            }
        }
    }
    let start = snapshot.index;
    let differs = |entry: &Entry| entry.index == start && entry.term != snapshot.term;
    if entries.iter().any(differs) {
        entries.clear();
    }
    let mut log = Log::new(snapshot);
    for entry in entries.into_iter().filter(|entry| entry.index > start) {
        if entry.index != log.last().index + 1 {
            return Err(io::Error::other(format!(
                "the journal lacks entry {}",
                log.last().index + 1
            )));
        }
        log.put(entry);
    }
    Ok((hard, log))
}
