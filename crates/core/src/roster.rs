//! The registry of upstreams, as a deterministic state machine.
//!
//! The control replicas replicate each [`Announcement`] that changes the roster, so that an
//! acknowledged departure survives the failure of the replica that acknowledged it. Announcements
//! are ordered by incarnation and sequence. If several upstreams announce one address, the latest
//! incarnation holds it.
//!
//! What leaves the roster towards the fleet are effective entries, which show the upstreams of an evacuated
//! zone as draining, whatever they announce. The announcements themselves are kept as they came.

pub mod departures;
pub mod evacuation;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::roster::evacuation::Evacuations;
use crate::upstream::Announcement;
use crate::upstream::Stage;

/// Number of an upstream, assigned at its first announcement and again after each restart.
pub type Number = u32;

/// Number of changes that a roster has had.
pub type Revision = u64;

/// Most departed upstreams that are kept, so that a delayed announcement cannot register them
/// again; [`departures`] remembers them by time.
const MAX_DEPARTED_UPSTREAMS: usize = 1_024;

/// One upstream of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number that identifies the upstream on the links of the fleet.
    pub number: Number,
    /// Latest announcement of the upstream.
    pub announcement: Announcement,
}

/// The effect of an announcement on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The announcement changes the roster.
    New,
    /// The announcement repeats the known state with a new sequence.
    Renewal,
    /// A later announcement is already known, or the upstream has left.
    Outdated,
}

/// Returns the entry of an upstream that has now left, or `None` if it had left before.
fn departed(entry: &Entry) -> Option<Entry> {
    let mut entry = entry.clone();
    let stage = std::mem::replace(&mut entry.announcement.stage, Stage::Left);
    (stage != Stage::Left).then_some(entry)
}

/// The upstreams of the fleet, with those that have left.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Roster {
    next: Number,
    entries: BTreeMap<UpstreamId, Entry>,
    #[serde(default)]
    revision: Revision,
    #[serde(default, skip_serializing_if = "Evacuations::is_empty")]
    evacuations: Evacuations,
}

impl Roster {
    /// Returns the effective entries of all upstreams, including those that have left.
    pub fn entries(&self) -> impl Iterator<Item = Entry> {
        let entries = self.entries.values();
        entries.map(|entry| self.evacuations.effective(entry))
    }

    /// Returns the zones that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the zones of all upstreams, including those that have left.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.entries.values().map(|entry| &entry.announcement.zone)
    }

    /// Returns the number of changes so far; equal revisions of one log are equal rosters.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the entry of an upstream as it was announced.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the effect that an announcement would have, without applying it.
    #[must_use]
    pub fn evaluate(&self, announcement: &Announcement) -> Effect {
        let known = self
            .entries
            .get(&announcement.id)
            .map(|one| &one.announcement);
        if let Some(known) = known {
            let same = known.incarnation == announcement.incarnation;
            let has_left = same && known.stage == Stage::Left;
            if has_left || (known != announcement && !announcement.supersedes(known)) {
                return Effect::Outdated;
            }
            if announcement.renews(known) {
                return Effect::Renewal;
            }
        }
        let held = self.holder(announcement.address, &announcement.id);
        if held.is_some_and(|(_, incarnation)| incarnation > announcement.incarnation) {
            return Effect::Outdated;
        }
        Effect::New
    }

    /// Applies an announcement and returns the effective entries that it changes.
    pub fn apply(&mut self, announcement: &Announcement) -> Vec<Entry> {
        if self.evaluate(announcement) != Effect::New {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if let Some((other, _)) = self.holder(announcement.address, &announcement.id) {
            changed.extend(self.deregister(&other));
        }
        let known = self.entries.get(&announcement.id);
        let is_same_start = |one: &&Entry| one.announcement.incarnation == announcement.incarnation;
        let same_start = known.filter(is_same_start);
        changed.extend(known.filter(|one| !is_same_start(one)).and_then(departed));
        let number = same_start.map_or(self.next + 1, |one| one.number);
        self.next = self.next.max(number);
        let entry = Entry {
            number,
            announcement: announcement.clone(),
        };
        changed.push(self.evacuations.effective(&entry));
        self.entries.insert(announcement.id.clone(), entry);
        self.revision += 1;
        self.remove_oldest_departed();
        changed
    }

    /// Marks an upstream as left and returns its entry, or `None` if it is unknown or has left.
    pub fn deregister(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.get_mut(id)?;
        if entry.announcement.stage == Stage::Left {
            return None;
        }
        entry.announcement.stage = Stage::Left;
        let entry = entry.clone();
        self.revision += 1;
        self.remove_oldest_departed();
        Some(entry)
    }

    /// Evacuates a zone, or takes it back, and returns the effective entries that change.
    pub fn set_evacuated(&mut self, zone: &str, is_evacuated: bool) -> Vec<Entry> {
        if !self.evacuations.set(zone, is_evacuated) {
            return Vec::new();
        }
        let announced = self.entries.values();
        let affected = announced.filter(|entry| {
            let announcement = &entry.announcement;
            announcement.zone == zone && announcement.stage.takes_requests()
        });
        let changed: Vec<Entry> = affected
            .map(|entry| self.evacuations.effective(entry))
            .collect();
        self.revision += Revision::from(!changed.is_empty());
        changed
    }

    /// Returns the upstream other than `id` that holds an address, with its incarnation.
    fn holder(&self, address: SocketAddr, id: &str) -> Option<(UpstreamId, Incarnation)> {
        let others = self.entries.values().map(|entry| &entry.announcement);
        let mut others = others.filter(|one| one.id != id && one.stage != Stage::Left);
        let holder = others.find(|one| one.address == address)?;
        Some((holder.id.clone(), holder.incarnation))
    }

    fn remove_oldest_departed(&mut self) {
        let has_left = |entry: &&Entry| entry.announcement.stage == Stage::Left;
        let departed = self.entries.values().filter(has_left);
        let mut departed: Vec<(Number, UpstreamId)> = departed
            .map(|entry| (entry.number, entry.announcement.id.clone()))
            .collect();
        if departed.len() <= MAX_DEPARTED_UPSTREAMS {
            return;
        }
        departed.sort_unstable();
        for (_, id) in departed
            .iter()
            .take(departed.len() - MAX_DEPARTED_UPSTREAMS)
        {
            self.entries.remove(id);
        }
    }
}
