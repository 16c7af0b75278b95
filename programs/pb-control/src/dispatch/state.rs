//! State that the leader keeps for the hosts that it serves, from the start to the end of its term.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Refusals;
use persimmonbend_core::dispatch::explain::Explanation;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::dispatch::explain::Unknown;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Revision;
use persimmonbend_core::roster::Roster;
use persimmonbend_core::roster::evacuation::Evacuations;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::Sender;
use persimmonbend_wire::meter;
use serde_json::json;
use tracing::info;

/// Time after which the dispatcher uses a new upstream. Hosts are told of it a little later; one that
/// is granted an upstream before it knows it asks again.
const NEW_UPSTREAM_DELAY: Duration = Duration::from_millis(100);

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

/// Time for which the address of a host counts as such after its link was lost.
const LOST_HOST_LIFETIME: Duration = Duration::from_secs(600);

/// Contents of the first frame of a host.
#[derive(Debug)]
pub struct Hello {
    /// Name of the host.
    pub host: HostId,
    /// Zone that the host runs in.
    pub zone: Zone,
    /// Version of the publication that the host has, if any.
    pub version: Option<Version>,
    /// Address at which the host relays links, if it does.
    pub relay: Option<SocketAddr>,
}

/// What the leader knows of a connected host.
#[derive(Debug)]
struct Subscriber {
    /// Address at which the host relays links, if it does.
    relay: Option<SocketAddr>,
    /// When the host was last sent a list of relays.
    relays_sent: Option<Instant>,
}

/// State of the leader for one term.
#[derive(Debug)]
pub struct State {
    started: Instant,
    hosts: Hosts,
    publication: Rc<Publication>,
    subscribers: BTreeMap<HostId, Subscriber>,
    /// Addresses of hosts whose links were lost, with when.
    lost: BTreeMap<IpAddr, Instant>,
    /// Incarnation and sequence of the latest announcement of each upstream.
    latest_sequences: BTreeMap<UpstreamId, (Incarnation, u64)>,
    /// Changed upstreams that take requests, with the time from which on they are used.
    upcoming: VecDeque<(Instant, Entry)>,
    load: Load,
    /// Requests refused before the last log line.
    refusals: Refusals,
    admitted: Admitted,
}

