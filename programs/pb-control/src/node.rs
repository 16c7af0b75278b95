//! The state of a replica and the changes it accepts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
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
use rand::seq::IteratorRandom;
use serde_json::json;

use crate::error::Error;
use crate::leadership::Leadership;
use crate::leadership::Observer;
use crate::leadership::Term;
use crate::settings::Settings;

/// Term of a replica that has no others.
const FIRST_TERM: Term = 1;

/// Entries kept for hosts that are a little behind.
const RECENT_ENTRIES: usize = 1_024;

/// Addresses of other hosts that a watch returns at most.
const BOOK: usize = 8;

/// Time after its last call for which a host's address is handed out.
const BOOK_LIFETIME: Duration = Duration::from_secs(60);

/// Most hosts whose addresses are kept.
const MAX_HOSTS: usize = 8_192;

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// What a host last told about the configuration it has in force.
#[derive(Debug, Clone, Copy)]
struct Seen {
    revision: Revision,
    at: Instant,
}

/// Where a host takes calls of its peers.
#[derive(Debug, Clone, Copy)]
struct Contact {
    peers: SocketAddr,
    at: Instant,
}

/// One control replica.
#[derive(Debug)]
pub struct Node {
    host: HostId,
    clock: Rc<dyn Clock>,
    started: Instant,
    inner: RefCell<Inner>,
    observers: RefCell<Vec<Rc<dyn Observer>>>,
    changed: Event,
}

#[derive(Debug)]
struct Inner {
    journal: Journal,
    machine: Machine,
    recent: VecDeque<Entry>,
    hosts: BTreeMap<HostId, Seen>,
    contacts: BTreeMap<HostId, Contact>,
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
            contacts: BTreeMap::new(),
        };
        for record in records {
            let command = serde_json::from_slice(&record).context("unreadable journal entry")?;
            inner.apply(&command);
        }
        Ok(Self {
            host: settings.host.clone(),
            started: clock.now(),
            clock,
            inner: RefCell::new(inner),
            observers: RefCell::new(Vec::new()),
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

    /// Returns what `read` finds in the replicated state.
    pub fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        read(&self.inner.borrow().machine)
    }

    /// Returns whether this replica leads and may answer for the fleet.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leadership().is_leader()
    }

    /// Returns the newest term that the replica knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.leadership().term()
    }

    /// Returns the role of this replica.
    #[must_use]
    pub fn leadership(&self) -> Leadership {
        Leadership::Leader {
            term: FIRST_TERM,
            since: self.started,
        }
    }

    /// Adds an observer of leadership and tells it the present role.
    pub fn observe(&self, observer: Rc<dyn Observer>) {
        observer.changed(self.leadership());
        self.observers.borrow_mut().push(observer);
    }

    /// Proposes a command and returns its reply once it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica does not lead or cannot commit the command.
    pub async fn propose(&self, command: Command) -> Result<Reply, Error> {
        let record = serde_json::to_vec(&command).map_err(invalid)?;
        let mut inner = self.inner.borrow_mut();
        inner.journal.append(&record).map_err(stopped)?;
        let reply = inner.apply(&command);
        drop(inner);
        self.announce(&reply);
        Ok(reply)
    }

    /// Proposes a submission and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Node::propose`] does.
    pub async fn submit(&self, submission: Submission) -> Result<Outcome, Error> {
        match self.propose(Command::Change { submission }).await? {
            Reply::Change { outcome, .. } => Ok(outcome),
            _ => Err(Error::Unknown),
        }
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

    /// Notes where a host takes calls of its peers.
    pub fn meet(&self, host: &str, peers: Option<SocketAddr>) {
        let Some(peers) = peers else {
            return;
        };
        let at = self.clock.now();
        let contacts = &mut self.inner.borrow_mut().contacts;
        if contacts.len() < MAX_HOSTS || contacts.contains_key(host) {
            contacts.insert(host.to_owned(), Contact { peers, at });
        }
        contacts.retain(|_, one| at.duration_since(one.at) < BOOK_LIFETIME);
    }

    /// Returns the addresses of some hosts other than `host` that called lately.
    #[must_use]
    pub fn book(&self, host: &str) -> Vec<SocketAddr> {
        let inner = self.inner.borrow();
        let others = inner.contacts.iter().filter(|(id, _)| *id != host);
        let peers = others.map(|(_, contact)| contact.peers);
        peers.sample(&mut rand::rng(), BOOK)
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

    fn announce(&self, reply: &Reply) {
        let Reply::Change {
            entry: Some(entry), ..
        } = reply
        else {
            return;
        };
        let text = entry.submission.change.describe();
        info!("control: revision {}: {text}", entry.revision);
        self.changed.notify(usize::MAX);
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

fn invalid<E: std::fmt::Display>(error: E) -> Error {
    Error::Invalid(error.to_string())
}

fn stopped<E: std::fmt::Display>(error: E) -> Error {
    Error::Stopped(error.to_string())
}
