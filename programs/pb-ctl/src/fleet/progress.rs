//! On how many hosts a revision is in force.

use std::time::Duration;

use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Silence after which a host is called silent.
const SILENCE_THRESHOLD: Duration = Duration::from_secs(5);

/// Hosts that are named in one sentence.
const MAX_LISTED_HOSTS: usize = 10;

/// What control last heard from a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host.
    pub host: HostId,
    /// Revision that it had in force.
    pub revision: Revision,
    /// Time since then in milliseconds.
    pub silent_ms: u64,
}

/// The part of control's report that concerns the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Status {
    /// Revision in force at control.
    pub revision: Revision,
    /// Hosts that subscribe.
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// How far a revision has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The revision.
    pub revision: Revision,
    /// Hosts that have it in force.
    pub in_force: usize,
    /// Hosts in all.
    pub hosts: usize,
    /// Hosts that do not have it in force.
    pub missing: Vec<Host>,
}

impl Progress {
    /// Creates the progress of a revision from a report of control.
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

    /// Returns one sentence that names the hosts which are not there yet.
    #[must_use]
    pub fn describe(&self) -> String {
        if self.hosts == 0 {
            return format!(
                "revision {} is in force on no host: none has asked control for configuration",
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
