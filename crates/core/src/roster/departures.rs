//! Upstreams that have left lately, remembered by time beside the roster.
//!
//! A roster remembers the departed by number, so many departures in a short time, as in a rollout, push one out whose
//! registration may still be on its way. Every replica notes what it applies, and the leader asks
//! before it proposes an announcement. The replicated state is not concerned, so builds that do not remember come
//! to the same one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::roster::Entry;
use crate::upstream::Announcement;
use crate::upstream::Stage;

/// Time for which a departure is remembered; an announcement is resent or delayed for seconds.
pub const MEMORY: Duration = Duration::from_secs(600);

/// Most departures that are remembered, a few MB.
const MAX_DEPARTURES: usize = 32_768;

/// Departure of the starts of an upstream up to an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departure {
    incarnation: Incarnation,
    /// Whether the start has left by its own word.
    is_final: bool,
}

/// The departures of the last [`MEMORY`].
#[derive(Debug, Default)]
pub struct Departures {
    /// Latest start of each upstream that has left.
    latest: BTreeMap<UpstreamId, Departure>,
    /// When upstreams left, from the oldest on.
    order: VecDeque<(Instant, UpstreamId, Incarnation)>,
}

impl Departures {
    /// Notes an entry that the roster has changed: its upstream has left, or a start of it is in use.
    pub fn note(&mut self, entry: &Entry, now: Instant) {
        let announcement = &entry.announcement;
        if announcement.stage != Stage::Left {
            // The order of the roster decides; a start that it has reinstated is no departed one.
            if self.refuses(announcement) {
                self.latest.remove(&announcement.id);
            }
            return;
        }
        if self.refuses(announcement) {
            return;
        }
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let departure = Departure {
            incarnation,
            is_final: entry.is_final(),
        };
        self.latest.insert(id.clone(), departure);
        self.order.push_back((now, id, incarnation));
        if self.order.len() > MAX_DEPARTURES {
            self.forget_oldest();
        }
    }

    /// Returns whether an announcement is of a start that has left, or of an earlier one.
    #[must_use]
    pub fn refuses(&self, announcement: &Announcement) -> bool {
        let left = self.latest.get(&announcement.id);
        left.is_some_and(|left| announcement.incarnation <= left.incarnation)
    }

    /// Returns whether an announcement is of a start that has left by its own word.
    #[must_use]
    pub fn is_final(&self, announcement: &Announcement) -> bool {
        let left = self.latest.get(&announcement.id);
        left.is_some_and(|left| left.is_final && announcement.incarnation == left.incarnation)
    }

    /// Forgets the departures that are older than [`MEMORY`].
    pub fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
        while self.order.front().is_some_and(|(at, ..)| is_old(*at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, id, incarnation)) = self.order.pop_front() else {
            return;
        };
        // A later start of the upstream may have left since.
        let left = self.latest.get(&id);
        if left.is_some_and(|left| left.incarnation == incarnation) {
            self.latest.remove(&id);
        }
    }
}
