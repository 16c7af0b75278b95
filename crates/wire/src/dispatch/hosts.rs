//! Links between a dispatcher and the hosts that it serves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::poison::Sighting;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Revision;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::steward::Ticket;
use tracing::info;
use tracing::warn;

use crate::dispatch;
use crate::dispatch::FIRST_LEVEL;
use crate::dispatch::Frame;
use crate::dispatch::Reserve;
use crate::dispatch::Sender;

/// Time between two heartbeats to a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Ends of upstreams that all hosts have to know, by the content of the requests and the upstream.
type Ends = BTreeMap<(Fingerprint, Number), Sighting>;

/// A dispatcher with the links of its hosts.
#[derive(Debug)]
pub struct Hosts {
    dispatcher: Dispatcher,
    links: BTreeMap<HostId, Link>,
    /// Limits of upstreams, as the dispatcher last had them.
    limits: Rc<BTreeMap<Number, Limit>>,
    /// Ends of upstreams, as the dispatcher last had them.
    ends: Rc<Ends>,
}

#[derive(Debug)]
struct Link {
    sender: Sender,
    zone: Zone,
    last_heartbeat: Instant,
    /// Whether the host has yet to report all that it runs, which it does before it sends anything else.
    is_reporting: bool,
    /// Suspects that the host was told of.
    suspects: Rc<BTreeSet<Number>>,
    /// Limits that the host was told of.
    limits: Rc<BTreeMap<Number, Limit>>,
    /// Ends of upstreams that the host was told of.
    ends: Rc<Ends>,
}

impl Link {
    /// Sends a host the differences between the limits that it was told of and those in force.
    fn send_limits(&mut self, limits: &Rc<BTreeMap<Number, Limit>>) {
        if Rc::ptr_eq(&self.limits, limits) {
            return;
        }
        let known = std::mem::replace(&mut self.limits, Rc::clone(limits));
        let is_new = |(number, limit): &(&Number, &Limit)| known.get(number) != Some(limit);
        let stated = limits.iter().filter(is_new);
        let ended = known.keys().filter(|number| !limits.contains_key(number));
        self.sender.send(Frame::Limits {
            stated: stated.map(|(number, limit)| (*number, *limit)).collect(),
            ended: ended.copied().collect(),
        });
    }

    /// Tells a host of the ends of upstreams that are new to it, or no longer hold.
    fn send_ends(&mut self, ends: &Rc<Ends>, now: Instant) {
        if Rc::ptr_eq(&self.ends, ends) {
            return;
        }
        let known = std::mem::replace(&mut self.ends, Rc::clone(ends));
        let is_new = |(key, one): &(&(Fingerprint, Number), &Sighting)| known.get(key) != Some(one);
        let news = ends.iter().filter(is_new);
        let news: Vec<_> = news
            .map(|((content, upstream), one)| one.end(*content, *upstream, now))
            .collect();
        if !news.is_empty() {
            self.sender.send(Frame::Ends(news));
        }
    }
}

