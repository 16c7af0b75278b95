//! One control replica: its state, its proposals and the calls that read or change them.

mod applied;
mod builds;
mod hosts;
pub mod opener;
mod proposals;
pub mod record;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use event_listener::Event;
use futures_channel::oneshot;
use log::debug;
use log::info;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Revision;
use persimmonbend_core::id::Zone;
use persimmonbend_core::machine::Command;
pub use persimmonbend_core::machine::Commands;
use persimmonbend_core::machine::FIRST_COMMANDS;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::OWN_COMMANDS;
use persimmonbend_core::machine::Reply;
use persimmonbend_replica::entry::Entry;
use persimmonbend_replica::entry::Payload;
use persimmonbend_replica::members::Change;
use persimmonbend_replica::members::Refusal;
use persimmonbend_replica::message::Message;
use persimmonbend_replica::replica::Output;
use persimmonbend_replica::replica::Replica;
use persimmonbend_replica::settings;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Storage;
use persimmonbend_wire::update::Update;
use serde_json::json;

use crate::error::Error;
use crate::leadership::Leadership;
use crate::leadership::Observer;
use crate::leadership::Term;
use crate::node::applied::Applied;
use crate::node::builds::Builds;
pub use crate::node::builds::Word;
use crate::node::hosts::Hosts;
pub use crate::node::hosts::Report;
use crate::node::opener::Folder;
pub use crate::node::opener::Halt;
use crate::node::opener::Opener;
use crate::node::proposals::Proposals;
use crate::settings::Settings;

/// Longest time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time after which a proposal that is not committed is answered with [`Error::Unknown`].
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence of the leader up to which a follower serves the configuration.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(2);

/// Number of entries from which on the log is replaced by a snapshot.
const COMPACT_ENTRIES: usize = 4_096;

/// Size of the entries from which on the log is replaced by a snapshot.
const COMPACT_BYTES: usize = 8 * 1024 * 1024;

/// Number of steps in which a single replica bootstraps or restores its log.
const OPENING_STEPS: usize = 4;

/// One control replica.
#[derive(Debug)]
pub struct Node {
    host: HostId,
    opener: Box<dyn Opener>,
    replica_settings: RefCell<settings::Settings>,
    clock: Rc<dyn Clock>,
    replica: RefCell<Replica>,
    applied: RefCell<Applied>,
    hosts: RefCell<Hosts>,
    builds: RefCell<Builds>,
    proposals: RefCell<Proposals>,
    /// Term and start of the leadership that observers were notified of, `None` for a follower.
    notified: Cell<Option<(Term, Instant)>>,
    observers: RefCell<Vec<Rc<dyn Observer>>>,
    /// Signals that the replica has something to sync or to send.
    work: Event,
    /// Signals that the configuration changed.
    config_changed: Event,
}

impl Node {
    /// Opens the data folder of the settings and restores the replica from it.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be used or is damaged.
    pub fn open(settings: &Settings, clock: Rc<dyn Clock>) -> Result<Self, Halt> {
        let folder = Folder::new(&settings.data, &settings.host);
        Self::open_with(Box::new(folder), settings, clock)
    }

    /// Restores a replica from the storage of an opener.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage cannot be used or is damaged.
    pub fn open_with(
        opener: Box<dyn Opener>,
        settings: &Settings,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, Halt> {
        let replica_settings = replica_settings(settings);
        let (storage, contents) = opener.open().map_err(Halt::Storage)?;
        let replica = restore(storage, contents, replica_settings.clone(), &clock)?;
        let node = Self {
            host: settings.host.clone(),
            opener,
            replica_settings: RefCell::new(replica_settings),
            clock,
            replica: RefCell::new(replica),
            applied: RefCell::new(Applied::new()),
            hosts: RefCell::new(Hosts::new()),
            builds: RefCell::new(Builds::new()),
            proposals: RefCell::new(Proposals::new()),
            notified: Cell::new(None),
            observers: RefCell::new(Vec::new()),
            work: Event::new(),
            config_changed: Event::new(),
        };
        for _ in 0..OPENING_STEPS {
            node.advance()?;
        }
        Ok(node)
    }

    /// Restores the replica from its storage after a [`Halt`] that is recoverable.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage cannot be used yet or is damaged.
    pub fn reopen(&self) -> Result<(), Halt> {
        let replica_settings = self.replica_settings.borrow().clone();
        let (mut storage, contents) = self.opener.open().map_err(Halt::Storage)?;
        // After a failed sync the page cache may hold bytes that never reach the disk.
        let rewritten = storage.replace(&contents.snapshot, &contents.records);
        rewritten.map_err(Halt::Storage)?;
        let replica = restore(storage, contents, replica_settings, &self.clock)?;
        *self.replica.borrow_mut() = replica;
        *self.applied.borrow_mut() = Applied::new();
        self.config_changed.notify(usize::MAX);
        self.work.notify(usize::MAX);
        Ok(())
    }

    /// Returns the time of the replica's clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the revision of the configuration in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.read(|machine| machine.config().revision())
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn state(&self) -> State {
        self.read(|machine| machine.config().clone())
    }

    /// Calls `read` with the replicated state and returns its result.
    pub fn read<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Machine) -> T,
    {
        read(self.applied.borrow().machine())
    }

