//! Entries of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::Term;
use crate::members::Members;

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a leader opens its term with it.
    Empty,
    /// A command of the application.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Returns about how many bytes the entry takes in a message.
    #[must_use]
    pub const fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => command.len() + OVERHEAD_BYTES,
            Payload::Empty | Payload::Members(_) => OVERHEAD_BYTES,
        }
    }
}
