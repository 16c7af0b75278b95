//! Entries of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::Term;
use crate::members::Members;

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends such an entry to commit the entries of earlier terms.
    Empty,
    /// A command of the application.
    Command(Vec<u8>),
    /// The members of the log that are in force from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position of the entry in the log.
    pub index: Index,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in a message, in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => command.len() + OVERHEAD_BYTES,
            Payload::Empty | Payload::Members(_) => OVERHEAD_BYTES,
        }
    }
}
