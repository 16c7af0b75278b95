//! Accounts, the units for which rates are counted.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Rate;
use crate::config::State;
use crate::id::ServiceId;
use crate::id::TenantId;

/// A tenant with a rate of its own, or a tenant at one service with a default rate.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Account {
    /// Tenant whose requests are counted.
    pub tenant: TenantId,
    /// Service whose default rate applies; `None` when the tenant has a rate of its own.
    pub service: Option<ServiceId>,
}

impl Account {
    /// Returns the account for which a request of `tenant` to `service` is counted.
    #[must_use]
    pub fn of(config: &State, tenant: &str, service: &str) -> Self {
        let own = config.tenants().contains_key(tenant);
        Self {
            tenant: tenant.to_owned(),
            service: (!own).then(|| service.to_owned()),
        }
    }

    /// Returns the rate of the account, if one is configured.
    #[must_use]
    pub fn rate(&self, config: &State) -> Option<Rate> {
        match &self.service {
            None => config.tenants().get(&self.tenant).map(|tenant| tenant.rate),
            Some(service) => config.services().get(service)?.default_rate,
        }
    }
}
