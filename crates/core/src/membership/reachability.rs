//! Tracks whether this host reaches control and most of the fleet.
//!
//! An observation gives the time since the last contact with a host, direct or through other hosts.
//! Observations count only in an answer to a message of this host, and their age counts from when
//! that message was sent, so that each is backed by a round trip. On a small fleet the sample
//! holds all hosts; on a large fleet a fixed sample represents it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::board::Board;
use crate::membership::message::Key;
use crate::membership::message::Observation;
use crate::membership::message::host_key;

/// Upper bound on the hosts in the sample that represents the fleet.
pub const MAX_SAMPLE_HOSTS: usize = 64;

/// Times of the last contact with control and with the hosts of the sample.
#[derive(Debug)]
pub struct Reachability {
    own: Key,
    window: Duration,
    host_changes: Option<u64>,
    sample: Vec<Key>,
    contacts: BTreeMap<Key, Instant>,
    control_contact: Option<Instant>,
}

impl Reachability {
    /// Creates a state without contacts; each contact counts for `window`.
    #[must_use]
    pub const fn new(own: Key, window: Duration) -> Self {
        Self {
            own,
            window,
            host_changes: None,
            sample: Vec::new(),
            contacts: BTreeMap::new(),
            control_contact: None,
        }
    }

    /// Updates the sample from the hosts on the board.
    pub fn refresh(&mut self, board: &Board) {
        if self.host_changes == Some(board.host_changes()) {
            return;
        }
        self.host_changes = Some(board.host_changes());
        let hosts = board.hosts().values();
        let staying = hosts.filter(|host| !host.announcement.stopping);
        let mut keys: Vec<Key> = staying
            .map(|host| host_key(&host.announcement.id))
            .collect();
        keys.sort_unstable_by_key(|key| xxh3_64(&key.to_le_bytes()));
        keys.truncate(MAX_SAMPLE_HOSTS);
        self.sample = keys;
        let sample = &self.sample;
        self.contacts.retain(|key, _| sample.contains(key));
    }

    /// Records a contact with a host at `at`, unless the host is outside the sample.
    pub fn record_contact(&mut self, key: Key, at: Instant) {
        if !self.sample.contains(&key) {
            return;
        }
        let heard = self.contacts.entry(key).or_insert(at);
        *heard = (*heard).max(at);
    }

    /// Records a contact with control at `at`.
    pub fn record_control_contact(&mut self, at: Instant) {
        self.control_contact = self.control_contact.max(Some(at));
    }

    /// Merges the observations of an answer to a message that was sent at `sent`.
    pub fn merge(&mut self, observations: &[Observation], sent: Instant) {
        for observation in observations {
            if let Some(at) = sent.checked_sub(observation.age) {
                self.record_contact(observation.key, at);
            }
        }
    }

    /// Returns the observations that lie within the window.
    #[must_use]
    pub fn observations(&self, now: Instant) -> Vec<Observation> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let fresh = self.contacts.iter().filter(|(_, at)| age(at) < self.window);
        fresh
            .map(|(key, at)| Observation {
                key: *key,
                age: age(at),
            })
            .collect()
    }

    /// Returns how many hosts of the sample were in contact within the window, this one included,
    /// and the size of the sample.
    #[must_use]
    pub fn recent_contacts(&self, now: Instant) -> (usize, usize) {
        let fresh = |key: &&Key| {
            let at = self.contacts.get(key);
            **key == self.own
                || at.is_some_and(|at| now.saturating_duration_since(*at) < self.window)
        };
        (self.sample.iter().filter(fresh).count(), self.sample.len())
    }

    /// Returns whether more than half of the sample was in contact within the window.
    #[must_use]
    pub fn has_recent_majority(&self, now: Instant) -> bool {
        let (heard, all) = self.recent_contacts(now);
        heard * 2 > all
    }

    /// Returns whether control was in contact within the window.
    #[must_use]
    pub fn has_recent_control(&self, now: Instant) -> bool {
        self.control_contact
            .is_some_and(|at| now.saturating_duration_since(at) < self.window)
    }
}
