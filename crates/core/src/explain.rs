//! Queries of operators to a host and the types of their answers.
//!
//! A [`Query`] about one subject is answered by a [`Report`]; other queries are answered by a list
//! of events or an [`Overview`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::explain::Question;
use crate::event::Event;
use crate::id::HostId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::traffic::Point;

/// A query of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "about", content = "name")]
pub enum Query {
    /// Whether an upstream is in use, and why; answered by a [`Report`].
    Upstream(UpstreamId),
    /// Rate, success and latency of a tenant; answered by a [`Report`].
    Tenant(TenantId),
    /// The outcome of a request; answered by a [`Report`].
    Request(String),
    /// The state of a host; answered by a [`Report`].
    Host(HostId),
    /// The events with a higher number; answered by a list of [`Event`]s.
    Events(u64),
    /// The state of the fleet; answered by an [`Overview`].
    Overview,
    /// Where a request would go now; answered by the control replica that leads.
    Placement(Question),
}

/// Slots in use of a service and its floor, as known to one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// The service.
    pub service: ServiceId,
    /// Share of the slots that must stay in use, from 0 to 1.
    pub floor: f64,
    /// Slots of the upstreams that announce that they take requests.
    pub slots: u32,
    /// Slots of the upstreams that announce this and are in use.
    pub in_use: u32,
}

impl Capacity {
    /// Returns the fewest slots that must stay in use.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn minimum(&self) -> u32 {
        (f64::from(self.slots) * self.floor).ceil() as u32
    }

    /// Returns whether the service would fall below its floor with `slots` fewer slots in use.
    #[must_use]
    pub fn falls_below_floor_without(&self, slots: u32) -> bool {
        self.in_use.saturating_sub(slots) < self.minimum()
    }
}

/// The answer of a host to a query about one subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Host that answers.
    pub host: HostId,
    /// The upstream, tenant, request or host asked about.
    pub subject: String,
    /// Whether this host knows the subject.
    pub known: bool,
    /// Explanation, one fact a sentence.
    pub sentences: Vec<String>,
    /// Events about the subject, oldest first.
    pub events: Vec<Event>,
    /// Capacity of the service, if the subject is an upstream.
    pub capacity: Option<Capacity>,
    /// Slots of the upstream that are in use, if the subject is one.
    pub slots_in_use: u32,
}

/// An upstream that is out of use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The reason in one sentence.
    pub reason: String,
}

/// Request statistics of a tenant or route on one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Name of the tenant, or of the route with its service.
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

/// A host as known to the host that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The host.
    pub host: HostId,
    /// Zone of the host.
    pub zone: Zone,
    /// Address for peers and operators.
    pub peers: SocketAddr,
    /// Whether the host is suspected to be gone.
    pub suspected: bool,
    /// Whether the host is stopping.
    pub stopping: bool,
}

/// The state of the fleet as known to one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// Host that answers.
    pub host: HostId,
    /// Zone of the host.
    pub zone: Zone,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Capacity of each service.
    pub services: Vec<Capacity>,
    /// Upstreams out of use.
    #[serde(rename = "absent")]
    pub excluded: Vec<Exclusion>,
    /// Tenants, the worst served first.
    pub tenants: Vec<Statistics>,
    /// Routes, the worst served first.
    pub routes: Vec<Statistics>,
    /// The known hosts.
    pub hosts: Vec<Peer>,
    /// Latency and failures of the last minutes.
    pub series: Vec<Point>,
    /// The latest events, oldest first.
    pub events: Vec<Event>,
}
