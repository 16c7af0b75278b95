//! The tokens that a tenant with a quota pays for a request.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Balance;
use crate::dispatch::Dispatcher;
use crate::dispatch::Request;
use crate::dispatch::Retries;
use crate::dispatch::Share;
use crate::dispatch::quotas;

/// Share of the tolerance that hosts without a dispatcher may use at first; the rest covers what
/// the last dispatcher has just granted.
const HOST_TOLERANCE_SHARE: f64 = 0.2;

/// Share of the tolerance that a later dispatcher starts with: three dispatchers within one window,
/// together with hosts without a dispatcher, stay within the tolerance.
const INITIAL_TOLERANCE_SHARE: f64 = 0.26;

/// Initial tokens of a host that is not sampled; below one, so that it waits for the refill.
const UNSAMPLED_TOKENS: f64 = 0.6;

/// Time after the leader was last heard within which it withholds the share of those who cannot hear it.
const LEADER_NOTICE_TIME: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Resets the tokens of all tenants to their initial balance, because another dispatcher has
    /// spent from their quotas in the meantime.
    pub fn reset_quotas(&mut self) {
        self.quotas.retain(|_| false);
    }

    /// Sets when the leader was last heard, for a dispatcher that places without it.
    pub const fn note_leader_heard(&mut self, heard: Option<Instant>) {
        self.leader_heard = heard;
    }

    /// Takes a token for the first attempt of a request whose tenant has a quota.
    pub(super) fn take_token(&mut self, request: &Request, now: Instant) -> Result<(), Duration> {
        if !request.is_first_placing() {
            return Ok(());
        }
        let Some(tenant) = &request.tenant else {
            return Ok(());
        };
        let known = self.publication.tenants.get(tenant);
        let Some(quota) = known.and_then(|known| known.quota) else {
            return Ok(());
        };
        let disconnected = self
            .hosts
            .values()
            .filter(|host| host.disconnected_at.is_some())
            .count();
        let all = self.hosts.len().max(1);
        let connected = 1.0 - disconnected as f64 / all as f64;
        let share = Share {
            per_second: quota.per_second * self.share * connected * self.refill_factor(now),
            burst: quota.burst * self.share,
            initial: match self.policy.initial_balance {
                Balance::Share(part) => quota.burst * self.share * part,
                Balance::Tolerated(tolerance) => {
                    let tokens = tolerance.excess(&quota) * INITIAL_TOLERANCE_SHARE;
                    tokens.min(quota.burst) * self.share
                }
                Balance::Sampled { tolerance, draw } => {
                    let chance = tolerance.excess(&quota) * HOST_TOLERANCE_SHARE * self.share;
                    if draw < chance { 1.0 } else { UNSAMPLED_TOKENS }
                }
            },
        };
        self.quotas.take_token(tenant, share, now)
    }

    /// Returns the factor by which the tokens of a share are refilled faster.
    ///
    /// Answers the load of tenants that use most of their quotas while hosts are cut off for long. Once no window
    /// holds requests that the leader granted from the shares of these hosts, they use the whole of them.
    fn refill_factor(&self, now: Instant) -> f64 {
        let (Some(heard), Some(window)) = (self.leader_heard, self.policy.quota_window()) else {
            return 1.0;
        };
        if now.saturating_duration_since(heard) < LEADER_NOTICE_TIME + window {
            1.0
        } else {
            1.0 / quotas::LOCAL_SHARE_FRACTION
        }
    }

    /// Returns the token of a first attempt that was not placed.
    pub(super) fn refund(&mut self, request: &Request) {
        if request.is_first_placing()
            && let Some(tenant) = &request.tenant
        {
            self.quotas.refund(tenant);
        }
    }

    pub(super) fn retries(&self) -> Retries {
        let retries = self.policy.retries;
        Retries {
            ratio: retries.ratio,
            burst: retries.burst * self.share,
        }
    }
}
