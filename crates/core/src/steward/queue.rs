//! A queue that is fair between tenants: deficit round robin over one flow per tenant.

use std::collections::VecDeque;
use std::time::Duration;

use crate::id::TenantId;

/// Least slot time that is added to a flow's deficit in each round.
const MIN_QUANTUM: Duration = Duration::from_millis(20);

/// Upper bound of the cost of one entry.
const MAX_ENTRY_COST: Duration = Duration::from_millis(320);

/// Entries at the front of a flow among which a placeable entry is searched.
const LOOK_AHEAD_ENTRIES: usize = 8;

/// Entries of all tenants, taken in the order of deficit round robin.
#[derive(Debug)]
pub struct Queue<T> {
    flows: VecDeque<Flow<T>>,
    length: usize,
    /// Slot time that is added to a flow's deficit in each round: the largest cost since the queue
    /// was last empty, so that each round takes an entry.
    quantum: Duration,
}

#[derive(Debug)]
struct Flow<T> {
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
            flows: VecDeque::new(),
            length: 0,
            quantum: MIN_QUANTUM,
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

    /// Returns how many entries are taken before a new one of `tenant` if all costs are equal.
    #[must_use]
    pub fn entries_before(&self, tenant: &str) -> usize {
        let own = self.flows.iter().find(|flow| flow.tenant == tenant);
        let Some(own) = own else {
            return self.flows.len();
        };
        let own = own.entries.len();
        let before = |flow: &Flow<T>| flow.entries.len().min(own + 1);
        self.flows
            .iter()
            .map(before)
            .sum::<usize>()
            .min(self.length)
    }

    /// Adds an entry that is expected to hold a slot for `cost`.
    pub fn push(&mut self, tenant: &str, cost: Duration, item: T) {
        let entry = Entry {
            cost: cost.min(MAX_ENTRY_COST),
            item,
        };
        if self.is_empty() {
            self.quantum = MIN_QUANTUM;
        }
        self.quantum = self.quantum.max(entry.cost);
        self.length += 1;
        if let Some(flow) = self.flows.iter_mut().find(|flow| flow.tenant == tenant) {
            flow.entries.push_back(entry);
            return;
        }
        self.flows.push_back(Flow {
            tenant: tenant.to_owned(),
            deficit: self.quantum,
            entries: VecDeque::from([entry]),
        });
    }

    /// Removes the next entry for which `place` returns a value, and returns the item of the entry
    /// with that value.
    pub fn take<P, F>(&mut self, mut place: F) -> Option<(T, P)>
    where
        F: FnMut(&T) -> Option<P>,
    {
        let mut skipped = 0;
        while skipped < self.flows.len() {
            let flow = self.flows.front_mut()?;
            let Some((index, found)) = flow.find(&mut place) else {
                skipped += 1;
                self.flows.rotate_left(1);
                continue;
            };
            let cost = flow.entries[index].cost;
            if flow.deficit < cost {
                skipped = 0;
                flow.deficit += self.quantum;
                self.flows.rotate_left(1);
                continue;
            }
            flow.deficit -= cost;
            let entry = flow.entries.remove(index)?;
            self.length -= 1;
            self.remove_empty_flows();
            return Some((entry.item, found));
        }
        None
    }

    /// Removes and returns every entry for which `is_removed` returns true.
    pub fn remove_if<F>(&mut self, mut is_removed: F) -> Vec<T>
    where
        F: FnMut(&T) -> bool,
    {
        let mut removed = Vec::new();
        for flow in &mut self.flows {
            let entries = std::mem::take(&mut flow.entries);
            for entry in entries {
                if is_removed(&entry.item) {
                    removed.push(entry.item);
                } else {
                    flow.entries.push_back(entry);
                }
            }
        }
        self.length -= removed.len();
        self.remove_empty_flows();
        removed
    }

    fn remove_empty_flows(&mut self) {
        self.flows.retain(|flow| !flow.entries.is_empty());
    }
}

impl<T> Flow<T> {
    fn find<P, F>(&self, place: &mut F) -> Option<(usize, P)>
    where
        F: FnMut(&T) -> Option<P>,
    {
        let candidates = self.entries.iter().take(LOOK_AHEAD_ENTRIES).enumerate();
        candidates
            .filter_map(|(index, entry)| place(&entry.item).map(|found| (index, found)))
            .next()
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
