//! The registry of upstreams, as a deterministic state machine.
//!
//! The control replicas replicate each [`Announcement`] that changes the roster, so that an
//! acknowledged departure survives the failure of the replica that acknowledged it. Announcements
//! are ordered by incarnation and sequence. If several upstreams announce one address, the latest
//! incarnation holds it.
//!
//! A departure is an announcement of the stage [`Stage::Left`], also for an upstream that the roster does not know,
//! so it refuses what arrives after it, on every replica. One that names its start is final. One that
//! does not is taken for the departure of every start up to the time of its arrival; a start that goes on announcing
//! itself after it is [reinstated](Roster::reinstate). [`admission`] decides what the leader makes of an announcement.
//!
//! What leaves the roster towards the fleet are effective entries, which show the upstreams of an evacuated
//! zone as draining, whatever they announce. The announcements themselves are kept as they came.

pub mod admission;
pub mod departures;
pub mod evacuation;
pub mod refused;

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::roster::evacuation::Evacuations;
use crate::upstream::Announcement;
use crate::upstream::LAST_SEQUENCE;
use crate::upstream::Stage;

/// Number of an upstream, assigned at its first announcement and again after each restart.
pub type Number = u32;

/// Number of changes that a roster has had.
pub type Revision = u64;

/// Most departed upstreams that are kept, so that a delayed announcement cannot register them
/// again; [`departures`] remembers them by time.
const MAX_DEPARTED_UPSTREAMS: usize = 1_024;

/// Most departures of upstreams that the roster has not known. Anybody can send them, so they must not push
/// out those of others.
pub const MAX_UNKNOWN_DEPARTURES: usize = MAX_DEPARTED_UPSTREAMS / 2;

/// Departures of unknown upstreams that are removed at a time once there are too many.
const REMOVED_UNKNOWN_DEPARTURES: usize = MAX_UNKNOWN_DEPARTURES / 4;

/// Address of an entry that only notes a departure.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

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
    /// A later announcement of the same start is already known.
    Outdated,
    /// The start that sends the announcement is not used.
    Refused(Refusal),
}

/// Why the start that sends an announcement is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The start has left, or may be one that has.
    Left,
    /// A later start of the upstream is known.
    Replaced,
    /// Another upstream with a later start holds the address.
    AddressHeld,
    /// No configuration names the service, and an upstream whose service is named holds the id or the address.
    UnknownService,
}

impl Refusal {
    /// Returns the reason as it stands in log lines.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Replaced => "replaced",
            Self::AddressHeld => "address_held",
            Self::UnknownService => "unknown_service",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Left => "it has left",
            Self::Replaced => "a later start of it is known",
            Self::AddressHeld => "a later start of another upstream holds its address",
            Self::UnknownService => {
                "no configuration names its service, and another upstream holds its id or address"
            }
        })
    }
}

