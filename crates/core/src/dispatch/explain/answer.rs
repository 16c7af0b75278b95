//! What operators are told: the decision, the upstreams and what they depend on.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde::Serializer;
use serde_json::json;

use crate::dispatch::Decision;
use crate::dispatch::explain::Question;
use crate::dispatch::explain::Reason;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::publication::Priority;
use crate::publication::Quota;
use crate::publication::Version;
use crate::roster::Number;
use crate::upstream::Stage;

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// The request.
    pub question: Question,
    /// Version of the publication in force.
    pub version: Option<Version>,
    /// Priority of the request; 0 is the highest.
    pub priority: Priority,
    /// Whether the priority is that of the tenant rather than of the route.
    pub is_tenant_priority: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether hosts would refuse the request before it is placed, since it comes without a key.
    pub lacks_key: bool,
    /// Target latency.
    #[serde(rename = "objective_ms", serialize_with = "write_millis")]
    pub objective: Duration,
    /// Longest time that the request is kept waiting.
    #[serde(rename = "timeout_ms", serialize_with = "write_millis")]
    pub timeout: Duration,
    /// Most upstreams that the request may be sent to.
    pub attempts: u32,
    /// Zones that are evacuated.
    pub evacuated_zones: Vec<Zone>,
    /// The services that the route leads to.
    pub branches: Vec<Branch>,
}

/// What becomes of the requests that are sent to one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Branch {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests of the route that go to the service, from 0 to 1.
    pub share: f64,
    /// The decision.
    #[serde(serialize_with = "write_decision")]
    pub decision: Decision,
    /// Whether the upstream was chosen to keep it in use rather than for its cost.
    pub is_trial: bool,
    /// Expected wait for a slot, if the request is queued or refused.
    #[serde(rename = "expected_wait_ms", serialize_with = "write_wait")]
    pub expected_wait: Option<Duration>,
    /// Whether an answer after the objective is expected.
    pub is_late: bool,
    /// Queued requests of the service.
    pub queued: usize,
    /// Free slots of the upstreams that take requests.
    pub free_slots: u32,
    /// Free slots that this request leaves to more urgent ones.
    pub kept_slots: u32,
    /// Retries that the service has left.
    pub retries_left: f64,
    /// What the tenant gets, if the request has one.
    pub tenant: Option<Part>,
    /// All upstreams of the service: the chosen one, then those with free slots by cost, then the others.
    pub candidates: Vec<Candidate>,
}

/// What a tenant gets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Part {
    /// Weight of the tenant among those of its priority.
    pub weight: f64,
    /// Least share of what more urgent requests leave, among the tenants that have requests queued.
    pub share: f64,
    /// Quota of the tenant, if it has one.
    pub quota: Option<Quota>,
    /// Requests that the quota allows at once after this one.
    pub tokens_left: Option<f64>,
}

/// An upstream that the request could go to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Number,
    /// Name of the upstream, if the caller has set it.
    pub id: Option<UpstreamId>,
    /// Zone that the upstream runs in.
    pub zone: Zone,
    /// Stage that it has announced, or that the evacuation of its zone has set.
    pub stage: Stage,
    /// Probability that the upstream is grey.
    pub grey: f64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Expected time of the request at the upstream.
    #[serde(rename = "expected_ms", serialize_with = "write_millis")]
    pub expected: Duration,
    /// Expected cost in units of credit; the least one is chosen.
    pub cost: f64,
    /// Whether the upstream has stated that it is draining.
    pub states_draining: bool,
    /// Requests a second that the upstream takes from all hosts, by its statement or as it is cold.
    pub limit: Option<f64>,
    /// Whether the upstream counts as cold.
    pub is_cold: bool,
    /// Why the request does not go there; none if it does.
    pub left_out: Option<Reason>,
}

impl Explanation {
    /// Sets the names of the upstreams.
    pub fn set_names(&mut self, names: &BTreeMap<Number, UpstreamId>) {
        let candidates = self.branches.iter_mut().flat_map(|one| &mut one.candidates);
        for candidate in candidates {
            candidate.id = names.get(&candidate.upstream).cloned();
        }
    }
}

/// Returns a time in milliseconds.
pub(super) fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000_000.0).round() / 1_000.0
}

fn write_millis<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(millis(*time))
}

fn write_wait<S: Serializer>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
    time.map(millis).serialize(serializer)
}

fn write_decision<S: Serializer>(decision: &Decision, serializer: S) -> Result<S::Ok, S::Error> {
    let value = match decision {
        Decision::Granted {
            upstream,
            attempt_timeout,
        } => json!({
            "outcome": "granted",
            "upstream": upstream,
            "attempt_timeout_ms": attempt_timeout.map(millis),
        }),
        Decision::Queued => json!({ "outcome": "queued" }),
        Decision::Refused { kind, retry_after } => json!({
            "outcome": "refused",
            "code": kind.answer().code,
            "retry_after_ms": millis(*retry_after),
        }),
    };
    value.serialize(serializer)
}
