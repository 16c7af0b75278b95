//! Which hosts and upstreams there are, spread among hosts by push-pull gossip.
//!
//! [`Membership`] reads and writes the hosts, upstreams and withdrawals of a board. A program
//! sends what [`Membership::tick`] returns, answers with [`Membership::answer`] and hands answers
//! to [`Membership::handle_answer`]; the controller itself does no I/O.
//!
//! Pending is pushed at once to a few hosts, who push it on. What a push misses is found by regular
//! exchanges that compare hashes. Renewals of an announcement go only to the hosts that vouch for
//! it ([`assignment`]); a subject lapses for all once most of its watchers miss it.

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

/// Most addresses of hosts that are not known by name yet.
const MAX_CONTACTS: usize = 256;

/// Most pieces of news that wait to be pushed; beyond it exchanges spread the rest.
const MAX_PENDING_RECORDS: usize = 4_096;

/// Most renewals that wait for one watcher.
const MAX_PENDING_RENEWALS: usize = 256;

/// What became of an announcement of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It says something new, which is spread.
    New,
    /// It renews what is known.
    Renewal,
    /// It is older than what is known, or there is no room for it.
    Dropped,
}

/// A message with the address that it goes to.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Where it goes.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// The membership of one host.
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

/// What waits to be pushed.
#[derive(Debug, Default)]
struct Pending {
    records: BTreeSet<Key>,
    withdrawn: BTreeSet<Digest>,
    pushed_revision: Revision,
}

impl Membership {
    /// Creates the membership of a host and puts the host on the board.
    ///
    /// What was heard longer than `window` ago does not count as heard.
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

    /// Returns what this host says about itself.
    #[must_use]
    pub const fn own(&self) -> &host::Announcement {
        &self.own
    }

    /// Returns how many hosts and upstreams this host vouches for.
    #[must_use]
    pub fn watched_count(&self) -> usize {
        self.watches.count()
    }

    /// Returns the observations of this host.
    #[must_use]
    pub const fn reachability(&self) -> &Reachability {
        &self.reachability
    }

    /// Returns the addresses where other hosts may be found.
    #[must_use]
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let others = self.contacts.iter().filter(|one| **one != self.own.peers);
        others.copied().collect()
    }

    /// Returns whether there is news to push.
    #[must_use]
    pub fn has_news(&self, board: &Board) -> bool {
        !self.pending.records.is_empty()
            || !self.pending.withdrawn.is_empty()
            || self.pending.pushed_revision < board.config().revision()
    }

    /// Returns the hash of all records on the board.
    pub fn root(&mut self, board: &Board) -> u64 {
        self.refresh(board);
        self.view.root()
    }

    /// Returns whether this host hears neither control nor more than half of the fleet.
    ///
    /// A host that knows no other is the whole fleet and never isolated.
    pub fn is_isolated(&mut self, board: &Board) -> bool {
        let now = board.now();
        self.reachability.refresh(board);
        !self.reachability.has_recent_control(now) && !self.reachability.has_recent_majority(now)
    }

    /// Notes that control answered a call that was made at `sent`.
    pub fn record_control_contact(&mut self, sent: Instant) {
        self.reachability.record_control_contact(sent);
    }

    /// Adds addresses where other hosts may be found.
    pub fn add_contacts<I: IntoIterator<Item = SocketAddr>>(&mut self, contacts: I) {
        for contact in contacts {
            if self.contacts.len() < MAX_CONTACTS {
                self.contacts.insert(contact);
            }
        }
    }

    /// Tells the fleet that this host is stopping.
    pub fn stop(&mut self, board: &mut Board) {
        self.own.stopping = true;
        self.reannounce(board);
    }

    /// Takes in a withdrawal from an operator and returns whether the key is withdrawn now.
    pub fn withdraw(&mut self, board: &mut Board, digest: Digest) -> bool {
        self.apply_withdrawal(board, digest);
        board.is_withdrawn(&digest)
    }

    /// Takes in an announcement that an upstream sent to this host.
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

    /// Passes a renewal on to the watchers of its subject.
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

    /// Writes a record to the board and spreads it if it is news.
    fn put_record(&mut self, board: &mut Board, record: Record) -> bool {
        let key = record.key();
        let lapsed = record.lapsed;
        let news = match record.subject {
            Subject::Host(host) if host.id == self.own.id => {
                self.refute(board, &host, lapsed);
                return false;
            }
            Subject::Host(host) => board.put_host(host, lapsed),
            Subject::Upstream(upstream) => board.put_upstream(upstream, lapsed),
        };
        if news && self.pending.records.len() < MAX_PENDING_RECORDS {
            self.pending.records.insert(key);
        }
        news
    }

    /// Overrides what others say about this host unless it is what this host says.
    fn refute(&mut self, board: &mut Board, said: &host::Announcement, lapsed: bool) {
        let own = (self.own.incarnation, self.own.sequence);
        let theirs = (said.incarnation, said.sequence);
        if theirs < own || (theirs == own && !lapsed) {
            return;
        }
        self.own.incarnation = said.incarnation;
        self.own.sequence = said.sequence;
        self.reannounce(board);
    }

    fn reannounce(&mut self, board: &mut Board) {
        self.own.sequence += 1;
        board.put_host(self.own.clone(), false);
        self.pending.records.insert(host_key(&self.own.id));
    }

    fn apply_withdrawal(&mut self, board: &mut Board, digest: Digest) {
        if board.withdraw(digest) {
            let text = "The key was withdrawn by word of an operator or of another host.";
            board.record("keys", &digest.short(), text.to_owned());
            self.pending.withdrawn.insert(digest);
        }
    }

    /// Brings what is derived from the board up to date.
    fn refresh(&mut self, board: &Board) {
        self.reachability.refresh(board);
        let assignments = self.assignment.refresh(board);
        let records = self.view.refresh(board);
        if assignments || records {
            self.update_watches(board);
        }
    }

    /// Takes up and gives up watches as assignments change.
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

/// Returns whether silence of a subject would say anything.
fn is_watchable(board: &Board, identity: &Identity) -> bool {
    match identity {
        Identity::Host(id) => board.hosts().get(id).is_some_and(host::Host::is_live),
        Identity::Upstream(service, id) => board
            .upstream(service, id)
            .is_some_and(|upstream| !upstream.is_gone()),
    }
}
