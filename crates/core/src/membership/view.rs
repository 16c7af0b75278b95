//! An index of the records on a board with a hash for each bucket of keys.
//!
//! Two hosts compare these hashes to find the records that differ.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::board::Board;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::membership::message::Key;
use crate::membership::message::Mark;
use crate::membership::message::Record;
use crate::membership::message::Subject;
use crate::membership::message::Version;
use crate::membership::message::host_key;
use crate::membership::message::upstream_key;

/// Number of buckets that the keys are spread over.
pub const BUCKETS: usize = 256;

/// Time for which a host or upstream that is gone stays in the view.
///
/// It is shorter than the retention on the board.
pub const GONE_VISIBLE_FOR: Duration = Duration::from_secs(30);

/// Time after which a view is rebuilt even though no record changed.
const VIEW_LIFETIME: Duration = Duration::from_secs(5);

/// The host or upstream that a key stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// A host.
    Host(HostId),
    /// An upstream of a service.
    Upstream(ServiceId, UpstreamId),
}

/// An index of the records on a board by key.
#[derive(Debug, Default)]
pub struct View {
    basis: Option<Basis>,
    identities: BTreeMap<Key, Identity>,
    buckets: Vec<u32>,
    root: u64,
}

/// State of the board that a view was built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    hosts: u64,
    upstreams: u64,
    built: Instant,
}

impl View {
    /// Returns the hash of the whole view.
    #[must_use]
    pub const fn root(&self) -> u64 {
        self.root
    }

    /// Returns the hash of each bucket.
    #[must_use]
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the host or upstream that a key stands for.
    #[must_use]
    pub fn identity(&self, key: Key) -> Option<&Identity> {
        self.identities.get(&key)
    }

    /// Returns every key with the host or upstream that it stands for.
    pub fn identities(&self) -> impl Iterator<Item = (Key, &Identity)> {
        self.identities
            .iter()
            .map(|(key, identity)| (*key, identity))
    }

    /// Rebuilds the view if it is out of date, and returns whether it did.
    pub fn refresh(&mut self, board: &Board) -> bool {
        let now = board.now();
        let current = self.basis.is_some_and(|basis| {
            basis.hosts == board.host_changes()
                && basis.upstreams == board.upstream_changes()
                && now.saturating_duration_since(basis.built) < VIEW_LIFETIME
        });
        if current {
            return false;
        }
        self.build(board, now);
        true
    }

    /// Returns the marks of the records in one bucket.
    #[must_use]
    pub fn marks(&self, board: &Board, bucket: u16) -> Vec<Mark> {
        let (first, last) = bounds(bucket);
        let keys = self.identities.range(first..=last);
        keys.filter_map(|(key, identity)| {
            let version = version(board, identity)?;
            Some(Mark { key: *key, version })
        })
        .collect()
    }

    /// Returns the version held under a key.
    #[must_use]
    pub fn version(&self, board: &Board, key: Key) -> Option<Version> {
        version(board, self.identities.get(&key)?)
    }

    /// Returns the record held under a key.
    #[must_use]
    pub fn record(&self, board: &Board, key: Key) -> Option<Record> {
        record(board, self.identities.get(&key)?)
    }

    /// Returns the buckets whose hashes differ from `other`.
    #[must_use]
    pub fn differing(&self, other: &[u32]) -> Vec<u16> {
        let pairs = (0..).zip(self.buckets.iter().zip(other));
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing.map(|(bucket, _)| bucket).collect()
    }

    fn build(&mut self, board: &Board, now: Instant) {
        self.identities.clear();
        self.buckets = vec![0; BUCKETS];
        let is_visible = |since: Option<Instant>| {
            since.is_none_or(|since| now.saturating_duration_since(since) < GONE_VISIBLE_FOR)
        };
        for (id, host) in board.hosts() {
            if is_visible(host.gone_since) {
                self.add(board, host_key(id), Identity::Host(id.clone()));
            }
        }
        for upstream in board.all_upstreams() {
            if is_visible(upstream.gone_since) {
                let one = &upstream.announcement;
                let identity = Identity::Upstream(one.service.clone(), one.id.clone());
                self.add(board, upstream_key(&one.service, &one.id), identity);
            }
        }
        let bytes: Vec<u8> = self
            .buckets
            .iter()
            .flat_map(|one| one.to_le_bytes())
            .collect();
        self.root = xxh3_64(&bytes);
        self.basis = Some(Basis {
            hosts: board.host_changes(),
            upstreams: board.upstream_changes(),
            built: now,
        });
    }

    fn add(&mut self, board: &Board, key: Key, identity: Identity) {
        if let Some(version) = version(board, &identity) {
            let bucket = usize::from(bucket(key));
            self.buckets[bucket] ^= hash(key, version);
            self.identities.insert(key, identity);
        }
    }
}

/// Returns the bucket of a key.
#[must_use]
pub const fn bucket(key: Key) -> u16 {
    (key >> BUCKET_SHIFT) as u16
}

const BUCKET_SHIFT: u32 = 56;

const fn bounds(bucket: u16) -> (Key, Key) {
    let first = (bucket as u64) << BUCKET_SHIFT;
    (first, first | ((1 << BUCKET_SHIFT) - 1))
}

fn hash(key: Key, version: Version) -> u32 {
    let mut bytes = [0; 25];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..16].copy_from_slice(&version.incarnation.to_le_bytes());
    bytes[16..24].copy_from_slice(&version.sequence.to_le_bytes());
    bytes[24] = u8::from(version.lapsed);
    xxh3_64(&bytes) as u32
}

fn version(board: &Board, identity: &Identity) -> Option<Version> {
    let (incarnation, sequence, lapsed) = match identity {
        Identity::Host(id) => {
            let host = board.hosts().get(id)?;
            let one = &host.announcement;
            (one.incarnation, one.sequence, host.suspected)
        }
        Identity::Upstream(service, id) => {
            let upstream = board.upstream(service, id)?;
            let one = &upstream.announcement;
            (one.incarnation, one.sequence, upstream.lapsed)
        }
    };
    Some(Version {
        incarnation,
        sequence,
        lapsed,
    })
}

fn record(board: &Board, identity: &Identity) -> Option<Record> {
    Some(match identity {
        Identity::Host(id) => {
            let host = board.hosts().get(id)?;
            Record {
                subject: Subject::Host(host.announcement.clone()),
                lapsed: host.suspected,
            }
        }
        Identity::Upstream(service, id) => {
            let upstream = board.upstream(service, id)?;
            Record {
                subject: Subject::Upstream(upstream.announcement.clone()),
                lapsed: upstream.lapsed,
            }
        }
    })
}
