//! What a leader keeps for the hosts that it serves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Ask;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::End;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Report;
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
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Packed;
use persimmonbend_wire::dispatch::Reserve;
use persimmonbend_wire::dispatch::Sender;
use serde::Serialize;
use serde_json::json;
use tracing::info;
use tracing::warn;

/// Least time between two pushes of configuration to one host, so that a storm of changes costs
/// few bytes.
const PUSH_PAUSE: Duration = Duration::from_millis(100);

/// Bytes of a change from which on hosts are told beforehand that it comes: the narrowest links
/// take a tenth of a second for them.
const NARROW_BYTES: usize = 16 * 1024;

/// Age of a reign from which on its hosts are counted; before, they have not all joined, and a
/// host that took the number for whole would use more than its part of a quota.
const SETTLED: Duration = Duration::from_secs(2);

/// Time between two beats to a host.
const BEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two lists of relays to one host.
const RELAYS_INTERVAL: Duration = Duration::from_secs(20);

/// Relays that a host is told of: one of them has a path where nine hosts in ten are cut off.
const RELAYS: usize = 32;

/// A host that greets.
#[derive(Debug)]
pub struct Guest {
    /// Its name.
    pub host: HostId,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Version of the publication that it has.
    pub version: Version,
    /// Address at which it relays links.
    pub relay: Option<SocketAddr>,
}

/// A connected host.
#[derive(Debug)]
struct Link {
    sender: Sender,
    zone: Zone,
    /// Address at which it relays links.
    relay: Option<SocketAddr>,
    /// When it was last told of relays.
    relays_told: Option<Instant>,
    /// Publication that the host has.
    sent: Rc<Publication>,
    pushed: Instant,
    beat: Instant,
}

/// The state of one reign.
#[derive(Debug)]
pub struct Reign {
    began: Instant,
    dispatcher: Dispatcher,
    publication: Rc<Publication>,
    links: BTreeMap<HostId, Link>,
    /// Latest announcement of each upstream.
    latest: BTreeMap<UpstreamId, (Incarnation, u64)>,
    /// Changes that lead to the publication in force, by the version that they apply to.
    deltas: BTreeMap<Version, Packed<Delta>>,
    /// All upstreams as hosts that join are told of them, until one changes.
    roster: Option<Packed<Vec<Entry>>>,
}

