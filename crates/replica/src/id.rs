//! Identifiers of replicas, terms, log positions and messages.

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Number of an election; at most one leader is elected in each term.
pub type Term = u64;

/// Position of an entry in the log; the first entry has index 1.
pub type Index = u64;

/// Number that a leader puts on a message and a follower returns with its acknowledgement.
///
/// The leader uses the microseconds since the start of its term, which tell when the message was
/// sent.
pub type Round = u64;

/// Random number that identifies a data folder, drawn when the folder is first used.
pub type StorageId = u64;

/// Identity of a replica: its host and its data folder.
///
/// A host whose disk was wiped draws a new [`StorageId`] and counts as another replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Host that the replica runs on.
    pub host: HostId,
    /// Data folder that the replica uses.
    pub storage: StorageId,
}
