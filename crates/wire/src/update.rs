//! Updates of the configuration for a process with an older revision.

use persimmonbend_core::config::Entry;
use persimmonbend_core::config::State;
use persimmonbend_core::id::Revision;

use crate::error::Error;
use crate::fleet_capnp::update;

/// Configuration that is newer than the revision of the receiver.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// Entries after the revision of the receiver; empty when the receiver is up to date.
    Changes(Vec<Entry>),
    /// The complete state, for a receiver that is too far behind for single entries.
    Snapshot(Box<State>),
}

impl Update {
    /// Writes the update into a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when a document cannot be encoded.
    pub fn write(&self, revision: Revision, mut to: update::Builder<'_>) -> Result<(), Error> {
        to.set_revision(revision);
        match self {
            Self::Changes(entries) => {
                let length = u32::try_from(entries.len()).unwrap_or(u32::MAX);
                let mut list = to.init_changes(length);
                for (index, entry) in (0..length).zip(entries) {
                    list.set(index, &serde_json::to_vec(entry)?);
                }
            }
            Self::Snapshot(state) => to.set_snapshot(&serde_json::to_vec(state)?),
        }
        Ok(())
    }
}

impl TryFrom<update::Reader<'_>> for Update {
    type Error = Error;

    fn try_from(from: update::Reader<'_>) -> Result<Self, Self::Error> {
        match from.which().map_err(capnp::Error::from)? {
            update::Which::Changes(list) => {
                let mut entries = Vec::new();
                for document in list? {
                    entries.push(serde_json::from_slice(document?)?);
                }
                Ok(Self::Changes(entries))
            }
            update::Which::Snapshot(document) => {
                Ok(Self::Snapshot(serde_json::from_slice(document?)?))
            }
        }
    }
}
