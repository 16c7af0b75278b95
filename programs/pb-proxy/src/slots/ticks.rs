//! Periodic work of the stewards and detectors on this host.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::node::Node;

/// Time between two ticks of the stewards and detectors on this host.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time between two reports of reservations that a steward does not count yet.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the stewards and detectors on this host until the future is dropped.
pub async fn run(node: Rc<Node>) {
    let mut reported = node.now();
    let mut host_changes = 0;
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        let slots = node.slots();
        slots.stewards.tick(&node);
        let transitions = slots.detectors.tick(&node);
        slots.stewards.broadcast(&transitions);
        let changes = node.board().host_changes();
        if changes != host_changes || is_due(reported, node.now()) {
            host_changes = changes;
            reported = node.now();
            slots.report_all(&node);
        }
    }
}

fn is_due(last: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last) >= REPORT_INTERVAL
}
