//! Watches on hosts and upstreams: when each was last heard, and who reports it overdue.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::host;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Version;
use crate::membership::view::Identity;
use crate::upstream;

/// Smallest number of missed upstreams at which this host suspects a fault of its own, if they are
/// also the majority of the upstreams that it watches.
const MIN_MISSED_UPSTREAMS: usize = 4;

/// An upstream counts as missed after its lifetime divided by this number.
///
/// Upstreams renew at different moments. With the whole lifetime, the first upstream would lapse
/// before enough others count as missed to reveal a fault of this host.
const MISSED_LIFETIME_DIVISOR: u32 = 2;

/// The watch on one host or upstream.
#[derive(Debug, Clone)]
struct Watch {
    lifetime: Duration,
    last_heard: Instant,
    latest: Version,
    reporters: BTreeMap<Key, Instant>,
}

impl Watch {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) >= self.lifetime
    }

    fn is_missed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) >= self.lifetime / MISSED_LIFETIME_DIVISOR
    }
}

/// The watches of this host.
#[derive(Debug, Default)]
pub struct Watches {
    entries: BTreeMap<Key, Watch>,
}

impl Watches {
    /// Returns the number of watches.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Starts to watch a subject, or applies a newer version to its watch.
    pub fn watch(&mut self, key: Key, identity: &Identity, version: Version, now: Instant) {
        let entry = self.entries.entry(key).or_insert_with(|| Watch {
            lifetime: match identity {
                Identity::Host(_) => host::LIFETIME,
                Identity::Upstream(..) => upstream::LIFETIME,
            },
            last_heard: now,
            latest: version,
            reporters: BTreeMap::new(),
        });
        if version > entry.latest {
            entry.latest = version;
            entry.last_heard = now;
            entry.reporters.clear();
        }
    }

    /// Keeps only the watches for which `keep` returns `true`.
    pub fn retain<F: FnMut(Key) -> bool>(&mut self, mut keep: F) {
        self.entries.retain(|key, _| keep(*key));
    }

    /// Applies a renewal and returns whether its version is newer than the latest one.
    pub fn renew(&mut self, mark: Mark, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&mark.key) else {
            return false;
        };
        if mark.version <= entry.latest {
            return false;
        }
        entry.latest = mark.version;
        entry.last_heard = now;
        entry.reporters.clear();
        true
    }

    /// Records direct contact with a subject, without a newer version.
    pub fn touch(&mut self, key: Key, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.last_heard = now;
            entry.reporters.clear();
        }
    }

    /// Records the report of another watcher that a subject is overdue.
    ///
    /// Returns the later version that this host knows and that refutes the report, if any.
    pub fn report_overdue(&mut self, reporter: Key, report: Mark, now: Instant) -> Option<Mark> {
        let entry = self.entries.get_mut(&report.key)?;
        if entry.latest > report.version && !entry.is_overdue(now) {
            return Some(Mark {
                key: report.key,
                version: entry.latest,
            });
        }
        entry.reporters.insert(reporter, now);
        None
    }

    /// Returns the latest version of a subject.
    #[must_use]
    pub fn latest_version(&self, key: Key) -> Option<Version> {
        self.entries.get(&key).map(|entry| entry.latest)
    }

    /// Returns the time since a subject was last heard.
    #[must_use]
    pub fn silence(&self, key: Key, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(&key)?;
        Some(now.saturating_duration_since(entry.last_heard))
    }

    /// Returns the subjects that were not heard for their whole lifetime.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Vec<Mark> {
        let overdue = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_overdue(now));
        overdue
            .map(|(key, entry)| Mark {
                key: *key,
                version: entry.latest,
            })
            .collect()
    }

    /// Returns whether so many upstreams are missed that the fault is likely this host's own.
    #[must_use]
    pub fn suspects_own_fault(&self, now: Instant) -> bool {
        let upstreams = self.entries.values();
        let upstreams = upstreams.filter(|entry| entry.lifetime == upstream::LIFETIME);
        let (missed, heard): (Vec<&Watch>, Vec<&Watch>) =
            upstreams.partition(|entry| entry.is_missed(now));
        missed.len() >= MIN_MISSED_UPSTREAMS && missed.len() > heard.len()
    }

    /// Returns how many of `watchers` reported a subject overdue within its lifetime.
    #[must_use]
    pub fn reporters(&self, key: Key, watchers: &[Key], now: Instant) -> usize {
        let Some(entry) = self.entries.get(&key) else {
            return 0;
        };
        let counts = |watcher: &&Key| {
            let at = entry.reporters.get(watcher);
            at.is_some_and(|at| now.saturating_duration_since(*at) < entry.lifetime)
        };
        watchers.iter().filter(counts).count()
    }
}
