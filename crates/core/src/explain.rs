//! Questions that an operator asks of a process, and the form of its answers.
//!
//! A [`Query`] about one subject is answered by a [`Report`] of sentences; the other queries have
//! answers of their own: a list of events or an [`Overview`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::event::Event;
use crate::id::HostId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::traffic::Point;

/// What an operator asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "about", content = "name")]
pub enum Query {
    /// Why an upstream is used or not; answered by a [`Report`].
    Upstream(UpstreamId),
    /// How a tenant is served; answered by a [`Report`].
    Tenant(TenantId),
    /// What became of a request; answered by a [`Report`].
    Request(String),
    /// What is known of a host; answered by a [`Report`].
    Host(HostId),
    /// The events numbered after this one; answered by a list of [`Event`]s.
    Events(u64),
    /// The state of the fleet at a glance; answered by an [`Overview`].
    Overview,
}

/// Slots of a service against its floor, as one host sees them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The service.
    pub service: ServiceId,
    /// Share of the slots that must stay in use, from 0 to 1.
    pub floor: f64,
    /// Slots of the upstreams that announce themselves as taking requests.
    pub slots: u32,
    /// Slots of those among them that are in use.
    pub in_use: u32,
}

impl Capacity {
    /// Returns the fewest slots that must stay in use.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn minimum(&self) -> u32 {
        (f64::from(self.slots) * self.floor).ceil() as u32
    }

    /// Returns whether the service would fall below its floor without `slots` of its slots.
    #[must_use]
    pub fn falls_below_floor_without(&self, slots: u32) -> bool {
        self.in_use.saturating_sub(slots) < self.minimum()
    }
}

/// What a host answers about one subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Host that answers.
    pub host: HostId,
    /// The upstream, tenant, request or host asked about.
    pub subject: String,
    /// Whether this host knows the subject.
    pub known: bool,
    /// What this host knows, one sentence each.
    pub sentences: Vec<String>,
    /// Events about the subject, oldest first.
    pub events: Vec<Event>,
    /// The service of an upstream against its floor.
    pub capacity: Option<Capacity>,
    /// Slots of the upstream that are in use.
    pub slots_in_use: u32,
}

/// An upstream that is out of use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceId,
    /// The reason in one sentence.
    pub reason: String,
}

/// How a tenant or route was served by one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// The tenant, or the route behind its service.
    pub name: String,
    /// Requests answered since the host started.
    pub answered: u64,
    /// Requests that ended with an error since the host started, by its code.
    pub failed: BTreeMap<String, u64>,
    /// Share of the requests that were answered, from 0 to 1.
    pub success: f64,
    /// Median latency of the last minutes in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the last minutes in milliseconds.
    pub p99_ms: f64,
}

/// Another host as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: Zone,
    /// Its address for peers and operators.
    pub peers: SocketAddr,
    /// Whether it is suspected to be gone.
    pub suspected: bool,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// What an operator looks at first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// Host that answers.
    pub host: HostId,
    /// Its zone.
    pub zone: Zone,
    /// Whether it takes requests.
    pub ready: bool,
    /// Configuration that it has in force.
    pub revision: Revision,
    /// Services against their floors.
    pub services: Vec<Capacity>,
    /// Upstreams out of use.
    #[serde(rename = "absent")]
    pub excluded: Vec<Exclusion>,
    /// Tenants, the worst served first.
    pub tenants: Vec<Statistics>,
    /// Routes, the worst served first.
    pub routes: Vec<Statistics>,
    /// The hosts that it knows.
    pub hosts: Vec<Peer>,
    /// Latency and failures of the last minutes.
    pub series: Vec<Point>,
    /// The latest events, oldest first.
    pub events: Vec<Event>,
}
