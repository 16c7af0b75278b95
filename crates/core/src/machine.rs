//! The replicated state of control, one deterministic state machine.
//!
//! The log holds [`Command`]s; every replica applies them in the same order with
//! [`Machine::apply`]. A command is decided when it is applied, never before, so the order of the
//! log decides between concurrent commands.

use std::rc::Rc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::config;
use crate::config::Outcome;
use crate::config::State;
use crate::config::Submission;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::publication::Publication;
use crate::quota::Seat;
use crate::quota::Seats;
use crate::record::Claim;
use crate::record::Millis;
use crate::record::Name;
use crate::record::Outcome as Execution;
use crate::record::Owner;
use crate::record::Table;
use crate::record::Verdict;
use crate::roster::Entry;
use crate::roster::Roster;
use crate::upstream::Announcement;

/// Level of the commands that a build applies; a build of a level applies those of all lower ones.
pub type Commands = u32;

/// Commands of the builds that name no level.
pub const FIRST_COMMANDS: Commands = 1;

/// Commands that this build applies: 2 adds evacuations, 3 a publication of version 0, 4 what corrects
/// departures of upstreams.
pub const OWN_COMMANDS: Commands = 4;

/// A command in the log.
///
/// A new command, or a field that changes what a command does, raises [`OWN_COMMANDS`] and is named in
/// [`Command::level`]: a build reads a command that it does not know as no command at all, and ignores
/// fields that it does not know.
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
        /// Total number of seats; counts only if this is the first seat.
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
    /// Reports the outcome of a claimed execution.
    Complete {
        /// Name of the record.
        name: Name,
        /// Owner of the execution.
        owner: Owner,
        /// Outcome of the execution.
        outcome: Execution,
        /// Wall time of the leader.
        at: Millis,
    },
    /// Puts a publication in force, unless its version is not higher than the one in force.
    Publish {
        /// The publication with the document that its author sent.
        published: Rc<Published>,
    },
    /// Applies an announcement of an upstream.
    Announce {
        /// The announcement.
        announcement: Announcement,
    },
    /// Marks the known start of an upstream as left. Builds before level 4 propose it for departures, which are
    /// announcements since.
    #[serde(rename = "part")]
    Deregister {
        /// The upstream.
        id: UpstreamId,
    },
    /// Evacuates a zone; a command of level 2, see [`Command::level`].
    Evacuate {
        /// The zone.
        zone: Zone,
    },
    /// Takes an evacuated zone back; a command of level 2.
    Readmit {
        /// The zone.
        zone: Zone,
    },
    /// Reinstates a start of an upstream that the roster refuses; a command of level 4.
    Reinstate {
        /// An announcement of the start.
        announcement: Announcement,
    },
    /// Forgets departures of upstreams that the roster has not known; a command of level 4.
    ForgetDepartures {
        /// The upstreams.
        ids: Vec<UpstreamId>,
    },
}

impl Command {
    /// Returns the level from which on a build applies the command. A replica whose build does not have it
    /// cannot go on after the command, so it is proposed only once all members of the log have it.
    #[must_use]
    pub fn level(&self) -> Commands {
        match self {
            Self::Evacuate { .. } | Self::Readmit { .. } => 2,
            // Builds of lower levels take version 0 for nothing.
            Self::Publish { published } if published.publication.version == Some(0) => 3,
            Self::Reinstate { .. } | Self::ForgetDepartures { .. } => 4,
            _ => FIRST_COMMANDS,
        }
    }
}

