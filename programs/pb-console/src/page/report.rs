//! The page that explains one upstream, tenant, request or host.

use std::time::SystemTime;

use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Report;

use crate::html::Html;
use crate::page;
use crate::session::Session;

/// Largest number of hosts whose reports are shown.
const MAX_REPORTS: usize = 4;

/// Largest number of sentences, and of events, of one report.
const MAX_LINES: usize = 12;

/// Returns the page of reports on one subject, with links to actions for an upstream.
#[must_use]
pub fn reports(query: &Query, reports: &[Report], session: &Session, now: SystemTime) -> Html {
    let mut content = Html::new();
    if let Query::Upstream(name) = query
        && reports.iter().any(|report| report.known)
    {
        content = actions(content, name);
    }
    let content = content.each(reports.iter().take(MAX_REPORTS), |html, report| {
        section(html, report, now)
    });
    let subject = reports.first().map_or("", |report| &report.subject);
    page::frame(subject, Some(session), &content)
}

fn actions(html: Html, upstream: &str) -> Html {
    let link = |html: Html, action: &'static str, label: &'static str| {
        html.raw("<a class=\"k\" href=\"/confirm?action=")
            .raw(action)
            .raw("&amp;target=")
            .query(upstream)
            .raw("\">")
            .raw(label)
            .raw("</a>")
    };
    let html = link(html.raw("<p>"), "drain", "Drain");
    let html = link(html, "eject", "Eject");
    link(html, "restore", "Restore").raw("</p>")
}

fn section(html: Html, report: &Report, now: SystemTime) -> Html {
    let sentences = report.sentences.iter().take(MAX_LINES);
    let events = report.events.iter().rev().take(MAX_LINES);
    html.raw("<h2>As ")
        .text(&report.host)
        .raw(" sees it</h2><ul>")
        .each(sentences, |html, sentence| {
            html.raw("<li>").text(sentence).raw("</li>")
        })
        .each(events, |html, event| {
            let age = now.duration_since(event.at).unwrap_or_default().as_secs();
            html.raw("<li>")
                .text(&event.text)
                .raw("<p class=\"n\">")
                .text(format_args!("{age} s ago, {}", event.part))
                .raw("</p></li>")
        })
        .raw("</ul>")
}
