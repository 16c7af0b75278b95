//! The publication and the upstreams, sent to the hosts that take them from this replica.
//!
//! Every replica has a [`Feed`], and a host takes it from a replica of its own zone, so that each
//! change crosses to a zone once and not once for every host. It holds what the replica has applied,
//! which may be a little older than what the leader has acknowledged; the heartbeats of the leader
//! tell a host what it should have.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::id::HostId;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Revision;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Packed;
use persimmonbend_wire::dispatch::Sender;
use serde::Serialize;
use tracing::warn;

/// Shortest time between two pushes of configuration to one host, so that many changes in a row are
/// sent as one small delta.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which changes of upstreams are collected before hosts are told: entries that are packed
/// together take half the bytes.
const UPSTREAMS_INTERVAL: Duration = Duration::from_millis(150);

/// Size from which on a delta is announced before it is sent: the narrowest links take a tenth of a
/// second to transfer it.
const ANNOUNCED_DELTA_BYTES: usize = 16 * 1024;

/// A host that takes the feed, with what was last sent to it.
#[derive(Debug)]
struct Follower {
    sender: Sender,
    /// Publication that the host has.
    sent: Rc<Publication>,
    /// When the publication was last pushed to the host.
    last_push: Instant,
}

/// What this replica has applied, and the hosts that are told of it.
#[derive(Debug)]
pub struct Feed {
    publication: Rc<Publication>,
    revision: Revision,
    followers: BTreeMap<HostId, Follower>,
    /// Deltas to the publication in force, by the version that they start from.
    deltas: BTreeMap<Option<Version>, Packed<Delta>>,
    /// All upstreams, packed for hosts that connect; `None` after a change.
    roster: Option<Packed<Vec<Entry>>>,
    /// Changed upstreams that hosts were not told of yet, by number.
    changed: BTreeMap<Number, Entry>,
    /// When the oldest of them changed.
    changed_since: Option<Instant>,
}

impl Feed {
    /// Creates the feed of a replica that has applied `machine`.
    #[must_use]
    pub fn new(machine: &Machine) -> Self {
        Self {
            publication: Rc::clone(&machine.published().publication),
            revision: machine.roster().revision(),
            followers: BTreeMap::new(),
            deltas: BTreeMap::new(),
            roster: None,
            changed: BTreeMap::new(),
            changed_since: None,
        }
    }

    /// Returns the number of hosts that take the feed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.followers.len()
    }

    /// Returns the version of the publication in force, `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.publication.version
    }

    /// Returns the revision of the roster.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the feed holds what `machine` does; it does not after the replica took over a
    /// snapshot or began anew.
    #[must_use]
    pub fn is_of(&self, machine: &Machine) -> bool {
        self.version() == machine.published().publication.version
            && self.revision == machine.roster().revision()
    }

    /// Adds a host, in place of its earlier connection, and sends it all upstreams, and the
    /// publication unless it has the one in force.
    pub fn add(
        &mut self,
        host: &str,
        version: Option<Version>,
        sender: &Sender,
        machine: &Machine,
        now: Instant,
    ) {
        let sent = if version == self.version() {
            Rc::clone(&self.publication)
        } else {
            Rc::default()
        };
        if let Some(entries) = self.packed_roster(machine) {
            sender.send(Frame::Upstreams {
                revision: self.revision,
                is_complete: true,
                entries,
            });
        }
        let mut follower = Follower {
            sender: sender.clone(),
            sent,
            last_push: now.checked_sub(MIN_PUSH_INTERVAL).unwrap_or(now),
        };
        self.push_to(&mut follower, now);
        self.followers.insert(host.to_owned(), follower);
    }

    /// Removes a host, unless another connection has replaced that of `sender`.
    pub fn remove(&mut self, host: &str, sender: &Sender) {
        let follower = self.followers.get(host);
        if follower.is_some_and(|follower| follower.sender.is(sender)) {
            self.followers.remove(host);
        }
    }

    /// Closes the connections of all hosts, which then look for another source.
    pub fn close(&mut self) {
        for follower in std::mem::take(&mut self.followers).into_values() {
            follower.sender.close();
        }
    }

    /// Puts a publication in force and pushes it to the hosts.
    pub fn publish(&mut self, publication: Rc<Publication>, now: Instant) {
        self.publication = publication;
        self.deltas.clear();
        self.push(now);
    }

    /// Notes changed upstreams; hosts are told of all changes of a short time at once.
    pub fn update_upstreams(&mut self, changed: &[Entry], revision: Revision, now: Instant) {
        for entry in changed {
            self.changed.insert(entry.number, entry.clone());
            self.changed_since.get_or_insert(now);
        }
        self.revision = revision;
        self.roster = None;
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Instant) {
        self.followers
            .retain(|_, follower| follower.sender.is_open());
        self.send_upstreams(now);
        self.push(now);
    }

    fn send_upstreams(&mut self, now: Instant) {
        let is_due = |since| now.saturating_duration_since(since) >= UPSTREAMS_INTERVAL;
        if !self.changed_since.is_some_and(is_due) {
            return;
        }
        self.changed_since = None;
        let changed = std::mem::take(&mut self.changed).into_values();
        let Some(entries) = packed(&changed.collect::<Vec<_>>()) else {
            return;
        };
        for follower in self.followers.values() {
            follower.sender.send(Frame::Upstreams {
                revision: self.revision,
                is_complete: false,
                entries: entries.clone(),
            });
        }
    }

    fn push(&mut self, now: Instant) {
        let mut followers = std::mem::take(&mut self.followers);
        for follower in followers.values_mut() {
            self.push_to(follower, now);
        }
        self.followers = followers;
    }

    /// Sends a host the changes of the publication, if there are any and the last ones were sent long
    /// enough ago.
    fn push_to(&mut self, follower: &mut Follower, now: Instant) {
        let Some(version) = self.version() else {
            return;
        };
        let is_behind = follower.sent.version < Some(version);
        if !is_behind || now.saturating_duration_since(follower.last_push) < MIN_PUSH_INTERVAL {
            return;
        }
        let from = follower.sent.version;
        if !self.deltas.contains_key(&from) {
            let delta = Delta::between(&follower.sent, &self.publication);
            let delta = delta.and_then(|delta| packed(&delta));
            self.deltas.extend(delta.map(|delta| (from, delta)));
        }
        let Some(delta) = self.deltas.get(&from) else {
            return;
        };
        if delta.size() > ANNOUNCED_DELTA_BYTES {
            follower.sender.send(Frame::Announced { version });
        }
        follower.sender.send(Frame::Published(delta.clone()));
        follower.sent = Rc::clone(&self.publication);
        follower.last_push = now;
    }

    /// Returns all upstreams, packed for hosts that connect.
    fn packed_roster(&mut self, machine: &Machine) -> Option<Packed<Vec<Entry>>> {
        if self.roster.is_none() {
            let entries = machine.roster().entries().collect();
            self.roster = packed(&entries);
        }
        self.roster.clone()
    }
}

/// Packs a value that is sent to hosts; returns `None` and logs a warning if it cannot be encoded.
fn packed<T: Serialize>(value: &T) -> Option<Packed<T>> {
    let packed = Packed::new(value);
    packed
        .inspect_err(|error| warn!(error = %error, "frame_not_packed"))
        .ok()
}
