//! Push-pull gossip that keeps the list of hosts and upstreams equal on all hosts.
//!
//! [`Membership`] reads and writes the hosts, upstreams and withdrawn keys of a [`Board`]. It does
//! no I/O: a program sends the messages that [`Membership::tick`] returns, answers a received
//! message with [`Membership::answer`] and passes received answers to
//! [`Membership::handle_answer`].
//!
//! The subject of a record is the host or upstream that announced itself. A changed record is
//! pushed at once to a few hosts, which push it on. Regular exchanges that compare hashes find what
//! a push missed. A renewal changes no record, so it goes only to the hosts that watch its subject
//! ([`assignment`]). A subject lapses on all hosts once more than half of its watchers report it
//! overdue.

pub mod assignment;
pub mod budget;
mod exchange;
pub mod message;
pub mod reachability;
pub mod schedule;
pub mod view;
pub mod watch;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::board::Board;
use crate::host;
use crate::id::HostId;
use crate::id::Revision;
use crate::key::Digest;
use crate::membership::assignment::Assignment;
use crate::membership::budget::Budget;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Message;
use crate::membership::message::Record;
use crate::membership::message::Subject;
use crate::membership::message::Version;
use crate::membership::message::host_key;
use crate::membership::message::upstream_key;
use crate::membership::reachability::Reachability;
use crate::membership::view::Identity;
use crate::membership::view::View;
use crate::membership::watch::Watches;
use crate::upstream;

/// Upper bound on the contact addresses of hosts.
const MAX_CONTACTS: usize = 256;

/// Upper bound on the changed records that wait to be pushed; exchanges spread those beyond it.
const MAX_PENDING_RECORDS: usize = 4_096;

/// Upper bound on the renewals that wait for one watcher.
const MAX_PENDING_RENEWALS: usize = 256;

/// The outcome of an announcement of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record changed and is spread to other hosts.
    New,
    /// The announcement renews the record without a change.
    Renewal,
    /// The announcement is older than the record, or the board is full.
    Dropped,
}

/// A message with the address of its receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// The gossip state of one host.
#[derive(Debug)]
pub struct Membership {
    own: host::Announcement,
    contacts: BTreeSet<SocketAddr>,
    view: View,
    assignment: Assignment,
    watches: Watches,
    reachability: Reachability,
    budget: Budget,
    rng: ChaCha8Rng,
    pending: Pending,
    renewals: BTreeMap<HostId, BTreeMap<Key, Version>>,
    schedule: schedule::Schedule,
    suspects_own_fault: bool,
}

/// Changes that wait to be pushed to other hosts.
#[derive(Debug, Default)]
struct Pending {
    records: BTreeSet<Key>,
    withdrawn: BTreeSet<Digest>,
    pushed_revision: Revision,
}

impl Membership {
    /// Creates the membership of a host and puts the host on the board.
    ///
    /// Hosts and control count as reachable for `window` after the last contact.
    #[must_use]
    pub fn new(
        board: &mut Board,
        own: host::Announcement,
        contacts: &[SocketAddr],
        window: Duration,
        seed: u64,
    ) -> Self {
        let now = board.now();
        board.announce_host(own.clone());
        Self {
            contacts: contacts.iter().copied().collect(),
            view: View::default(),
            assignment: Assignment::default(),
            watches: Watches::default(),
            reachability: Reachability::new(host_key(&own.id), window),
            budget: Budget::new(now),
            rng: ChaCha8Rng::seed_from_u64(seed),
            pending: Pending::default(),
            renewals: BTreeMap::new(),
            schedule: schedule::Schedule::new(now),
            suspects_own_fault: false,
            own,
        }
    }

    /// Returns the announcement of this host.
    #[must_use]
    pub const fn own(&self) -> &host::Announcement {
        &self.own
    }

    /// Returns how many hosts and upstreams this host watches.
    #[must_use]
    pub fn watched_count(&self) -> usize {
        self.watches.count()
    }

