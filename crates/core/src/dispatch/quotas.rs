//! Quotas of tenants over the whole fleet, enforced by the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::TenantId;
use crate::quota::Bucket;

/// Longest time after which a tenant over its quota may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Fraction of its share of quotas, retry budgets and limits that a dispatcher without the leader uses; of
/// quotas only until what the leader granted before can no longer count with it.
pub(super) const LOCAL_SHARE_FRACTION: f64 = 0.8;

/// Number of hosts that are assumed to share quotas until the leader has told it: the largest fleet that
/// operators run, since a smaller number would let the hosts of a larger fleet exceed every quota together.
const MAX_FLEET_HOSTS: u32 = 1_000;

/// Returns the share of quotas, retry budgets and limits that `hosts` hosts without the leader may use, in
/// a fleet of as many hosts as the leader last told, if it has.
#[must_use]
pub fn share_without_leader(hosts: u32, fleet_hosts: Option<u32>) -> f64 {
    let all = fleet_hosts.unwrap_or(MAX_FLEET_HOSTS).max(hosts).max(1);
    LOCAL_SHARE_FRACTION * f64::from(hosts) / f64::from(all)
}

/// Token buckets of the tenants with a quota.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    accounts: BTreeMap<TenantId, Account>,
}

/// The share of a tenant's quota that one dispatcher hands out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests per second in the long run.
    pub per_second: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Tokens at the first request of the tenant.
    pub initial: f64,
}

#[derive(Debug, Clone)]
struct Account {
    bucket: Bucket,
    /// When the latest token that was promised to a refused request is refilled.
    promised_until: Instant,
}

impl Quotas {
    /// Takes a token of a tenant.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry. Each refused request is promised another token, so
    /// that refused requests do not retry at the same moment.
    pub fn take_token(&mut self, tenant: &str, share: Share, now: Instant) -> Result<(), Duration> {
        let account = self.accounts.entry(tenant.to_owned());
        let account = account.or_insert_with(|| Account {
            bucket: Bucket::new(share.initial, now),
            promised_until: now,
        });
        let capacity = share.burst.max(1.0);
        account.bucket.refill(now, share.per_second, capacity);
        if account.bucket.take(1) {
            return Ok(());
        }
        let pause = Duration::try_from_secs_f64(1.0 / share.per_second).unwrap_or(MAX_RETRY_AFTER);
        account.promised_until = account.promised_until.max(now) + pause;
        let wait = account.promised_until.saturating_duration_since(now);
        if wait >= MAX_RETRY_AFTER {
            account.promised_until = now;
        }
        Err(wait.min(MAX_RETRY_AFTER))
    }

    /// Returns the tokens of a tenant that has sent requests, as of the last one.
    #[must_use]
    pub fn tokens(&self, tenant: &str) -> Option<f64> {
        let account = self.accounts.get(tenant)?;
        Some(account.bucket.level())
    }

    /// Returns the token of a request that was not placed.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.bucket.add(1);
        }
    }

    /// Removes the accounts of tenants for which `is_kept` returns `false`.
    pub fn retain<F: Fn(&str) -> bool>(&mut self, is_kept: F) {
        self.accounts.retain(|tenant, _| is_kept(tenant));
    }
}
