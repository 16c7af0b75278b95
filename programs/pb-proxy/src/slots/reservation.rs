//! Reservations of upstreams for single attempts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::UpstreamId;

use crate::node::Node;
use crate::slots::running::Allocation;

/// What an attempt requires of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Service whose upstream is wanted.
    pub service: &'a str,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<&'a str>,
    /// Time by which the answer to the client is due.
    pub deadline: Instant,
    /// Upstreams that were tried already.
    pub avoid: &'a [UpstreamId],
    /// Whether the request may be sent again.
    pub idempotent: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The outcome as evidence on the upstream.
    pub outcome: Outcome,
    /// Whether the connection had been used before.
    pub reused: bool,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            outcome: Outcome::Cancelled,
            reused: false,
        }
    }
}

/// A slot of an upstream reserved for an attempt, released when dropped.
///
/// Unless [`Reservation::report`] was called, the attempt counts as cancelled.
#[derive(Debug)]
pub struct Reservation {
    node: Rc<Node>,
    number: u32,
    upstream: UpstreamId,
    address: SocketAddr,
    started: Instant,
    report: Report,
}

impl Reservation {
    pub(super) fn new(
        node: &Rc<Node>,
        number: u32,
        allocation: &Allocation,
        address: SocketAddr,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            number,
            upstream: allocation.upstream.clone(),
            address,
            started: node.now(),
            report: Report::default(),
        }
    }

    /// Returns the upstream.
    #[must_use]
    pub const fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Measures the latency from now on, for a second attempt at the same upstream.
    pub fn restart(&mut self) {
        self.started = self.node.now();
    }

    /// Sets how the attempt ended.
    pub const fn report(&mut self, report: Report) {
        self.report = report;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let latency = self.node.now().duration_since(self.started);
        let slots = self.node.slots();
        slots.release(&self.node, self.number, self.report, latency);
    }
}
