//! Interface to the durable storage of a replica, and what is stored.

use std::fmt;
use std::io;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::id::Id;
use crate::id::Index;
use crate::id::Term;
use crate::members::Members;

/// Hard state of Raft: what a replica must have synced before it answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Hard {
    /// Newest term that the replica knows.
    pub term: Term,
    /// Replica that got this one's vote in that term, if any.
    pub vote: Option<Id>,
}

/// One record of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Replaces the hard state.
    Hard(Hard),
    /// Puts an entry at its index and drops all entries at and after that index.
    Entry(Entry),
}

/// The state of the application at an index of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members in force at that entry.
    pub members: Members,
    /// State of the application; empty at index 0.
    pub data: Vec<u8>,
}

/// What a storage holds when it is opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contents {
    /// Identity of the replica that the storage belongs to.
    pub id: Id,
    /// Newest snapshot.
    pub snapshot: Snapshot,
    /// Records since the journal was last replaced, in order.
    pub records: Vec<Record>,
}

/// Durable storage of one snapshot and a journal of records.
pub trait Storage: fmt::Debug {
    /// Appends records and returns once they are synced together.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be written or synced; the replica then stops.
    fn write(&mut self, records: &[Record]) -> io::Result<()>;

    /// Replaces the snapshot, then the journal, and returns once both are synced.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be written or synced; the replica then stops.
    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()>;
}
