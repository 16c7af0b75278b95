//! Validated services, routes and tenants.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::TenantId;

/// A rate with its burst, counted over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Requests per second in the long run.
    pub per_second: f64,
    /// Requests that may come at once after an idle time.
    pub burst: u32,
}

/// One route of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the service.
    pub id: RouteId,
    /// Path prefix, matched on whole path segments.
    pub prefix: String,
    /// Accepted methods; empty means all.
    pub methods: Vec<String>,
    /// Whether the route needs no key.
    pub open: bool,
    /// Whether a request runs at most once.
    pub non_idempotent: bool,
    /// Whether a non-idempotent request without an idempotency key is forwarded unrecorded.
    pub allow_unrecorded: bool,
    /// Deadline of a request in milliseconds.
    pub deadline_ms: u64,
}

impl Route {
    /// Returns the deadline of a request.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether the route accepts `method`.
    #[must_use]
    pub fn takes(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|known| known == method)
    }
}

/// A service: its routes and the policy for its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the fleet.
    pub name: ServiceId,
    /// Team that owns the service.
    pub owner: String,
    /// Share of the healthy capacity that ejection must leave in use, from 0 to 1.
    pub floor: f64,
    /// Routes of the service.
    pub routes: Vec<Route>,
    /// Rate of tenants without a rate of their own.
    pub default_rate: Option<Rate>,
}

/// One tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, unique in the fleet.
    pub id: TenantId,
    /// Rate over the whole fleet.
    pub rate: Rate,
}
