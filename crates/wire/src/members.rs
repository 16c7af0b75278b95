//! Changes of the replicas that hold the log.
//!
//! A host whose disk was replaced is taken in by three orders: [`Order::Add`] once it runs with an
//! empty data folder, [`Order::Remove`] for its lost identity, and [`Order::Promote`] when it has
//! caught up.

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

/// What an operator orders about one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    /// Adds a replica with an empty data folder as a learner.
    Add {
        /// Its host.
        host: HostId,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Its host.
        host: HostId,
    },
    /// Removes a replica.
    Remove {
        /// Its host.
        host: HostId,
        /// Number of its data folder, as the status tells it.
        storage: u64,
    },
}
