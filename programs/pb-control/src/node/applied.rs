//! The replicated state with its most recent changes of configuration.

use std::collections::VecDeque;

use persimmonbend_core::config::Entry;
use persimmonbend_core::id::Revision;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Reply;
use persimmonbend_wire::update::Update;

/// Most recent changes that are kept, so that hosts with an older revision get these instead of a
/// snapshot.
const RECENT_ENTRIES: usize = 1_024;

/// The state after all committed commands were applied.
#[derive(Debug, Default)]
pub struct Applied {
    machine: Machine,
    recent: VecDeque<Entry>,
}

impl Applied {
    /// Creates the state before the first command.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the replicated state.
    #[must_use]
    pub const fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Replaces the state with that of a snapshot.
    pub fn install(&mut self, machine: Machine) {
        self.machine = machine;
        self.recent.clear();
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        let reply = self.machine.apply(command);
        if let Reply::Change {
            entry: Some(entry), ..
        } = &reply
        {
            self.recent.push_back(entry.clone());
        }
        if self.recent.len() > RECENT_ENTRIES {
            self.recent.pop_front();
        }
        reply
    }

    /// Returns the changes after revision `since`, or a snapshot if they are no longer kept.
    #[must_use]
    pub fn update(&self, since: Revision) -> Update {
        let config = self.machine.config();
        if since >= config.revision() {
            return Update::Changes(Vec::new());
        }
        let first = self.recent.front();
        let reaches = first.is_some_and(|first| first.revision <= since + 1);
        if !reaches {
            return Update::Snapshot(Box::new(config.clone()));
        }
        let newer = self.recent.iter().filter(|entry| entry.revision > since);
        Update::Changes(newer.cloned().collect())
    }
}