    /// Returns whether this replica is the leader and holds the lease.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leadership().is_leader()
    }

    /// Returns the newest term that the replica knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.replica.borrow().term()
    }

    /// Returns the role of this replica.
    #[must_use]
    pub fn leadership(&self) -> Leadership {
        let replica = self.replica.borrow();
        let current = replica.term();
        match self.notified.get() {
            Some((term, since)) if term == current && replica.is_leading() => {
                Leadership::Leader { term, since }
            }
            _ => Leadership::Follower { term: current },
        }
    }

    /// Returns the address of the leader, or an empty text.
    #[must_use]
    pub fn leader_hint(&self) -> String {
        let replica = self.replica.borrow();
        replica.leader_address().unwrap_or_default().to_owned()
    }

    /// Returns the address of the leader if it is another replica and was heard within `age`.
    #[must_use]
    pub fn leader_within(&self, age: Duration) -> Option<SocketAddr> {
        let replica = self.replica.borrow();
        let last_contact = replica.leader_last_contact()?;
        let silence = self.clock.now().saturating_duration_since(last_contact);
        let address = replica.leader_address()?.parse().ok()?;
        let is_other = replica.leader_address() != Some(replica.address());
        (silence < age && is_other).then_some(address)
    }

    /// Checks that this replica is the leader.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] with the leader's address if known.
    pub fn require_leader(&self) -> Result<(), Error> {
        if self.is_leader() {
            Ok(())
        } else {
            Err(Error::NotLeader(self.leader_hint()))
        }
    }

    /// Adds an observer and notifies it of the current role.
    pub fn observe(&self, observer: Rc<dyn Observer>) {
        observer.leadership_changed(self.leadership());
        self.observers.borrow_mut().push(observer);
    }

    /// Proposes a command and returns its reply once it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or cannot commit the command.
    pub async fn propose(&self, command: Command) -> Result<Reply, Error> {
        let record = record::write(&command).map_err(|error| {
            let reason = error.to_string();
            Error::Invalid(reason)
        })?;
        self.require_leader()?;
        if !self.all_members_apply(command.level()) {
            return Err(Error::Unsupported);
        }
        if self.proposals.borrow().is_full() {
            return Err(Error::Busy);
        }
        let position = self.replica.borrow_mut().propose(record);
        let position = position.ok_or_else(|| Error::NotLeader(self.leader_hint()))?;
        self.wait_for_commit(position).await
    }

    /// Proposes a submitted change of the configuration and returns its outcome.
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

    /// Changes the members of the log and returns when the change is committed.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader, cannot commit the change, or refuses it.
    pub async fn change_members(&self, change: &Change) -> Result<(), Error> {
        self.require_leader()?;
        self.require_build(change)?;
        let position = self.replica.borrow_mut().propose_member_change(change);
        let position = position.map_err(|refusal| match refusal {
            Refusal::NotLeader => Error::NotLeader(self.leader_hint()),
            other => Error::Invalid(other.to_string()),
        })?;
        info!("control: members: {change:?}");
        self.wait_for_commit(position).await.map(|_| ())
    }

    /// Waits at most `wait` for a revision newer than `since` and returns the changes up to the
    /// revision in force.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] when the replica has not heard the leader within
    /// `MAX_LEADER_SILENCE` or lacks committed entries, since its configuration may be outdated.
    pub async fn watch(
        &self,
        host: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<(Revision, Update), Error> {
        let now = self.clock.now();
        self.hosts.borrow_mut().record_revision(host, since, now);
        self.require_current()?;
        let listener = self.config_changed.listen();
        if self.revision() <= since {
            let _ = compio::time::timeout(wait.min(MAX_WATCH_WAIT), listener).await;
        }
        self.require_current()?;
        let update = self.applied.borrow().update(since);
        Ok((self.revision(), update))
    }

    /// Records the address at which a calling host serves its peers.
    pub fn record_peer_address(&self, host: &str, address: Option<SocketAddr>) {
        if let Some(address) = address {
            let now = self.clock.now();
            self.hosts
                .borrow_mut()
                .record_peer_address(host, address, now);
        }
    }

    /// Returns the peer addresses of some hosts other than `host` that called recently.
    #[must_use]
    pub fn peer_addresses(&self, host: &str) -> Vec<SocketAddr> {
        self.hosts.borrow().peer_addresses(host, self.clock.now())
    }

    /// Returns reports of the hosts that called any replica recently, for the other replicas.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        self.hosts.borrow().reports(self.clock.now())
    }

    /// Merges the reports of hosts of another replica.
    pub fn merge_reports(&self, reports: Vec<Report>) {
        let now = self.clock.now();
        self.hosts.borrow_mut().merge(reports, now);
    }

    /// Notes the level of the commands that another replica has named, nothing for a build that names none.
    pub fn note_build(&self, host: &str, commands: Option<Commands>) {
        let is_new = self
            .builds
            .borrow_mut()
            .note(host, commands, self.clock.now());
        if is_new {
            info!("control: {host} applies commands of level {commands:?}");
        }
    }

    /// Returns what this replica applies and what it has heard of the others, for another one.
    #[must_use]
    pub fn words(&self) -> Vec<Word> {
        let own = Word {
            host: self.host.clone(),
            commands: OWN_COMMANDS,
            age_ms: 0,
        };
        let mut words = self.builds.borrow().words(self.clock.now());
        words.push(own);
        words
    }

    /// Notes what another replica has heard of all.
    pub fn merge_words(&self, words: Vec<Word>) {
        let words = words.into_iter().filter(|word| word.host != self.host);
        self.builds
            .borrow_mut()
            .merge(words.collect(), self.clock.now());
    }

    /// Returns whether every member of the log, voter or learner, applies commands of a level: it holds such
    /// a command already, or each member has said so within ten minutes.
    ///
    /// A command of a level above the first is proposed only while this holds.
    #[must_use]
    pub fn all_members_apply(&self, commands: Commands) -> bool {
        if commands <= self.read(Machine::commands) {
            return true;
        }
        let now = self.clock.now();
        let builds = self.builds.borrow();
        let replica = self.replica.borrow();
        let mut members = replica.log().members().list().iter();
        members.all(|member| {
            let host = &member.id.host;
            if *host == self.host {
                commands <= OWN_COMMANDS
            } else {
                builds.applies(host, commands, now)
            }
        })
    }

    /// Returns whether a replica applies all commands that the log holds.
    fn applies_log(&self, host: &str) -> bool {
        let commands = self.read(Machine::commands);
        commands <= FIRST_COMMANDS
            || self
                .builds
                .borrow()
                .applies(host, commands, self.clock.now())
    }

    /// Delivers messages of another replica; answers leave with the next [`Node::advance`].
    pub fn receive(&self, messages: Vec<Message>) {
        let mut replica = self.replica.borrow_mut();
        for message in messages {
            replica.receive(message);
        }
        self.work.notify(usize::MAX);
    }

    /// Waits until the replica has something to sync or to send.
    pub async fn wait_for_work(&self) {
        self.work.listen().await;
    }

    /// Handles elapsed timers, syncs new entries and applies committed ones; returns the messages to
    /// send.
    ///
    /// # Errors
    ///
    /// Returns why the replica stopped taking part in replication.
    pub fn advance(&self) -> Result<Vec<Message>, Halt> {
        let flushed = {
            let mut replica = self.replica.borrow_mut();
            replica.tick();
            replica.flush()
        };
        let output = match flushed {
            Ok(output) => output,
            Err(error) => {
                self.notify_leadership();
                return Err(Halt::Storage(error));
            }
        };
        if self.replica.borrow().is_removed() {
            self.notify_leadership();
            self.opener.discard().map_err(Halt::Storage)?;
            // An emptied replica must not bootstrap a second log.
            self.replica_settings.borrow_mut().may_bootstrap = false;
            return Err(Halt::Removed);
        }
        let handled = self
            .handle_output(output)
            .and_then(|messages| self.compact().map(|()| messages));
        if let Err(error) = &handled {
            // It must neither vote nor lead nor serve with a state that others have left behind.
            self.replica.borrow_mut().stop(&format!("{error:#}"));
        }
        self.notify_leadership();
        handled.map_err(Halt::Unreadable)
    }

    /// Starts a leadership transfer if this replica leads; returns whether another replica was asked
    /// to lead.
    pub fn transfer_leadership(&self) -> bool {
        let is_requested = self.replica.borrow_mut().transfer_leadership();
        self.work.notify(usize::MAX);
        is_requested
    }

    /// Proposes the change of members that is due, if any; the next one becomes due when this one is
    /// committed.
    pub fn propose_due_member_change(&self) {
        let due = self.replica.borrow().due_member_change();
        let Some(change) = due else {
            return;
        };
        if let Err(error) = self.require_build(&change) {
            debug!("control: members: {change:?} is postponed: {error}");
            return;
        }
        match self.replica.borrow_mut().propose_member_change(&change) {
            Ok(_) => info!("control: members: {change:?}"),
            Err(refusal) => debug!("control: members: {change:?} is postponed: {refusal}"),
        }
        self.work.notify(usize::MAX);
    }

    /// Returns the addresses of the members of the log.
    #[must_use]
    pub fn member_addresses(&self) -> Vec<(HostId, String)> {
        let replica = self.replica.borrow();
        let members = replica.log().members().list().iter();
        members
            .map(|member| (member.id.host.clone(), member.address.clone()))
            .collect()
    }

    /// Returns the role, the leader, the hosts and the state of replication as JSON.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let last_contact = replica.leader_last_contact();
        let silence = last_contact.map(|at| now.saturating_duration_since(at).as_millis());
        let evacuated: Vec<Zone> = self.read(|machine| {
            let evacuations = machine.roster().evacuations();
            evacuations.zones().cloned().collect()
        });
        json!({
            "host": self.host,
            "leader": self.is_leader(),
            "leader_address": replica.leader_address(),
            "leader_silent_ms": silence.map(|silence| u64::try_from(silence).unwrap_or(u64::MAX)),
            "current": replica.is_current(MAX_LEADER_SILENCE),
            "revision": self.revision(),
            "evacuated_zones": evacuated,
            "hosts": self.hosts.borrow().status(now),
            "replica": replica.status(),
            "commands": self.builds.borrow().status(),
        })
    }

    async fn wait_for_commit(&self, (term, index): (Term, u64)) -> Result<Reply, Error> {
        let receiver: oneshot::Receiver<_> = self.proposals.borrow_mut().add(term, index);
        self.work.notify(usize::MAX);
        match compio::time::timeout(PROPOSAL_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Error::Unknown),
        }
    }

    /// Returns whether this replica leads or has heard the leader lately, and has applied what the
    /// leader had committed by then.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.replica.borrow().is_current(MAX_LEADER_SILENCE)
    }

    /// Checks that a change adds no replica that cannot apply what the log holds.
    fn require_build(&self, change: &Change) -> Result<(), Error> {
        let (Change::Add { host } | Change::Promote { host }) = change else {
            return Ok(());
        };
        if self.applies_log(host) {
            return Ok(());
        }
        let commands = self.read(Machine::commands);
        Err(Error::Invalid(format!(
            "the log holds commands of level {commands}, which the build of {host} does not apply"
        )))
    }

    fn require_current(&self) -> Result<(), Error> {
        if self.is_current() {
            Ok(())
        } else {
            Err(Error::NotLeader(self.leader_hint()))
        }
    }

    fn handle_output(&self, output: Output) -> anyhow::Result<Vec<Message>> {
        if let Some(snapshot) = output.installed {
            let machine: Machine =
                serde_json::from_slice(&snapshot.data).context("unreadable snapshot")?;
            anyhow::ensure!(
                machine.commands() <= OWN_COMMANDS,
                "the snapshot holds commands of level {}, and this build applies {OWN_COMMANDS}",
                machine.commands()
            );
            self.applied.borrow_mut().install(machine);
            self.config_changed.notify(usize::MAX);
        }
        for entry in output.committed {
            self.apply(&entry)?;
        }
        Ok(output.messages)
    }

    fn apply(&self, entry: &Entry) -> anyhow::Result<()> {
        let reply = match &entry.payload {
            Payload::Command(record) => {
                let command = record::read(record)?;
                self.applied.borrow_mut().apply(&command)
            }
            Payload::Empty | Payload::Members(_) => Reply::Applied,
        };
        self.notify_change(&reply);
        for observer in self.observers.borrow().iter() {
            observer.command_applied(&reply);
        }
        let mut proposals = self.proposals.borrow_mut();
        proposals.complete(entry.term, entry.index, reply);
        Ok(())
    }

    fn notify_change(&self, reply: &Reply) {
        let Reply::Change {
            entry: Some(entry), ..
        } = reply
        else {
            return;
        };
        let text = entry.submission.change.describe();
        info!("control: revision {}: {text}", entry.revision);
        self.config_changed.notify(usize::MAX);
    }

    fn compact(&self) -> anyhow::Result<()> {
        let mut replica = self.replica.borrow_mut();
        let entries = replica.log().entries();
        let bytes = || entries.iter().map(Entry::size).sum::<usize>();
        if entries.len() < COMPACT_ENTRIES && bytes() < COMPACT_BYTES {
            return Ok(());
        }
        let applied = replica.commit();
        if applied > replica.log().snapshot().index {
            let data = self.read(serde_json::to_vec)?;
            replica.compact(applied, data);
        }
        Ok(())
    }

    /// Notifies observers if this replica gained or lost leadership since the last call.
    fn notify_leadership(&self) {
        let (leading, term) = {
            let replica = self.replica.borrow();
            (replica.is_leading(), replica.term())
        };
        let notified = self.notified.get();
        let is_unchanged =
            leading && notified.is_some_and(|(notified_term, _)| notified_term == term);
        if is_unchanged || (!leading && notified.is_none()) {
            return;
        }
        if notified.is_some() {
            self.notified.set(None);
            self.proposals.borrow_mut().fail_all();
            self.notify_observers(Leadership::Follower { term });
        }
        if leading {
            let since = self.clock.now();
            self.notified.set(Some((term, since)));
            info!("control: {} leads term {term}", self.host);
            self.notify_observers(Leadership::Leader { term, since });
        }
    }

    fn notify_observers(&self, leadership: Leadership) {
        let observers = self.observers.borrow().clone();
        for observer in observers {
            observer.leadership_changed(leadership);
        }
    }
}

/// Creates a replica from the contents of its storage.
fn restore(
    storage: Box<dyn Storage>,
    contents: Contents,
    mut replica_settings: settings::Settings,
    clock: &Rc<dyn Clock>,
) -> Result<Replica, Halt> {
    replica_settings.seed = rand::random();
    let replica = Replica::new(replica_settings, contents, storage, Rc::clone(clock));
    replica.map_err(Halt::Storage)
}

fn replica_settings(settings: &Settings) -> settings::Settings {
    let own = settings
        .replicas
        .iter()
        .find(|replica| replica.host == settings.host);
    let address = own.map_or(settings.listen, |own| own.address);
    let others = settings
        .replicas
        .iter()
        .filter(|replica| replica.host != settings.host);
    settings::Settings {
        address: address.to_string(),
        peers: others
            .map(|replica| settings::Peer {
                host: replica.host.clone(),
                address: replica.address.to_string(),
            })
            .collect(),
        may_bootstrap: settings.may_bootstrap,
        voters: settings.voters,
        limits: settings.limits,
        seed: rand::random(),
    }
}
