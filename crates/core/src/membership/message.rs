//! Messages that hosts exchange by gossip.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::host;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::key::Digest;
use crate::upstream;

/// Hash of the name of a host or of an upstream.
pub type Key = u64;

/// Hash seed of the keys of hosts, which keeps them apart from those of upstreams.
const HOST_SEED: u64 = 1;

/// Hash seed of the keys of upstreams.
const UPSTREAM_SEED: u64 = 2;

/// Returns the key of a host.
#[must_use]
pub fn host_key(id: &str) -> Key {
    xxh3_64_with_seed(id.as_bytes(), HOST_SEED)
}

/// Returns the key of an upstream.
#[must_use]
pub fn upstream_key(service: &str, id: &str) -> Key {
    let service = xxh3_64_with_seed(service.as_bytes(), UPSTREAM_SEED);
    xxh3_64_with_seed(id.as_bytes(), service)
}

/// Version of a record; the greater one replaces the lesser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// Incarnation of the subject.
    pub incarnation: Incarnation,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Whether most watchers reported the subject overdue after this announcement.
    pub lapsed: bool,
}

/// Key and version of a record, without its contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// Key of the host or upstream.
    pub key: Key,
    /// Version of the record.
    pub version: Version,
}

/// The host or upstream that a record describes, by its announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// An entry host.
    Host(host::Announcement),
    /// An upstream.
    Upstream(upstream::Announcement),
}

/// The latest announcement of a host or upstream, as spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The latest announcement.
    pub subject: Subject,
    /// Whether most watchers reported the subject overdue after this announcement.
    pub lapsed: bool,
}

impl Record {
    /// Returns the key of the subject.
    #[must_use]
    pub fn key(&self) -> Key {
        match &self.subject {
            Subject::Host(host) => host_key(&host.id),
            Subject::Upstream(one) => upstream_key(&one.service, &one.id),
        }
    }

    /// Returns the version of the record.
    #[must_use]
    pub const fn version(&self) -> Version {
        let (incarnation, sequence) = match &self.subject {
            Subject::Host(host) => (host.incarnation, host.sequence),
            Subject::Upstream(upstream) => (upstream.incarnation, upstream.sequence),
        };
        Version {
            incarnation,
            sequence,
            lapsed: self.lapsed,
        }
    }

    /// Returns an upper estimate of the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        RECORD_BASE_BYTES
            + match &self.subject {
                Subject::Host(host) => host.id.len() + host.zone.len(),
                Subject::Upstream(one) => one.id.len() + one.service.len() + one.zone.len(),
            }
    }
}

/// Size of an encoded mark in bytes.
const MARK_BYTES: usize = 24;

/// Size of an encoded record in bytes, without its names.
const RECORD_BASE_BYTES: usize = 72;

/// Time since the last contact with a host, direct or through other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Key of the host.
    pub key: Key,
    /// Age of the contact; the sender holds all withdrawals and the configuration that the host
    /// held at that time.
    pub age: Duration,
}

/// Hashes that are equal on two hosts with the same records and withdrawals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Hash of all records.
    pub view: u64,
    /// Hash of all withdrawals that the configuration does not hold yet.
    pub withdrawals: u64,
}

/// A message of an exchange, or the answer to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: host::Announcement,
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// Hashes of the records and withdrawals of the sender; `None` if no comparison is wanted.
    pub summary: Option<Summary>,
    /// Hash of each bucket of the view, sent where the views differ.
    pub buckets: Vec<u32>,
    /// Buckets whose records are all listed in `marks`.
    pub compared: Vec<u16>,
    /// Versions of the records that the sender holds in the compared buckets.
    pub marks: Vec<Mark>,
    /// Keys of records that the sender lacks.
    pub requested: Vec<Key>,
    /// Records that the receiver may lack.
    pub records: Vec<Record>,
    /// Renewals of unchanged announcements, for the watchers of their subjects.
    pub renewals: Vec<Mark>,
    /// Subjects that the sender watches and that are overdue.
    pub overdue: Vec<Mark>,
    /// Withdrawn keys that the receiver may lack.
    pub withdrawn: Vec<Digest>,
    /// Whether all withdrawals that the sender holds fit into one message.
    pub withdrawals_complete: bool,
    /// Latest contacts with the hosts that represent the fleet, see
    /// [`reachability`](crate::membership::reachability).
    pub observations: Vec<Observation>,
}

impl Message {
    /// Creates a message without contents.
    #[must_use]
    pub const fn new(from: host::Announcement, revision: Revision) -> Self {
        Self {
            from,
            revision,
            summary: None,
            buckets: Vec::new(),
            compared: Vec::new(),
            marks: Vec::new(),
            requested: Vec::new(),
            records: Vec::new(),
            renewals: Vec::new(),
            overdue: Vec::new(),
            withdrawn: Vec::new(),
            withdrawals_complete: false,
            observations: Vec::new(),
        }
    }

    /// Returns an estimate of the bytes of records and marks, which the budget bounds.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        let records = self.records.iter().map(Record::size);
        records.sum::<usize>() + self.marks.len() * MARK_BYTES
    }

    /// Returns whether the message carries nothing that the receiver could act on.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.summary.is_none()
            && self.compared.is_empty()
            && self.requested.is_empty()
            && self.records.is_empty()
            && self.renewals.is_empty()
            && self.overdue.is_empty()
            && self.withdrawn.is_empty()
    }
}
