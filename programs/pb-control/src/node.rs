//! The state of a replica and the changes it accepts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use event_listener::Event;
use log::info;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Revision;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Reply;
use persimmonbend_replica::journal::Journal;
use persimmonbend_wire::update::Update;
use serde_json::json;

use crate::settings::Settings;

/// Entries kept for hosts that are a little behind.
const RECENT_ENTRIES: usize = 1_024;

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// What a host last told about the configuration it has in force.
#[derive(Debug, Clone, Copy)]
struct Seen {
    revision: Revision,
    at: Instant,
}

/// One control replica.
#[derive(Debug)]
pub struct Node {
    host: HostId,
    clock: Rc<dyn Clock>,
    inner: RefCell<Inner>,
    changed: Event,
}

#[derive(Debug)]
struct Inner {
    journal: Journal,
    machine: Machine,
    recent: VecDeque<Entry>,
    hosts: BTreeMap<HostId, Seen>,
}

impl Node {
    /// Opens the data folder and replays its journal.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be used or holds an unreadable entry.
    pub fn open(settings: &Settings, clock: Rc<dyn Clock>) -> anyhow::Result<Self> {
        let folder = &settings.data;
        std::fs::create_dir_all(folder)
            .with_context(|| format!("cannot make {}", folder.display()))?;
        let (journal, records) = Journal::open(&folder.join("journal"))?;
        let mut inner = Inner {
            journal,
            machine: Machine::default(),
            recent: VecDeque::new(),
            hosts: BTreeMap::new(),
        };
        for record in records {
            let command = serde_json::from_slice(&record).context("unreadable journal entry")?;
            inner.apply(&command);
        }
        Ok(Self {
            host: settings.host.clone(),
            clock,
            inner: RefCell::new(inner),
            changed: Event::new(),
        })
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.inner.borrow().machine.config().revision()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn state(&self) -> State {
        self.inner.borrow().machine.config().clone()
    }

    /// Syncs a submission and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error when the journal cannot be written; the outcome is then unknown.
    pub fn submit(&self, submission: Submission) -> anyhow::Result<Outcome> {
        let command = Command::Change { submission };
        let mut inner = self.inner.borrow_mut();
        inner.journal.append(&serde_json::to_vec(&command)?)?;
        let reply = inner.apply(&command);
        drop(inner);
        let Reply::Change { outcome, entry } = reply else {
            anyhow::bail!("a change got the reply to another command");
        };
        if let Some(entry) = entry {
            let text = entry.submission.change.describe();
            info!("control: revision {}: {text}", entry.revision);
            self.changed.notify(usize::MAX);
        }
        Ok(outcome)
    }

    /// Waits at most `wait` for configuration newer than `since` and returns it.
    pub async fn watch(&self, host: &str, since: Revision, wait: Duration) -> (Revision, Update) {
        self.saw(host, since);
        let listener = self.changed.listen();
        if self.revision() <= since {
            let _ = compio::time::timeout(wait.min(MAX_WAIT), listener).await;
        }
        let inner = self.inner.borrow();
        (inner.machine.config().revision(), inner.update(since))
    }

    /// Returns what operators ask for first.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let inner = self.inner.borrow();
        let now = self.clock.now();
        let host = |(name, seen): (&HostId, &Seen)| {
            json!({
                "host": name,
                "revision": seen.revision,
                "silent_ms": u64::try_from(now.duration_since(seen.at).as_millis()).unwrap_or(u64::MAX),
            })
        };
        json!({
            "host": self.host,
            "leader": true,
            "revision": inner.machine.config().revision(),
            "hosts": inner.hosts.iter().map(host).collect::<Vec<_>>(),
        })
    }

    fn saw(&self, host: &str, revision: Revision) {
        let seen = Seen {
            revision,
            at: self.clock.now(),
        };
        self.inner.borrow_mut().hosts.insert(host.to_owned(), seen);
    }
}

impl Inner {
    fn apply(&mut self, command: &Command) -> Reply {
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

    fn update(&self, since: Revision) -> Update {
        let config = self.machine.config();
        if since >= config.revision() {
            return Update::Changes(Vec::new());
        }
        let reaches = self
            .recent
            .front()
            .is_some_and(|first| first.revision <= since + 1);
        if !reaches {
            return Update::Snapshot(Box::new(config.clone()));
        }
        let newer = self.recent.iter().filter(|entry| entry.revision > since);
        Update::Changes(newer.cloned().collect())
    }
}
