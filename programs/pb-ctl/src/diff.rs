//! The difference between the services in force and the services to be published.

use std::collections::BTreeMap;

use persimmonbend_core::config::Route;
use persimmonbend_core::config::Service;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;

/// Returns one line for each service, field and route that publishing `new` would change.
#[must_use]
pub fn lines(old: &BTreeMap<ServiceId, Service>, new: &[Service]) -> Vec<String> {
    let new: BTreeMap<&str, &Service> = new
        .iter()
        .map(|service| (service.name.as_str(), service))
        .collect();
    let mut lines = Vec::new();
    for (name, service) in old {
        match new.get(name.as_str()) {
            Some(other) => push_changes(&mut lines, service, other),
            None => lines.push(format!("- service {name}")),
        }
    }
    for (name, service) in &new {
        if !old.contains_key(*name) {
            lines.push(format!("+ service {name} of {}", service.owner));
            let routes = service.routes.iter();
            lines.extend(routes.map(|route| format!("+ route {name}/{}", describe(route))));
        }
    }
    lines
}

fn push_changes(lines: &mut Vec<String>, old: &Service, new: &Service) {
    let name = &old.name;
    let mut field = |field: &str, before: String, after: String| {
        if before != after {
            lines.push(format!("~ service {name}: {field} {before} -> {after}"));
        }
    };
    field("owner", old.owner.clone(), new.owner.clone());
    field("floor", old.floor.to_string(), new.floor.to_string());
    field("default_rate", describe_rate(old), describe_rate(new));
    let after = by_id(new);
    let before = by_id(old);
    for (id, route) in &before {
        match after.get(id) {
            Some(other) if other == route => {}
            Some(other) => lines.push(format!(
                "~ route {name}/{} -> {}",
                describe(route),
                describe(other)
            )),
            None => lines.push(format!("- route {name}/{}", describe(route))),
        }
    }
    for (id, route) in &after {
        if !before.contains_key(id) {
            lines.push(format!("+ route {name}/{}", describe(route)));
        }
    }
}

fn by_id(service: &Service) -> BTreeMap<&RouteId, &Route> {
    service
        .routes
        .iter()
        .map(|route| (&route.id, route))
        .collect()
}

fn describe_rate(service: &Service) -> String {
    service.default_rate.map_or_else(
        || "none".to_owned(),
        |rate| format!("{} a second, burst {}", rate.per_second, rate.burst),
    )
}

fn describe(route: &Route) -> String {
    let methods = if route.methods.is_empty() {
        "any method".to_owned()
    } else {
        route.methods.join(",")
    };
    let mut text = format!(
        "{} ({} {}, {} ms",
        route.id, methods, route.prefix, route.deadline_ms
    );
    if route.open {
        text.push_str(", open");
    }
    if route.non_idempotent {
        text.push_str(", non-idempotent");
    }
    if route.allow_unrecorded {
        text.push_str(", unrecorded allowed");
    }
    text.push(')');
    text
}
