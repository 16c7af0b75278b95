//! The hosts that share the quotas and use the slots.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Dispatcher;
use crate::steward::Ticket;

/// Time for which the share of a disconnected host is withheld from the quotas of tenants, since
/// the host may still spend this share on its own.
pub(super) const DISCONNECTED_HOST_SHARE_TIME: Duration = Duration::from_secs(30);

/// The connection state of a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Host {
    /// When the connection was lost; `None` while the host is connected.
    pub(super) disconnected_at: Option<Instant>,
}

impl Dispatcher {
    /// Removes a host that stops as planned, with its slots and queued requests.
    ///
    /// Returns answers to requests of other hosts that can now be placed.
    pub fn remove_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.hosts.remove(host);
        self.ledger.forget_host(host);
        self.release_host(host, now)
    }

    /// Returns the number of hosts that share the quotas.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    fn release_host(&mut self, host: &str, now: Instant) -> Vec<Answer> {
        self.contact.forget_host(host);
        self.withdraw_host(host);
        self.free_slots(self.tickets(host, |_| true), now)
    }

    /// Frees slots and returns answers to queued requests that can now be placed.
    pub(super) fn free_slots(&mut self, tickets: Vec<Ticket>, now: Instant) -> Vec<Answer> {
        let mut services = BTreeSet::new();
        for ticket in tickets {
            services.extend(self.free_slot(&ticket, now).map(|slot| slot.service));
        }
        let served = services
            .iter()
            .map(|service| self.place_queued(service, now));
        served.flatten().collect()
    }
}