impl Reign {
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
            dispatcher.enrol(entry, now);
        }
        Self {
            began: now,
            dispatcher,
            publication,
            links: BTreeMap::new(),
            latest: BTreeMap::new(),
            deltas: BTreeMap::new(),
            roster: None,
        }
    }

    /// Returns the number of connected hosts.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.links.len()
    }

    /// Closes all connections.
    pub fn close(&self) {
        for link in self.links.values() {
            link.sender.close();
        }
    }

    /// Notes the number of an announcement; returns whether it is later than all before.
    pub fn is_latest(&mut self, announcement: &Announcement) -> bool {
        let number = (announcement.incarnation, announcement.sequence);
        let latest = self.latest.entry(announcement.id.clone()).or_insert(number);
        let newer = number >= *latest;
        *latest = number.max(*latest);
        newer
    }

    /// Notes that an upstream was heard from.
    pub fn hear(&mut self, number: Number, now: Instant) {
        self.dispatcher.hear(number, now);
    }

    /// Takes in a host and tells it what it does not know.
    pub fn join(&mut self, guest: Guest, roster: &Roster, sender: &Sender, now: Instant) {
        let Guest {
            host,
            zone,
            version,
            relay,
        } = guest;
        let answers = self.dispatcher.part(&host, now);
        self.send(answers);
        self.dispatcher.join(&host);
        let current = version == self.publication.version;
        let sent = if current {
            Rc::clone(&self.publication)
        } else {
            Rc::default()
        };
        let link = Link {
            sender: sender.clone(),
            zone,
            relay,
            relays_told: None,
            sent,
            pushed: now.checked_sub(PUSH_PAUSE).unwrap_or(now),
            beat: now,
        };
        if let Some(upstreams) = self.packed_roster(roster) {
            sender.send(Frame::Upstreams(upstreams));
        }
        if let Some(old) = self.links.insert(host.clone(), link) {
            old.sender.close();
        }
        self.push(now);
        info!(host, version, hosts = self.links.len(), "host_joined");
    }

    /// Gives up a host whose connection ended, unless a later one has replaced it.
    pub fn lose(&mut self, host: &str, sender: &Sender, now: Instant) {
        let own = self
            .links
            .get(host)
            .is_some_and(|link| link.sender.is(sender));
        if !own {
            return;
        }
        self.links.remove(host);
        info!(host, hosts = self.links.len(), "host_lost");
        let answers = self.dispatcher.lose(host, now);
        self.send(answers);
    }

    /// Takes in a frame of a host.
    pub fn take(&mut self, host: &str, sender: &Sender, frame: Frame, now: Instant) {
        let ticket = |number| Ticket {
            host: host.to_owned(),
            number,
        };
        let answers = match frame {
            Frame::Reserve(reserve) => self.reserve(host, reserve, now),
            Frame::Release {
                number,
                sign,
                latency_ms,
                bytes,
            } => match dispatch::sign(sign) {
                Ok(sign) => {
                    let end = End {
                        sign,
                        latency: Duration::from_millis(u64::from(latency_ms)),
                        bytes,
                    };
                    self.dispatcher.release(&ticket(number), &end, now)
                }
                Err(error) => {
                    warn!(host, error = %error, "frame_refused");
                    sender.close();
                    Vec::new()
                }
            },
            Frame::Hold {
                number,
                service,
                upstream,
                route,
            } => {
                let report = Report {
                    ticket: ticket(number),
                    service,
                    upstream,
                    route,
                };
                self.dispatcher.hold(report, now);
                Vec::new()
            }
            Frame::Bye => {
                let answers = self.dispatcher.part(host, now);
                self.links.remove(host);
                sender.close();
                answers
            }
            Frame::Here => Vec::new(),
            Frame::Suspects(suspects) => {
                self.dispatcher.take_over(&suspects, false, now);
                Vec::new()
            }
            other => {
                warn!(host, frame = ?other, "frame_unexpected");
                Vec::new()
            }
        };
        self.send(answers);
    }

    /// Puts a publication in force.
    pub fn publish(&mut self, publication: Rc<Publication>, now: Instant) {
        info!(version = publication.version, "publication_in_force");
        self.dispatcher.publish(Rc::clone(&publication));
        self.publication = publication;
        self.deltas.clear();
        self.push(now);
    }

    /// Takes in changed upstreams and tells all hosts.
    pub fn enrol(&mut self, changed: &[Entry], now: Instant) {
        if changed.is_empty() {
            return;
        }
        for entry in changed {
            let said = &entry.announcement;
            info!(
                upstream = %said.id,
                number = entry.number,
                service = %said.service,
                stage = ?said.stage,
                incarnation = said.incarnation,
                sequence = said.sequence,
                "upstream_changed"
            );
            if said.stage == Stage::Left {
                self.latest.remove(&said.id);
            }
            let answers = self.dispatcher.enrol(entry, now);
            self.send(answers);
        }
        self.roster = None;
        let Some(changed) = packed(&changed.to_vec()) else {
            return;
        };
        for link in self.links.values() {
            link.sender.send(Frame::Upstreams(changed.clone()));
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        let answers = self.dispatcher.tick(now);
        self.send(answers);
        self.push(now);
        let settled = now.saturating_duration_since(self.began) >= SETTLED;
        let hosts = if settled { self.dispatcher.hosts() } else { 0 };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let suspects = self.dispatcher.suspects(now);
        if settled {
            self.tell_relays(now);
        }
        for link in self.links.values_mut() {
            if now.saturating_duration_since(link.beat) >= BEAT_INTERVAL {
                link.beat = now;
                let suspects = suspects.clone();
                link.sender.send(Frame::Beat { hosts, suspects });
            }
        }
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> serde_json::Value {
        let services = self.publication.services.keys();
        let queued: BTreeMap<&String, usize> = services
            .map(|service| (service, self.dispatcher.queued(service)))
            .collect();
        json!({
            "version": self.publication.version,
            "hosts": self.links.keys().collect::<Vec<_>>(),
            "queued": queued,
            "upstreams": self.dispatcher.dump(now),
        })
    }

    fn reserve(&mut self, host: &str, reserve: Reserve, now: Instant) -> Vec<Answer> {
        let zone = self.links.get(host).map(|link| link.zone.clone());
        let waited = Duration::from_millis(u64::from(reserve.waited_ms));
        let left = Duration::from_millis(u64::from(reserve.left_ms));
        let ask = Ask {
            ticket: Ticket {
                host: host.to_owned(),
                number: reserve.number,
            },
            zone: zone.unwrap_or_default(),
            route: reserve.route,
            service: reserve.service,
            tenant: reserve.tenant,
            arrived: now.checked_sub(waited).unwrap_or(now),
            deadline: now + left,
            attempts: u32::from(reserve.attempts),
            repeat: reserve.repeat,
            avoid: reserve.avoid,
        };
        self.dispatcher.reserve(ask, now)
    }

    fn push(&mut self, now: Instant) {
        let version = self.publication.version;
        for link in self.links.values_mut() {
            let behind = link.sent.version < version;
            if !behind || now.saturating_duration_since(link.pushed) < PUSH_PAUSE {
                continue;
            }
            let from = link.sent.version;
            if !self.deltas.contains_key(&from) {
                let delta = Delta::between(&link.sent, &self.publication);
                self.deltas
                    .extend(packed(&delta).map(|delta| (from, delta)));
            }
            let Some(delta) = self.deltas.get(&from) else {
                continue;
            };
            if delta.size() > NARROW_BYTES {
                link.sender.send(Frame::Announced { version });
            }
            link.sender.send(Frame::Published(delta.clone()));
            link.sent = Rc::clone(&self.publication);
            link.pushed = now;
        }
    }

    /// Tells hosts whom they may ask to relay their link should they be cut off from the leader.
    fn tell_relays(&mut self, now: Instant) {
        let due = |link: &Link| {
            let told = link.relays_told;
            told.is_none_or(|at| now.saturating_duration_since(at) >= RELAYS_INTERVAL)
        };
        if !self.links.values().any(due) {
            return;
        }
        let all: Vec<SocketAddr> = self.links.values().filter_map(|link| link.relay).collect();
        // Hosts are sorted by name, so steps of equal size reach every zone.
        let step = all.len().div_ceil(RELAYS).max(1);
        for (first, link) in self.links.values_mut().enumerate() {
            if due(link) {
                link.relays_told = Some(now);
                let some = all.iter().cycle().skip(first % all.len().max(1));
                let some = some.step_by(step).take(all.len() / step).copied();
                link.sender.send(Frame::Relays(some.collect()));
            }
        }
    }

    /// Returns all upstreams as hosts that join are told of them.
    fn packed_roster(&mut self, roster: &Roster) -> Option<Packed<Vec<Entry>>> {
        if self.roster.is_none() {
            let entries = roster.entries().cloned().collect();
            self.roster = packed(&entries);
        }
        self.roster.clone()
    }

    fn send(&self, answers: Vec<Answer>) {
        for answer in answers {
            let Answer { ticket, decision } = answer;
            let number = ticket.number;
            let frame = match decision {
                Decision::Granted { upstream, patience } => Frame::Granted {
                    number,
                    upstream,
                    patience_ms: patience.map_or(0, dispatch::millis),
                },
                Decision::Queued => Frame::Queued { number },
                Decision::Refused { kind, retry_after } => {
                    let after_ms = dispatch::millis(retry_after);
                    info!(host = %ticket.host, number, kind = %kind, after_ms, "ask_refused");
                    Frame::Refused {
                        number,
                        kind: dispatch::kind_code(kind),
                        after_ms,
                    }
                }
            };
            if let Some(link) = self.links.get(&ticket.host) {
                link.sender.send(frame);
            }
        }
    }
}

/// Packs what goes to hosts; one that cannot be encoded is not sent.
fn packed<T: Serialize>(value: &T) -> Option<Packed<T>> {
    let packed = Packed::new(value);
    packed
        .inspect_err(|error| warn!(error = %error, "frame_not_packed"))
        .ok()
}
