//! The pages that list keys and changes.

use persimmonbend_core::config::State;

use crate::html::Html;
use crate::page;
use crate::session::Session;

/// Largest number of lines of a list.
const MAX_LINES: usize = 50;

/// Returns the page of keys in use, each with a link to withdraw it.
///
/// Only keys of tenants whose name contains `filter` are listed.
#[must_use]
pub fn keys(state: &State, filter: &str, session: &Session) -> Html {
    let usable = state.keys().iter().filter(|(_, key)| !key.withdrawn);
    let wanted = usable.filter(|(_, key)| key.tenant.contains(filter));
    let wanted: Vec<_> = wanted.collect();
    let content = Html::new()
        .raw("<form action=\"/keys\"><input name=\"tenant\" aria-label=\"Tenant\" value=\"")
        .text(filter)
        .raw("\"> <button>Filter by tenant</button></form><ul>")
        .each(wanted.iter().take(MAX_LINES), |html, (digest, key)| {
            html.raw("<li>")
                .text(&key.tenant)
                .raw(" ")
                .text(digest.short())
                .raw(" ")
                .text(&key.label)
                .raw(" <a href=\"/confirm?action=withdraw&amp;target=")
                .query(digest)
                .raw("\">Withdraw</a></li>")
        })
        .raw("</ul>");
    let content = counted(content, wanted.len());
    page::frame("Keys in use", Some(session), &content)
}

/// Returns the page of changes, newest first, each with a link to roll back to it.
#[must_use]
pub fn history(state: &State, session: &Session) -> Html {
    let lines = state.history().iter().rev().take(MAX_LINES);
    let content = Html::new().raw("<ul>").each(lines, |html, line| {
        html.raw("<li>")
            .text(line.revision)
            .raw(" ")
            .text(&line.text)
            .raw(", by ")
            .text(&line.operator)
            .raw(" <a href=\"/confirm?action=rollback&amp;target=")
            .query(line.revision)
            .raw("\">Roll back to this</a></li>")
    });
    let content = counted(content.raw("</ul>"), state.history().len());
    page::frame("Changes", Some(session), &content)
}

fn counted(html: Html, count: usize) -> Html {
    html.raw("<p class=\"n\">")
        .text(format_args!("{} of {count} shown", count.min(MAX_LINES)))
        .raw("</p>")
}
