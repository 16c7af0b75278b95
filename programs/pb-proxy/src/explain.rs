//! Answers to operators' queries, from the board, its events and the request statistics.

mod overview;
mod subject;

use std::collections::BTreeMap;
use std::time::SystemTime;

use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Query;
use serde_json::Value;
use serde_json::json;

use crate::node::Node;

pub use overview::overview;

/// Returns the answer to a query as JSON.
///
/// # Errors
///
/// Returns an error when the answer cannot be encoded.
pub fn answer(node: &Node, query: &Query) -> serde_json::Result<Value> {
    match query {
        Query::Upstream(name) => serde_json::to_value(subject::upstream(node, name)),
        Query::Tenant(name) => serde_json::to_value(subject::tenant(node, name)),
        Query::Request(name) => serde_json::to_value(subject::request(node, name)),
        Query::Host(name) => serde_json::to_value(subject::host(node, name)),
        Query::Events(after) => {
            let board = node.board();
            let events: Vec<&Event> = board.events().after(*after).collect();
            serde_json::to_value(events)
        }
        Query::Overview => serde_json::to_value(overview(node)),
        Query::Placement(_) => Ok(json!({ "error": "only control explains placements" })),
    }
}

/// Returns the request statistics for a dump.
#[must_use]
pub fn traffic(node: &Node) -> Value {
    let traffic = node.traffic();
    let kinds = traffic.kinds().iter();
    let kinds: BTreeMap<String, u64> = kinds
        .map(|(kind, count)| (kind.to_string(), *count))
        .collect();
    let failed = traffic.failed().iter();
    let failed: Vec<Value> = failed
        .map(|entry| json!({ "request": entry.name, "at": entry.at, "text": entry.describe() }))
        .collect();
    let overview = overview(node);
    json!({
        "answered": traffic.answered(),
        "kinds": kinds,
        "failed": failed,
        "tenants": overview.tenants,
        "routes": overview.routes,
    })
}

fn seconds_ago(at: SystemTime, now: SystemTime) -> u64 {
    now.duration_since(at).unwrap_or_default().as_secs()
}
