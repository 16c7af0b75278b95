//! Revisions, peer addresses and last calls of the hosts that call control.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Revision;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Most addresses of other hosts in the answer to a watch.
const MAX_PEER_ADDRESSES: usize = 8;

/// Time since its last call for which the address of a host is given to others.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(60);

/// Time since its last call for which a host is reported to the other replicas.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Time by which a reported call must be later than the known one to replace it. A report that was
/// delayed on its way back from another replica would otherwise make a silent host look active.
const REPORT_MARGIN: Duration = Duration::from_secs(1);

/// Most hosts that are kept; further ones are ignored.
const MAX_HOSTS: usize = 8_192;

/// Last call of a host.
#[derive(Debug, Clone, Copy)]
struct Host {
    revision: Revision,
    peer_address: Option<SocketAddr>,
    last_call: Instant,
}

/// Last call of a host as one replica reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host that called.
    pub host: HostId,
    /// Revision that the host has in force.
    pub revision: Revision,
    /// Address at which the host serves its peers.
    pub peer_address: Option<SocketAddr>,
    /// Time since the host last called.
    pub silence: Duration,
}

/// Last calls of all hosts at any replica.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: BTreeMap<HostId, Host>,
}

impl Hosts {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            hosts: BTreeMap::new(),
        }
    }

    /// Records a call and the revision that the host has in force.
    pub fn record_revision(&mut self, host: &str, revision: Revision, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.revision = revision;
            known.last_call = now;
        }
    }

    /// Records a call and the address at which the host serves its peers.
    pub fn record_peer_address(&mut self, host: &str, address: SocketAddr, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.peer_address = Some(address);
            known.last_call = now;
        }
    }

    /// Merges reports of another replica; a report counts if its revision is higher or its call
    /// later than known by more than `REPORT_MARGIN`.
    pub fn merge(&mut self, reports: Vec<Report>, now: Instant) {
        for report in reports {
            let Some(last_call) = now.checked_sub(report.silence) else {
                continue;
            };
            let host = Host {
                revision: report.revision,
                peer_address: report.peer_address,
                last_call,
            };
            let known = self.hosts.get(&report.host);
            let is_newer = known.is_none_or(|known| {
                known.revision < report.revision || known.last_call + REPORT_MARGIN < last_call
            });
            if is_newer && (known.is_some() || self.hosts.len() < MAX_HOSTS) {
                self.hosts.insert(report.host, host);
            }
        }
    }

    /// Returns reports of the hosts that called any replica within `REPORT_LIFETIME`.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let is_recent = |host: &Host| now.duration_since(host.last_call) < REPORT_LIFETIME;
        let recent = self.hosts.iter().filter(|(_, host)| is_recent(host));
        recent
            .map(|(name, host)| Report {
                host: name.clone(),
                revision: host.revision,
                peer_address: host.peer_address,
                silence: now.duration_since(host.last_call),
            })
            .collect()
    }

    /// Returns the peer addresses of some random hosts other than `host` that called within
    /// `ADDRESS_LIFETIME`.
    #[must_use]
    pub fn peer_addresses(&self, host: &str, now: Instant) -> Vec<SocketAddr> {
        let is_recent = |other: &Host| now.duration_since(other.last_call) < ADDRESS_LIFETIME;
        let others = self.hosts.iter().filter(|(id, _)| *id != host);
        let recent = others.filter(|(_, other)| is_recent(other));
        let peers = recent.filter_map(|(_, other)| other.peer_address);
        peers.sample(&mut rand::rng(), MAX_PEER_ADDRESSES)
    }

    /// Returns the revision in force and the time since the last call of each host as JSON.
    #[must_use]
    pub fn status(&self, now: Instant) -> Vec<Value> {
        let host = |(name, host): (&HostId, &Host)| {
            let silence = now.duration_since(host.last_call).as_millis();
            json!({
                "host": name,
                "revision": host.revision,
                "silent_ms": u64::try_from(silence).unwrap_or(u64::MAX),
            })
        };
        self.hosts.iter().map(host).collect()
    }

    fn entry(&mut self, host: &str, now: Instant) -> Option<&mut Host> {
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(host) {
            return None;
        }
        let entry = self.hosts.entry(host.to_owned());
        Some(entry.or_insert(Host {
            revision: 0,
            peer_address: None,
            last_call: now,
        }))
    }
}
