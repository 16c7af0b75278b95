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
const BOOK: usize = 8;

/// Time after its last call for which a host's address is handed out.
const BOOK_LIFETIME: Duration = Duration::from_secs(60);

/// Time after its last call for which other replicas are told of a host.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Most hosts that are remembered.
const MAX_HOSTS: usize = 8_192;

/// What a host last told.
#[derive(Debug, Clone, Copy)]
struct Host {
    revision: Revision,
    peers: Option<SocketAddr>,
    at: Instant,
    /// Whether it called this replica and not another.
    called_here: bool,
}

/// A host as one replica reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The host.
    pub host: HostId,
    /// Revision that it has in force.
    pub revision: Revision,
    /// Address for its peers.
    pub peers: Option<SocketAddr>,
    /// Time since it called.
    pub silent: Duration,
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
    pub fn saw(&mut self, host: &str, revision: Revision, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.revision = revision;
            known.at = now;
            known.called_here = true;
        }
    }

    /// Notes where a calling host takes calls of its peers.
    pub fn meet(&mut self, host: &str, peers: SocketAddr, now: Instant) {
        if let Some(known) = self.entry(host, now) {
            known.peers = Some(peers);
            known.at = now;
        }
    }

    /// Takes in what another replica reports, where it is newer.
    pub fn merge(&mut self, sightings: Vec<Sighting>, now: Instant) {
        for sighting in sightings {
            let Some(at) = now.checked_sub(sighting.silent) else {
                continue;
            };
            let host = Host {
                revision: sighting.revision,
                peers: sighting.peers,
                at,
                called_here: false,
            };
            let known = self.hosts.get(&sighting.host);
            let newer = known.is_none_or(|known| known.at < at);
            if newer && (known.is_some() || self.hosts.len() < MAX_HOSTS) {
                self.hosts.insert(sighting.host, host);
            }
        }
    }

    /// Returns the hosts that called this replica lately, for the others.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<Sighting> {
        let lately = |host: &Host| now.duration_since(host.at) < REPORT_LIFETIME;
        let called = self.hosts.iter().filter(|(_, host)| host.called_here);
        called
            .filter(|(_, host)| lately(host))
            .map(|(name, host)| Sighting {
                host: name.clone(),
                revision: host.revision,
                peers: host.peers,
                silent: now.duration_since(host.at),
            })
            .collect()
    }

    /// Returns the addresses of some hosts other than `host` that called lately.
    #[must_use]
    pub fn book(&self, host: &str, now: Instant) -> Vec<SocketAddr> {
        let lately = |one: &Host| now.duration_since(one.at) < BOOK_LIFETIME;
        let others = self.hosts.iter().filter(|(id, _)| *id != host);
        let recent = others.filter(|(_, one)| lately(one));
        let peers = recent.filter_map(|(_, one)| one.peers);
        peers.sample(&mut rand::rng(), BOOK)
    }

    /// Returns the revision in force and the silence of each host, for operators.
    #[must_use]
    pub fn status(&self, now: Instant) -> Vec<Value> {
        let host = |(name, host): (&HostId, &Host)| {
            let silent = now.duration_since(host.at).as_millis();
            json!({
                "host": name,
                "revision": host.revision,
                "silent_ms": u64::try_from(silent).unwrap_or(u64::MAX),
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
            peers: None,
            at: now,
            called_here: true,
        }))
    }
}