/// Announcements and starts that were not treated as the roster alone would, since the replica leads.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admitted {
    /// Announcements of starts that are not used.
    pub refused: u64,
    /// Starts that were reinstated as they went on announcing themselves.
    pub reinstated: u64,
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
        dispatcher.publish(Rc::clone(&publication), now);
        for entry in roster.entries() {
            dispatcher.update_upstream(&entry, now);
        }
        Self {
            started: now,
            hosts: Hosts::new(dispatcher),
            publication,
            subscribers: BTreeMap::new(),
            lost: BTreeMap::new(),
            latest_sequences: BTreeMap::new(),
            upcoming: VecDeque::new(),
            load: Load::new(now, 0),
            refusals: Refusals::default(),
            admitted: Admitted::default(),
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
        let refusals = self.hosts.dispatcher_mut().take_refusals();
        self.refusals.add(&refusals);
        let dispatcher = self.hosts.dispatcher();
        let retries: BTreeMap<&String, f64> = dispatcher.retries_left().collect();
        let spent: BTreeMap<&String, u64> = dispatcher.retries_spent().collect();
        let withheld: BTreeMap<&String, _> = dispatcher.retries_withheld().collect();
        let queues: BTreeMap<&String, _> = dispatcher.queues().collect();
        let kept: BTreeMap<&String, u32> = dispatcher.kept_slots(now).collect();
        let held: BTreeMap<&str, _> = dispatcher.held().collect();
        info!(
            hosts = self.hosts.len(),
            suspects = dispatcher.suspects(now).len(),
            cold = dispatcher.count_cold(),
            hosts_with_unreachable = dispatcher.hosts_with_unreachable(now),
            dead_upstreams = dispatcher.dead_upstreams(now),
            hosts_out_of_contact = dispatcher.hosts_out_of_contact(),
            retries = %json!(retries),
            retries_spent = %json!(spent),
            retries_withheld = %json!(withheld),
            hedges = %self.hedges(),
            joins = self.load.joins,
            queued,
            queues = %json!(queues),
            kept = %json!(kept),
            held = %json!(held),
            refusals = %json!(refusals),
            steps = steps - self.load.steps,
            max_delay_ms = dispatch::millis(self.load.max_delay),
            frames = %json!(meter::frames()),
            "leader_load"
        );
        self.load = Load::new(now, steps);
    }

    /// Returns what became of the extra sends of each service with a limit on them.
    fn hedges(&self) -> serde_json::Value {
        let hedges = self.hosts.dispatcher().hedges();
        let each = hedges
            .map(|(service, counts, left)| (service, json!({ "counts": counts, "left": left })));
        json!(each.collect::<BTreeMap<_, _>>())
    }

    /// Returns the dispatcher of the term.
    #[must_use]
    pub const fn dispatcher(&self) -> &Dispatcher {
        self.hosts.dispatcher()
    }

    /// Returns the requests refused since the start of the term.
    #[must_use]
    pub fn refusals(&self) -> Refusals {
        let mut all = self.refusals.clone();
        all.add(self.hosts.dispatcher().refusals());
        all
    }

    /// Returns the announcements that were refused and the starts that were reinstated.
    #[must_use]
    pub const fn admitted(&self) -> Admitted {
        self.admitted
    }

    /// Counts an announcement of a start that is not used.
    pub const fn count_refused_announcement(&mut self) {
        self.admitted.refused += 1;
    }

    /// Counts a start that was reinstated.
    pub const fn count_reinstated(&mut self) {
        self.admitted.reinstated += 1;
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

    /// Records that an upstream was in contact; with `is_renewal`, it announced nothing new.
    pub fn touch_upstream(&mut self, number: Number, is_renewal: bool, now: Instant) {
        let dispatcher = self.hosts.dispatcher_mut();
        if is_renewal {
            dispatcher.renew_upstream(number, now);
        } else {
            dispatcher.touch_upstream(number, now);
        }
    }

    /// Adds a host.
    pub fn connect_host(&mut self, hello: Hello, sender: &Sender, now: Instant) {
        let Hello {
            host,
            zone,
            version,
            relay,
        } = hello;
        self.load.joins += 1;
        self.hosts.connect(&host, zone, sender, now);
        info!(host, version, hosts = self.hosts.len(), "host_joined");
        let subscriber = Subscriber {
            relay,
            relays_sent: None,
        };
        self.subscribers.insert(host, subscriber);
    }

    /// Removes a host whose connection ended, unless a later connection has replaced it.
    pub fn disconnect_host(&mut self, host: &str, sender: &Sender, now: Instant) {
        if self.hosts.disconnect(host, sender, now)
            && let Some(relay) = self.subscribers.remove(host).and_then(|one| one.relay)
        {
            self.lost.retain(|_, at| !is_forgotten(*at, now));
            self.lost.insert(relay.ip(), now);
        }
    }

    /// Returns whether an address is that of a host that is linked, or was until lately: one that is cut off
    /// from the leader may be cut off from upstreams as well.
    fn is_host(&self, address: IpAddr, now: Instant) -> bool {
        let mut relays = self.subscribers.values().filter_map(|one| one.relay);
        let lost = self.lost.get(&address);
        relays.any(|relay| relay.ip() == address) || lost.is_some_and(|at| !is_forgotten(*at, now))
    }

    /// Handles a frame of a host.
    pub fn receive_frame(&mut self, host: &str, sender: &Sender, frame: Frame, now: Instant) {
        if let Frame::Identify(address) = frame {
            let is_host = self.is_host(address, now);
            sender.send(Frame::Identified { address, is_host });
            return;
        }
        if matches!(frame, Frame::Stopping) && self.hosts.is_current(host, sender) {
            self.subscribers.remove(host);
        }
        self.hosts.handle(host, sender, frame, now);
    }

    /// Puts a publication in force.
    pub fn publish(&mut self, publication: Rc<Publication>, now: Instant) {
        info!(version = publication.version, "publication_in_force");
        let dispatcher = self.hosts.dispatcher_mut();
        dispatcher.publish(Rc::clone(&publication), now);
        self.publication = publication;
    }

    /// Notes changed upstreams.
    ///
    /// An upstream that takes no more requests gets none from here on. One that takes requests is
    /// used when the hosts are about to know it.
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
            self.upcoming
                .retain(|(_, other)| other.number != entry.number);
            // Hosts know an upstream that is open already; that it has become cold must not wait.
            let is_open = self.hosts.dispatcher().is_open(entry.number);
            if announcement.stage.takes_requests() && !is_open {
                let at = now + NEW_UPSTREAM_DELAY;
                self.upcoming.push_back((at, entry.clone()));
            } else {
                self.update_dispatcher(entry, now);
            }
        }
    }

    /// Lets the dispatcher use the upstreams that are due.
    fn use_upcoming(&mut self, now: Instant) {
        while let Some((_, entry)) = self.upcoming.pop_front_if(|(at, _)| *at <= now) {
            self.update_dispatcher(&entry, now);
        }
    }

    fn update_dispatcher(&mut self, entry: &Entry, now: Instant) {
        let answers = self.hosts.dispatcher_mut().update_upstream(entry, now);
        self.hosts.send(answers);
    }

    /// Handles timers: heartbeats, the number of hosts and lists of relays.
    ///
    /// `revision` is that of the roster.
    pub fn tick(&mut self, revision: Revision, now: Instant) {
        if now.saturating_duration_since(self.load.since) >= LOAD_INTERVAL {
            self.log_load(now);
        }
        self.use_upcoming(now);
        let are_hosts_counted = now.saturating_duration_since(self.started) >= HOST_COUNT_DELAY;
        let hosts = if are_hosts_counted {
            self.hosts.dispatcher().hosts()
        } else {
            0
        };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let version = self.publication.version;
        self.hosts.tick(hosts, version, revision, now);
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
            "retries": self.hosts.dispatcher().retries_left().collect::<BTreeMap<_, _>>(),
            "hedges": self.hedges(),
            "upstreams": self.hosts.dispatcher().dump(now),
        })
    }

    /// Returns where a request would go now and why, and changes nothing.
    ///
    /// A question that names a host and no zone is about the zone of the host.
    ///
    /// # Errors
    ///
    /// Returns the name of the question that is not known.
    pub fn explain(
        &self,
        question: &Question,
        evacuations: &Evacuations,
        now: Instant,
    ) -> Result<Explanation, Unknown> {
        let mut question = question.clone();
        if let Some(host) = &question.host {
            let zone = self.hosts.zone(host);
            let zone = zone.ok_or_else(|| Unknown::new("host", host, self.hosts.names()))?;
            question.zone.get_or_insert_with(|| zone.clone());
        }
        let dispatcher = self.hosts.dispatcher();
        dispatcher.explain(&question, evacuations, now)
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
}

fn is_forgotten(lost: Instant, now: Instant) -> bool {
    now.saturating_duration_since(lost) >= LOST_HOST_LIFETIME
}
