//! Index of the upstreams of one service by what they can take.
//!
//! A [`Free`] knows which upstreams have room for a request, by zone and by whether they are suspects, and
//! how many slots of the service can be kept busy. A decision thus costs the same in a service of ten upstreams and
//! of a thousand, also while all slots are in use or all upstreams are suspects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::id::Zone;
use crate::roster::Number;
use crate::statement::Pauses;

/// Most upstreams of the requesting zone, and of all other zones, that are compared for one
/// request. In a larger service the compared window moves on with every request.
const MAX_LOCAL_CANDIDATES: usize = 24;
const MAX_REMOTE_CANDIDATES: usize = 24;

/// Divisor of the part of a window that is kept for suspects while there are healthy upstreams.
const SUSPECT_DIVISOR: usize = 4;

/// Unit of [`Standing::capacity`].
pub const MILLIONTHS: f64 = 1_000_000.0;

/// What one upstream can take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Zone that the upstream runs in.
    pub zone: Zone,
    /// Mean number of slots that new requests can keep busy, in millionths; 0 if it takes no new ones.
    pub capacity: u64,
    /// Whether the upstream is more likely grey than not.
    pub is_suspect: bool,
    /// Whether the upstream takes new requests and has a free slot.
    pub has_room: bool,
}

/// The upstreams of one service with a free slot, and the slots of all of them.
#[derive(Debug, Clone, Default)]
pub struct Free {
    standings: BTreeMap<Number, Standing>,
    zones: BTreeMap<Zone, Group>,
    /// Sum of the capacities of the upstreams that are no suspects.
    healthy_capacity: u64,
    /// Sum of the capacities of the suspects.
    suspect_capacity: u64,
    healthy_free: usize,
    suspect_free: usize,
}

/// The upstreams of one zone with a free slot.
#[derive(Debug, Clone, Default)]
struct Group {
    healthy: Ring,
    suspect: Ring,
}

/// Numbers that are visited in turn.
#[derive(Debug, Clone, Default)]
struct Ring {
    numbers: BTreeSet<Number>,
    /// Number that was visited last.
    last: Number,
}

impl Free {
    /// Sets what an upstream can take.
    pub fn set(&mut self, number: Number, standing: Standing) {
        if self.standings.get(&number) == Some(&standing) {
            return;
        }
        self.remove(number);
        *self.capacity_mut(standing.is_suspect) += standing.capacity;
        if standing.has_room {
            *self.free_mut(standing.is_suspect) += 1;
            let group = self.zones.entry(standing.zone.clone()).or_default();
            let ring = group.ring_mut(standing.is_suspect);
            ring.numbers.insert(number);
        }
        self.standings.insert(number, standing);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, number: Number) {
        let Some(standing) = self.standings.remove(&number) else {
            return;
        };
        *self.capacity_mut(standing.is_suspect) -= standing.capacity;
        if standing.has_room {
            *self.free_mut(standing.is_suspect) -= 1;
            if let Some(group) = self.zones.get_mut(&standing.zone) {
                group.ring_mut(standing.is_suspect).numbers.remove(&number);
            }
        }
    }

    /// Returns whether no upstream has a free slot.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.healthy_free == 0 && self.suspect_free == 0
    }

    /// Returns whether an upstream that is no suspect has a free slot.
    #[must_use]
    pub const fn has_healthy(&self) -> bool {
        self.healthy_free > 0
    }

    /// Returns the mean number of slots that new requests can keep busy at upstreams that are no suspects.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub const fn healthy_capacity(&self) -> f64 {
        self.healthy_capacity as f64 / MILLIONTHS
    }

    /// Returns the same as [`Free::healthy_capacity`], or for all upstreams if that is nothing.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub const fn capacity(&self) -> f64 {
        if self.healthy_capacity > 0 {
            self.healthy_capacity()
        } else {
            self.suspect_capacity as f64 / MILLIONTHS
        }
    }

    /// Returns upstreams with a free slot, without the paused ones, that are to be compared for a request of
    /// `zone`; the next
    /// call goes on behind them.
    pub fn candidates(&mut self, zone: &str, pauses: Pauses<'_>) -> Vec<Number> {
        let mut window = Vec::with_capacity(MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES);
        let others = self.zones.len().saturating_sub(1).max(1);
        let each = (MAX_REMOTE_CANDIDATES / others).max(1);
        for (name, group) in &mut self.zones {
            let most = if name == zone {
                MAX_LOCAL_CANDIDATES
            } else {
                each
            };
            group.visit(most, pauses, &mut window);
        }
        window
    }

    const fn capacity_mut(&mut self, is_suspect: bool) -> &mut u64 {
        if is_suspect {
            &mut self.suspect_capacity
        } else {
            &mut self.healthy_capacity
        }
    }

    const fn free_mut(&mut self, is_suspect: bool) -> &mut usize {
        if is_suspect {
            &mut self.suspect_free
        } else {
            &mut self.healthy_free
        }
    }
}

impl Group {
    const fn ring_mut(&mut self, is_suspect: bool) -> &mut Ring {
        if is_suspect {
            &mut self.suspect
        } else {
            &mut self.healthy
        }
    }

    /// Appends at most `most` upstreams to `window`, some of them suspects.
    fn visit(&mut self, most: usize, pauses: Pauses<'_>, window: &mut Vec<Number>) {
        let kept = self.suspect.numbers.len().min(most / SUSPECT_DIVISOR);
        let healthy = self.healthy.numbers.len().min(most - kept);
        self.healthy.visit(healthy, pauses, window);
        self.suspect.visit(most - healthy, pauses, window);
    }
}

impl Ring {
    /// Appends the next numbers to `window`, each at most once.
    fn visit(&mut self, most: usize, pauses: Pauses<'_>, window: &mut Vec<Number>) {
        let last = self.last;
        let after = self
            .numbers
            .range((Bound::Excluded(last), Bound::Unbounded));
        let rotated = after.chain(self.numbers.range(..=last));
        let before = window.len();
        let eligible = rotated.filter(|number| !pauses.contains(**number));
        window.extend(eligible.take(most).copied());
        if window.len() > before
            && let Some(visited) = window.last()
        {
            self.last = *visited;
        }
    }
}
