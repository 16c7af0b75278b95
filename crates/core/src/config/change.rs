//! Changes of the configuration and their outcomes.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Service;
use crate::config::Tenant;
use crate::id::ChangeId;
use crate::id::Revision;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::key::Digest;

/// An order of an operator about one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Send no new requests to the upstream.
    Drain,
    /// Treat the upstream as ejected.
    Eject,
    /// Cancel the earlier order.
    Restore,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Change {
    /// Replaces all services.
    Publish {
        /// The new services.
        services: Vec<Service>,
    },
    /// Puts the services of an earlier revision in force again.
    Rollback {
        /// The earlier revision.
        to: Revision,
    },
    /// Adds or replaces a tenant.
    SetTenant {
        /// The tenant.
        tenant: Tenant,
    },
    /// Removes a tenant and withdraws its keys.
    RemoveTenant {
        /// The tenant.
        tenant: TenantId,
    },
    /// Adds a key.
    IssueKey {
        /// Digest of the key.
        digest: Digest,
        /// Tenant that uses the key.
        tenant: TenantId,
        /// Label that the operator gave to the key.
        label: String,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Digest of the key.
        digest: Digest,
    },
    /// Gives an order about one upstream.
    Steer {
        /// The upstream.
        upstream: UpstreamId,
        /// The order.
        order: Order,
    },
}

impl Change {
    /// Returns one short sentence about the change.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Publish { services } => format!("publish {} services", services.len()),
            Self::Rollback { to } => format!("roll back to revision {to}"),
            Self::SetTenant { tenant } => format!("set tenant {}", tenant.id),
            Self::RemoveTenant { tenant } => format!("remove tenant {tenant}"),
            Self::IssueKey { digest, tenant, .. } => {
                format!("issue key {} to {tenant}", digest.short())
            }
            Self::WithdrawKey { digest } => format!("withdraw key {}", digest.short()),
            Self::Steer { upstream, order } => {
                format!("{order:?} upstream {upstream}").to_lowercase()
            }
        }
    }
}

/// A change as an operator sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier chosen by the client; a resend with the same one gets the first outcome.
    pub id: ChangeId,
    /// Revision that the change was made against; `None` for changes that cannot conflict.
    pub base: Option<Revision>,
    /// Operator who sent the change.
    pub operator: String,
    /// The change.
    pub change: Change,
}

/// A change with the revision that it made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision that the change makes.
    pub revision: Revision,
    /// The change as sent.
    pub submission: Submission,
}

/// One line of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Revision that the change made.
    pub revision: Revision,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Operator who sent the change.
    pub operator: String,
    /// Description of the change.
    pub text: String,
}

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The change was synced on a quorum.
    Accepted {
        /// Revision that the change made.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// Revision in force.
        revision: Revision,
        /// Changes since the base.
        since: Vec<Summary>,
    },
    /// The change is not valid.
    Invalid {
        /// Why the change is not valid.
        reason: String,
    },
}