/// A publication with its source document.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Published {
    /// The publication.
    pub publication: Rc<Publication>,
    /// The document as its author sent it.
    pub document: String,
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The outcome of a change, with the entry when it made a new revision.
    Change {
        /// The outcome.
        outcome: Outcome,
        /// The entry to send to the fleet.
        entry: Option<config::Entry>,
    },
    /// The seat of a host, if one is free or held.
    Seat {
        /// The seat.
        seat: Option<Seat>,
    },
    /// The verdict on a claim.
    Claim {
        /// The verdict.
        verdict: Verdict,
    },
    /// The publication that is now in force, if the command changed it.
    Published {
        /// The publication.
        publication: Option<Rc<Publication>>,
    },
    /// The upstreams that the command changed.
    Registered {
        /// Entries of the changed upstreams.
        changed: Vec<Entry>,
    },
    /// An order or withdrawal of an evacuation.
    Evacuation {
        /// The zone.
        zone: Zone,
        /// Whether the zone is evacuated from here on.
        is_evacuated: bool,
        /// Effective entries of the changed upstreams; none if the order repeats an earlier one.
        changed: Vec<Entry>,
    },
    /// The command was applied.
    Applied,
}

/// The replicated state of control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    config: State,
    #[serde(default)]
    seats: Seats,
    #[serde(default)]
    records: Table,
    #[serde(
        default,
        skip_serializing_if = "is_unpublished",
        deserialize_with = "published_or_none"
    )]
    published: Rc<Published>,
    #[serde(default)]
    roster: Roster,
    /// Highest level of the commands that were applied; left out while all builds apply them.
    #[serde(default = "first_commands", skip_serializing_if = "is_first")]
    commands: Commands,
}

const fn first_commands() -> Commands {
    FIRST_COMMANDS
}

// Serde passes a reference.
#[expect(clippy::trivially_copy_pass_by_ref)]
const fn is_first(commands: &Commands) -> bool {
    *commands == FIRST_COMMANDS
}

fn is_unpublished(published: &Rc<Published>) -> bool {
    published.publication.version.is_none()
}

/// Reads the publication in force. Builds of lower levels write version 0 and no document for none.
fn published_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Rc<Published>, D::Error> {
    let published = Rc::<Published>::deserialize(deserializer)?;
    let is_none = published.publication.version == Some(0) && published.document.is_empty();
    Ok(if is_none { Rc::default() } else { published })
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            config: State::default(),
            seats: Seats::default(),
            records: Table::default(),
            published: Rc::default(),
            roster: Roster::default(),
            commands: FIRST_COMMANDS,
        }
    }
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

    /// Returns the publication in force, without a version before the first one.
    #[must_use]
    pub const fn published(&self) -> &Rc<Published> {
        &self.published
    }

    /// Returns the roster of announced upstreams.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the highest level of the commands that were applied.
    #[must_use]
    pub const fn commands(&self) -> Commands {
        self.commands
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        self.commands = self.commands.max(command.level());
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
            Command::Publish { published } => self.publish(published),
            Command::Announce { announcement } => Reply::Registered {
                changed: self.roster.apply(announcement),
            },
            Command::Deregister { id } => Reply::Registered {
                changed: self.roster.deregister(id).into_iter().collect(),
            },
            Command::Evacuate { zone } => self.set_evacuated(zone, true),
            Command::Readmit { zone } => self.set_evacuated(zone, false),
            Command::Reinstate { announcement } => Reply::Registered {
                changed: self.roster.reinstate(announcement),
            },
            Command::ForgetDepartures { ids } => {
                self.roster.forget_departures(ids);
                Reply::Applied
            }
        }
    }

    fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) -> Reply {
        Reply::Evacuation {
            zone: zone.to_owned(),
            is_evacuated,
            changed: self.roster.set_evacuated(zone, is_evacuated),
        }
    }

    fn publish(&mut self, published: &Rc<Published>) -> Reply {
        let newer = published.publication.version > self.published.publication.version;
        if newer {
            self.published = Rc::clone(published);
        }
        Reply::Published {
            publication: newer.then(|| Rc::clone(&published.publication)),
        }
    }

    fn change(&mut self, submission: &Submission) -> Reply {
        let outcome = self.config.evaluate(submission);
        let entry = match outcome {
            Outcome::Accepted { revision } if revision > self.config.revision() => {
                Some(config::Entry {
                    revision,
                    submission: submission.clone(),
                })
            }
            _ => None,
        };
        if let Some(entry) = &entry {
            self.config.apply(entry);
        }
        Reply::Change { outcome, entry }
    }
}
