//! Lists the latest changes, and finds one by its ID.

use persimmonbend_core::config::Summary;
use serde_json::json;

use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;

/// Lists the latest changes, oldest first.
pub async fn list(fleet: &Fleet, last: usize) -> anyhow::Result<Answer> {
    let (state, from_control) = fleet.config_with_fallback().await?;
    let skipped = state.history().len().saturating_sub(last);
    let shown: Vec<&Summary> = state.history().iter().skip(skipped).collect();
    let mut lines: Vec<String> = shown.iter().map(|summary| describe(summary)).collect();
    if !from_control {
        lines.push(
            "control is away; this is the configuration that a proxy has in force".to_owned(),
        );
    }
    let value = json!({ "from_control": from_control, "changes": shown });
    Ok(Answer::new(Exit::Done, lines.join("\n"), value))
}

/// Finds a change by its ID and returns whether it was accepted.
pub async fn find(fleet: &Fleet, id: &str) -> anyhow::Result<Answer> {
    let (state, from_control) = fleet.config_with_fallback().await?;
    if let Some(summary) = state.history().iter().find(|summary| summary.id == id) {
        let text = format!("accepted: {}", describe(summary));
        return Ok(Answer::new(Exit::Done, text, json!({ "change": summary })));
    }
    let value = json!({ "change": null, "from_control": from_control });
    if from_control {
        let text = format!(
            "change {id} is not among the last {} changes; send it again with the same \
             --change-id, which is harmless",
            state.history().len()
        );
        return Ok(Answer::new(Exit::Rejected, text, value));
    }
    let text = format!(
        "control is away and the proxy that answered does not have change {id}: its outcome \
         is still unknown"
    );
    Ok(Answer::new(Exit::Unknown, text, value))
}

fn describe(summary: &Summary) -> String {
    format!(
        "{} by {}: {} [{}]",
        summary.revision, summary.operator, summary.text, summary.id
    )
}
