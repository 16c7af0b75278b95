//! Submits a change and waits until it is in force.

use std::time::Duration;

use bpaf::Bpaf;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::id::Revision;
use serde_json::json;

use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet;
use crate::fleet::Fleet;

/// Time to wait without `--wait` for a change to be in force on every host.
const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Options of a change:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Wait until the change is in force on every host; without this, for 3 seconds at most
    #[bpaf(long)]
    pub wait: bool,
    /// Longest time to wait with --wait, in seconds [default: 60]
    #[bpaf(long, argument("SECONDS"), fallback(60))]
    pub wait_seconds: u64,
    /// ID of the change; sent again with the same ID, a change is applied only once
    #[bpaf(long, argument("ID"), optional)]
    pub change_id: Option<String>,
}

impl Options {
    fn wait_limit(&self) -> Duration {
        if self.wait {
            return Duration::from_secs(self.wait_seconds);
        }
        DEFAULT_WAIT
    }
}

/// Submits a change, waits until it is in force and returns its outcome and progress.
///
/// # Errors
///
/// Returns an error when no leader answers or the answer is lost.
pub async fn submit(
    fleet: &Fleet,
    change: Change,
    base: Option<Revision>,
    options: &Options,
) -> anyhow::Result<Answer> {
    let id = options.change_id.clone();
    let id = id.unwrap_or_else(fleet::change_id);
    let outcome = fleet.submit_as(id.clone(), change, base).await?;
    match &outcome {
        Outcome::Accepted { revision } => Ok(answer_accepted(fleet, *revision, &id, options).await),
        Outcome::Conflict { revision, since } => {
            let mut lines = vec![format!(
                "conflict: revision {revision} came first; nothing was changed"
            )];
            lines.extend(since.iter().map(|line| {
                let (revision, operator, text) = (line.revision, &line.operator, &line.text);
                format!("  {revision} by {operator}: {text}")
            }));
            let value = json!({ "outcome": outcome });
            Ok(Answer::new(Exit::Rejected, lines.join("\n"), value))
        }
        Outcome::Invalid { reason } => {
            let value = json!({ "outcome": outcome });
            let text = format!("not accepted: {reason}");
            Ok(Answer::new(Exit::Rejected, text, value))
        }
    }
}

async fn answer_accepted(fleet: &Fleet, revision: Revision, id: &str, options: &Options) -> Answer {
    let progress = fleet
        .wait_in_force(revision, options.wait_limit(), |progress| {
            if options.wait {
                eprintln!("{}", progress.describe());
            }
        })
        .await;
    match progress {
        Ok(progress) => {
            let exit = if progress.is_complete() {
                Exit::Done
            } else {
                Exit::Pending
            };
            let text = format!("accepted; {}", progress.describe());
            let value = json!({ "change_id": id, "revision": revision, "progress": progress });
            Answer::new(exit, text, value)
        }
        Err(error) => {
            let text = format!(
                "accepted as revision {revision}; the hosts that have it in force are not known: {error:#}"
            );
            let value = json!({ "change_id": id, "revision": revision, "progress": null });
            Answer::new(Exit::Pending, text, value)
        }
    }
}
