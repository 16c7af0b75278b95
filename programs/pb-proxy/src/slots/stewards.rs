//! The stewards that run on this host, and the connections of the hosts that use them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::health::Transition;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::steward::Answer;
use persimmonbend_core::steward::Decision;
use persimmonbend_core::steward::Hold;
use persimmonbend_core::steward::Release;
use persimmonbend_core::steward::Request;
use persimmonbend_core::steward::Steward;
use persimmonbend_core::steward::Ticket;
use persimmonbend_wire::slots::Frame;
use persimmonbend_wire::slots::channel::Sender;

use crate::node::Node;

/// Most services that this host is the steward of.
const MAX_SERVICES: usize = 4_096;

/// Stewards by service, and the connections of other hosts.
#[derive(Debug, Default)]
pub struct Stewards {
    services: RefCell<BTreeMap<ServiceId, Steward>>,
    sessions: RefCell<BTreeMap<HostId, Sender>>,
    bytes_closed: Cell<u64>,
}

impl Stewards {
    /// Returns the bytes written to other hosts.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        let sessions = self.sessions.borrow();
        let open: u64 = sessions.values().map(Sender::written).sum();
        open + self.bytes_closed.get()
    }

    /// Starts a session of a host: drops its earlier reservations and sends it the upstreams that
    /// are ejected.
    pub fn open(&self, node: &Node, host: &HostId, sender: Sender) {
        self.release_host(host);
        for service in self.services.borrow().keys() {
            for upstream in node.slots().detectors().ejected(service) {
                sender.send(advice(service, &upstream, true));
            }
        }
        let mut sessions = self.sessions.borrow_mut();
        if let Some(earlier) = sessions.insert(host.clone(), sender) {
            self.count_closed(&earlier);
        }
    }

    /// Ends a session, unless the host has started another.
    pub fn close(&self, host: &HostId, sender: &Sender) {
        let mut sessions = self.sessions.borrow_mut();
        if sessions.get(host).is_some_and(|known| known.is(sender)) {
            sessions.remove(host);
            self.count_closed(sender);
        }
    }

    /// Renews the reservations of a host that was just heard from.
    pub fn renew(&self, node: &Node, host: &str) {
        let now = node.now();
        for steward in self.services.borrow_mut().values_mut() {
            steward.renew(host, now);
        }
    }

    /// Requests a slot of `service`; the answer goes to the host of the ticket.
    pub fn reserve(&self, node: &Rc<Node>, service: &ServiceId, request: Request) {
        let answers = {
            let mut services = self.services.borrow_mut();
            let Some(steward) = steward(&mut services, service) else {
                return;
            };
            let board = node.board();
            let detectors = node.slots().detectors();
            detectors.with(&board, service, |detector| {
                steward.reserve(&board, detector, request)
            })
        };
        self.deliver(node, service, answers);
    }

    /// Counts a slot that a host uses without a grant of this steward.
    pub fn hold(&self, node: &Rc<Node>, service: &ServiceId, ticket: Ticket, hold: Hold) {
        let mut services = self.services.borrow_mut();
        if let Some(steward) = steward(&mut services, service) {
            steward.hold(ticket, hold, node.now());
        }
    }

    /// Ends a reservation and delivers the grants that its slot makes possible.
    pub fn release(&self, node: &Rc<Node>, service: &ServiceId, release: &Release) {
        let answers = self.apply_release(node, service, release);
        self.deliver(node, service, answers);
    }

    /// Drops the reservations of silent hosts and answers the slot requests that are due.
    pub fn tick(&self, node: &Rc<Node>) {
        self.renew(node, &node.settings().host);
        self.close_lapsing(node);
        let services: Vec<ServiceId> = self.services.borrow().keys().cloned().collect();
        for service in services {
            let answers = self.tick_service(node, &service);
            self.deliver(node, &service, answers);
        }
    }

    /// Sends changed verdicts to all connected hosts, for services that have a steward here.
    pub fn broadcast(&self, transitions: &[(ServiceId, Transition)]) {
        let services = self.services.borrow();
        let sessions = self.sessions.borrow();
        for (service, transition) in transitions {
            if !services.contains_key(service) {
                continue;
            }
            for sender in sessions.values() {
                sender.send(advice(service, &transition.upstream, transition.ejected));
            }
        }
    }

    fn tick_service(&self, node: &Rc<Node>, service: &ServiceId) -> Vec<Answer> {
        let mut services = self.services.borrow_mut();
        let Some(steward) = services.get_mut(service) else {
            return Vec::new();
        };
        let board = node.board();
        let detectors = node.slots().detectors();
        detectors.with(&board, service, |detector| steward.tick(&board, detector))
    }

    /// Releases a reservation and returns the answers that follow, undelivered.
    fn apply_release(
        &self,
        node: &Rc<Node>,
        service: &ServiceId,
        release: &Release,
    ) -> Vec<Answer> {
        let mut services = self.services.borrow_mut();
        let Some(steward) = services.get_mut(service) else {
            return Vec::new();
        };
        let board = node.board();
        let detectors = node.slots().detectors();
        detectors.with(&board, service, |detector| {
            steward.release(&board, detector, release)
        })
    }

    /// Closes the sessions of hosts whose reservations lapse: one that was only silent links anew and reports
    /// what it still runs.
    fn close_lapsing(&self, node: &Node) {
        let sessions = self.sessions.borrow();
        for steward in self.services.borrow().values() {
            for host in steward.lapsing_hosts(node.now()) {
                if let Some(sender) = sessions.get(host) {
                    info!("slots: host {host} is silent");
                    sender.close();
                }
            }
        }
    }

    /// Drops the reservations and slot requests of a host.
    fn release_host(&self, host: &HostId) {
        for steward in self.services.borrow_mut().values_mut() {
            steward.release_host(host);
        }
    }

    /// Sends answers; releases the reservation of an answer that cannot be sent, and sends the
    /// answers that follow from the release.
    fn deliver(&self, node: &Rc<Node>, service: &ServiceId, answers: Vec<Answer>) {
        let mut answers = VecDeque::from(answers);
        while let Some(answer) = answers.pop_front() {
            if self.send(node, &answer) {
                continue;
            }
            let release = Release {
                ticket: answer.ticket,
                outcome: Outcome::Cancelled,
                latency: Duration::ZERO,
                reused: false,
            };
            answers.extend(self.apply_release(node, service, &release));
        }
    }

    /// Sends an answer and returns whether its host is this one or connected.
    fn send(&self, node: &Rc<Node>, answer: &Answer) -> bool {
        let Ticket { host, number } = &answer.ticket;
        if *host == node.settings().host {
            let pending = &node.slots().pending;
            pending.decide(host, *number, answer.decision.clone());
            return true;
        }
        let sessions = self.sessions.borrow();
        let Some(sender) = sessions.get(host).filter(|sender| sender.is_open()) else {
            return false;
        };
        sender.send(frame(*number, &answer.decision));
        true
    }

    fn count_closed(&self, sender: &Sender) {
        self.bytes_closed
            .set(self.bytes_closed.get() + sender.written());
    }
}

fn advice(service: &ServiceId, upstream: &UpstreamId, ejected: bool) -> Frame {
    let verdict = if ejected {
        Verdict::Ejected
    } else {
        Verdict::Use { weight: 1.0 }
    };
    Frame::Advice {
        service: service.clone(),
        upstream: upstream.clone(),
        verdict,
    }
}

fn frame(number: u32, decision: &Decision) -> Frame {
    match decision {
        Decision::Granted { upstream } => Frame::Granted {
            number,
            upstream: upstream.clone(),
        },
        Decision::Queued => Frame::Queued { number },
        Decision::Refused(kind) => Frame::Refused {
            number,
            kind: *kind,
        },
    }
}

/// Returns the steward of a service, which is created unless there are too many.
fn steward<'a>(
    services: &'a mut BTreeMap<ServiceId, Steward>,
    service: &ServiceId,
) -> Option<&'a mut Steward> {
    if services.len() >= MAX_SERVICES && !services.contains_key(service) {
        return None;
    }
    let steward = services
        .entry(service.clone())
        .or_insert_with(|| Steward::new(service.clone()));
    Some(steward)
}
