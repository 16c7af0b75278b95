//! What the replicas of the log apply, as they tell one another.
//!
//! Replicas of two builds share the log while control is replaced. Each names the level of its commands
//! behind every batch of messages, and behind the reports that it answers with what it has heard of the
//! others, so that a new leader knows of a replica that has just been lost. Builds that name no level
//! send nothing there, and ignore what comes behind a batch.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::id::HostId;
use persimmonbend_core::machine::Commands;
use persimmonbend_core::machine::FIRST_COMMANDS;
use serde::Deserialize;
use serde::Serialize;

/// Time for which the word of a replica holds. One that is lost with its zone must not keep the others
/// from a new command, and one that is replaced by an older build is stopped for longer than this.
const MAX_AGE: Duration = Duration::from_secs(600);

/// Most replicas that are kept.
const MAX_REPLICAS: usize = 256;

/// What a replica was heard to apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The replica.
    pub host: HostId,
    /// Level of its commands.
    pub commands: Commands,
    /// Milliseconds since it said so.
    pub age_ms: u64,
}

/// Levels of the commands of the other replicas, with when they were named.
#[derive(Debug, Default)]
pub struct Builds {
    heard: BTreeMap<HostId, (Commands, Instant)>,
}

impl Builds {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            heard: BTreeMap::new(),
        }
    }

    /// Notes what a replica itself has named, nothing for a build that names no level; returns whether that
    /// differs from what it named before.
    pub fn note(&mut self, host: &str, commands: Option<Commands>, now: Instant) -> bool {
        let commands = commands.unwrap_or(FIRST_COMMANDS);
        let before = self.heard.get(host).map(|(before, _)| *before);
        self.insert(host, commands, now);
        before != Some(commands)
    }

    /// Notes what another replica has heard; the latest word on a replica counts.
    pub fn merge(&mut self, words: Vec<Word>, now: Instant) {
        for word in words {
            let Some(at) = now.checked_sub(Duration::from_millis(word.age_ms)) else {
                continue;
            };
            let known = self.heard.get(&word.host);
            if known.is_none_or(|(_, known)| *known < at) {
                self.insert(&word.host, word.commands, at);
            }
        }
    }

    /// Returns what was heard, for the other replicas.
    #[must_use]
    pub fn words(&self, now: Instant) -> Vec<Word> {
        let heard = self.heard.iter();
        heard
            .map(|(host, (commands, at))| Word {
                host: host.clone(),
                commands: *commands,
                age_ms: u64::try_from(now.saturating_duration_since(*at).as_millis())
                    .unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Returns whether a replica has named `commands` or more, lately.
    #[must_use]
    pub fn applies(&self, host: &str, commands: Commands, now: Instant) -> bool {
        let heard = self.heard.get(host);
        heard.is_some_and(|(named, at)| {
            *named >= commands && now.saturating_duration_since(*at) <= MAX_AGE
        })
    }

    /// Returns the levels for operators.
    #[must_use]
    pub fn status(&self) -> BTreeMap<&str, Commands> {
        let heard = self.heard.iter();
        heard
            .map(|(host, (commands, _))| (host.as_str(), *commands))
            .collect()
    }

    fn insert(&mut self, host: &str, commands: Commands, at: Instant) {
        if self.heard.len() < MAX_REPLICAS || self.heard.contains_key(host) {
            self.heard.insert(host.to_owned(), (commands, at));
        }
    }
}