impl Entry {
    /// Returns whether the start has left by its own word, so that none of its announcements is of use any more.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.announcement.stage == Stage::Left && self.announcement.sequence == LAST_SEQUENCE
    }

    /// Returns whether the entry only notes the departure of an upstream that the roster has not known.
    fn is_of_unknown(&self) -> bool {
        self.announcement.stage == Stage::Left && self.announcement.service.is_empty()
    }
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

    /// Returns the zones of all upstreams, including those that have left, but for departures of unknown ones.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        let known = self.entries.values().filter(|entry| !entry.is_of_unknown());
        known.map(|entry| &entry.announcement.zone)
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
            if known.stage == Stage::Left && known.incarnation >= announcement.incarnation {
                return Effect::Refused(Refusal::Left);
            }
            if known.incarnation > announcement.incarnation {
                return Effect::Refused(Refusal::Replaced);
            }
            if known != announcement && !announcement.supersedes(known) {
                return Effect::Outdated;
            }
            if announcement.renews(known) {
                return Effect::Renewal;
            }
        }
        let held = self.holder(announcement.address, &announcement.id);
        if held.is_some_and(|holder| holder.incarnation > announcement.incarnation) {
            return Effect::Refused(Refusal::AddressHeld);
        }
        Effect::New
    }

    /// Applies an announcement and returns the effective entries that it changes.
    pub fn apply(&mut self, announcement: &Announcement) -> Vec<Entry> {
        if self.evaluate(announcement) != Effect::New {
            return Vec::new();
        }
        self.insert(announcement, |known| {
            known.incarnation == announcement.incarnation
        })
    }

    /// Applies an announcement of a start although the roster may refuse it, and returns the effective entries that
    /// this changes. A start that has left by its own word is not reinstated.
    pub fn reinstate(&mut self, announcement: &Announcement) -> Vec<Entry> {
        match self.evaluate(announcement) {
            Effect::New => self.apply(announcement),
            Effect::Refused(_)
                if announcement.stage.takes_requests() && !self.is_final(announcement) =>
            {
                self.insert(announcement, |_| false)
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether the start of an announcement has left by its own word.
    #[must_use]
    pub fn is_final(&self, announcement: &Announcement) -> bool {
        let known = self.entries.get(&announcement.id);
        known.is_some_and(|known| {
            known.is_final() && known.announcement.incarnation == announcement.incarnation
        })
    }

    /// Returns the announcement that notes the departure of an upstream.
    ///
    /// Without a `start` the departure may be that of any start up to `latest`, or of the known one. The same holds for
    /// a `start` that is not known and later than that, which cannot be true.
    #[must_use]
    pub fn departure(
        &self,
        id: &str,
        start: Option<Incarnation>,
        latest: Incarnation,
    ) -> Announcement {
        let known = self.entries.get(id).map(|entry| &entry.announcement);
        let known_start = known.map_or(0, |known| known.incarnation);
        let start = start.filter(|start| *start <= latest || *start == known_start);
        let last = start.unwrap_or_else(|| latest.max(known_start));
        if let Some(known) = known.filter(|known| known.incarnation == last) {
            return Announcement {
                sequence: start.map_or(known.sequence.saturating_add(1), |_| LAST_SEQUENCE),
                stage: Stage::Left,
                ..known.clone()
            };
        }
        Announcement {
            id: id.to_owned(),
            service: known.map_or_else(String::new, |known| known.service.clone()),
            address: NO_ADDRESS,
            zone: known.map_or_else(String::new, |known| known.zone.clone()),
            slots: 0,
            incarnation: last,
            sequence: start.map_or(0, |_| LAST_SEQUENCE),
            stage: Stage::Left,
        }
    }

    /// Returns the oldest departures of unknown upstreams, to be removed before another one is noted; none while
    /// there are few.
    #[must_use]
    pub fn surplus_departures(&self) -> Vec<UpstreamId> {
        let unknown = self.entries.values().filter(|entry| entry.is_of_unknown());
        let mut unknown: Vec<&Entry> = unknown.collect();
        if unknown.len() < MAX_UNKNOWN_DEPARTURES {
            return Vec::new();
        }
        unknown.sort_unstable_by_key(|entry| entry.number);
        let oldest = unknown.iter().take(REMOVED_UNKNOWN_DEPARTURES);
        oldest.map(|entry| entry.announcement.id.clone()).collect()
    }

    /// Removes the departures of unknown upstreams among those named.
    pub fn forget_departures(&mut self, ids: &[UpstreamId]) {
        for id in ids {
            if self.entries.get(id).is_some_and(Entry::is_of_unknown) {
                self.entries.remove(id);
            }
        }
    }

    /// Puts an announcement in place of the known one, whose number it keeps if that `is_same_start`.
    fn insert<F>(&mut self, announcement: &Announcement, is_same_start: F) -> Vec<Entry>
    where
        F: Fn(&Announcement) -> bool,
    {
        let mut changed = Vec::new();
        let holder = self.holder(announcement.address, &announcement.id);
        if let Some(other) = holder.map(|holder| holder.id.clone()) {
            changed.extend(self.deregister(&other));
        }
        let known = self.entries.get(&announcement.id);
        let is_same_start = |one: &&Entry| is_same_start(&one.announcement);
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

    /// Returns the announcement of the upstream other than `id` that holds an address.
    #[must_use]
    pub fn holder(&self, address: SocketAddr, id: &str) -> Option<&Announcement> {
        let others = self.entries.values().map(|entry| &entry.announcement);
        let mut others = others.filter(|one| one.id != id && one.stage != Stage::Left);
        others.find(|one| one.address == address)
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
