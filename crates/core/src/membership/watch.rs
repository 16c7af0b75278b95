//! What a host vouches for: when it was heard, and who else misses it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::host;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Version;
use crate::membership::view::Place;
use crate::upstream;

/// Upstreams from which on losing more than half of them at once is read as an own fault.
const MANY: usize = 4;

/// Share of its lifetime after which an upstream counts as missed when the many are counted.
///
/// Renewals do not all end in the same moment, so the first lapses before the last is silent.
const MISSED_AT: u32 = 2;

/// One host or upstream that this host vouches for.
#[derive(Debug, Clone)]
struct Watch {
    lifetime: Duration,
    heard: Instant,
    renewed: Version,
    witnesses: BTreeMap<Key, Instant>,
}

impl Watch {
    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= self.lifetime
    }

    fn is_missed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= self.lifetime / MISSED_AT
    }
}

/// All that this host vouches for.
#[derive(Debug, Default)]
pub struct Watches {
    entries: BTreeMap<Key, Watch>,
}

impl Watches {
    /// Returns how many hosts and upstreams this host vouches for.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Starts to watch a subject, or takes in a newer version of it.
    pub fn watch(&mut self, key: Key, place: &Place, version: Version, now: Instant) {
        let entry = self.entries.entry(key).or_insert_with(|| Watch {
            lifetime: match place {
                Place::Host(_) => host::LIFETIME,
                Place::Upstream(..) => upstream::LIFETIME,
            },
            heard: now,
            renewed: version,
            witnesses: BTreeMap::new(),
        });
        if version > entry.renewed {
            entry.renewed = version;
            entry.heard = now;
            entry.witnesses.clear();
        }
    }

    /// Stops to watch subjects.
    pub fn retain<F: FnMut(Key) -> bool>(&mut self, mut keep: F) {
        self.entries.retain(|key, _| keep(*key));
    }

    /// Notes that a subject was heard of with `version` and returns whether that was news here.
    pub fn renew(&mut self, mark: Mark, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&mark.key) else {
            return false;
        };
        if mark.version <= entry.renewed {
            return false;
        }
        entry.renewed = mark.version;
        entry.heard = now;
        entry.witnesses.clear();
        true
    }

    /// Notes that a subject was heard itself, without a newer version.
    pub fn hear(&mut self, key: Key, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.heard = now;
            entry.witnesses.clear();
        }
    }

    /// Takes in the doubt of another host.
    ///
    /// Returns the later version that this host knows of and that refutes the doubt, if any.
    pub fn doubt(&mut self, witness: Key, doubt: Mark, now: Instant) -> Option<Mark> {
        let entry = self.entries.get_mut(&doubt.key)?;
        if entry.renewed > doubt.version && !entry.is_silent(now) {
            return Some(Mark {
                key: doubt.key,
                version: entry.renewed,
            });
        }
        entry.witnesses.insert(witness, now);
        None
    }

    /// Returns the version that was last heard of.
    #[must_use]
    pub fn renewed(&self, key: Key) -> Option<Version> {
        self.entries.get(&key).map(|entry| entry.renewed)
    }

    /// Returns the silence of a subject.
    #[must_use]
    pub fn silence(&self, key: Key, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(&key)?;
        Some(now.saturating_duration_since(entry.heard))
    }

    /// Returns what was not heard for long.
    #[must_use]
    pub fn silent(&self, now: Instant) -> Vec<Mark> {
        let silent = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_silent(now));
        silent
            .map(|(key, entry)| Mark {
                key: *key,
                version: entry.renewed,
            })
            .collect()
    }

    /// Returns whether so many upstreams are missed that the fault is likely this host's own.
    #[must_use]
    pub fn lost_sight(&self, now: Instant) -> bool {
        let upstreams = self.entries.values();
        let upstreams = upstreams.filter(|entry| entry.lifetime == upstream::LIFETIME);
        let (missed, heard): (Vec<&Watch>, Vec<&Watch>) =
            upstreams.partition(|entry| entry.is_missed(now));
        missed.len() >= MANY && missed.len() > heard.len()
    }

    /// Returns how many of `watchers` miss a subject at the same time.
    #[must_use]
    pub fn witnesses(&self, key: Key, watchers: &[Key], now: Instant) -> usize {
        let Some(entry) = self.entries.get(&key) else {
            return 0;
        };
        let counts = |watcher: &&Key| {
            let at = entry.witnesses.get(watcher);
            at.is_some_and(|at| now.saturating_duration_since(*at) < entry.lifetime)
        };
        watchers.iter().filter(counts).count()
    }
}
