//! Zones whose upstreams take no new requests, by order of an operator.
//!
//! An order changes what the fleet is told of the upstreams of its zone and leaves their announcements as
//! they are, so that its withdrawal brings back what the upstreams say by then.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Zone;
use crate::roster::Entry;
use crate::upstream::Stage;

/// The zones that are evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations {
    zones: BTreeSet<Zone>,
}

impl Evacuations {
    /// Returns whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter()
    }

    /// Sets whether a zone is evacuated; returns whether that is a change.
    pub fn set(&mut self, zone: &str, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.zones.insert(zone.to_owned())
        } else {
            self.zones.remove(zone)
        }
    }

    /// Returns an entry as the fleet is to obey it: an upstream of an evacuated zone drains if it would take
    /// requests.
    #[must_use]
    pub fn effective(&self, entry: &Entry) -> Entry {
        let mut entry = entry.clone();
        let announcement = &mut entry.announcement;
        if announcement.stage.takes_requests() && self.contains(&announcement.zone) {
            announcement.stage = Stage::Draining;
        }
        entry
    }
}
