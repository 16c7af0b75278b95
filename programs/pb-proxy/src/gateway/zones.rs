//! Zones of which no upstream takes requests, as this host was told.
//!
//! A host is told of an evacuation by the upstreams of the zone, which then drain.

use std::cell::RefCell;
use std::collections::BTreeMap;

use persimmonbend_core::id::Zone;
use persimmonbend_core::roster::Entry;
use tracing::info;

/// The upstreams of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Count {
    all: usize,
    /// Those that take requests.
    open: usize,
}

/// The upstreams by zone.
#[derive(Debug, Default)]
pub struct Zones {
    counts: RefCell<BTreeMap<Zone, Count>>,
}

impl Zones {
    /// Counts all upstreams, and logs the zones that have lost the last one that takes requests, or have one
    /// again.
    pub fn update<'a, I: Iterator<Item = &'a Entry>>(&self, upstreams: I) {
        let mut counts: BTreeMap<Zone, Count> = BTreeMap::new();
        for entry in upstreams {
            let announcement = &entry.announcement;
            if !counts.contains_key(&announcement.zone) {
                counts.insert(announcement.zone.clone(), Count::default());
            }
            if let Some(count) = counts.get_mut(&announcement.zone) {
                count.all += 1;
                count.open += usize::from(announcement.stage.takes_requests());
            }
        }
        let before = self.counts.replace(counts);
        for (zone, count) in &*self.counts.borrow() {
            let was_closed = before.get(zone).is_some_and(|before| before.open == 0);
            if count.open == 0 && !was_closed {
                info!(zone, upstreams = count.all, "zone_closed");
            } else if count.open > 0 && was_closed {
                info!(zone, upstreams = count.open, "zone_opened");
            }
        }
    }

    /// Returns the zones that have upstreams, none of which takes requests.
    #[must_use]
    pub fn closed(&self) -> Vec<Zone> {
        let counts = self.counts.borrow();
        let closed = counts.iter().filter(|(_, count)| count.open == 0);
        closed.map(|(zone, _)| zone.clone()).collect()
    }
}
