//! All replicated state of control, as one deterministic state machine.
//!
//! The log carries [`Command`]s; every replica applies them in the same order with
//! [`Machine::apply`]. Decisions fall when a command is applied, never before, so that two
//! commands that race are told apart by their order in the log.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Entry;
use crate::config::Outcome;
use crate::config::State;
use crate::config::Submission;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Changes the configuration.
    Change {
        /// The change as sent.
        submission: Submission,
    },
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The outcome of a change, with the entry when it made a new revision.
    Change {
        /// The outcome.
        outcome: Outcome,
        /// The entry to hand to the fleet.
        entry: Option<Entry>,
    },
}

/// The replicated state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Machine {
    config: State,
}

impl Machine {
    /// Returns the configuration.
    #[must_use]
    pub const fn config(&self) -> &State {
        &self.config
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change { submission } => self.change(submission),
        }
    }

    fn change(&mut self, submission: &Submission) -> Reply {
        let outcome = self.config.judge(submission);
        let entry = match outcome {
            Outcome::Accepted { revision } if revision > self.config.revision() => Some(Entry {
                revision,
                submission: submission.clone(),
            }),
            _ => None,
        };
        if let Some(entry) = &entry {
            self.config.apply(entry);
        }
        Reply::Change { outcome, entry }
    }
}
