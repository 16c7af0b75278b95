//! The actions that an operator can take from the pages.

use persimmonbend_core::config::Change;
use persimmonbend_core::config::Order;
use persimmonbend_core::id::Revision;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::key::Digest;

use crate::form::Form;

/// An action with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Withdraws a key permanently.
    Withdraw(Digest),
    /// Drains, ejects or restores an upstream.
    Steer(UpstreamId, Order),
    /// Puts the services of an earlier revision in force again.
    Rollback(Revision),
}

impl Action {
    /// Returns the name of the action in forms and links.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Withdraw(_) => "withdraw",
            Self::Steer(_, Order::Drain) => "drain",
            Self::Steer(_, Order::Eject) => "eject",
            Self::Steer(_, Order::Restore) => "restore",
            Self::Rollback(_) => "rollback",
        }
    }

    /// Returns the target of the action in forms and links.
    #[must_use]
    pub fn target(&self) -> String {
        match self {
            Self::Withdraw(digest) => digest.to_string(),
            Self::Steer(upstream, _) => upstream.clone(),
            Self::Rollback(revision) => revision.to_string(),
        }
    }

    /// Returns a sentence that says what the action does.
    #[must_use]
    pub fn describe(&self) -> String {
        match self {
            Self::Withdraw(digest) => format!(
                "Withdraw key {} permanently: requests with it are refused within seconds.",
                digest.short()
            ),
            Self::Steer(upstream, Order::Drain) => {
                format!("Drain {upstream}: it gets no new requests and finishes those it has.")
            }
            Self::Steer(upstream, Order::Eject) => {
                format!("Eject {upstream}: it is treated as failed until it is restored.")
            }
            Self::Steer(upstream, Order::Restore) => {
                format!(
                    "Restore {upstream}: earlier drain and eject orders for it no longer apply."
                )
            }
            Self::Rollback(to) => format!(
                "Put the services of revision {to} in force again, as a new revision; \
                 keys and tenants stay as they are."
            ),
        }
    }

    /// Returns the change of the configuration that carries out the action.
    #[must_use]
    pub fn change(&self) -> Change {
        match self {
            Self::Withdraw(digest) => Change::WithdrawKey { digest: *digest },
            Self::Steer(upstream, order) => Change::Steer {
                upstream: upstream.clone(),
                order: *order,
            },
            Self::Rollback(to) => Change::Rollback { to: *to },
        }
    }

    /// Returns whether the change needs a base revision, against which conflicts are detected.
    #[must_use]
    pub const fn needs_base(&self) -> bool {
        matches!(self, Self::Rollback(_))
    }
}

impl TryFrom<&Form> for Action {
    type Error = String;

    fn try_from(form: &Form) -> Result<Self, Self::Error> {
        let target = form.field("target");
        if target.is_empty() {
            return Err("The target is missing.".to_owned());
        }
        let steer = |order| Ok(Self::Steer(target.to_owned(), order));
        match form.field("action") {
            "withdraw" => {
                let digest = Digest::try_from(target.to_owned());
                let digest =
                    digest.map_err(|_| "The target must be the digest of a key.".to_owned());
                digest.map(Self::Withdraw)
            }
            "drain" => steer(Order::Drain),
            "eject" => steer(Order::Eject),
            "restore" => steer(Order::Restore),
            "rollback" => {
                let revision = target.parse();
                let revision =
                    revision.map_err(|_| "The target must be the number of a revision.".to_owned());
                revision.map(Self::Rollback)
            }
            _ => Err("The action must be withdraw, drain, eject, restore or rollback.".to_owned()),
        }
    }
}
