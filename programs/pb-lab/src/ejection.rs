//! Ejections of upstreams, read from the event logs in the dumps of hosts.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::Value;

/// An ejection that a host has recorded as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// ID of the upstream.
    pub upstream: String,
    /// When the upstream was ejected.
    pub at: Instant,
}

/// Returns the ejections in the dumps of hosts.
#[must_use]
pub fn read(dumps: &[Value]) -> Vec<Ejection> {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let events = dumps.iter().filter_map(|dump| dump["events"].as_array());
    let ejections = events.flatten().filter(|event| is_ejection(event));
    let parsed = ejections.filter_map(|event| {
        let at: SystemTime = serde_json::from_value(event["at"].clone()).ok()?;
        let age = wall.duration_since(at).unwrap_or_default();
        Some(Ejection {
            upstream: event["subject"].as_str()?.to_owned(),
            at: now.checked_sub(age)?,
        })
    });
    parsed.collect()
}

/// Returns the time from `fault` to the next ejection of an upstream.
#[must_use]
pub fn detection(ejections: &[Ejection], upstream: &str, fault: Instant) -> Option<Duration> {
    let own = ejections
        .iter()
        .filter(|ejection| ejection.upstream == upstream);
    own.filter_map(|ejection| ejection.at.checked_duration_since(fault))
        .min()
}

/// Returns the number of upstreams that were ejected after `start` although `is_grey` returns false
/// for the ejection.
pub fn false_ejections<F>(ejections: &[Ejection], start: Instant, is_grey: F) -> usize
where
    F: Fn(&Ejection) -> bool,
{
    let during = ejections.iter().filter(|ejection| ejection.at >= start);
    let false_ejections = during.filter(|ejection| !is_grey(ejection));
    let upstreams: BTreeSet<&str> = false_ejections
        .map(|ejection| ejection.upstream.as_str())
        .collect();
    upstreams.len()
}

fn is_ejection(event: &Value) -> bool {
    let text = event["text"].as_str().unwrap_or_default();
    event["part"] == "health" && text.starts_with("Ejected")
}
