//! The page that asks the operator to confirm an action.

use pb_ctl::steering::Check;
use persimmonbend_core::id::ChangeId;
use persimmonbend_core::id::Revision;

use crate::action::Action;
use crate::html::Html;
use crate::page;
use crate::session::Session;

/// An action that the operator is asked to confirm, with its consequences.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Action to confirm.
    pub action: Action,
    /// ID of the change; a form that is submitted twice carries the same ID.
    pub change: ChangeId,
    /// Revision in force when the page was made, for an action that needs a base revision.
    pub base: Option<Revision>,
    /// Effect on the floor of the service, for an order to drain or eject an upstream.
    pub floor: Option<Check>,
    /// Whether control answers.
    pub has_control: bool,
}

/// Returns the form that confirms an action.
#[must_use]
pub fn confirm(prompt: &Prompt, session: &Session) -> Html {
    let content = Html::new()
        .raw("<p>")
        .text(prompt.action.describe())
        .raw("</p>");
    let content = if prompt.has_control {
        content
    } else {
        content
            .raw("<p class=\"w\">Control is away. ")
            .raw(match prompt.action {
                Action::Withdraw(_) => {
                    "A proxy will accept the withdrawal and pass it to the other proxies."
                }
                _ => "This action is possible only once control is back.",
            })
            .raw("</p>")
    };
    let content = content
        .raw("<form method=\"post\" action=\"/act\">")
        .piece(&hidden("form_token", &session.form_token))
        .piece(&hidden("action", prompt.action.name()))
        .piece(&hidden("target", &prompt.action.target()))
        .piece(&hidden("change", &prompt.change));
    let content = match prompt.base {
        Some(base) => content.piece(&hidden("base", &base.to_string())),
        None => content,
    };
    let content = floor(content, prompt.floor.as_ref())
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
