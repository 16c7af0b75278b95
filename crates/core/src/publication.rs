//! The configuration of the fleet, published as a whole under a version that its author chooses.
//!
//! The highest version wins; a publication whose version is not higher is ignored. A
//! [`Publication`] holds routes by host and path prefix, services, tenants with digests of their
//! keys, and limits on what clients may send. A [`Delta`] holds the difference between two
//! publications, and a [`Table`] finds the route of a request.

mod delta;
mod route;
mod table;
mod terms;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use delta::Changes;
pub use delta::Delta;
pub use route::Part;
pub use route::Priority;
pub use route::Route;
pub use table::Table;
pub use table::has_dot_segment;
pub use terms::Terms;
pub use terms::Warmup;

use crate::fault::Faults;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::key::Digest;

/// Number of a publication, raised by its author; any number, 0 included, is a version.
pub type Version = u64;

/// Longest time that a route may keep a request waiting.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// The configuration of one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Publication {
    /// Version that the author chose; `None` before anything was published.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// Limits on what a client may send.
    pub limits: Limits,
    /// What services ask of the fleet; a service without an entry asks for nothing.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub terms: BTreeMap<ServiceId, Terms>,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one upstream takes from all hosts together.
    pub connections_max: u32,
}

/// A tenant and its quota over the whole fleet.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Tenant {
    /// Digests of the tenant's keys.
    pub keys: BTreeSet<Digest>,
    /// Priority that overrides the priority of the route, if the tenant has one.
    pub priority: Option<Priority>,
    /// Quota, if there is one.
    pub quota: Option<Quota>,
}

/// A rate and a burst, counted over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second in the long run.
    pub per_second: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request head.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits in force until a publication sets others: common defaults of servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Publication {
    /// Checks the version, and routes and tenants for contradictions.
    ///
    /// # Errors
    ///
    /// Returns all faults: no version, a route without a service or to an unknown one, a weight that is
    /// negative or not finite, a timeout out of bounds, or a key of two tenants.
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::new();
        if self.version.is_none() {
            faults.add("version", "must be set");
        }
        for (name, route) in &self.routes {
            self.check_route(name, route, &mut faults);
        }
        for (name, terms) in &self.terms {
            if !self.services.contains_key(name) {
                faults.add(format!("terms.{name}"), "names an unknown service");
            }
            terms.check(name, &mut faults);
        }
        let mut owners = BTreeMap::new();
        for (name, tenant) in &self.tenants {
            for key in &tenant.keys {
                if let Some(other) = owners.insert(key, name) {
                    let reason = format!("shares the key {} with {other}", key.short());
                    faults.add(format!("tenants.{name}"), reason);
                }
            }
        }
        faults.into_result(Some(()))
    }

    /// Returns the tenants by the digests of their keys.
    #[must_use]
    pub fn keys(&self) -> BTreeMap<Digest, TenantId> {
        let each = |(name, tenant): (&TenantId, &Tenant)| {
            let name = name.clone();
            let pairs = tenant.keys.iter().map(move |key| (*key, name.clone()));
            pairs.collect::<Vec<_>>()
        };
        self.tenants.iter().flat_map(each).collect()
    }

    fn check_route(&self, name: &str, route: &Route, faults: &mut Faults) {
        let field = |part: &str| format!("routes.{name}.{part}");
        if route.parts.is_empty() {
            faults.add(field("parts"), "must name a service");
        }
        for part in &route.parts {
            if !self.services.contains_key(&part.service) {
                let reason = format!("service {} is unknown", part.service);
                faults.add(field("parts"), reason);
            }
            if !part.weight.is_finite() || part.weight < 0.0 {
                faults.add(field("parts"), "a weight must be 0 or more");
            }
        }
        if route.timeout.is_zero() || route.timeout > MAX_TIMEOUT {
            faults.add(field("timeout"), "must be above 0 and at most ten minutes");
        }
    }
}
