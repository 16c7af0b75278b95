//! State that the leader keeps for the hosts that it serves, from the start to the end of its term.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Roster;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::Packed;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::meter;
use serde::Serialize;
use serde_json::json;
use tracing::info;
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

/// Time after the start of a term from which on the number of hosts is sent. Not all hosts have
/// connected before, and a number that is too small would make each host use more than its share of
/// a quota.
const HOST_COUNT_DELAY: Duration = Duration::from_secs(2);

/// Time between two log lines on the load of the leader.
const LOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two lists of relays that are sent to one host.
const RELAYS_INTERVAL: Duration = Duration::from_secs(20);

/// Most relays in a list: one of them still reaches the leader when nine of ten hosts are cut off.
const MAX_RELAYS: usize = 32;

/// Hosts in a deputy group, which turn to the same deputy while control is unreachable.
const HOSTS_PER_DEPUTY: usize = 64;

/// Contents of the first frame of a host.
#[derive(Debug)]
pub struct Hello {
    /// Name of the host.
    pub host: HostId,
    /// Zone that the host runs in.
    pub zone: Zone,
    /// Version of the publication that the host has, 0 for none.
    pub version: Version,
    /// Address at which the host relays links, if it does.
    pub relay: Option<SocketAddr>,
}

/// A connected host with what was last sent to it.
#[derive(Debug)]
struct Subscriber {
    /// Address at which the host relays links, if it does.
    relay: Option<SocketAddr>,
    /// When the host was last sent a list of relays.
    relays_sent: Option<Instant>,
    /// Publication that the host has.
    sent: Rc<Publication>,
    /// When the publication was last pushed to the host.
    last_push: Instant,
}

/// State of the leader for one term.
#[derive(Debug)]
pub struct State {
    started: Instant,
    hosts: Hosts,
    publication: Rc<Publication>,
    subscribers: BTreeMap<HostId, Subscriber>,
    /// Incarnation and sequence of the latest announcement of each upstream.
    latest_sequences: BTreeMap<UpstreamId, (Incarnation, u64)>,
    /// Deltas to the publication in force, by the version that they start from.
    deltas: BTreeMap<Version, Packed<Delta>>,
    /// All upstreams, packed for hosts that connect; `None` after a change.
    roster: Option<Packed<Vec<Entry>>>,
    /// Changed upstreams that hosts were not told of yet, by number.
    changed_upstreams: BTreeMap<Number, Entry>,
    /// When the oldest of them changed.
    changed_since: Option<Instant>,
    load: Load,
}

/// What the leader had to do since it last logged it.
#[derive(Debug)]
struct Load {
    since: Instant,
    /// Longest time by which a timer was late.
    max_delay: Duration,
    /// Hosts that connected.
    joins: u32,
    /// Value of [`Dispatcher::steps`] at `since`.
    steps: u64,
}

impl Load {
    const fn new(since: Instant, steps: u64) -> Self {
        Self {
            since,
            max_delay: Duration::ZERO,
            joins: 0,
            steps,
        }
    }
}

impl State {
    /// Creates the state of a leader that no host is connected to.
    #[must_use]
    pub fn new(
        policy: Policy,
        publication: Rc<Publication>,
        roster: &Roster,
        now: Instant,
    ) -> Self {
        let mut dispatcher = Dispatcher::new(policy);
        dispatcher.publish(Rc::clone(&publication));
        for entry in roster.entries() {
            dispatcher.update_upstream(entry, now);
        }
        Self {
            started: now,
            hosts: Hosts::new(dispatcher),
            publication,
            subscribers: BTreeMap::new(),
            latest_sequences: BTreeMap::new(),
            deltas: BTreeMap::new(),
            roster: None,
            changed_upstreams: BTreeMap::new(),
            changed_since: None,
            load: Load::new(now, 0),
        }
    }

    /// Records by how much a timer was late.
    pub fn note_delay(&mut self, delay: Duration) {
        self.load.max_delay = self.load.max_delay.max(delay);
    }

