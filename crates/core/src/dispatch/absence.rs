//! Hosts whose links have ended: what becomes of their slots until they return.
//!
//! Answers the load of upstreams that go on with the requests of a host that is silent, frozen or on its way to
//! another link. The host may still wait for these requests, so their slots stay in use until it reports on its
//! next link what it runs, until the requests are due, or for [`MAX_ABSENCE`].

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Dispatcher;
use crate::dispatch::Host;
use crate::dispatch::Slot;
use crate::steward::Ticket;

/// Longest time for which the slots of a host without a link stay in use; its share of the quotas is withheld for
/// as long.
const MAX_ABSENCE: Duration = super::DISCONNECTED_HOST_SHARE_TIME;

impl Dispatcher {
    /// Records that a host has connected, and withdraws what it had queued over an earlier link.
    ///
    /// The host reports next what it runs, with [`Dispatcher::record_running`], and then calls
    /// [`Dispatcher::end_report`]. Slots of an earlier link stay in use until then.
    pub fn connect_host(&mut self, host: &str, now: Instant) {
        self.ledger.forget_host(host);
        self.keep_slots(host, now);
        let connected = Host {
            disconnected_at: None,
        };
        self.hosts.insert(host.to_owned(), connected);
    }

    /// Records that the link of a host has ended, and withdraws what it had queued. Its slots stay in use for
    /// as long as its requests may run.
    pub fn disconnect_host(&mut self, host: &str, now: Instant) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.disconnected_at = Some(now);
        }
        self.keep_slots(host, now);
    }

    /// Frees the slots of earlier links that a host has not reported over its new link.
    ///
    /// Returns answers to queued requests that can now be placed.
    pub fn end_report(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        let is_unreported = |slot: &Slot| slot.absent_until.is_some();
        self.free_slots(self.tickets(host, is_unreported), now)
    }

    /// Frees the slots of absent hosts whose time is over; requests that wait are placed afterwards.
    pub(super) fn expire_absent_slots(&mut self, now: Instant) {
        let is_over = |slot: &Slot| slot.absent_until.is_some_and(|until| until <= now);
        let over = self.slots_in_use.iter().filter(|(_, slot)| is_over(slot));
        let over: Vec<Ticket> = over.map(|(ticket, _)| ticket.clone()).collect();
        for ticket in over {
            self.free_slot(&ticket, now);
        }
    }

    /// Returns the slots of a host that `accepts` does.
    pub(super) fn tickets<F: Fn(&Slot) -> bool>(&self, host: &str, accepts: F) -> Vec<Ticket> {
        let bound = |number| Ticket {
            host: host.to_owned(),
            number,
        };
        let own = self.slots_in_use.range(bound(u32::MIN)..=bound(u32::MAX));
        let accepted = own.filter(|(_, slot)| accepts(slot));
        accepted.map(|(ticket, _)| ticket.clone()).collect()
    }

    fn keep_slots(&mut self, host: &str, now: Instant) {
        self.contact.forget_host(host);
        for ticket in self.tickets(host, |slot| slot.absent_until.is_none()) {
            if let Some(slot) = self.slots_in_use.get_mut(&ticket) {
                slot.absent_until = Some(slot.deadline.min(now + MAX_ABSENCE));
            }
        }
        self.withdraw_host(host);
    }
}
