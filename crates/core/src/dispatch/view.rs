//! What operators see of services that are full.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::dispatch::Refusals;
use crate::id::ServiceId;
use crate::publication::Priority;

/// The queued requests of one priority, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Waiting {
    /// Requests that will probably be answered within their objective.
    pub timely: usize,
    /// Requests that will probably be answered later.
    pub late: usize,
}

impl Dispatcher {
    /// Returns the queued requests of each service, by rank.
    pub fn queues(&self) -> impl Iterator<Item = (&ServiceId, BTreeMap<Priority, Waiting>)> {
        let pools = self.pools.iter();
        pools.map(|(service, pool)| {
            let mut queues: BTreeMap<Priority, Waiting> = BTreeMap::new();
            for (rank, line) in pool.backlog.lines() {
                let waiting = queues.entry(rank.priority).or_default();
                let count = if rank.is_late {
                    &mut waiting.late
                } else {
                    &mut waiting.timely
                };
                *count += line.len();
            }
            (service, queues)
        })
    }

    /// Returns the free slots that each service keeps from its slowest requests of least priority.
    pub fn kept_slots(&self, now: Instant) -> impl Iterator<Item = (&ServiceId, u32)> {
        let pools = self.pools.iter();
        let kept = move |pool: &Pool| pool.kept_slots(Priority::MAX, Duration::MAX, now);
        pools.map(move |(service, pool)| (service, kept(pool)))
    }

    /// Returns the retries that each service has kept from requests of a priority for more urgent ones.
    pub fn retries_withheld(&self) -> impl Iterator<Item = (&ServiceId, &BTreeMap<Priority, u64>)> {
        let pools = self.pools.iter();
        pools.map(|(service, pool)| (service, pool.ration.withheld()))
    }

    /// Returns the retries that each service has sent, extra sends included.
    pub fn retries_spent(&self) -> impl Iterator<Item = (&ServiceId, u64)> {
        let pools = self.pools.iter();
        pools.map(|(service, pool)| (service, pool.retry_budget.spent()))
    }

    /// Returns the refusals since the last call of [`Dispatcher::take_refusals`].
    #[must_use]
    pub const fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// Returns the refusals since the last call.
    pub fn take_refusals(&mut self) -> Refusals {
        std::mem::take(&mut self.refusals)
    }
}
