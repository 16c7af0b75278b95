//! The choice of an upstream for each attempt, with the count of what is running there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use log::debug;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Evidence;
use persimmonbend_core::health::Sign;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::routing::Picker;

use crate::node::Node;

/// Chooses upstreams by a [`Picker`].
#[derive(Debug)]
pub struct Slots {
    picker: Box<dyn Picker>,
}

impl Slots {
    /// Creates a choice by `picker`.
    #[must_use]
    pub fn new(picker: Box<dyn Picker>) -> Self {
        Self { picker }
    }

    /// Reserves an upstream for an attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoUpstream`] when there is none.
    pub async fn reserve(&self, node: &Rc<Node>, ask: &Ask<'_>) -> Result<Reservation, Kind> {
        let mut board = node.board_mut();
        let picked = self
            .picker
            .pick(&board, ask.service, ask.avoid, &mut *node.rng());
        let upstream = picked.ok_or(Kind::NoUpstream)?;
        let id = upstream.announcement.id;
        if let Some(upstream) = board.upstream_mut(ask.service, &id) {
            upstream.in_flight += 1;
        }
        Ok(Reservation {
            node: Rc::clone(node),
            service: ask.service.to_owned(),
            tenant: ask.tenant.map(str::to_owned),
            upstream: id,
            address: upstream.announcement.address,
            started: node.now(),
            report: Report::default(),
        })
    }
}

/// What an attempt needs.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Service whose upstream is wanted.
    pub service: &'a str,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<&'a str>,
    /// When the answer is due.
    pub deadline: Instant,
    /// Upstreams that were tried already.
    pub avoid: &'a [UpstreamId],
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// What it says about the upstream.
    pub sign: Sign,
    /// Whether the connection had been used before.
    pub reused: bool,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            sign: Sign::Cancelled,
            reused: false,
        }
    }
}

/// A request's place at an upstream, given back when dropped.
///
/// Unless [`Reservation::report`] was called, the attempt counts as cancelled.
#[derive(Debug)]
pub struct Reservation {
    node: Rc<Node>,
    service: ServiceId,
    tenant: Option<TenantId>,
    upstream: UpstreamId,
    address: SocketAddr,
    started: Instant,
    report: Report,
}

impl Reservation {
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

    /// Notes how the attempt ended.
    pub const fn report(&mut self, report: Report) {
        self.report = report;
    }

    /// Starts the clock of the attempt anew, for a second one at the same upstream.
    pub fn restart(&mut self) {
        self.started = self.node.now();
    }

    fn evidence(&self) -> Evidence {
        Evidence {
            upstream: self.upstream.clone(),
            zone: self.node.settings().zone.clone(),
            tenant: self.tenant.clone(),
            sign: self.report.sign,
            latency: self.node.now().duration_since(self.started),
            reused: self.report.reused,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        debug!("slots: {:?}", self.evidence());
        let mut board = self.node.board_mut();
        if let Some(upstream) = board.upstream_mut(&self.service, &self.upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }
}
