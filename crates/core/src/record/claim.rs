//! Claims of records and what becomes of them.

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

/// What a record is known by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// Tenant of the request; empty on a route that is open to all.
    pub tenant: TenantId,
    /// Service and route, joined by a slash.
    pub route: String,
    /// Idempotency key that the caller chose.
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

/// The one execution that may run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Host that runs it.
    pub host: HostId,
    /// Randomly chosen name, never used again, not even after a restart.
    pub attempt: Attempt,
}

/// A claim of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The record.
    pub name: Name,
    /// Digest of method, target and body.
    pub request: Digest,
    /// Who wants to run it.
    pub owner: Owner,
    /// Time after which an owner that told no outcome counts as gone.
    #[serde(rename = "patience")]
    pub execution_timeout: Duration,
}

/// What became of an execution.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// It ran and gave this answer.
    Answered {
        /// The answer.
        answer: Answer,
    },
    /// It ran and its answer is too large to be kept.
    Ran,
    /// It may have run.
    Unknown,
    /// Nothing of it reached an upstream.
    NotRun,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The claimant owns the execution.
    Fresh,
    /// Another owner runs it.
    Running,
    /// It ran before with this answer.
    Done(Answer),
    /// It ran before and the answer is not kept.
    AnswerGone,
    /// The key was used for another request.
    Mismatch,
    /// It may have run before.
    Unknown,
    /// There is no room for another record.
    Full,
    /// The claimant has given up this attempt before.
    Released,
}
