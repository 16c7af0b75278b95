//! The HTML pages of the console.
//!
//! Each page contains its style sheet, uses no scripts and loads no other files.

mod confirm;
mod home;
mod lists;
mod report;

use crate::html::Html;
use crate::session::Session;

pub use confirm::Prompt;
pub use confirm::confirm;
pub use home::home;
pub use lists::history;
pub use lists::keys;
pub use report::reports;

/// Style sheet of all pages.
const STYLE: &str = "body{font:16px/1.4 sans-serif;margin:0 auto;max-width:40em;padding:.5em;\
    color:#222;background:#fff;overflow-wrap:anywhere}h1{font-size:1.2em;margin:.3em 0}\
    h2{font-size:1em;margin:1.2em 0 .3em}ul{margin:0;padding:0;list-style:none}\
    li{padding:.35em 0;border-bottom:1px solid #ddd}nav a,.k{margin-right:.8em}\
    a{color:#06c}.w{background:#fde8e8;padding:.4em}.g{background:#e6f4e6;padding:.4em}\
    .n{color:#666;font-size:.85em;margin:0}svg{width:100%;height:auto;background:#f6f6f6}\
    polyline,path{fill:none;stroke-width:1.5}.a,.c{stroke:#a22}.b{stroke:#8ac}\
    .d{stroke:#222;stroke-dasharray:2}input,button{font:inherit;padding:.5em;max-width:100%;\
    box-sizing:border-box}button{min-height:2.8em}table{border-collapse:collapse;width:100%}";

/// Returns a complete page with a title and, for a signed-in operator, the navigation.
#[must_use]
pub fn frame(title: &str, session: Option<&Session>, content: &Html) -> Html {
    let page = Html::new()
        .raw("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .raw("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"><title>")
        .text(title)
        .raw("</title><style>")
        .raw(STYLE)
        .raw("</style></head><body>");
    let page = match session {
        Some(session) => page.piece(&navigation(session)),
        None => page,
    };
    page.raw("<h1>")
        .text(title)
        .raw("</h1>")
        .piece(content)
        .raw("</body></html>")
}

/// Returns the sign-in page; `note` says why an earlier attempt failed, or is empty.
#[must_use]
pub fn sign_in(note: &str) -> Html {
    let content = Html::new();
    let content = if note.is_empty() {
        content
    } else {
        content.raw("<p class=\"w\">").text(note).raw("</p>")
    };
    let content = content
        .raw("<form method=\"post\" action=\"/sign-in\"><p><label>Operator<br>")
        .raw("<input name=\"operator\" autocomplete=\"username\" required></label></p>")
        .raw("<p><label>Token<br><input name=\"token\" type=\"password\" ")
        .raw("autocomplete=\"current-password\" required></label></p>")
        .raw("<p><button>Sign in</button></p></form>");
    frame("Sign in", None, &content)
}

/// Returns a page with one message, marked as a success or as a warning.
#[must_use]
pub fn message(title: &str, session: Option<&Session>, is_success: bool, text: &str) -> Html {
    let opening = if is_success {
        "<p class=\"g\">"
    } else {
        "<p class=\"w\">"
    };
    let content = Html::new()
        .raw(opening)
        .text(text)
        .raw("</p><p><a href=\"/\">Back to the overview</a></p>");
    frame(title, session, &content)
}

fn navigation(session: &Session) -> Html {
    Html::new()
        .raw("<nav><a href=\"/\">Overview</a><a href=\"/keys\">Keys</a>")
        .raw("<a href=\"/history\">Changes</a></nav>")
        .raw("<form method=\"post\" action=\"/sign-out\">")
        .raw("<input type=\"hidden\" name=\"form_token\" value=\"")
        .text(&session.form_token)
        .raw("\"><span class=\"n\">")
        .text(&session.operator)
        .raw("</span> <button>Sign out</button></form>")
}
