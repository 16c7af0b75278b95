//! Reservation of an upstream for each attempt.
//!
//! The steward of a service allocates the slots of its upstreams to all hosts; it is the live host
//! that ranks first for the service. A host sends the steward a slot request. Where there is no
//! steward, or the steward exceeds the steward timeout, the host chooses an upstream by its own
//! counts and evidence and reports the slot to the steward afterwards.

mod counts;
mod detectors;
mod links;
mod pending;
mod reservation;
mod running;
mod server;
mod stewards;
mod ticks;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::rendezvous;
use persimmonbend_core::routing::Picker;
use persimmonbend_core::routing::TwoChoices;
use persimmonbend_core::routing::Uniform;
use persimmonbend_core::routing::View;
use persimmonbend_core::steward;
use persimmonbend_core::steward::Decision;
use persimmonbend_core::steward::Release;
use persimmonbend_core::steward::Ticket;
use persimmonbend_wire::slots::Frame;
use serde_json::json;

pub use counts::Counts;
pub use detectors::Detectors;
pub use reservation::Criteria;
pub use reservation::Report;
pub use reservation::Reservation;
pub use server::handler;
pub use ticks::run;

use crate::node::Node;
use crate::settings::Routing;
use crate::slots::links::Links;
use crate::slots::pending::Pending;
use crate::slots::pending::Waiting;
use crate::slots::running::Allocation;
use crate::slots::running::Running;
use crate::slots::stewards::Stewards;

/// Reserves upstreams for the attempts of a host, and runs the stewards on this host.
#[derive(Debug)]
pub struct Slots {
    routing: Routing,
    picker: Box<dyn Picker>,
    detectors: Detectors,
    stewards: Stewards,
    links: Links,
    pending: Pending,
    running: Running,
    counts: Counts,
    last_number: Cell<u32>,
}

impl Slots {
    /// Creates slots that choose upstreams by `routing`.
    #[must_use]
    pub fn new(routing: Routing) -> Self {
        let picker: Box<dyn Picker> = match routing {
            Routing::Uniform => Box::new(Uniform),
            Routing::TwoChoices | Routing::Steward => Box::new(TwoChoices),
        };
        Self {
            routing,
            picker,
            detectors: Detectors::default(),
            stewards: Stewards::default(),
            links: Links::default(),
            pending: Pending::default(),
            running: Running::default(),
            counts: Counts::default(),
            last_number: Cell::new(0),
        }
    }

