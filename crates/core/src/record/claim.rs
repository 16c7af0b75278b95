//! Claims of records and their verdicts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Attempt;
use crate::id::HostId;
use crate::id::TenantId;
use crate::key::Digest;
use crate::record::Answer;
use crate::record::Group;
use crate::rendezvous;

/// The identity of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// Tenant of the request; empty on a route that is open to all.
    pub tenant: TenantId,
    /// Service and route, joined by a slash.
    pub route: String,
    /// Idempotency key that the client chose.
    pub key: String,
}

impl Name {
    /// Returns the group that keeps this record.
    #[must_use]
    pub fn group(&self, groups: Group) -> Group {
        let hash = rendezvous::weight(&self.tenant, &self.key);
        u32::try_from(hash % u64::from(groups.max(1))).unwrap_or_default()
    }
}

/// The execution that owns a record; only it may run the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Host of the execution.
    pub host: HostId,
    /// Randomly chosen identifier, never reused, not even after a restart.
    pub attempt: Attempt,
}

/// A claim of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the record.
    pub name: Name,
    /// Digest of method, target and body.
    pub request: Digest,
    /// The execution that claims the record.
    pub owner: Owner,
    /// Time after which the outcome counts as unknown if the owner has not reported one.
    #[serde(rename = "patience")]
    pub execution_timeout: Duration,
}

/// The outcome of an execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The request ran and was answered.
    Answered {
        /// The answer of the upstream.
        answer: Answer,
    },
    /// The request ran and its answer is too large to be kept.
    Ran,
    /// The request may have run.
    Unknown,
    /// No part of the request reached an upstream.
    NotRun,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant owns the execution.
    Fresh,
    /// Another owner runs the request.
    Running,
    /// The request ran before with this answer.
    Done(Answer),
    /// The request ran before and its answer is not kept.
    AnswerGone,
    /// The key was used for another request.
    Mismatch,
    /// The request may have run before.
    Unknown,
    /// The table is full.
    Full,
    /// The claimant released this attempt before the claim arrived.
    Released,
}
