//! The log in memory: a snapshot, the entries after it and the members in force.

use std::rc::Rc;

use crate::entry::Entry;
use crate::entry::Payload;
use crate::id::Index;
use crate::id::Term;
use crate::members::Members;
use crate::message::Position;
use crate::storage::Snapshot;

/// The newest snapshot and the entries after it.
#[derive(Debug)]
pub struct Log {
    snapshot: Rc<Snapshot>,
    entries: Vec<Entry>,
    members: Members,
    members_index: Index,
}

impl Log {
    /// Creates a log that holds a snapshot and no entries.
    #[must_use]
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            members: snapshot.members.clone(),
            members_index: snapshot.index,
            snapshot: Rc::new(snapshot),
            entries: Vec::new(),
        }
    }

    /// Returns the snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Rc<Snapshot> {
        &self.snapshot
    }

    /// Returns the entries after the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the newest members, committed or not.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the index of the entry or snapshot that holds the newest members.
    #[must_use]
    pub const fn members_index(&self) -> Index {
        self.members_index
    }

    /// Returns the position of the newest entry, or of the snapshot if no entry follows it.
    #[must_use]
    pub fn last(&self) -> Position {
        let snapshot = Position {
            term: self.snapshot.term,
            index: self.snapshot.index,
        };
        self.entries.last().map_or(snapshot, |entry| Position {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the term of the entry at an index, if the log holds the entry or its snapshot ends
    /// there.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, if the log holds one after the snapshot.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `first` on whose sizes add up to at most `bytes`, but at least one
    /// entry if there is any.
    #[must_use]
    pub fn batch(&self, first: Index, bytes: usize) -> Vec<Entry> {
        let Some(skip) = first.checked_sub(self.snapshot.index + 1) else {
            return Vec::new();
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut room = bytes;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            if !batch.is_empty() && entry.size() > room {
                break;
            }
            room = room.saturating_sub(entry.size());
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the entries after the index `after`, up to and including the index `up_to`.
    #[must_use]
    pub fn range(&self, after: Index, up_to: Index) -> Vec<Entry> {
        let offset = |index: Index| {
            let offset = index.saturating_sub(self.snapshot.index);
            usize::try_from(offset).unwrap_or(usize::MAX)
        };
        let range = self.entries.get(offset(after)..offset(up_to));
        range.unwrap_or_default().to_vec()
    }

    /// Puts an entry at its index and drops the entries that were at this index and after.
    pub fn put(&mut self, entry: Entry) {
        self.truncate(entry.index);
        if let Payload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// Replaces the snapshot by a newer one and drops the entries that it covers.
    ///
    /// All entries are dropped if the log has no entry of the snapshot's term at its index, since
    /// the later ones then do not follow the snapshot.
    pub fn set_snapshot(&mut self, snapshot: Snapshot) {
        let continues = self.term_at(snapshot.index) == Some(snapshot.term);
        if continues {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Rc::new(snapshot);
        self.update_members();
    }

    /// Returns the members in force at an index that is not before the snapshot.
    #[must_use]
    pub fn members_at(&self, index: Index) -> &Members {
        let older = self.entries.iter().filter(|entry| entry.index <= index);
        older
            .rev()
            .find_map(members_of)
            .unwrap_or(&self.snapshot.members)
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        let keep = usize::try_from(keep).unwrap_or(usize::MAX);
        if keep >= self.entries.len() {
            return;
        }
        self.entries.truncate(keep);
        self.update_members();
    }

    fn update_members(&mut self) {
        let newest = self.entries.iter().rev();
        let mut changes = newest.filter(|entry| members_of(entry).is_some());
        let change = changes.next();
        self.members_index = change.map_or(self.snapshot.index, |entry| entry.index);
        self.members = change
            .and_then(members_of)
            .unwrap_or(&self.snapshot.members)
            .clone();
    }
}

fn members_of(entry: &Entry) -> Option<&Members> {
    match &entry.payload {
        Payload::Members(members) => Some(members),
        Payload::Empty | Payload::Command(_) => None,
    }
}
