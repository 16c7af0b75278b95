//! Bytes that a host holds for clients and upstreams that read slowly, within a budget.
//!
//! Answers the load of clients that read slower than upstreams answer, and of many large bodies at once: each
//! is served faster with more memory, and all of them together exhaust that of a small host. A budget bounds
//! what one answer, one tenant and the host hold, so that one slow client, or the clients of one tenant, leave
//! room to the others.
//!
//! ```
//! use persimmonbend_core::memory::Bound;
//! use persimmonbend_core::memory::Budget;
//!
//! let mut budget = Budget::new(8_000);
//! budget.add("farm", 3_000);
//! assert_eq!(budget.check_answer("farm", 0, 500), Ok(()));
//! assert_eq!(budget.check_answer("farm", 800, 500), Err(Bound::Answer));
//! assert_eq!(budget.check_body("farm", 0, 2_000), Err(Bound::Tenant));
//! assert_eq!(budget.check_body("mill", 0, 2_000), Ok(()));
//! budget.remove("farm", 3_000);
//! assert_eq!(budget.used(), 0);
//! ```

use std::collections::BTreeMap;

use crate::id::TenantId;

/// Divisor of the budget of a host that gives the most bytes for one answer: eight clients that stop reading
/// may take it all.
const ANSWER_DIVISOR: u64 = 8;

/// Divisor of the budget of a host that gives the most bytes for one tenant.
const TENANT_DIVISOR: u64 = 2;

/// A bound that more bytes would exceed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// That of one answer.
    Answer,
    /// That of one tenant.
    Tenant,
    /// That of the host.
    Host,
}

impl Bound {
    /// Returns the label of the bound in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Tenant => "tenant",
            Self::Host => "host",
        }
    }
}

/// The bytes that a host may hold, and those that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    limit: u64,
    used: u64,
    /// Bytes held for each tenant that has some.
    tenants: BTreeMap<TenantId, u64>,
}

impl Budget {
    /// Creates a budget of `limit` bytes, none of which are in use.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self {
            limit,
            used: 0,
            tenants: BTreeMap::new(),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Returns the bytes that may be in use.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Checks that an answer of a tenant, which holds `own` bytes, may hold `more`.
    ///
    /// # Errors
    ///
    /// Returns the first bound that would be exceeded.
    pub fn check_answer(&self, tenant: &str, own: u64, more: u64) -> Result<(), Bound> {
        if own + more > self.limit / ANSWER_DIVISOR {
            return Err(Bound::Answer);
        }
        if self.used_by(tenant) + more > self.limit / TENANT_DIVISOR {
            return Err(Bound::Tenant);
        }
        if self.used + more > self.limit {
            return Err(Bound::Host);
        }
        Ok(())
    }

    /// Checks that a request body of a tenant, which holds `own` bytes, may take `more`.
    ///
    /// A tenant or a host that holds nothing else may always hold one body, as it could never be taken otherwise.
    ///
    /// # Errors
    ///
    /// Returns the first bound that would be exceeded.
    pub fn check_body(&self, tenant: &str, own: u64, more: u64) -> Result<(), Bound> {
        if more == 0 {
            return Ok(());
        }
        let used = self.used_by(tenant);
        if used > own && used + more > self.limit / TENANT_DIVISOR {
            return Err(Bound::Tenant);
        }
        if self.used > own && self.used + more > self.limit {
            return Err(Bound::Host);
        }
        Ok(())
    }

    /// Records bytes that are held for a tenant, whether they were checked or not.
    pub fn add(&mut self, tenant: &str, bytes: u64) {
        if bytes == 0 {
            return;
        }
        self.used += bytes;
        match self.tenants.get_mut(tenant) {
            Some(used) => *used += bytes,
            None => {
                self.tenants.insert(tenant.to_owned(), bytes);
            }
        }
    }

    /// Records that bytes are no longer held for a tenant.
    pub fn remove(&mut self, tenant: &str, bytes: u64) {
        let Some(used) = self.tenants.get_mut(tenant) else {
            return;
        };
        let bytes = bytes.min(*used);
        *used -= bytes;
        if *used == 0 {
            self.tenants.remove(tenant);
        }
        self.used -= bytes;
    }

    /// Returns the bytes that are held for a tenant.
    #[must_use]
    pub fn used_by(&self, tenant: &str) -> u64 {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }
}
