//! The confirming step before an action.

use pb_ctl::steering::Check;
use persimmonbend_core::id::ChangeId;
use persimmonbend_core::id::Revision;

use crate::action::Action;
use crate::html::Html;
use crate::page;
use crate::session::Session;

/// What the operator is asked to confirm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Confirmation {
    /// The action.
    pub action: Action,
    /// Name of the change, so that a second press is the same change.
    pub change: ChangeId,
    /// Revision that the page shows, for an action that can conflict.
    pub base: Option<Revision>,
    /// What the action does to the floor, for an order about an upstream.
    pub floor: Option<Check>,
    /// Whether control answers.
    pub has_control: bool,
}

/// Returns the form that confirms an action.
#[must_use]
pub fn confirm(asked: &Confirmation, session: &Session) -> Html {
    let content = Html::new()
        .raw("<p>")
        .text(asked.action.describe())
        .raw("</p>");
    let content = if asked.has_control {
        content
    } else {
        content
            .raw("<p class=\"w\">Control is away. ")
            .raw(match asked.action {
                Action::Withdraw(_) => "A proxy will take the withdrawal and spread it.",
                _ => "This must wait until control is back.",
            })
            .raw("</p>")
    };
    let content = content
        .raw("<form method=\"post\" action=\"/act\">")
        .piece(&hidden("form_token", &session.form_token))
        .piece(&hidden("action", asked.action.name()))
        .piece(&hidden("target", &asked.action.target()))
        .piece(&hidden("change", &asked.change));
    let content = match asked.base {
        Some(base) => content.piece(&hidden("base", &base.to_string())),
        None => content,
    };
    let content = floor(content, asked.floor.as_ref())
        .raw("<p><button>Yes, do it</button></p></form><p><a href=\"/\">No, go back</a></p>");
    page::frame("Are you sure?", Some(session), &content)
}

fn floor(html: Html, check: Option<&Check>) -> Html {
    match check {
        None => html,
        Some(Check::Holds(text)) => html.raw("<p>").text(text).raw("</p>"),
        Some(Check::Breaks(text) | Check::Unknown(text)) => html
            .raw("<p class=\"w\">")
            .text(text)
            .raw("</p><p><label><input type=\"checkbox\" name=\"force\" value=\"yes\"> ")
            .raw("Do it all the same</label></p>"),
    }
}

fn hidden(name: &'static str, value: &str) -> Html {
    Html::new()
        .raw("<input type=\"hidden\" name=\"")
        .raw(name)
        .raw("\" value=\"")
        .unclipped(value)
        .raw("\">")
}
