//! The number of hosts on which a revision is in force.

use std::time::Duration;

use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Revision;
use persimmonbend_core::id::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Time without a report to control after which a host is shown as silent.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(5);

/// Hosts listed by name in one sentence.
const MAX_LISTED_HOSTS: usize = 10;

/// The last report of a host to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostId,
    /// Revision that the host had in force.
    pub revision: Revision,
    /// Time since the report in milliseconds.
    pub silent_ms: u64,
}

/// The part of control's status that concerns the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Status {
    /// Revision in force at control.
    pub revision: Revision,
    /// Hosts that subscribe to the configuration.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Zones that are evacuated.
    #[serde(default)]
    pub evacuated_zones: Vec<Zone>,
}

/// The number of hosts that have a revision in force, and the hosts that do not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Revision that is counted.
    pub revision: Revision,
    /// Number of hosts that have the revision in force.
    pub in_force: usize,
    /// Number of all hosts.
    pub hosts: usize,
    /// Hosts that do not have the revision in force.
    pub missing: Vec<Host>,
}

impl Progress {
    /// Creates the progress of a revision from control's status.
    #[must_use]
    pub fn new(revision: Revision, status: &Status) -> Self {
        let is_behind = |host: &&Host| host.revision < revision;
        let missing: Vec<Host> = status.hosts.iter().filter(is_behind).cloned().collect();
        Self {
            revision,
            in_force: status.hosts.len() - missing.len(),
            hosts: status.hosts.len(),
            missing,
        }
    }

    /// Returns whether every host has the revision in force.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.hosts > 0 && self.missing.is_empty()
    }

    /// Returns one sentence that names the hosts which do not have the revision in force.
    #[must_use]
    pub fn describe(&self) -> String {
        if self.hosts == 0 {
            return format!(
                "revision {} is in force on no host: no host has asked control for its configuration",
                self.revision
            );
        }
        let mut text = format!(
            "revision {} is in force on {} of {} hosts",
            self.revision, self.in_force, self.hosts
        );
        let listed: Vec<String> = self
            .missing
            .iter()
            .take(MAX_LISTED_HOSTS)
            .map(describe_host)
            .collect();
        if !listed.is_empty() {
            text = format!("{text}; {}", listed.join("; "));
        }
        if self.missing.len() > MAX_LISTED_HOSTS {
            text = format!("{text}; and {} more", self.missing.len() - MAX_LISTED_HOSTS);
        }
        text
    }
}

fn describe_host(host: &Host) -> String {
    let silent = Duration::from_millis(host.silent_ms);
    if silent >= SILENCE_THRESHOLD {
        return format!("{} silent for {} s", host.host, silent.as_secs());
    }
    format!("{} has revision {}", host.host, host.revision)
}
