//! Actions: what is asked before, and what became of them.

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
use crate::page::Confirmation;

/// Time that a page waits for a change to be in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(3);

/// What became of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// How it ended.
    pub ending: Ending,
    /// What the operator is told.
    pub text: String,
}

/// How an action ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// In force on every host.
    Everywhere,
    /// Accepted and not in force on every host yet.
    Accepted,
    /// Not accepted; nothing was changed.
    Rejected,
    /// The answer was lost.
    Unknown,
}

impl Done {
    /// Returns the title of the page that tells it.
    #[must_use]
    pub const fn title(&self) -> &'static str {
        match self.ending {
            Ending::Everywhere => "Done",
            Ending::Accepted => "Accepted, not in force everywhere yet",
            Ending::Rejected => "Not done",
            Ending::Unknown => "Outcome unknown",
        }
    }

    /// Returns whether there is nothing to worry about.
    #[must_use]
    pub const fn is_good(&self) -> bool {
        matches!(self.ending, Ending::Everywhere)
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.ending {
            Ending::Everywhere => 200,
            Ending::Accepted => 202,
            Ending::Rejected => 409,
            Ending::Unknown => 504,
        }
    }

    fn new<T: Into<String>>(ending: Ending, text: T) -> Self {
        Self {
            ending,
            text: text.into(),
        }
    }
}

/// Returns what the operator is asked to confirm.
///
/// # Errors
///
/// Returns a sentence when the link names no action.
pub async fn ask(fleet: &Fleet, fields: &Form) -> Result<Confirmation, String> {
    let action = Action::try_from(fields)?;
    let state = fleet.config().await.ok();
    let revision = state
        .as_ref()
        .map(persimmonbend_core::config::State::revision);
    Ok(Confirmation {
        change: fleet::change_id(),
        base: revision.filter(|_| action.needs_base()),
        floor: floor(fleet, &action).await,
        has_control: state.is_some(),
        action,
    })
}

/// Performs a confirmed action.
///
/// A form that is sent twice carries the same name of the change and gets the same outcome.
pub async fn act(fleet: &Fleet, form: &Form) -> Done {
    match try_act(fleet, form).await {
        Ok(done) => done,
        Err(error) if error.is::<Unacknowledged>() => Done::new(
            Ending::Unknown,
            format!(
                "The answer was lost. Look for the change in the list of changes, or send the same form again, which is harmless. ({error:#})"
            ),
        ),
        Err(error) => Done::new(Ending::Rejected, format!("Nothing was changed: {error:#}.")),
    }
}

async fn try_act(fleet: &Fleet, form: &Form) -> anyhow::Result<Done> {
    let action = match Action::try_from(form) {
        Ok(action) => action,
        Err(reason) => return Ok(Done::new(Ending::Rejected, reason)),
    };
    let change = form.field("change");
    if change.is_empty() {
        return Ok(Done::new(
            Ending::Rejected,
            "The form names no change. Nothing was changed.",
        ));
    }
    let base: Option<Revision> = form.field("base").parse().ok();
    if action.needs_base() && base.is_none() {
        return Ok(Done::new(
            Ending::Rejected,
            "The form names no revision. Nothing was changed.",
        ));
    }
    if let Some(text) = objection(fleet, &action, form.field("force") == "yes").await {
        return Ok(Done::new(Ending::Rejected, text));
    }
    let submitted = fleet.submit_as(change.to_owned(), action.change(), base);
    match (submitted.await, &action) {
        (Ok(outcome), _) => Ok(told(fleet, outcome).await),
        (Err(_), Action::Withdraw(digest)) => by_proxy(fleet, *digest).await,
        (Err(error), _) => Err(error),
    }
}

async fn floor(fleet: &Fleet, action: &Action) -> Option<Check> {
    match action {
        Action::Steer(upstream, order) if *order != Order::Restore => {
            Some(steering::check(fleet, upstream, *order).await)
        }
        _ => None,
    }
}

async fn objection(fleet: &Fleet, action: &Action, force: bool) -> Option<String> {
    if force {
        return None;
    }
    match floor(fleet, action).await? {
        Check::Holds(_) => None,
        Check::Breaks(text) | Check::Unknown(text) => Some(format!(
            "{text} Nothing was changed; tick the box to do it all the same."
        )),
    }
}

async fn told(fleet: &Fleet, outcome: Outcome) -> Done {
    match outcome {
        Outcome::Accepted { revision } => {
            let progress = fleet.wait_in_force(revision, IN_FORCE_WAIT, |_| ()).await;
            match progress {
                Ok(progress) => {
                    let ending = if progress.is_complete() {
                        Ending::Everywhere
                    } else {
                        Ending::Accepted
                    };
                    Done::new(ending, format!("Accepted; {}.", progress.describe()))
                }
                Err(error) => Done::new(
                    Ending::Accepted,
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
            Done::new(
                Ending::Rejected,
                format!(
                    "Nothing was changed: revision {revision} came first ({}).",
                    others.join("; ")
                ),
            )
        }
        Outcome::Invalid { reason } => {
            Done::new(Ending::Rejected, format!("Nothing was changed: {reason}."))
        }
    }
}

async fn by_proxy(fleet: &Fleet, digest: Digest) -> anyhow::Result<Done> {
    let proxy = fleet.withdraw_by_proxy(digest).await?;
    let text = format!(
        "Control gives no answer; the proxy at {proxy} took the withdrawal of key {} and spreads \
         it. The proxies pass it on once control is back.",
        digest.short()
    );
    Ok(Done::new(Ending::Accepted, text))
}
