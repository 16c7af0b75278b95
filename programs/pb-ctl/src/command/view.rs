//! Shows the fleet's status, explanations, dumps and events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use anyhow::bail;
use bpaf::Bpaf;
use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Overview;
use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Report;
use persimmonbend_wire::link::Link;
use serde_json::Value;
use serde_json::json;

use crate::command::placement;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::fleet::Progress;
use crate::fleet::Status;

/// Interval at which the proxies are asked for new events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Subjects:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(subject))]
pub enum Subject {
    /// Explain why an upstream gets requests or none
    #[bpaf(command)]
    Upstream {
        /// Name of the upstream
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Explain how a tenant's requests are served
    #[bpaf(command)]
    Tenant {
        /// Name of the tenant
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Explain why a request was refused or failed
    #[bpaf(command)]
    Request {
        /// Value of the header x-request-id in the answer to the request
        #[bpaf(positional("ID"))]
        name: String,
    },
    /// Explain the state of a host
    #[bpaf(command)]
    Host {
        /// Name of the host
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Explain where a request would go now and why, without sending one
    #[bpaf(command)]
    Placement {
        #[bpaf(external(placement::question))]
        question: placement::Question,
    },
}

impl Subject {
    fn query(&self) -> Query {
        match self {
            Self::Upstream { name } => Query::Upstream(name.clone()),
            Self::Tenant { name } => Query::Tenant(name.clone()),
            Self::Request { name } => Query::Request(name.clone()),
            Self::Host { name } => Query::Host(name.clone()),
            Self::Placement { question } => Query::Placement(question.into()),
        }
    }
}

/// Returns the reports of the proxies on a subject, or the explanation of the leader.
pub async fn explain(fleet: &Fleet, subject: &Subject) -> anyhow::Result<Answer> {
    if let Subject::Placement { question } = subject {
        return placement::explain(fleet, question).await;
    }
    let reports = fleet.reports(&subject.query()).await?;
    let known = reports.iter().any(|report| report.known);
    let exit = if known { Exit::Done } else { Exit::Failed };
    let texts: Vec<String> = reports.iter().map(describe).collect();
    let value = json!({ "reports": reports });
    Ok(Answer::new(exit, texts.join("\n\n"), value))
}

/// Returns the status of the fleet as control and a proxy report it.
pub async fn status(fleet: &Fleet) -> anyhow::Result<Answer> {
    let control = fleet.status().await;
    let overview = fleet.overview().await;
    if let (Err(error), Err(other)) = (&control, &overview) {
        bail!("{error:#}; {other:#}");
    }
    let mut lines = vec![match &control {
        Ok(status) => Progress::new(status.revision, status).describe(),
        Err(error) => format!("control is away: {error:#}"),
    }];
    let evacuated = control.as_ref().map(|status| &status.evacuated_zones[..]);
    let evacuated = evacuated.unwrap_or_default();
    if !evacuated.is_empty() {
        lines.push(format!("evacuated zones: {}", evacuated.join(", ")));
    }
    match &overview {
        Ok(overview) => lines.extend(describe_overview(overview)),
        Err(error) => lines.push(format!("{error:#}")),
    }
    let progress = control.as_ref().ok();
    let progress = progress.map(|status: &Status| Progress::new(status.revision, status));
    let value = json!({
        "control": progress,
        "evacuated_zones": evacuated,
        "proxy": overview.ok(),
    });
    Ok(Answer::new(Exit::Done, lines.join("\n"), value))
}

/// Returns the internal state of one process.
pub async fn dump(fleet: &Fleet, process: &str) -> anyhow::Result<Answer> {
    let address: SocketAddr = match process.parse() {
        Ok(address) => address,
        Err(_) => fleet.proxy_address(process).await?,
    };
    let settings = fleet.settings();
    let link = Link::connect(address, &settings.operator, &settings.secret).await?;
    let state: Value = match (link.control(), link.peer()) {
        (Ok(control), _) => control.dump().await?,
        (_, Ok(peer)) => peer.dump().await?,
        _ => bail!("the process at {address} is neither a control replica nor a proxy"),
    };
    Ok(Answer::new(Exit::Done, format!("{state:#}"), state))
}

/// Returns the events of all proxies; with `follow`, prints them and new ones until interrupted.
pub async fn events(fleet: &Fleet, follow: bool, json: bool) -> anyhow::Result<Answer> {
    let addresses = fleet.proxy_addresses().await;
    let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut any_answered = false;
    loop {
        let mut found: Vec<(SocketAddr, Event)> = Vec::new();
        for address in &addresses {
            let after = last.get(address).copied().unwrap_or_default();
            let query = Query::Events(after);
            let Ok(events) = fleet.query::<Vec<Event>>(*address, &query).await else {
                continue;
            };
            any_answered = true;
            if let Some(newest) = events.last() {
                last.insert(*address, newest.number);
            }
            found.extend(events.into_iter().map(|event| (*address, event)));
        }
        found.sort_by_key(|(_, event)| event.at);
        if !follow {
            return answer_events(&found, any_answered);
        }
        for (address, event) in &found {
            if json {
                println!("{}", json!({ "host": address, "event": event }));
            } else {
                println!("{}", describe_event(*address, event));
            }
        }
        compio::time::sleep(EVENT_POLL_INTERVAL).await;
    }
}

fn answer_events(found: &[(SocketAddr, Event)], any_answered: bool) -> anyhow::Result<Answer> {
    if !any_answered {
        bail!("no proxy answers");
    }
    let lines: Vec<String> = found
        .iter()
        .map(|(from, event)| describe_event(*from, event))
        .collect();
    let events = found.iter();
    let events: Vec<Value> = events
        .map(|(from, event)| json!({ "host": from, "event": event }))
        .collect();
    Ok(Answer::new(Exit::Done, lines.join("\n"), json!(events)))
}

fn describe(report: &Report) -> String {
    let mut lines = vec![format!("{}, as {} sees it:", report.subject, report.host)];
    lines.extend(
        report
            .sentences
            .iter()
            .map(|sentence| format!("  {sentence}")),
    );
    let events = report.events.iter();
    lines.extend(events.map(|event| {
        let (age, text) = (age_s(event.at), &event.text);
        format!("  {age} s ago, {}: {text}", event.part)
    }));
    lines.join("\n")
}

fn describe_overview(overview: &Overview) -> Vec<String> {
    let mut lines = vec![format!(
        "{} in zone {} has revision {} in force and {} requests",
        overview.host,
        overview.zone,
        overview.revision,
        if overview.ready { "takes" } else { "takes no" }
    )];
    lines.extend(overview.services.iter().map(|capacity| {
        let (service, in_use, slots) = (&capacity.service, capacity.in_use, capacity.slots);
        format!(
            "service {service}: {in_use} of {slots} slots in use, floor {}",
            capacity.minimum()
        )
    }));
    let excluded = overview.excluded.iter();
    lines
        .extend(excluded.map(|exclusion| {
            format!("{} is out of use: {}", exclusion.upstream, exclusion.reason)
        }));
    let worst = overview.tenants.first();
    lines.extend(worst.map(|tenant| {
        format!(
            "worst served tenant on this host: {} with {:.2}% answered, p99 {:.1} ms",
            tenant.name,
            tenant.success * 100.0,
            tenant.p99_ms
        )
    }));
    lines
}

fn describe_event(from: SocketAddr, event: &Event) -> String {
    let (part, subject, text) = (&event.part, &event.subject, &event.text);
    format!("{} s ago {from} {part}: {subject}: {text}", age_s(event.at))
}

fn age_s(at: SystemTime) -> u64 {
    SystemTime::now()
        .duration_since(at)
        .unwrap_or_default()
        .as_secs()
}