    /// Logs the load since the last call, with the bytes that the process has sent and received in
    /// frames of each purpose since its start.
    pub fn log_load(&mut self, now: Instant) {
        let steps = self.hosts.dispatcher().steps();
        let queued = self.publication.services.keys();
        let queued: usize = queued
            .map(|service| self.hosts.dispatcher().queued(service))
            .sum();
        info!(
            hosts = self.hosts.len(),
            joins = self.load.joins,
            queued,
            steps = steps - self.load.steps,
            max_delay_ms = dispatch::millis(self.load.max_delay),
            frames = %json!(meter::frames()),
            "leader_load"
        );
        self.load = Load::new(now, steps);
    }

    /// Returns the number of connected hosts.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.hosts.close();
    }

    /// Records the incarnation and sequence of an announcement; returns whether none of the
    /// upstream's earlier announcements was newer.
    pub fn is_latest(&mut self, announcement: &Announcement) -> bool {
        let number = (announcement.incarnation, announcement.sequence);
        let latest = self
            .latest_sequences
            .entry(announcement.id.clone())
            .or_insert(number);
        let is_newest = number >= *latest;
        *latest = number.max(*latest);
        is_newest
    }

    /// Records that an upstream was in contact.
    pub fn touch_upstream(&mut self, number: Number, now: Instant) {
        self.hosts.dispatcher_mut().touch_upstream(number, now);
    }

    /// Adds a host and sends it the upstreams, and the publication unless it has the one in force.
    pub fn connect_host(&mut self, hello: Hello, roster: &Roster, sender: &Sender, now: Instant) {
        let Hello {
            host,
            zone,
            version,
            relay,
        } = hello;
        self.load.joins += 1;
        self.hosts.connect(&host, zone, sender, now);
        let is_current = version == self.publication.version;
        let sent = if is_current {
            Rc::clone(&self.publication)
        } else {
            Rc::default()
        };
        let subscriber = Subscriber {
            relay,
            relays_sent: None,
            sent,
            last_push: now.checked_sub(MIN_PUSH_INTERVAL).unwrap_or(now),
        };
        if let Some(upstreams) = self.packed_roster(roster) {
            sender.send(Frame::Upstreams(upstreams));
        }
        self.subscribers.insert(host.clone(), subscriber);
        self.push(now);
        info!(host, version, hosts = self.hosts.len(), "host_joined");
    }

    /// Removes a host whose connection ended, unless a later connection has replaced it.
    pub fn disconnect_host(&mut self, host: &str, sender: &Sender, now: Instant) {
        if self.hosts.disconnect(host, sender, now) {
            self.subscribers.remove(host);
        }
    }

    /// Handles a frame of a host.
    pub fn receive_frame(&mut self, host: &str, sender: &Sender, frame: Frame, now: Instant) {
        if matches!(frame, Frame::Stopping) && self.hosts.is_current(host, sender) {
            self.subscribers.remove(host);
        }
        self.hosts.handle(host, sender, frame, now);
    }

    /// Puts a publication in force and pushes it to the hosts.
    pub fn publish(&mut self, publication: Rc<Publication>, now: Instant) {
        info!(version = publication.version, "publication_in_force");
        let dispatcher = self.hosts.dispatcher_mut();
        dispatcher.publish(Rc::clone(&publication));
        self.publication = publication;
        self.deltas.clear();
        self.push(now);
    }

    /// Updates changed upstreams; hosts are told of all changes of a short time at once.
    ///
    /// An upstream that takes no more requests gets none from here on. One that takes requests is
    /// used once the hosts know it.
    pub fn update_upstreams(&mut self, changed: &[Entry], now: Instant) {
        for entry in changed {
            let announcement = &entry.announcement;
            info!(
                upstream = %announcement.id,
                number = entry.number,
                service = %announcement.service,
                stage = ?announcement.stage,
                incarnation = announcement.incarnation,
                sequence = announcement.sequence,
                "upstream_changed"
            );
            if announcement.stage == Stage::Left {
                self.latest_sequences.remove(&announcement.id);
            }
            if !announcement.stage.takes_requests() {
                self.update_dispatcher(entry, now);
            }
            self.changed_upstreams.insert(entry.number, entry.clone());
            self.changed_since.get_or_insert(now);
            self.roster = None;
        }
    }

    /// Sends the changed upstreams to all hosts once they have been collected for
    /// [`UPSTREAMS_INTERVAL`].
    fn send_upstreams(&mut self, now: Instant) {
        let is_due = |since| now.saturating_duration_since(since) >= UPSTREAMS_INTERVAL;
        if !self.changed_since.is_some_and(is_due) {
            return;
        }
        self.changed_since = None;
        let changed: Vec<Entry> = std::mem::take(&mut self.changed_upstreams)
            .into_values()
            .collect();
        if let Some(changed) = packed(&changed) {
            self.hosts.broadcast(&Frame::Upstreams(changed));
        }
        for entry in &changed {
            self.update_dispatcher(entry, now);
        }
    }

    fn update_dispatcher(&mut self, entry: &Entry, now: Instant) {
        let answers = self.hosts.dispatcher_mut().update_upstream(entry, now);
        self.hosts.send(answers);
    }

    /// Handles timers: pushes, heartbeats, the number of hosts and lists of relays.
    pub fn tick(&mut self, now: Instant) {
        if now.saturating_duration_since(self.load.since) >= LOAD_INTERVAL {
            self.log_load(now);
        }
        self.send_upstreams(now);
        self.push(now);
        let are_hosts_counted = now.saturating_duration_since(self.started) >= HOST_COUNT_DELAY;
        let hosts = if are_hosts_counted {
            self.hosts.dispatcher().hosts()
        } else {
            0
        };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.hosts.tick(hosts, self.publication.version, now);
        if are_hosts_counted {
            self.send_relays(now);
        }
    }

    /// Returns the version in force, the hosts, the queued requests and the upstreams as JSON.
    #[must_use]
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let services = self.publication.services.keys();
        let queued: BTreeMap<&String, usize> = services
            .map(|service| (service, self.hosts.dispatcher().queued(service)))
            .collect();
        json!({
            "version": self.publication.version,
            "hosts": self.hosts.names().collect::<Vec<_>>(),
            "frames": meter::frames(),
            "queued": queued,
            "upstreams": self.hosts.dispatcher().dump(now),
        })
    }

    fn push(&mut self, now: Instant) {
        let version = self.publication.version;
        for (host, subscriber) in &mut self.subscribers {
            let is_behind = subscriber.sent.version < version;
            if !is_behind || now.saturating_duration_since(subscriber.last_push) < MIN_PUSH_INTERVAL
            {
                continue;
            }
            let from = subscriber.sent.version;
            if !self.deltas.contains_key(&from) {
                let delta = Delta::between(&subscriber.sent, &self.publication);
                self.deltas
                    .extend(packed(&delta).map(|delta| (from, delta)));
            }
            let Some(delta) = self.deltas.get(&from) else {
                continue;
            };
            if delta.size() > ANNOUNCED_DELTA_BYTES {
                self.hosts.send_to(host, Frame::Announced { version });
            }
            self.hosts.send_to(host, Frame::Published(delta.clone()));
            subscriber.sent = Rc::clone(&self.publication);
            subscriber.last_push = now;
        }
    }

    /// Sends hosts the relays to use when they are cut off from the leader.
    ///
    /// Hosts of one deputy group get the same list, so that they turn to the same deputy.
    fn send_relays(&mut self, now: Instant) {
        let is_due = |subscriber: &Subscriber| {
            let sent = subscriber.relays_sent;
            sent.is_none_or(|at| now.saturating_duration_since(at) >= RELAYS_INTERVAL)
        };
        if !self.subscribers.values().any(is_due) {
            return;
        }
        // Hosts are sorted by name; dealing them out in turn spreads every group over all zones.
        let groups = self.subscribers.len().div_ceil(HOSTS_PER_DEPUTY).max(1);
        let mut relays = vec![Vec::new(); groups];
        for (number, subscriber) in self.subscribers.values().enumerate() {
            relays[number % groups].extend(subscriber.relay);
        }
        for group in &mut relays {
            let step = group.len().div_ceil(MAX_RELAYS).max(1);
            *group = group.iter().step_by(step).copied().collect();
        }
        for (number, (host, subscriber)) in self.subscribers.iter_mut().enumerate() {
            if is_due(subscriber) {
                subscriber.relays_sent = Some(now);
                let relays = relays[number % groups].clone();
                self.hosts.send_to(host, Frame::Relays(relays));
            }
        }
    }

    /// Returns all upstreams, packed for hosts that connect.
    fn packed_roster(&mut self, roster: &Roster) -> Option<Packed<Vec<Entry>>> {
        if self.roster.is_none() {
            let entries = roster.entries().cloned().collect();
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
