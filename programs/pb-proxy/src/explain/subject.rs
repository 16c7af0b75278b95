//! Reports about a single upstream, tenant, request or host.

use persimmonbend_core::board::Board;
use persimmonbend_core::config::Order;
use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Report;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::traffic::Tally;
use persimmonbend_core::upstream::Upstream;

use crate::explain::overview;
use crate::explain::overview::View;
use crate::explain::seconds_ago;
use crate::node::Node;

/// Returns the report on an upstream.
pub fn upstream(node: &Node, name: &str) -> Report {
    let board = node.board();
    let mut report = new_report(node, &board, name);
    let found = board
        .all_upstreams()
        .find(|upstream| upstream.announcement.id == name);
    let Some(upstream) = found else {
        report
            .sentences
            .push(format!("This host has heard of no upstream {name}."));
        return report;
    };
    report.known = true;
    report.sentences.extend(change_sentences(&board, name));
    let view = View::new(node, &board);
    report
        .sentences
        .push(announcement_sentence(&board, upstream));
    report.sentences.push(usage_sentence(&view, upstream));
    let capacity = overview::capacity(&view, &upstream.announcement.service);
    if overview::exclusion_reason(&view, upstream).is_none() {
        report.slots_in_use = upstream.announcement.slots;
    }
    report.sentences.push(format!(
        "Service {} has {} of {} slots in use; its floor is {}.",
        capacity.service,
        capacity.in_use,
        capacity.slots,
        capacity.minimum()
    ));
    report.capacity = Some(capacity);
    report
}

/// Returns the report on a tenant.
pub fn tenant(node: &Node, name: &str) -> Report {
    let board = node.board();
    let mut report = new_report(node, &board, name);
    let config = board.config();
    let Some(tenant) = config.tenants().get(name) else {
        report
            .sentences
            .push(format!("There is no tenant {name} in the configuration."));
        return report;
    };
    report.known = true;
    report.sentences.extend(change_sentences(&board, name));
    let keys = config.keys().values().filter(|key| key.tenant == name);
    let (withdrawn, usable): (Vec<_>, Vec<_>) = keys.partition(|key| key.withdrawn);
    report.sentences.push(format!(
        "Its rate is {} a second with a burst of {} over the whole fleet.",
        tenant.rate.per_second, tenant.rate.burst
    ));
    report.sentences.push(format!(
        "It has {} keys in use and {} withdrawn.",
        usable.len(),
        withdrawn.len()
    ));
    let traffic = node.traffic();
    match traffic.tenants().get(name) {
        Some(tally) => report.sentences.extend(statistics_sentences(tally)),
        None => report
            .sentences
            .push("None of its requests has come to this host since the host started.".to_owned()),
    }
    let latest = traffic.failed().iter().rev();
    let latest = latest.filter(|request| request.tenant.as_deref() == Some(name));
    let lines = latest
        .take(MAX_FAILED_REQUESTS)
        .map(|request| format!("Request {}: {}", request.name, request.describe()));
    report.sentences.extend(lines);
    report
}

/// Returns the report on a request that was refused or failed.
pub fn request(node: &Node, name: &str) -> Report {
    let board = node.board();
    let mut report = new_report(node, &board, name);
    let traffic = node.traffic();
    let Some(request) = traffic.request(name) else {
        report.sentences.push(format!(
            "This host keeps no refused or failed request {name}; it keeps the last {}.",
            persimmonbend_core::traffic::MAX_FAILED
        ));
        return report;
    };
    report.known = true;
    report.sentences.push(request.describe());
    report.sentences.push(format!(
        "It ended {} s ago on this host.",
        seconds_ago(request.at, node.wall_time())
    ));
    if let persimmonbend_core::traffic::Ending::Failed { kind } = request.ending {
        let answer = kind.answer();
        let ran = match answer.ran {
            persimmonbend_core::error::Ran::No => "It was not run.",
            persimmonbend_core::error::Ran::Unknown => "It may have run.",
        };
        report.sentences.push(format!("{} {ran}", answer.text));
    }
    for upstream in &request.upstreams {
        report.events.extend(events_about(&board, upstream));
    }
    report
}

