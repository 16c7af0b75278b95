//! The periodic report of metrics.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use persimmonbend_app::metrics;
use persimmonbend_app::metrics::Sender;
use persimmonbend_core::error::Kind;

use crate::explain;
use crate::node::Node;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Reports metrics until the future is dropped; returns at once if no receiver is configured.
pub async fn run(node: Rc<Node>) {
    let Some(receiver) = node.settings().metrics else {
        return;
    };
    let sender = match Sender::connect(receiver, &node.settings().host) {
        Ok(sender) => sender,
        Err(error) => {
            warn!("metrics: cannot open a socket to {receiver}: {error}");
            return;
        }
    };
    info!("metrics: reporting to {receiver}");
    let mut previous = Counts::default();
    loop {
        compio::time::sleep(REPORT_INTERVAL).await;
        previous = send_report(&node, &sender, &previous);
    }
}

/// Request counts at the time of a report.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    answered: u64,
    kinds: BTreeMap<Kind, u64>,
}

/// Sends one report and returns the counts on which the next one is based.
#[must_use]
pub fn send_report(node: &Node, sender: &Sender, previous: &Counts) -> Counts {
    let counts = Counts {
        answered: node.traffic().answered(),
        kinds: node.traffic().kinds().clone(),
    };
    sender.send(metrics::ANSWERED, counts.answered - previous.answered, None);
    for (kind, count) in &counts.kinds {
        let previous_count = previous.kinds.get(kind).copied().unwrap_or_default();
        let code = kind.answer().code;
        sender.send(
            metrics::FAILED,
            count - previous_count,
            Some(("code", code)),
        );
    }
    send_latency(node, sender);
    send_state(node, sender);
    counts
}

fn send_latency(node: &Node, sender: &Sender) {
    let points = node.traffic().series().points(node.now());
    let Some(finished) = points.iter().rev().nth(1) else {
        return;
    };
    sender.send(metrics::LATENCY_P50, finished.p50_us, None);
    sender.send(metrics::LATENCY_P99, finished.p99_us, None);
}

fn send_state(node: &Node, sender: &Sender) {
    let overview = explain::overview(node);
    sender.send(metrics::REVISION, overview.revision, None);
    sender.send(metrics::READY, u64::from(overview.ready), None);
    let upstreams = node.board().all_upstreams().count();
    let upstreams = u64::try_from(upstreams).unwrap_or(u64::MAX);
    sender.send(metrics::UPSTREAMS, upstreams, None);
    for service in &overview.services {
        let tag = Some(("service", service.service.as_str()));
        sender.send(metrics::SLOTS_IN_USE, u64::from(service.in_use), tag);
        sender.send(metrics::SLOTS_FLOOR, u64::from(service.minimum()), tag);
    }
}
