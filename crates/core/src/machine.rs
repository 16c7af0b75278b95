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
use crate::id::HostId;
use crate::quota::Seat;
use crate::quota::Seats;
use crate::record::Claim;
use crate::record::Millis;
use crate::record::Name;
use crate::record::Outcome as Execution;
use crate::record::Owner;
use crate::record::Table;
use crate::record::Verdict;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Changes the configuration.
    Change {
        /// The change as sent.
        submission: Submission,
    },
    /// Gives a host a seat.
    Seat {
        /// The host.
        host: HostId,
        /// Number of all seats, in force if this is the first one.
        of: u32,
    },
    /// Frees the seat of a host that has stopped.
    Vacate {
        /// The host.
        host: HostId,
    },
    /// Claims the record of a non-idempotent request.
    Claim {
        /// The claim.
        claim: Claim,
        /// Wall time of the leader.
        at: Millis,
    },
    /// Tells what became of a claimed execution.
    Complete {
        /// The record.
        name: Name,
        /// Who ran it.
        owner: Owner,
        /// What became of it.
        outcome: Execution,
        /// Wall time of the leader.
        at: Millis,
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
    /// The seat of a host, if there is one for it.
    Seat {
        /// The seat.
        seat: Option<Seat>,
    },
    /// The verdict on a claim.
    Claim {
        /// The verdict.
        verdict: Verdict,
    },
    /// The command was applied.
    Applied,
}

/// The replicated state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Machine {
    config: State,
    #[serde(default)]
    seats: Seats,
    #[serde(default)]
    records: Table,
}

impl Machine {
    /// Returns the configuration.
    #[must_use]
    pub const fn config(&self) -> &State {
        &self.config
    }

    /// Returns the seats of hosts.
    #[must_use]
    pub const fn seats(&self) -> &Seats {
        &self.seats
    }

    /// Returns the records of non-idempotent requests.
    #[must_use]
    pub const fn records(&self) -> &Table {
        &self.records
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Change { submission } => self.change(submission),
            Command::Seat { host, of } => Reply::Seat {
                seat: self.seats.take(host, *of),
            },
            Command::Vacate { host } => {
                self.seats.vacate(host);
                Reply::Applied
            }
            Command::Claim { claim, at } => Reply::Claim {
                verdict: self.records.claim(claim, *at),
            },
            Command::Complete {
                name,
                owner,
                outcome,
                at,
            } => {
                self.records.complete(name, owner, outcome, *at);
                Reply::Applied
            }
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