impl Hosts {
    /// Creates the links of a dispatcher, with no host connected.
    #[must_use]
    pub fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            links: BTreeMap::new(),
            limits: Rc::default(),
            ends: Rc::default(),
        }
    }

    /// Returns the dispatcher.
    #[must_use]
    pub const fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    /// Returns the dispatcher for changes; the caller passes its answers to [`Hosts::send`].
    pub const fn dispatcher_mut(&mut self) -> &mut Dispatcher {
        &mut self.dispatcher
    }

    /// Returns the number of connected hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether no host is connected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the names of the connected hosts.
    pub fn names(&self) -> impl Iterator<Item = &HostId> {
        self.links.keys()
    }

    /// Returns the zone of a connected host.
    #[must_use]
    pub fn zone(&self, host: &str) -> Option<&Zone> {
        self.links.get(host).map(|link| &link.zone)
    }

    /// Closes all connections.
    pub fn close(&self) {
        for link in self.links.values() {
            link.sender.close();
        }
    }

    /// Adds a connected host and closes its earlier connection; the reservations made over that connection
    /// stay until the host has reported what it still runs.
    pub fn connect(&mut self, host: &str, zone: Zone, sender: &Sender, now: Instant) {
        self.dispatcher.connect_host(host, now);
        let link = Link {
            sender: sender.clone(),
            zone,
            last_heartbeat: now,
            is_reporting: true,
            suspects: Rc::default(),
            limits: Rc::default(),
            ends: Rc::default(),
        };
        if let Some(previous) = self.links.insert(host.to_owned(), link) {
            previous.sender.close();
        }
    }

    /// Removes a host whose connection ended and returns true, or returns false if a later
    /// connection has replaced the ended one.
    pub fn disconnect(&mut self, host: &str, sender: &Sender, now: Instant) -> bool {
        if !self.is_current(host, sender) {
            return false;
        }
        self.links.remove(host);
        info!(host, hosts = self.links.len(), "host_lost");
        self.dispatcher.disconnect_host(host, now);
        true
    }

    /// Returns whether `sender` belongs to the current connection of a host.
    #[must_use]
    pub fn is_current(&self, host: &str, sender: &Sender) -> bool {
        let link = self.links.get(host);
        link.is_some_and(|link| link.sender.is(sender))
    }

    /// Handles a frame of a host; ignores it if a later connection has replaced that of `sender`.
    pub fn handle(&mut self, host: &str, sender: &Sender, frame: Frame, now: Instant) {
        if !self.is_current(host, sender) {
            return;
        }
        if !matches!(frame, Frame::Running { .. }) {
            self.end_report(host, now);
        }
        let ticket = |number| Ticket {
            host: host.to_owned(),
            number,
        };
        let answers = match frame {
            Frame::Reserve(reserve) => self.reserve(host, reserve, now),
            Frame::Release {
                number,
                outcome,
                latency_ms,
                bytes,
            } => {
                let completion = Completion {
                    outcome: dispatch::outcome(outcome),
                    latency: Duration::from_millis(u64::from(latency_ms)),
                    bytes,
                };
                self.dispatcher.release(&ticket(number), &completion, now)
            }
            Frame::Running {
                number,
                service,
                upstream,
                route,
                body_bytes,
            } => {
                let placement = Placement {
                    ticket: ticket(number),
                    service,
                    upstream,
                    route,
                    body_bytes,
                };
                self.dispatcher.record_running(placement, now);
                Vec::new()
            }
            Frame::Stopping => {
                let answers = self.dispatcher.remove_host(host, now);
                self.links.remove(host);
                sender.close();
                answers
            }
            Frame::HostHeartbeat => Vec::new(),
            Frame::Suspects(suspects) => {
                let suspects = suspects.into_iter().collect();
                self.dispatcher.adopt_suspects(&suspects, false, now);
                Vec::new()
            }
            Frame::Ends(ends) => {
                let poison = self.dispatcher.poison_mut();
                for end in ends {
                    if poison.note(&end, now) {
                        let (content, number) = (end.content, end.upstream);
                        info!(host, %content, number, holds = end.holds, "upstream_ended");
                    }
                }
                Vec::new()
            }
            Frame::Stated {
                upstream,
                statement,
            } => {
                let dispatcher = &mut self.dispatcher;
                if dispatcher.note_statement(host, upstream, &statement, now) {
                    let draining = statement.is_draining;
                    let limit = statement.limit.map(Limit::per_second);
                    let pause_ms = statement.pause.map(dispatch::millis);
                    info!(
                        host,
                        number = upstream,
                        draining,
                        limit,
                        pause_ms,
                        "upstream_stated"
                    );
                }
                Vec::new()
            }
            other => {
                warn!(host, frame = ?other, "frame_unexpected");
                Vec::new()
            }
        };
        for number in self.dispatcher.take_ended_limits() {
            info!(host, number, "upstream_limit_ended");
        }
        self.send(answers);
    }

    /// Does the periodic work of the dispatcher and sends the heartbeats that are due.
    ///
    /// `hosts` is the number of hosts that share the quotas and `revision` that of the roster; each is 0
    /// while unknown. `version` is that of the publication in force, if there is one and it is known.
    pub fn tick(&mut self, hosts: u32, version: Option<Version>, revision: Revision, now: Instant) {
        let answers = self.dispatcher.tick(now);
        self.send(answers);
        let suspects = Rc::new(self.dispatcher.suspects(now));
        let limits = self.dispatcher.ledger().limits();
        if !limits
            .clone()
            .eq(self.limits.iter().map(|(number, limit)| (*number, *limit)))
        {
            self.limits = Rc::new(limits.collect());
        }
        let ends = self.dispatcher.poison().shared();
        if ends != *self.ends {
            self.ends = Rc::new(ends);
        }
        for link in self.links.values_mut() {
            if now.saturating_duration_since(link.last_heartbeat) >= HEARTBEAT_INTERVAL {
                link.last_heartbeat = now;
                link.send_limits(&self.limits);
                link.send_ends(&self.ends, now);
                let known = std::mem::replace(&mut link.suspects, Rc::clone(&suspects));
                link.sender.send(Frame::Heartbeat {
                    hosts,
                    version: version.unwrap_or_default(),
                    revision,
                    suspected: suspects.difference(&known).copied().collect(),
                    cleared: known.difference(&suspects).copied().collect(),
                    is_published: version.is_some(),
                });
            }
        }
    }

    /// Sends a frame to all connected hosts.
    pub fn broadcast(&self, frame: &Frame) {
        for link in self.links.values() {
            link.sender.send(frame.clone());
        }
    }

    /// Sends a frame to a host, if it is connected.
    pub fn send_to(&self, host: &str, frame: Frame) {
        if let Some(link) = self.links.get(host) {
            link.sender.send(frame);
        }
    }

    /// Sends answers of the dispatcher to the hosts of their requests.
    pub fn send(&self, answers: Vec<Answer>) {
        for answer in answers {
            let Answer { ticket, decision } = answer;
            let frame = frame(&ticket, decision);
            self.send_to(&ticket.host, frame);
        }
    }

    /// Frees the slots that a host has not reported again over its new connection.
    fn end_report(&mut self, host: &str, now: Instant) {
        let link = self.links.get_mut(host);
        if link.is_some_and(|link| std::mem::take(&mut link.is_reporting)) {
            let answers = self.dispatcher.end_report(host, now);
            self.send(answers);
        }
    }

    fn reserve(&mut self, host: &str, reserve: Reserve, now: Instant) -> Vec<Answer> {
        let link = self.links.get(host);
        let zone = link.map(|link| link.zone.clone());
        // A host of the first level marks no extra send, and its limit holds for the fleet.
        let marks_hedges = link.is_some_and(|link| link.sender.level() > FIRST_LEVEL);
        let is_hedge = reserve.is_hedge
            || (!marks_hedges && reserve.is_retry && {
                let (route, avoid) = (&reserve.route, &reserve.avoid);
                self.dispatcher.runs_attempt_before(host, route, avoid)
            });
        let waited = Duration::from_millis(u64::from(reserve.waited_ms));
        let left = Duration::from_millis(u64::from(reserve.left_ms));
        let request = Request {
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
            is_retry: reserve.is_retry,
            avoid: reserve.avoid,
            is_hedge,
            body_bytes: reserve.body_bytes,
        };
        self.dispatcher.reserve(request, now)
    }
}

fn frame(ticket: &Ticket, decision: Decision) -> Frame {
    let number = ticket.number;
    match decision {
        Decision::Granted {
            upstream,
            attempt_timeout,
        } => Frame::Granted {
            number,
            upstream,
            attempt_timeout_ms: attempt_timeout.map_or(0, dispatch::millis),
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
    }
}
