//! What operators see of upstreams and hosts.

use std::collections::BTreeSet;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::roster::Number;
use crate::statement::Limit;

/// The load of one upstream, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Load {
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Requests that are known to run on the upstream.
    pub running: u32,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Bytes of the bodies of the running requests.
    pub held_bytes: u64,
    /// Whether a slot is earmarked for a large request that waits for the upstream to have room for it.
    pub is_earmarked: bool,
    /// Probability that the upstream is grey.
    pub grey: f64,
    /// Whether the upstream has stated in an answer that it is draining.
    pub states_draining: bool,
    /// Requests a second that the upstream has stated to take from all hosts.
    pub limit: Option<f64>,
    /// Whether the upstream counts as cold, so that the terms of its service limit its requests.
    pub is_cold: bool,
    /// Hosts from which the upstream wants no requests for now.
    pub paused_hosts: usize,
}

impl Dispatcher {
    /// Returns the load of every upstream and the probability that it is grey, for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> Vec<Load> {
        let pools = self.pools.iter();
        let upstreams = pools.flat_map(|(service, pool)| {
            let each = pool.upstreams();
            each.map(move |(number, state)| Load {
                service: service.clone(),
                upstream: number,
                running: state.running,
                slots: state.slots,
                held_bytes: state.held.bytes(),
                is_earmarked: state.held.is_earmarked(),
                grey: state.belief.grey(now),
                states_draining: self.ledger.is_draining(number),
                limit: self.ledger.limit(number).map(Limit::per_second),
                is_cold: self.cold.contains(number),
                paused_hosts: self.ledger.count_paused_hosts(number, now),
            })
        });
        upstreams.collect()
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn queued(&self, service: &str) -> usize {
        self.pools.get(service).map_or(0, Pool::queued)
    }

    /// Returns the number of hosts that could not connect to some upstream a short time ago.
    #[must_use]
    pub fn hosts_with_unreachable(&self, now: Instant) -> usize {
        let current = self.unreachable_until.iter();
        let current = current.filter(|(_, until)| now < **until);
        let hosts: BTreeSet<&HostId> = current.map(|((host, _), _)| host).collect();
        hosts.len()
    }

    /// Returns the number of upstreams at which several hosts in contact found no listener.
    #[must_use]
    pub fn dead_upstreams(&self, now: Instant) -> usize {
        self.contact.dead(now)
    }

    /// Returns the number of hosts whose own paths count as the cause of their failures.
    #[must_use]
    pub fn hosts_out_of_contact(&self) -> usize {
        self.contact.out_of_contact()
    }

    /// Returns the retries that each service may still send.
    pub fn retries_left(&self) -> impl Iterator<Item = (&ServiceId, f64)> {
        let pools = self.pools.iter();
        pools.map(|(service, pool)| (service, pool.retry_budget.tokens()))
    }
}
