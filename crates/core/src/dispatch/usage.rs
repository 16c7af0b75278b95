//! What each tenant usually asks of the fleet.
//!
//! The usual rate is the weight of a tenant where more is asked than a service offers: one that suddenly
//! asks for several times its usual doesn't take from the others what they had. The rate follows slowly,
//! over all services. A new dispatcher knows none at first, and shares evenly.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::dispatch::usual::Usual;
use crate::id::TenantId;

/// Requests a second that count for every tenant, so that new and small ones are served.
const LEAST_RATE: f64 = 1.0;

/// Requests of each tenant a second.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    tenants: BTreeMap<TenantId, Usual>,
}

impl Usage {
    /// Records a request of a tenant.
    pub fn note(&mut self, tenant: &str, now: Instant) {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), Usual::new(now));
        }
        if let Some(usual) = self.tenants.get_mut(tenant) {
            usual.note(1.0, now);
        }
    }

    /// Returns the weight of a tenant, by its usual requests a second up to its quota.
    #[must_use]
    pub fn weight(&self, tenant: &str, quota: Option<f64>) -> f64 {
        let usual = self.tenants.get(tenant).map_or(0.0, Usual::per_second);
        LEAST_RATE + quota.map_or(usual, |quota| usual.min(quota))
    }

    /// Removes the tenants for which `is_kept` returns `false`.
    pub fn retain<F: Fn(&str) -> bool>(&mut self, is_kept: F) {
        self.tenants.retain(|tenant, _| is_kept(tenant));
    }
}
