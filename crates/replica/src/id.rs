//! Names and numbers of the replicated log.

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Number of a leader's reign; rises with each election.
pub type Term = u64;

/// Position in the log, from 1.
pub type Index = u64;

/// Number of a message that the leader wants acknowledged.
pub type Round = u64;

/// Random number drawn when a data folder is first used.
pub type StorageId = u64;

/// Identity of a replica: its host and its disk.
///
/// A host whose disk was wiped draws a new [`StorageId`] and is another replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Host that the replica runs on.
    pub host: HostId,
    /// Data folder that it uses.
    pub storage: StorageId,
}