/// Returns the report on a host.
pub fn host(node: &Node, name: &str) -> Report {
    let board = node.board();
    let mut report = new_report(node, &board, name);
    if name == node.settings().host {
        report.known = true;
        let takes = if node.is_ready() { "takes" } else { "takes no" };
        report.sentences.push(format!(
            "This is the host itself, in zone {}; it {takes} requests and has revision {} in force.",
            node.settings().zone,
            board.config().revision()
        ));
        return report;
    }
    let Some(host) = board.hosts().get(name) else {
        report
            .sentences
            .push(format!("This host has heard of no host {name}."));
        return report;
    };
    report.known = true;
    let age = board
        .now()
        .saturating_duration_since(host.last_heard)
        .as_secs();
    report.sentences.push(format!(
        "It runs in zone {} and news of it last came {age} s ago.",
        host.announcement.zone
    ));
    if host.announcement.stopping {
        report.sentences.push("It is stopping.".to_owned());
    }
    if host.suspected {
        let text = "Several hosts that watch it suspect that it is gone.";
        report.sentences.push(text.to_owned());
    }
    report
}

/// Most failed requests that the report on a tenant lists.
const MAX_FAILED_REQUESTS: usize = 5;

/// Returns a report that contains only the events about its subject.
fn new_report(node: &Node, board: &Board, name: &str) -> Report {
    Report {
        host: node.settings().host.clone(),
        subject: name.to_owned(),
        known: false,
        sentences: Vec::new(),
        events: events_about(board, name),
        capacity: None,
        slots_in_use: 0,
    }
}

/// Returns a sentence for each configuration change that names the subject.
fn change_sentences(board: &Board, name: &str) -> Vec<String> {
    let config = board.config();
    let named = config.history().iter().filter(|line| {
        let mut words = line.text.split(' ');
        words.any(|word| word == name)
    });
    named
        .map(|line| {
            let (text, revision, operator) = (&line.text, line.revision, &line.operator);
            format!("Revision {revision} by {operator}: {text}.")
        })
        .collect()
}

fn events_about(board: &Board, name: &str) -> Vec<Event> {
    board.events().about(name).cloned().collect()
}

fn announcement_sentence(board: &Board, upstream: &Upstream) -> String {
    let announcement = &upstream.announcement;
    let age = board.now().saturating_duration_since(upstream.last_heard);
    format!(
        "It belongs to {}, runs in zone {} at {} with {} slots and said {} s ago that it is {:?}.",
        announcement.service,
        announcement.zone,
        announcement.address,
        announcement.slots,
        age.as_secs(),
        announcement.stage
    )
}

fn usage_sentence(view: &View<'_>, upstream: &Upstream) -> String {
    let verdict = view.verdict(upstream);
    match (overview::exclusion_reason(view, upstream), verdict) {
        (Some(reason), Verdict::Trial) => reason,
        (Some(reason), _) => format!("It gets no new requests: {reason}"),
        (None, Verdict::Use { weight }) if weight < 1.0 => format!(
            "It gets requests on {:.0}% of its slots; {} of this host are running there.",
            weight * 100.0,
            upstream.in_flight
        ),
        (None, _) => format!(
            "It gets requests; {} of this host are running there.",
            upstream.in_flight
        ),
    }
}

/// Returns the operator's order that keeps an upstream out of use, as a sentence.
pub fn order_reason(board: &Board, name: &str) -> Option<String> {
    let text = match board.config().orders().get(name)? {
        Order::Drain => "An operator ordered it to drain.",
        Order::Eject => "An operator ordered it to be ejected.",
        Order::Restore => return None,
    };
    Some(text.to_owned())
}

/// Returns sentences on how the requests of a tenant ended on this host.
fn statistics_sentences(tally: &Tally) -> Vec<String> {
    let p99 = tally.latency(0.99).as_secs_f64() * 1_000.0;
    let mut lines = vec![format!(
        "This host answered {} of its {} requests ({:.2}%); p99 {p99:.1} ms in the last minutes.",
        tally.answered(),
        tally.answered() + tally.failures(),
        tally.success() * 100.0
    )];
    let refused = tally.failed().iter();
    lines.extend(refused.map(|(kind, count)| format!("{count} ended as {kind}.")));
    lines
}
