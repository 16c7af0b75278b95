//! The choice of an upstream for each attempt, with the count of what is running there.

use std::net::SocketAddr;
use std::rc::Rc;

use persimmonbend_core::error::Kind;
use persimmonbend_core::id::ServiceId;
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

    /// Reserves an upstream of `service` that is not in `avoid`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoUpstream`] when there is none.
    pub fn reserve(
        &self,
        node: &Rc<Node>,
        service: &str,
        avoid: &[UpstreamId],
    ) -> Result<Reservation, Kind> {
        let mut board = node.board_mut();
        let picked = self.picker.pick(&board, service, avoid, &mut *node.rng());
        let upstream = picked.ok_or(Kind::NoUpstream)?;
        let id = upstream.announcement.id;
        if let Some(upstream) = board.upstream_mut(service, &id) {
            upstream.in_flight += 1;
        }
        Ok(Reservation {
            node: Rc::clone(node),
            service: service.to_owned(),
            upstream: id,
            address: upstream.announcement.address,
        })
    }
}

/// A request's place at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    node: Rc<Node>,
    service: ServiceId,
    upstream: UpstreamId,
    address: SocketAddr,
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
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut board = self.node.board_mut();
        if let Some(upstream) = board.upstream_mut(&self.service, &self.upstream) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }
}