    /// Returns which hosts were reached lately.
    #[must_use]
    pub const fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Returns the addresses at which other hosts may be reached.
    #[must_use]
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let others = self.contacts.iter().filter(|one| **one != self.own.peers);
        others.copied().collect()
    }

    /// Returns whether changes wait to be pushed.
    #[must_use]
    pub fn has_pending(&self, board: &Board) -> bool {
        !self.pending.records.is_empty()
            || !self.pending.withdrawn.is_empty()
            || self.pending.pushed_revision < board.config().revision()
    }

    /// Returns the hash of all records on the board.
    pub fn root(&mut self, board: &Board) -> u64 {
        self.refresh(board);
        self.view.root()
    }

    /// Returns whether this host reaches neither control nor more than half of the fleet.
    ///
    /// A host that knows no other host makes up the whole fleet and is never isolated.
    pub fn is_isolated(&mut self, board: &Board) -> bool {
        let now = board.now();
        self.reachability.refresh(board);
        !self.reachability.has_recent_control(now) && !self.reachability.has_recent_majority(now)
    }

    /// Records that control answered a call that was sent at `sent`.
    pub fn record_control_contact(&mut self, sent: Instant) {
        self.reachability.record_control_contact(sent);
    }

    /// Adds addresses at which other hosts may be reached.
    pub fn add_contacts<I: IntoIterator<Item = SocketAddr>>(&mut self, contacts: I) {
        for contact in contacts {
            if self.contacts.len() < MAX_CONTACTS {
                self.contacts.insert(contact);
            }
        }
    }

    /// Announces to the fleet that this host is stopping.
    pub fn stop(&mut self, board: &mut Board) {
        self.own.stopping = true;
        self.reannounce(board);
    }

    /// Applies a withdrawal by an operator and returns whether the key is withdrawn now.
    pub fn withdraw(&mut self, board: &mut Board, digest: Digest) -> bool {
        self.apply_withdrawal(board, digest);
        board.is_withdrawn(&digest)
    }

    /// Applies an announcement that an upstream sent to this host.
    pub fn announce(&mut self, board: &mut Board, announcement: upstream::Announcement) -> Outcome {
        let key = upstream_key(&announcement.service, &announcement.id);
        let version = Version {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            lapsed: false,
        };
        let known = board.upstream(&announcement.service, &announcement.id);
        if known.is_some_and(|known| !known.lapsed && announcement.renews(&known.announcement)) {
            board.touch_upstream(&announcement.service, &announcement.id);
            self.renew(board, Mark { key, version });
            return Outcome::Renewal;
        }
        let subject = Subject::Upstream(announcement);
        let record = Record {
            subject,
            lapsed: false,
        };
        if self.put_record(board, record) {
            return Outcome::New;
        }
        Outcome::Dropped
    }

    /// Queues a renewal for the watchers of its subject.
    fn renew(&mut self, board: &Board, mark: Mark) {
        self.refresh(board);
        let now = board.now();
        for watcher in self.assignment.watchers(mark.key) {
            if watcher == self.own.id {
                self.watches.renew(mark, now);
                continue;
            }
            let waiting = self.renewals.entry(watcher).or_default();
            if waiting.len() < MAX_PENDING_RENEWALS {
                waiting.insert(mark.key, mark.version);
            }
        }
    }

    /// Writes a record to the board, queues it to be pushed if it changed, and returns whether it
    /// did.
    fn put_record(&mut self, board: &mut Board, record: Record) -> bool {
        let key = record.key();
        let lapsed = record.lapsed;
        let changed = match record.subject {
            Subject::Host(host) if host.id == self.own.id => {
                self.refute(board, &host, lapsed);
                return false;
            }
            Subject::Host(host) => board.put_host(host, lapsed),
            Subject::Upstream(upstream) => board.put_upstream(upstream, lapsed),
        };
        if changed && self.pending.records.len() < MAX_PENDING_RECORDS {
            self.pending.records.insert(key);
        }
        changed
    }

    /// Announces this host again if a received record about this host is newer than its own
    /// announcement, or equally new and lapsed.
    fn refute(&mut self, board: &mut Board, received: &host::Announcement, lapsed: bool) {
        let own = (self.own.incarnation, self.own.sequence);
        let theirs = (received.incarnation, received.sequence);
        if theirs < own || (theirs == own && !lapsed) {
            return;
        }
        self.own.incarnation = received.incarnation;
        self.own.sequence = received.sequence;
        self.reannounce(board);
    }

    fn reannounce(&mut self, board: &mut Board) {
        if let Some(next) = self.own.sequence.checked_add(1) {
            self.own.sequence = next;
        } else {
            self.own.incarnation = self.own.incarnation.saturating_add(1);
            self.own.sequence = 0;
        }
        board.put_host(self.own.clone(), false);
        self.pending.records.insert(host_key(&self.own.id));
    }

    fn apply_withdrawal(&mut self, board: &mut Board, digest: Digest) {
        if board.withdraw(digest) {
            let text = "The key was withdrawn by an operator or through another host.";
            board.record("keys", &digest.short(), text.to_owned());
            self.pending.withdrawn.insert(digest);
        }
    }

    /// Updates the state that is derived from the board.
    fn refresh(&mut self, board: &Board) {
        self.reachability.refresh(board);
        let hosts_changed = self.assignment.refresh(board);
        let records_changed = self.view.refresh(board);
        if hosts_changed || records_changed {
            self.update_watches(board);
        }
    }

    /// Starts and stops watches according to the current assignment.
    fn update_watches(&mut self, board: &Board) {
        let now = board.now();
        let mut kept = BTreeSet::new();
        for (key, identity) in self.view.identities() {
            if !is_watchable(board, identity)
                || !self.assignment.watchers(key).contains(&self.own.id)
            {
                continue;
            }
            if let Some(version) = self.view.version(board, key) {
                self.watches.watch(key, identity, version, now);
                kept.insert(key);
            }
        }
        self.watches.retain(|key| kept.contains(&key));
    }
}

/// Returns whether a subject is expected to renew its announcement.
fn is_watchable(board: &Board, identity: &Identity) -> bool {
    match identity {
        Identity::Host(id) => board.hosts().get(id).is_some_and(host::Host::is_live),
        Identity::Upstream(service, id) => board
            .upstream(service, id)
            .is_some_and(|upstream| !upstream.is_gone()),
    }
}
