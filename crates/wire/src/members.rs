//! Orders that change the members of the replicated log.
//!
//! Replacing the disk of a replica takes three orders: [`Order::Add`] once the replica runs with an
//! empty data folder, [`Order::Remove`] for the replica with the lost data folder, and
//! [`Order::Promote`] once the new replica has caught up.

use persimmonbend_core::id::HostId;
use serde::Deserialize;
use serde::Serialize;

/// An operator's order to change one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    /// Adds a replica with an empty data folder as a learner.
    Add {
        /// Host of the replica.
        host: HostId,
    },
    /// Makes a voter of a learner that has caught up.
    Promote {
        /// Host of the replica.
        host: HostId,
    },
    /// Removes a replica.
    Remove {
        /// Host of the replica.
        host: HostId,
        /// Number of the replica's data folder, as shown by the status.
        storage: u64,
    },
}
