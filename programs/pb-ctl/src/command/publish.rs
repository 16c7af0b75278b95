//! Publishes service files, and rolls back to an earlier revision.

use std::path::Path;

use persimmonbend_core::config::Change;
use persimmonbend_core::config::State;
use persimmonbend_core::id::Revision;
use serde_json::json;

use crate::command::change;
use crate::command::change::Options;
use crate::command::service;
use crate::diff;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::files;
use crate::fleet::Fleet;

/// Publishes the service files below a folder.
pub async fn publish(
    fleet: &Fleet,
    folder: &Path,
    options: &Options,
    dry_run: bool,
) -> anyhow::Result<Answer> {
    let services = files::find(folder).and_then(|found| files::read(&found));
    let services = match services {
        Ok(services) => services,
        Err(error) => return Ok(service::unusable(&error)),
    };
    let state = fleet.config().await?;
    let lines = diff::lines(state.services(), &services);
    if dry_run || (lines.is_empty() && !is_resend(&state, options)) {
        return Ok(unpublished(state.revision(), &lines));
    }
    for line in &lines {
        eprintln!("{line}");
    }
    let change = Change::Publish { services };
    let mut answer = change::submit(fleet, change, Some(state.revision()), options).await?;
    answer.value["difference"] = json!(lines);
    Ok(answer)
}

/// Puts the services of an earlier revision in force again.
pub async fn rollback(fleet: &Fleet, to: Revision, options: &Options) -> anyhow::Result<Answer> {
    let base = fleet.config().await?.revision();
    change::submit(fleet, Change::Rollback { to }, Some(base), options).await
}

fn is_resend(state: &State, options: &Options) -> bool {
    let id = options.change_id.as_ref();
    id.is_some_and(|id| state.history().iter().any(|line| &line.id == id))
}

fn unpublished(revision: Revision, lines: &[String]) -> Answer {
    let value = json!({ "revision": revision, "difference": lines });
    let text = if lines.is_empty() {
        format!("nothing to publish: revision {revision} has the same services")
    } else {
        lines.join("\n")
    };
    Answer::new(Exit::Done, text, value)
}
