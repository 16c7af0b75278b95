//! Prepares the prompt for an action and carries out confirmed actions.

use std::time::Duration;

use pb_ctl::exit::Unacknowledged;
use pb_ctl::fleet;
use pb_ctl::fleet::Fleet;
use pb_ctl::steering;
use pb_ctl::steering::Check;
use persimmonbend_core::config::Order;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::id::Revision;
use persimmonbend_core::key::Digest;

use crate::action::Action;
use crate::form::Form;
use crate::page::Prompt;

/// Time that a request waits for its change to be in force on every host.
const IN_FORCE_WAIT: Duration = Duration::from_secs(3);

/// The result of an action, as the operator sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Feedback {
    /// How the action ended.
    pub status: Status,
    /// Message to the operator.
    pub text: String,
}

/// How an action ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Accepted and in force on every host.
    InForce,
    /// Accepted and not in force on every host yet.
    Accepted,
    /// Rejected; nothing was changed.
    Rejected,
    /// The answer was lost, so the outcome is unknown.
    Unknown,
}

impl Feedback {
    /// Returns the title of the page that shows the result.
    #[must_use]
    pub const fn title(&self) -> &'static str {
        match self.status {
            Status::InForce => "Done",
            Status::Accepted => "Accepted, not in force everywhere yet",
            Status::Rejected => "Not done",
            Status::Unknown => "Outcome unknown",
        }
    }

    /// Returns whether the operator needs to do nothing more.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        matches!(self.status, Status::InForce)
    }

    /// Returns the HTTP status of the page.
    #[must_use]
    pub const fn http_status(&self) -> u16 {
        match self.status {
            Status::InForce => 200,
            Status::Accepted => 202,
            Status::Rejected => 409,
            Status::Unknown => 504,
        }
    }

    fn new<T: Into<String>>(status: Status, text: T) -> Self {
        Self {
            status,
            text: text.into(),
        }
    }
}

/// Returns the prompt for the action of a link.
///
/// # Errors
///
/// Returns a sentence that says what is wrong with the action or the target of the link.
pub async fn prompt(fleet: &Fleet, fields: &Form) -> Result<Prompt, String> {
    let action = Action::try_from(fields)?;
    let state = fleet.config().await.ok();
    let revision = state
        .as_ref()
        .map(persimmonbend_core::config::State::revision);
    Ok(Prompt {
        change: fleet::change_id(),
        base: revision.filter(|_| action.needs_base()),
        floor: check_floor(fleet, &action).await,
        has_control: state.is_some(),
        action,
    })
}

/// Carries out a confirmed action.
///
/// A form that is submitted twice carries the same ID of the change and gets the same outcome.
pub async fn act(fleet: &Fleet, form: &Form) -> Feedback {
    match try_act(fleet, form).await {
        Ok(feedback) => feedback,
        Err(error) if error.is::<Unacknowledged>() => Feedback::new(
            Status::Unknown,
            format!(
                "The answer was lost. Look for the change under Changes, or submit the same form again; the change is not made twice. ({error:#})"
            ),
        ),
        Err(error) => Feedback::new(Status::Rejected, format!("Nothing was changed: {error:#}.")),
    }
}

async fn try_act(fleet: &Fleet, form: &Form) -> anyhow::Result<Feedback> {
    let action = match Action::try_from(form) {
        Ok(action) => action,
        Err(reason) => return Ok(Feedback::new(Status::Rejected, reason)),
    };
    let change = form.field("change");
    if change.is_empty() {
        return Ok(Feedback::new(
            Status::Rejected,
            "The form has no ID of the change. Nothing was changed.",
        ));
    }
    let base: Option<Revision> = form.field("base").parse().ok();
    if action.needs_base() && base.is_none() {
        return Ok(Feedback::new(
            Status::Rejected,
            "The form has no base revision. Nothing was changed.",
        ));
    }
    if let Some(text) = floor_refusal(fleet, &action, form.field("force") == "yes").await {
        return Ok(Feedback::new(Status::Rejected, text));
    }
    let submitted = fleet.submit_as(change.to_owned(), action.change(), base);
    match (submitted.await, &action) {
        (Ok(outcome), _) => Ok(report_outcome(fleet, outcome).await),
        (Err(_), Action::Withdraw(digest)) => withdraw_at_proxy(fleet, *digest).await,
        (Err(error), _) => Err(error),
    }
}

/// Checks the floor of the service for an order to drain or eject an upstream.
async fn check_floor(fleet: &Fleet, action: &Action) -> Option<Check> {
    match action {
        Action::Steer(upstream, order) if *order != Order::Restore => {
            Some(steering::check(fleet, upstream, *order).await)
        }
        _ => None,
    }
}

/// Returns why an order is refused: it breaks the floor, or its effect on the floor is unknown.
///
/// Returns `None` in all other cases, and if the operator forces the order.
async fn floor_refusal(fleet: &Fleet, action: &Action, force: bool) -> Option<String> {
    if force {
        return None;
    }
    match check_floor(fleet, action).await? {
        Check::Holds(_) => None,
        Check::Breaks(text) | Check::Unknown(text) => Some(format!(
            "{text} Nothing was changed; tick the box to do it all the same."
        )),
    }
}

/// Waits for an accepted change to be in force and returns the result for the operator.
async fn report_outcome(fleet: &Fleet, outcome: Outcome) -> Feedback {
    match outcome {
        Outcome::Accepted { revision } => {
            let progress = fleet.wait_in_force(revision, IN_FORCE_WAIT, |_| ()).await;
            match progress {
                Ok(progress) => {
                    let status = if progress.is_complete() {
                        Status::InForce
                    } else {
                        Status::Accepted
                    };
                    Feedback::new(status, format!("Accepted; {}.", progress.describe()))
                }
                Err(error) => Feedback::new(
                    Status::Accepted,
                    format!(
                        "Accepted as revision {revision}; where it is in force is not known: {error:#}."
                    ),
                ),
            }
        }
        Outcome::Conflict { revision, since } => {
            let others: Vec<String> = since
                .iter()
                .map(|line| format!("{} by {}", line.text, line.operator))
                .collect();
            Feedback::new(
                Status::Rejected,
                format!(
                    "Nothing was changed: revision {revision} came first ({}).",
                    others.join("; ")
                ),
            )
        }
        Outcome::Invalid { reason } => {
            Feedback::new(Status::Rejected, format!("Nothing was changed: {reason}."))
        }
    }
}

/// Withdraws a key at a proxy, because control does not answer.
async fn withdraw_at_proxy(fleet: &Fleet, digest: Digest) -> anyhow::Result<Feedback> {
    let proxy = fleet.withdraw_by_proxy(digest).await?;
    let text = format!(
        "Control does not answer; the proxy at {proxy} accepted the withdrawal of key {} and passes it \
         on. The proxies submit it to control once it is back.",
        digest.short()
    );
    Ok(Feedback::new(Status::Accepted, text))
}
