//! Checks a service's floor before an operator takes an upstream out of use.

use persimmonbend_core::config::Order;
use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Report;

use crate::fleet::Fleet;

/// The effect that an order would have on a service's floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// The service stays at or above its floor; the sentence gives the slot counts.
    Holds(String),
    /// The service would fall below its floor; the sentence gives the slot counts.
    Breaks(String),
    /// No proxy answered, or the proxy that answered does not know the upstream.
    Unknown(String),
}

/// Checks an order about an upstream against the floor, with the report of the first proxy that
/// answers.
pub async fn check(fleet: &Fleet, upstream: &str, order: Order) -> Check {
    let query = Query::Upstream(upstream.to_owned());
    match fleet.query_any::<Report>(&query).await {
        Ok(report) => evaluate(&report, order),
        Err(error) => Check::Unknown(format!("The floor cannot be checked: {error}.")),
    }
}

/// Returns the effect of an order according to a proxy's report on the upstream.
#[must_use]
pub fn evaluate(report: &Report, order: Order) -> Check {
    let Some(capacity) = &report.capacity else {
        return Check::Unknown(format!(
            "Host {} knows no upstream {}.",
            report.host, report.subject
        ));
    };
    let left = match order {
        Order::Restore => capacity.in_use,
        Order::Drain | Order::Eject => capacity.in_use.saturating_sub(report.slots_in_use),
    };
    let text = format!(
        "Service {} would have {left} of {} slots in use; its floor is {}.",
        capacity.service,
        capacity.slots,
        capacity.minimum()
    );
    let breaks = order != Order::Restore && capacity.falls_below_floor_without(report.slots_in_use);
    if breaks {
        Check::Breaks(text)
    } else {
        Check::Holds(text)
    }
}
