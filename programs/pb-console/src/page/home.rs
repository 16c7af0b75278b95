//! The overview page, which begins with the current problems.

use std::time::SystemTime;

use persimmonbend_core::config::Summary;
use persimmonbend_core::event::Event;
use persimmonbend_core::explain::Capacity;
use persimmonbend_core::explain::Exclusion;
use persimmonbend_core::explain::Statistics;

use crate::chart;
use crate::html::Html;
use crate::page;
use crate::session::Session;
use crate::view::View;

/// Largest number of lines of a list on the overview.
const MAX_LINES: usize = 8;

/// Largest number of services on the overview.
const MAX_SERVICES: usize = 20;

/// Returns the overview page.
#[must_use]
pub fn home(view: &View, session: &Session, now: SystemTime) -> Html {
    let series = view.series();
    let events = view.events();
    let excluded = view.excluded();
    let content = problems(Html::new(), view)
        .raw("<h2>Services against their floor</h2><ul>")
        .each(&worst_services(view), service)
        .raw("</ul><h2>Upstreams not in use</h2>")
        .piece(&list(&excluded, excluded_upstream))
        .raw("<h2>Tenants with the lowest success rate</h2>")
        .piece(&list(&view.tenants(), tenant))
        .raw("<h2>Latency</h2>")
        .piece(&chart::latency(&series))
        .raw("<h2>Failures and detection</h2>")
        .piece(&chart::failures(&series, &events, now))
        .raw("<h2>Recent changes</h2>")
        .piece(&list(&recent_changes(view), |html, line| {
            change(html, line)
        }))
        .raw("<h2>Recent events</h2>")
        .piece(&list(&events, |html, entry| event(html, entry, now)))
        .raw("<h2>Explain</h2>")
        .piece(&explain_form());
    page::frame("Overview", Some(session), &content)
}

fn problems(html: Html, view: &View) -> Html {
    let problems = view.problems();
    if problems.is_empty() {
        let progress = view.progress.as_ref();
        let text = progress.map_or_else(String::new, pb_ctl::fleet::Progress::describe);
        return html
            .raw("<p class=\"g\">Nothing is wrong: ")
            .text(text)
            .raw(".</p>");
    }
    let shown = problems.iter().take(MAX_LINES);
    let html = html.raw("<ul>").each(shown, |html, problem| {
        html.raw("<li class=\"w\">").text(problem).raw("</li>")
    });
    rest_of_list(html, problems.len()).raw("</ul>")
}

fn worst_services(view: &View) -> Vec<Capacity> {
    let mut services = view.services();
    services.sort_by_key(|capacity| i64::from(capacity.in_use) - i64::from(capacity.minimum()));
    services.truncate(MAX_SERVICES);
    services
}

fn service(html: Html, capacity: &Capacity) -> Html {
    let below = capacity.in_use < capacity.minimum() || capacity.slots == 0;
    html.raw(if below {
        "<li class=\"w\"><b>"
    } else {
        "<li><b>"
    })
    .text(&capacity.service)
    .raw("</b> ")
    .text(format_args!(
        "{} of {} slots in use, floor {}",
        capacity.in_use,
        capacity.slots,
        capacity.minimum()
    ))
    .raw("</li>")
}

fn excluded_upstream(html: Html, exclusion: &Exclusion) -> Html {
    link(html.raw("<li>"), "upstream", &exclusion.upstream)
        .raw(" of ")
        .text(&exclusion.service)
        .raw(": ")
        .text(&exclusion.reason)
        .raw("</li>")
}

fn tenant(html: Html, statistics: &Statistics) -> Html {
    let failed = statistics.failed.iter().max_by_key(|(_, count)| **count);
    let failed = failed.map_or_else(String::new, |(code, count)| {
        format!(", most often {code} ({count})")
    });
    link(html.raw("<li>"), "tenant", &statistics.name)
        .text(format_args!(
            " {:.2}% answered, p99 {:.1} ms{failed}",
            statistics.success * 100.0,
            statistics.p99_ms
        ))
        .raw("</li>")
}

fn recent_changes(view: &View) -> Vec<Summary> {
    let config = view.config.as_ref();
    let history = config.map(|state| state.history().iter().rev().take(MAX_LINES).cloned());
    history.into_iter().flatten().collect()
}

fn change(html: Html, line: &Summary) -> Html {
    html.raw("<li>")
        .text(line.revision)
        .raw(" ")
        .text(&line.text)
        .raw(", by ")
        .text(&line.operator)
        .raw("</li>")
}

fn event(html: Html, (host, event): &(String, Event), now: SystemTime) -> Html {
    let age = now.duration_since(event.at).unwrap_or_default().as_secs();
    html.raw("<li>")
        .text(&event.subject)
        .raw(": ")
        .text(&event.text)
        .raw("<p class=\"n\">")
        .text(format_args!("{age} s ago on {host}"))
        .raw("</p></li>")
}

fn explain_form() -> Html {
    Html::new()
        .raw("<form action=\"/explain\"><select name=\"about\"><option>upstream</option>")
        .raw("<option>tenant</option><option>request</option><option>host</option></select> ")
        .raw("<input name=\"name\" required aria-label=\"Name\"> <button>Explain</button></form>")
}

fn link(html: Html, about: &'static str, name: &str) -> Html {
    html.raw("<a href=\"/explain?about=")
        .raw(about)
        .raw("&amp;name=")
        .query(name)
        .raw("\">")
        .text(name)
        .raw("</a>")
}

fn list<T>(items: &[T], piece: impl Fn(Html, &T) -> Html) -> Html {
    if items.is_empty() {
        return Html::new().raw("<p class=\"n\">None.</p>");
    }
    let html = Html::new().raw("<ul>");
    let html = html.each(items.iter().take(MAX_LINES), piece);
    rest_of_list(html, items.len()).raw("</ul>")
}

fn rest_of_list(html: Html, count: usize) -> Html {
    if count <= MAX_LINES {
        return html;
    }
    html.raw("<li class=\"n\">")
        .text(format_args!("and {} more", count - MAX_LINES))
        .raw("</li>")
}