    /// Returns the counts of reservations by how they came about.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the bytes of the slot protocol that this host has written.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        self.links.bytes_written() + self.stewards.bytes_written()
    }

    /// Returns the counts of reservations and the bytes written by the slot protocol, as JSON.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        let counts = &self.counts;
        json!({
            "granted": counts.granted.get(),
            "queued": counts.queued.get(),
            "refused": counts.refused.get(),
            "late": counts.late.get(),
            "chosen": counts.chosen.get(),
            "bytes_written": self.bytes_written(),
        })
    }

    /// Returns the detectors of grey upstreams.
    #[must_use]
    pub const fn detectors(&self) -> &Detectors {
        &self.detectors
    }

    /// Reserves an upstream for an attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoUpstream`] when no upstream can be used and [`Kind::Overloaded`] when no
    /// slot becomes free before the deadline.
    pub async fn reserve(
        &self,
        node: &Rc<Node>,
        criteria: &Criteria<'_>,
    ) -> Result<Reservation, Kind> {
        let Some(steward) = self.steward_of(node, criteria.service) else {
            return self.choose_locally(node, criteria);
        };
        match self.request_slot(node, &steward, criteria).await {
            Some(Ok((upstream, waiting))) => {
                let allocation = Allocation::granted(criteria, upstream, &steward);
                match self.admit(node, waiting.number(), allocation) {
                    Some(reservation) => {
                        waiting.keep();
                        self.counts.granted.set(self.counts.granted.get() + 1);
                        Ok(reservation)
                    }
                    None => self.choose_locally(node, criteria),
                }
            }
            Some(Err(Kind::NoUpstream)) | None => self.choose_locally(node, criteria),
            Some(Err(kind)) => {
                self.counts.refused.set(self.counts.refused.get() + 1);
                Err(kind)
            }
        }
    }

    /// Returns the live host that ranks first for a service, if routing uses stewards.
    fn steward_of(&self, node: &Node, service: &str) -> Option<HostId> {
        if self.routing != Routing::Steward {
            return None;
        }
        let board = node.board();
        rendezvous::first(service, board.live_hosts()).map(str::to_owned)
    }

    /// Requests a slot from a steward, and waits until the deadline if the request is queued.
    ///
    /// Returns `None` when no slot request can be sent to the steward, its first answer is late, or
    /// the link to it is lost.
    async fn request_slot(
        &self,
        node: &Rc<Node>,
        steward: &HostId,
        criteria: &Criteria<'_>,
    ) -> Option<Result<(UpstreamId, Waiting), Kind>> {
        let number = self.next_number();
        if *steward != node.settings().host && !self.links.ensure_ready(node, steward) {
            return None;
        }
        let mut waiting = Waiting::new(node, number, steward, criteria.service);
        self.send_request(node, steward, number, criteria);
        let first = timeout(node.settings().steward_timeout, waiting.next()).await;
        let Ok(first) = first else {
            self.counts.late.set(self.counts.late.get() + 1);
            self.links.record_late_answer(node, steward);
            return None;
        };
        self.links.record_timely_answer(steward);
        let mut decision = first?;
        if decision == Decision::Queued {
            self.counts.queued.set(self.counts.queued.get() + 1);
            let left = criteria.deadline.saturating_duration_since(node.now());
            let Ok(second) = timeout(left, waiting.next()).await else {
                return Some(Err(Kind::Overloaded));
            };
            decision = second?;
        }
        match decision {
            Decision::Granted { upstream } => Some(Ok((upstream, waiting))),
            Decision::Refused(kind) => Some(Err(kind)),
            Decision::Queued => None,
        }
    }

    fn send_request(
        &self,
        node: &Rc<Node>,
        steward: &HostId,
        number: u32,
        criteria: &Criteria<'_>,
    ) {
        if *steward == node.settings().host {
            let ticket = Ticket {
                host: steward.clone(),
                number,
            };
            let request = steward::Request {
                ticket,
                zone: node.settings().zone.clone(),
                tenant: criteria.tenant.map(str::to_owned),
                deadline: criteria.deadline,
                avoid: criteria.avoid.to_vec(),
                idempotent: criteria.idempotent,
            };
            self.stewards
                .reserve(node, &criteria.service.to_owned(), request);
            return;
        }
        let frame = Frame::Reserve {
            number,
            service: criteria.service.to_owned(),
            tenant: criteria.tenant.map(str::to_owned),
            left: criteria.deadline.saturating_duration_since(node.now()),
            avoid: criteria.avoid.to_vec(),
            idempotent: criteria.idempotent,
        };
        self.links.send(steward, frame);
    }

    /// Chooses an upstream by the board and the detectors of this host and reports the slot to the
    /// steward.
    fn choose_locally(
        &self,
        node: &Rc<Node>,
        criteria: &Criteria<'_>,
    ) -> Result<Reservation, Kind> {
        let picked = {
            let board = node.board();
            self.detectors.with(&board, criteria.service, |detector| {
                let view = View {
                    board: &board,
                    verdicts: detector,
                    service: criteria.service,
                    zone: &node.settings().zone,
                    avoid: criteria.avoid,
                    in_flight_max: node.settings().connections_max,
                };
                self.picker.pick(&view, &mut *node.rng())
            })
        };
        let upstream = picked.ok_or(Kind::NoUpstream)?.announcement.id;
        let number = self.next_number();
        let allocation = Allocation::unreported(criteria, upstream);
        let reservation = self
            .admit(node, number, allocation)
            .ok_or(Kind::NoUpstream)?;
        self.counts.chosen.set(self.counts.chosen.get() + 1);
        self.report(node, number);
        Ok(reservation)
    }

    /// Counts a reservation as running; returns `None` when its upstream is not on the board or
    /// already has the highest number of connections.
    fn admit(&self, node: &Rc<Node>, number: u32, allocation: Allocation) -> Option<Reservation> {
        let address = {
            let mut board = node.board_mut();
            let upstream = board.upstream_mut(&allocation.service, &allocation.upstream)?;
            if upstream.in_flight >= node.settings().connections_max {
                return None;
            }
            upstream.in_flight += 1;
            upstream.announcement.address
        };
        let reservation = Reservation::new(node, number, &allocation, address);
        self.running.insert(number, allocation);
        Some(reservation)
    }

    /// Reports a reservation to the steward of its service, unless that steward counts it already.
    fn report(&self, node: &Rc<Node>, number: u32) {
        let Some(allocation) = self.running.get(number) else {
            return;
        };
        let Some(steward) = self.steward_of(node, &allocation.service) else {
            return;
        };
        if allocation.reported_to.contains(&steward) {
            return;
        }
        if steward == node.settings().host {
            let hold = allocation.hold(&node.settings().zone);
            let ticket = Ticket {
                host: steward.clone(),
                number,
            };
            self.stewards.hold(node, &allocation.service, ticket, hold);
        } else if !self.links.send(&steward, allocation.frame(number)) {
            self.links.connect(node, &steward);
            return;
        }
        self.running.mark_reported(number, &steward);
    }

    /// Reports each running reservation to its steward, unless that steward counts it already.
    fn report_all(&self, node: &Rc<Node>) {
        for number in self.running.numbers() {
            self.report(node, number);
        }
    }

    /// Ends a reservation and sends its outcome to the stewards that count it.
    ///
    /// The detector on this host observes the outcome here unless a steward on this host counts the
    /// reservation and feeds the same detector.
    fn release(&self, node: &Rc<Node>, number: u32, report: Report, latency: Duration) {
        let Some(allocation) = self.running.remove(number) else {
            return;
        };
        if let Some(upstream) = node
            .board_mut()
            .upstream_mut(&allocation.service, &allocation.upstream)
        {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
        if !allocation.reported_to.contains(&node.settings().host) {
            let evidence = allocation.evidence(&node.settings().zone, report, latency);
            let now = node.now();
            let board = node.board();
            self.detectors
                .with(&board, &allocation.service, |detector| {
                    detector.observe(&evidence, now);
                });
        }
        for steward in &allocation.reported_to {
            let release = Release {
                ticket: Ticket {
                    host: node.settings().host.clone(),
                    number,
                },
                outcome: report.outcome,
                latency,
                reused: report.reused,
            };
            self.send_release(node, steward, &allocation.service, &release);
        }
    }

    fn send_release(
        &self,
        node: &Rc<Node>,
        steward: &HostId,
        service: &ServiceId,
        release: &Release,
    ) {
        if *steward == node.settings().host {
            self.stewards.release(node, service, release);
            return;
        }
        let frame = Frame::Release {
            number: release.ticket.number,
            service: service.clone(),
            outcome: release.outcome,
            latency: release.latency,
            reused: release.reused,
        };
        self.links.send(steward, frame);
    }

    /// Withdraws a slot request, or releases its grant unused.
    fn withdraw(&self, node: &Rc<Node>, steward: &HostId, service: &ServiceId, number: u32) {
        let release = Release {
            ticket: Ticket {
                host: node.settings().host.clone(),
                number,
            },
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
            reused: false,
        };
        self.send_release(node, steward, service, &release);
    }

    /// Returns a number for the next reservation.
    fn next_number(&self) -> u32 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        number
    }
}
