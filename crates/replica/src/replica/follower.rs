//! The follower's side of replication: accepts entries and snapshots from the leader.

use crate::entry::Entry;
use crate::id::Id;
use crate::id::Index;
use crate::message::Append;
use crate::message::Body;
use crate::message::Install;
use crate::message::Position;
use crate::message::Progress;
use crate::replica::Replica;
use crate::replica::Role;
use crate::storage::Snapshot;

/// Largest size of a snapshot that a follower accepts, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 512 * 1024 * 1024;

/// A snapshot of which some chunks have not arrived yet.
#[derive(Debug)]
pub(super) struct Download {
    last: Position,
    total: u64,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn on_append(&mut self, from: Id, append: Append) {
        if matches!(self.role, Role::Leader(_)) {
            self.fail("another replica leads the same term");
            return;
        }
        self.follow_leader(from.clone());
        let round = append.round;
        self.leader_commit = append.commit;
        let progress = self.accept_append(append);
        if self.failure.is_none() {
            self.send(from, Body::Reply { round, progress });
        }
    }

    pub(super) fn on_install(&mut self, from: Id, install: Install) {
        if matches!(self.role, Role::Leader(_)) {
            self.fail("another replica leads the same term");
            return;
        }
        self.follow_leader(from.clone());
        let round = install.round;
        self.leader_commit = self.leader_commit.max(install.last.index);
        let progress = self.accept_chunk(install);
        self.send(from, Body::Reply { round, progress });
    }

    fn accept_append(&mut self, append: Append) -> Progress {
        if self.log.members().is_empty() {
            return Progress::NeedsSnapshot;
        }
        let previous = append.previous;
        if previous.index < self.log.snapshot().index {
            return Progress::Matched(self.commit);
        }
        if self.log.term_at(previous.index) != Some(previous.term) {
            return Progress::Mismatched(self.newest_possible_match(previous));
        }
        let end = previous.index + append.entries.len() as Index;
        let contiguous = (previous.index + 1..).zip(&append.entries);
        if contiguous.into_iter().any(|(at, one)| at != one.index) {
            return Progress::Mismatched(previous.index);
        }
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(append.commit.min(end));
        Progress::Matched(end)
    }

    fn accept_entry(&mut self, entry: Entry) {
        if self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.commit {
            self.fail("the leader sent an entry that differs from a committed one");
            return;
        }
        self.put(entry);
    }

    /// Returns the newest index at which this log may agree with the leader's.
    ///
    /// All entries of the differing term are skipped at once, but no committed entry.
    fn newest_possible_match(&self, previous: Position) -> Index {
        let last = self.log.last().index;
        if last < previous.index {
            return last;
        }
        let differing = self.log.term_at(previous.index);
        let mut index = previous.index.saturating_sub(1);
        while index > self.commit && self.log.term_at(index) == differing {
            index -= 1;
        }
        index
    }

    fn accept_chunk(&mut self, install: Install) -> Progress {
        let has_no_members = self.log.members().is_empty();
        if install.last.index <= self.commit && !has_no_members {
            return Progress::Matched(self.commit);
        }
        let index = install.last.index;
        let partial = self.partial_snapshot.take();
        let same = |one: &Download| one.last == install.last && one.total == install.total;
        let mut partial = partial.filter(same).unwrap_or(Download {
            last: install.last,
            total: install.total,
            data: Vec::new(),
        });
        let held = partial.data.len() as u64;
        let is_next = install.offset == held && install.total <= MAX_SNAPSHOT_BYTES;
        if is_next && held + install.chunk.len() as u64 <= install.total {
            partial.data.extend_from_slice(&install.chunk);
        }
        if partial.data.len() as u64 == install.total {
            self.install(Snapshot {
                index,
                term: install.last.term,
                members: install.members,
                data: partial.data,
            });
            return Progress::Matched(index);
        }
        let bytes = partial.data.len() as u64;
        self.partial_snapshot = Some(partial);
        Progress::Received { index, bytes }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.log.set_snapshot(snapshot);
        self.unsynced.replace = true;
        self.installed = index > 0;
        self.commit = index;
        self.delivered = index;
    }
}
