//! The slots that hosts are using.

use std::time::Instant;

use crate::dispatch::Dispatcher;
use crate::dispatch::Hold;
use crate::dispatch::hosts::DISCONNECTED_HOST_SHARE_TIME;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::Zone;
use crate::roster::Number;
use crate::steward::Ticket;

/// A slot of an upstream that a host is using.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) service: ServiceId,
    pub(super) upstream: Number,
    /// Zone of the host, if it is known.
    pub(super) zone: Zone,
    pub(super) route: RouteId,
    /// What the request takes of the service.
    pub(super) hold: Hold,
    /// Size of the request body in bytes.
    pub(super) body_bytes: u32,
    pub(super) since: Instant,
    /// When the answer to the client is due, after which the host no longer waits for the upstream.
    pub(super) deadline: Instant,
    /// Until when the slot stays in use while its host has no link, or has not reported yet what it runs.
    pub(super) absent_until: Option<Instant>,
    /// Whether no other attempt of the request may follow.
    pub(super) is_last: bool,
    /// Whether the upstream was chosen to keep it in use rather than for its cost.
    pub(super) is_trial: bool,
    /// Number of times that the attempt has been recorded as late.
    pub(super) late_count: u32,
    /// The attempt that this one is an extra send to, if the service limits these.
    pub(super) hedge_of: Option<Ticket>,
}

/// A running request that a host placed on its own or through another dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Identifier of the reservation.
    pub ticket: Ticket,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Route of the request.
    pub route: RouteId,
    /// Size of the request body in bytes, 0 if it is not known.
    pub body_bytes: u32,
}

impl Dispatcher {
    /// Records a slot that a host uses without a grant of this dispatcher, or still uses after its link ended.
    pub fn record_running(&mut self, placement: Placement, now: Instant) {
        let known = self.slots_in_use.get_mut(&placement.ticket);
        if let Some(slot) = known.filter(|slot| slot.upstream == placement.upstream) {
            slot.absent_until = None;
            return;
        }
        self.free_slot(&placement.ticket, now);
        let body_bytes = placement.body_bytes;
        let is_known = self.change_upstream(placement.upstream, now, |state| {
            state.running += 1;
            state.held.take(body_bytes);
        });
        if !is_known {
            return;
        }
        let hold = self.hold(&placement.service, &placement.route, None);
        if let Some(pool) = self.pools.get_mut(&placement.service) {
            pool.demand.note_grant(hold);
        }
        let route = self.publication.routes.get(&placement.route);
        let timeout = route.map_or(DISCONNECTED_HOST_SHARE_TIME, |route| route.timeout);
        let slot = Slot {
            service: placement.service,
            upstream: placement.upstream,
            zone: Zone::new(),
            route: placement.route,
            hold,
            body_bytes,
            since: now,
            deadline: now + timeout,
            absent_until: None,
            is_last: false,
            is_trial: false,
            late_count: 0,
            hedge_of: None,
        };
        self.slots_in_use.insert(placement.ticket, slot);
    }

    /// Returns the number of requests that are known to run on an upstream.
    #[must_use]
    pub fn running(&self, number: Number) -> u32 {
        let pool = self
            .services
            .get(&number)
            .and_then(|service| self.pools.get(service));
        let state = pool.and_then(|pool| pool.get(number));
        state.map_or(0, |state| state.running)
    }

    /// Counts the slots in use of an upstream that is listed again; their requests went on meanwhile.
    pub(super) fn restore_slots(&mut self, number: Number, now: Instant) {
        let own = self.slots_in_use.values();
        let bodies = own
            .filter(|slot| slot.upstream == number)
            .map(|slot| slot.body_bytes);
        let bodies: Vec<u32> = bodies.collect();
        self.change_upstream(number, now, |state| {
            for body_bytes in bodies {
                state.running += 1;
                state.held.take(body_bytes);
            }
        });
    }

    pub(super) fn free_slot(&mut self, ticket: &Ticket, now: Instant) -> Option<Slot> {
        let slot = self.slots_in_use.remove(ticket)?;
        if let Some(pool) = self.pools.get_mut(&slot.service) {
            pool.demand.note_end(slot.hold);
        }
        self.change_upstream(slot.upstream, now, |state| {
            state.running = state.running.saturating_sub(1);
            state.held.give_back(slot.body_bytes);
        });
        Some(slot)
    }
}
