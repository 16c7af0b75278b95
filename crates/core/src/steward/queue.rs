//! A queue that is fair between tenants: deficit round robin over one lane per tenant.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::TenantId;

/// Time of a slot that a lane may use in one round.
const QUANTUM: Duration = Duration::from_millis(20);

/// Most that one entry costs.
const MAX_COST: Duration = Duration::from_millis(320);

/// Entries at the front of a lane that are looked at for one that can be placed.
const LOOK_AHEAD: usize = 8;

/// Entries of all tenants in the order of deficit round robin.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: VecDeque<Lane<T>>,
    length: usize,
}

#[derive(Debug)]
struct Lane<T> {
    tenant: TenantId,
    deficit: Duration,
    entries: VecDeque<Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    cost: Duration,
    item: T,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lanes: VecDeque::new(),
            length: 0,
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns how many entries go before a new one of `tenant`, if costs are equal.
    #[must_use]
    pub fn ahead_of(&self, tenant: &str) -> usize {
        let own = self.lanes.iter().find(|lane| lane.tenant == tenant);
        let Some(own) = own else {
            return self.lanes.len();
        };
        let own = own.entries.len();
        let before = |lane: &Lane<T>| lane.entries.len().min(own + 1);
        self.lanes
            .iter()
            .map(before)
            .sum::<usize>()
            .min(self.length)
    }

    /// Adds an entry that is expected to use a slot for `cost`.
    pub fn push(&mut self, tenant: &str, cost: Duration, item: T) {
        let entry = Entry {
            cost: cost.min(MAX_COST),
            item,
        };
        self.length += 1;
        if let Some(lane) = self.lanes.iter_mut().find(|lane| lane.tenant == tenant) {
            lane.entries.push_back(entry);
            return;
        }
        self.lanes.push_back(Lane {
            tenant: tenant.to_owned(),
            deficit: QUANTUM,
            entries: VecDeque::from([entry]),
        });
    }

    /// Removes the next entry that `place` finds a place for, and returns it with the place.
    pub fn take<P, F>(&mut self, mut place: F) -> Option<(T, P)>
    where
        F: FnMut(&T) -> Option<P>,
    {
        let mut barren = 0;
        while barren < self.lanes.len() {
            let lane = self.lanes.front_mut()?;
            let Some((index, found)) = lane.find(&mut place) else {
                barren += 1;
                self.lanes.rotate_left(1);
                continue;
            };
            let cost = lane.entries[index].cost;
            if lane.deficit < cost {
                barren = 0;
                lane.deficit += QUANTUM;
                self.lanes.rotate_left(1);
                continue;
            }
            lane.deficit -= cost;
            let entry = lane.entries.remove(index)?;
            self.length -= 1;
            self.drop_empty();
            return Some((entry.item, found));
        }
        None
    }

    /// Removes every entry that `leaves` holds for.
    pub fn remove_if<F>(&mut self, mut leaves: F) -> Vec<T>
    where
        F: FnMut(&T) -> bool,
    {
        let mut removed = Vec::new();
        for lane in &mut self.lanes {
            let entries = std::mem::take(&mut lane.entries);
            for entry in entries {
                if leaves(&entry.item) {
                    removed.push(entry.item);
                } else {
                    lane.entries.push_back(entry);
                }
            }
        }
        self.length -= removed.len();
        self.drop_empty();
        removed
    }

    fn drop_empty(&mut self) {
        self.lanes.retain(|lane| !lane.entries.is_empty());
    }
}

impl<T> Lane<T> {
    fn find<P, F>(&self, place: &mut F) -> Option<(usize, P)>
    where
        F: FnMut(&T) -> Option<P>,
    {
        let looked_at = self.entries.iter().take(LOOK_AHEAD).enumerate();
        looked_at
            .filter_map(|(index, entry)| place(&entry.item).map(|found| (index, found)))
            .next()
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
