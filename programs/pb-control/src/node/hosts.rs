//! What a replica knows of the hosts that call control.

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

/// Addresses of other hosts that a watch returns at most.
const MAX_PEER_ADDRESSES: usize = 8;

/// Time after its last call for which a host's address is handed out.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(60);

/// Time after its last call for which other replicas are told of a host.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Time by which a report must be newer to count, so that one that comes back from another replica
/// after some delay does not make a silent host look younger.
const REPORT_MARGIN: Duration = Duration::from_secs(1);

/// Most hosts that are remembered.
const MAX_HOSTS: usize = 8_192;

/// What a host last told.
#[derive(Debug, Clone, Copy)]
struct Host {
    revision: Revision,
    peer_address: Option<SocketAddr>,
    last_call: Instant,
}

/// A host as one replica reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: HostId,
    /// Revision that it has in force.
    pub revision: Revision,
    /// Address for its peers.
    pub peer_address: Option<SocketAddr>,
    /// Time since it called.
    pub silence: Duration,
}

/// All hosts that called any replica.
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

    /// Notes the revision that a calling host has in force.
    pub fn record_revision(&mut self, host: &str, revision: Revision, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.revision = revision;
            known.last_call = now;
        }
    }

    /// Notes where a calling host takes calls of its peers.
    pub fn record_peer_address(&mut self, host: &str, address: SocketAddr, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.peer_address = Some(address);
            known.last_call = now;
        }
    }

    /// Takes in what another replica reports, where it is newer.
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

    /// Returns the hosts that called any replica lately, for the others.
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

    /// Returns the addresses of some hosts other than `host` that called lately.
    #[must_use]
    pub fn peer_addresses(&self, host: &str, now: Instant) -> Vec<SocketAddr> {
        let is_recent = |other: &Host| now.duration_since(other.last_call) < ADDRESS_LIFETIME;
        let others = self.hosts.iter().filter(|(id, _)| *id != host);
        let recent = others.filter(|(_, other)| is_recent(other));
        let peers = recent.filter_map(|(_, other)| other.peer_address);
        peers.sample(&mut rand::rng(), MAX_PEER_ADDRESSES)
    }

    /// Returns the revision in force and the silence of each host, for operators.
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
