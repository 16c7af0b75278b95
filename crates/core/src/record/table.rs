//! The table of records, a deterministic state machine.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::TenantId;
use crate::key::Digest;
use crate::record::Answer;
use crate::record::Claim;
use crate::record::MAX_ANSWER_BYTES;
use crate::record::Millis;
use crate::record::Name;
use crate::record::Outcome;
use crate::record::Owner;
use crate::record::RETENTION;
use crate::record::Verdict;

/// Upper bound on the records of all tenants.
const MAX_RECORDS: usize = 500_000;

/// Upper bound on the records of one tenant.
const MAX_RECORDS_PER_TENANT: usize = 100_000;

/// Upper bound on the bytes of all kept answers.
const MAX_STORED_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Number of records that one claim checks for expiry.
const SWEPT_RECORDS_PER_CLAIM: usize = 4;

/// Time for which a released record refuses a late claim by the attempt that released it.
const RELEASED_RETENTION: Duration = Duration::from_secs(60);

/// The state of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
enum State {
    /// The owner runs the request; after `until` the outcome counts as unknown.
    Running { owner: Owner, until: Millis },
    /// The request ran with this answer.
    Done { answer: Answer },
    /// The request ran and its answer is not kept.
    #[serde(rename = "gone")]
    AnswerGone,
    /// The request may have run.
    Unknown,
    /// The owner reported that the request did not run.
    Released { owner: Owner },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    request: Option<Digest>,
    state: State,
    expires: Millis,
}

/// The serialized form of a [`Table`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Document {
    now: Millis,
    swept: Option<Name>,
    records: Vec<(Name, Record)>,
}

/// The records of one group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "Document", into = "Document")]
pub struct Table {
    now: Millis,
    /// Name of the last record that was checked for expiry.
    swept: Option<Name>,
    records: BTreeMap<Name, Record>,
    counts: BTreeMap<TenantId, usize>,
    stored_bytes: usize,
}

impl Table {
    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the kept answers in bytes.
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the verdict on a claim at `at` if the claim would not change the table.
    #[must_use]
    pub fn peek(&self, claim: &Claim, at: Millis) -> Option<Verdict> {
        let at = at.max(self.now);
        let Some(record) = self.records.get(&claim.name) else {
            return self.is_full(&claim.name.tenant).then_some(Verdict::Full);
        };
        if record.expires <= at {
            return None;
        }
        if let State::Released { owner } = &record.state {
            return (*owner == claim.owner).then_some(Verdict::Released);
        }
        if record.request != Some(claim.request) {
            return Some(Verdict::Mismatch);
        }
        let verdict = match &record.state {
            State::Running { owner, .. } if *owner == claim.owner => Verdict::Fresh,
            State::Running { until, .. } if *until > at => Verdict::Running,
            State::Running { .. } | State::Unknown => Verdict::Unknown,
            State::Done { answer } => Verdict::Done(answer.clone()),
            State::AnswerGone => Verdict::AnswerGone,
            State::Released { .. } => return None,
        };
        Some(verdict)
    }

    /// Applies a claim made at `at`.
    pub fn claim(&mut self, claim: &Claim, at: Millis) -> Verdict {
        self.now = self.now.max(at);
        self.sweep();
        if let Some(verdict) = self.peek(claim, self.now) {
            return verdict;
        }
        let state = State::Running {
            owner: claim.owner.clone(),
            until: self.now.saturating_add(millis(claim.execution_timeout)),
        };
        self.put(&claim.name, Some(claim.request), state, RETENTION);
        Verdict::Fresh
    }

    /// Applies the outcome that an owner reports at `at`.
    ///
    /// A report by anyone but the owner is ignored, except that a release of an unknown record is
    /// kept to refuse a claim that arrives late.
    pub fn complete(&mut self, name: &Name, owner: &Owner, outcome: &Outcome, at: Millis) {
        self.now = self.now.max(at);
        let Some(record) = self.records.get(name) else {
            if *outcome == Outcome::NotRun && !self.is_full(&name.tenant) {
                self.release(name, owner, None);
            }
            return;
        };
        let is_owner =
            matches!(&record.state, State::Running { owner: known, .. } if known == owner);
        if !is_owner {
            return;
        }
        let request = record.request;
        let state = match outcome {
            Outcome::NotRun => return self.release(name, owner, request),
            Outcome::Answered { answer } if self.has_room(answer) => State::Done {
                answer: answer.clone(),
            },
            Outcome::Answered { .. } | Outcome::Ran => State::AnswerGone,
            Outcome::Unknown => State::Unknown,
        };
        self.put(name, request, state, RETENTION);
    }

    fn release(&mut self, name: &Name, owner: &Owner, request: Option<Digest>) {
        let state = State::Released {
            owner: owner.clone(),
        };
        self.put(name, request, state, RELEASED_RETENTION);
    }

    fn is_full(&self, tenant: &str) -> bool {
        let own = self.counts.get(tenant).copied().unwrap_or_default();
        self.records.len() >= MAX_RECORDS || own >= MAX_RECORDS_PER_TENANT
    }

    fn has_room(&self, answer: &Answer) -> bool {
        let is_small = answer.body.len() <= MAX_ANSWER_BYTES;
        is_small && self.stored_bytes + answer.size() <= MAX_STORED_ANSWER_BYTES
    }

    fn put(&mut self, name: &Name, request: Option<Digest>, state: State, retention: Duration) {
        self.remove(name);
        let record = Record {
            request,
            state,
            expires: self.now.saturating_add(millis(retention)),
        };
        self.count(name, &record);
        self.records.insert(name.clone(), record);
    }

    fn count(&mut self, name: &Name, record: &Record) {
        *self.counts.entry(name.tenant.clone()).or_default() += 1;
        self.stored_bytes += stored_bytes(record);
    }

    fn remove(&mut self, name: &Name) {
        let Some(record) = self.records.remove(name) else {
            return;
        };
        self.stored_bytes -= stored_bytes(&record);
        if let Some(count) = self.counts.get_mut(&name.tenant) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&name.tenant);
            }
        }
    }

    /// Removes expired records among the next [`SWEPT_RECORDS_PER_CLAIM`].
    fn sweep(&mut self) {
        let start = self.swept.take().map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.records.range((start, Bound::Unbounded));
        let seen: Vec<(Name, bool)> = next
            .take(SWEPT_RECORDS_PER_CLAIM)
            .map(|(name, record)| (name.clone(), record.expires <= self.now))
            .collect();
        for (name, _) in seen.iter().filter(|(_, expired)| *expired) {
            self.remove(name);
        }
        self.swept = seen.into_iter().next_back().map(|(name, _)| name);
    }
}

impl From<Document> for Table {
    fn from(document: Document) -> Self {
        let mut table = Self {
            now: document.now,
            swept: document.swept,
            ..Self::default()
        };
        for (name, record) in document.records {
            table.count(&name, &record);
            table.records.insert(name, record);
        }
        table
    }
}

impl From<Table> for Document {
    fn from(table: Table) -> Self {
        Self {
            now: table.now,
            swept: table.swept,
            records: table.records.into_iter().collect(),
        }
    }
}

fn stored_bytes(record: &Record) -> usize {
    match &record.state {
        State::Done { answer } => answer.size(),
        _ => 0,
    }
}

fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}
