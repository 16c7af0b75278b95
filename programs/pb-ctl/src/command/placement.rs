//! Explains where a request would go now and why.

use bpaf::Bpaf;
use persimmonbend_core::dispatch::explain;
use serde_json::Value;

use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;

/// The request:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(question))]
pub struct Question {
    /// Route of the request
    #[bpaf(long, argument("ROUTE"))]
    route: String,
    /// Tenant whose key would come with the request
    #[bpaf(long, argument("TENANT"), optional)]
    tenant: Option<String>,
    /// Zone that the request arrives in
    #[bpaf(long, argument("ZONE"), optional)]
    zone: Option<String>,
    /// Host that the request arrives at; what concerns single hosts is left out without it
    #[bpaf(long, argument("HOST"), optional)]
    host: Option<String>,
    /// Size of the request body in bytes [default: 0]
    #[bpaf(long("body-bytes"), argument("COUNT"), fallback(0))]
    body_bytes: u32,
    /// The request was sent to an upstream before, and this is another attempt
    #[bpaf(long)]
    repeat: bool,
}

impl From<&Question> for explain::Question {
    fn from(question: &Question) -> Self {
        Self {
            route: question.route.clone(),
            tenant: question.tenant.clone(),
            zone: question.zone.clone(),
            host: question.host.clone(),
            body_bytes: question.body_bytes,
            is_repeat: question.repeat,
        }
    }
}

/// Returns the explanation of the control replica that leads.
pub async fn explain(fleet: &Fleet, question: &Question) -> anyhow::Result<Answer> {
    let report = fleet.placement(&question.into()).await?;
    if let Some(text) = report["error"].as_str() {
        return Ok(Answer::plain(Exit::Failed, text));
    }
    let lines = report["lines"].as_array().into_iter().flatten();
    let lines: Vec<&str> = lines.filter_map(Value::as_str).collect();
    let text = lines.join("\n");
    Ok(Answer::new(Exit::Done, text, report))
}
