//! Starts whose announcements the roster refuses though they go on.
//!
//! One message can take an upstream out by mistake: a departure that arrives late or names no start, another
//! writer's announcement with its name or address, or a clock that runs ahead. What was sent before such a message
//! may arrive for as long as messages are delayed. A start that is heard again and again for longer than that,
//! with rising sequences and while nothing is heard of what stands against it, is in use by its sender.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::upstream::Announcement;

/// Fewest announcements of a start that goes on; two delayed ones may happen to arrive far apart.
const MIN_ANNOUNCEMENTS: u32 = 3;

/// Most upstreams that are followed; anybody can send announcements.
const MAX_UPSTREAMS: usize = 1_024;

/// What was heard of a refused start.
#[derive(Debug)]
struct Start {
    incarnation: Incarnation,
    address: SocketAddr,
    /// Highest sequence so far.
    sequence: u64,
    announcements: u32,
    first: Instant,
    last: Instant,
}

/// The refused starts that were heard lately.
#[derive(Debug)]
pub struct Refused {
    /// Longest time by which announcements are delayed.
    delay: Duration,
    starts: BTreeMap<UpstreamId, Start>,
}

impl Refused {
    /// Creates an empty list; announcements are delayed by at most `delay`.
    #[must_use]
    pub const fn new(delay: Duration) -> Self {
        Self {
            delay,
            starts: BTreeMap::new(),
        }
    }

    /// Notes a refused announcement; returns whether its start has gone on announcing itself for longer than
    /// announcements are delayed.
    #[must_use]
    pub fn note(&mut self, announcement: &Announcement, now: Instant) -> bool {
        if !announcement.stage.takes_requests() {
            self.remove(&announcement.id);
            return false;
        }
        let delay = self.delay;
        let is_same = |one: &Start| {
            one.incarnation == announcement.incarnation
                && one.address == announcement.address
                && now.saturating_duration_since(one.last) <= delay
        };
        let Some(start) = self
            .starts
            .get_mut(&announcement.id)
            .filter(|one| is_same(one))
        else {
            self.begin(announcement, now);
            return false;
        };
        if announcement.sequence <= start.sequence {
            return false;
        }
        start.sequence = announcement.sequence;
        start.announcements += 1;
        start.last = now;
        start.announcements >= MIN_ANNOUNCEMENTS
            && now.saturating_duration_since(start.first) >= delay
    }

    /// Forgets what was heard against an accepted announcement: of its upstream, or for its address.
    pub fn forget(&mut self, accepted: &Announcement) {
        self.starts
            .retain(|id, start| *id != accepted.id && start.address != accepted.address);
    }

    /// Forgets what was heard of an upstream, which has left now.
    pub fn remove(&mut self, id: &str) {
        self.starts.remove(id);
    }

    fn begin(&mut self, announcement: &Announcement, now: Instant) {
        if self.starts.len() >= MAX_UPSTREAMS && !self.starts.contains_key(&announcement.id) {
            self.remove_least();
        }
        let start = Start {
            incarnation: announcement.incarnation,
            address: announcement.address,
            sequence: announcement.sequence,
            announcements: 1,
            first: now,
            last: now,
        };
        self.starts.insert(announcement.id.clone(), start);
    }

    /// Removes the upstream that was heard least, and of these the one that was heard first.
    fn remove_least(&mut self) {
        let least = self
            .starts
            .iter()
            .min_by_key(|(_, start)| (start.announcements, start.last))
            .map(|(id, _)| id.clone());
        if let Some(id) = least {
            self.starts.remove(&id);
        }
    }
}
