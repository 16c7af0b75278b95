//! The issuer's tokens of one account.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::config::Rate;
use crate::id::HostId;
use crate::quota::Bucket;
use crate::quota::Demand;
use crate::quota::Grant;
use crate::quota::MAX_CLOCK_DRIFT;
use crate::quota::Share;
use crate::quota::TOKEN_LIFETIME;

/// Divisor of the free tokens that gives the most tokens that are granted ahead of requests.
const AHEAD_FREE_DIVISOR: u32 = 4;

/// Tokens of one grant that are neither expired nor reported as spent or returned.
#[derive(Debug)]
struct Block {
    tokens: u32,
    expires: Instant,
}

/// Tokens of one account, either free or outstanding at hosts.
#[derive(Debug)]
pub(super) struct Pool {
    free: Bucket,
    blocks: BTreeMap<HostId, VecDeque<Block>>,
}

impl Pool {
    /// Creates a pool with `level` free tokens and none outstanding.
    pub(super) const fn new(level: f64, now: Instant) -> Self {
        Self {
            free: Bucket::new(level, now),
            blocks: BTreeMap::new(),
        }
    }

    /// Returns the number of outstanding tokens.
    pub(super) fn outstanding(&self) -> u32 {
        let blocks = self.blocks.values().flatten();
        blocks.fold(0, |sum, block| sum.saturating_add(block.tokens))
    }

    /// Returns the number of free tokens.
    pub(super) const fn level(&self) -> f64 {
        self.free.level()
    }

    /// Returns whether the pool is full with none outstanding, so that dropping it loses nothing.
    pub(super) fn is_idle(&self, rate: Rate, withheld: Share) -> bool {
        let capacity = f64::from(rate.burst - withheld.burst);
        self.blocks.is_empty() && self.free.level() >= capacity
    }

    /// Drops expired blocks and refills the free tokens.
    ///
    /// Until a block expires, its tokens count as outstanding and reduce the capacity for free
    /// tokens.
    pub(super) fn refill(&mut self, rate: Rate, withheld: Share, now: Instant) {
        while let Some(expiry) = self.next_expiry().filter(|expiry| *expiry <= now) {
            self.fill(rate, withheld, expiry);
            self.drop_expired(expiry);
        }
        self.fill(rate, withheld, now);
    }

    /// Counts tokens that an earlier issuer granted to a host as outstanding.
    pub(super) fn adopt(&mut self, host: &str, tokens: u32, now: Instant) {
        self.add_block(host, tokens, now);
    }

    /// Frees the tokens that a host returns, and no longer counts as outstanding those that the
    /// host neither returns nor still holds, since these are spent.
    ///
    /// A host builds a batch only after the reply to the one before arrived, so that it cannot
    /// spend more than it reports.
    pub(super) fn settle(&mut self, host: &str, demand: &Demand) {
        let Some(blocks) = self.blocks.get_mut(host) else {
            return;
        };
        if let Some(latest) = blocks.back_mut() {
            let returned = demand.returned.min(latest.tokens);
            latest.tokens -= returned;
            self.free.add(returned);
        }
        let outstanding = blocks
            .iter()
            .fold(0, |sum: u32, block| sum.saturating_add(block.tokens));
        let mut settled = outstanding.saturating_sub(demand.held);
        for block in blocks {
            let part = settled.min(block.tokens);
            block.tokens -= part;
            settled -= part;
        }
    }

    /// Grants tokens for a demand, as far as enough are free.
    pub(super) fn grant(
        &mut self,
        host: &str,
        demand: &Demand,
        per_second: f64,
        now: Instant,
    ) -> Grant {
        let whole = self.free.whole_tokens();
        let needed = demand.waiting.min(whole);
        let ahead = demand.ahead.min((whole - needed) / AHEAD_FREE_DIVISOR);
        let tokens = needed + ahead;
        self.free.take(tokens);
        if tokens > 0 {
            self.add_block(host, tokens, now);
        }
        let retry_after = if needed < demand.waiting {
            self.free.time_to_next(per_second)
        } else {
            Duration::ZERO
        };
        Grant {
            tokens,
            retry_after,
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.blocks
            .values()
            .flatten()
            .map(|block| block.expires)
            .min()
    }

    fn drop_expired(&mut self, now: Instant) {
        for blocks in self.blocks.values_mut() {
            blocks.retain(|block| block.expires > now && block.tokens > 0);
        }
        self.blocks.retain(|_, blocks| !blocks.is_empty());
    }

    fn fill(&mut self, rate: Rate, withheld: Share, now: Instant) {
        let unavailable = f64::from(withheld.burst) + f64::from(self.outstanding());
        let capacity = f64::from(rate.burst) - unavailable;
        let per_second = (rate.per_second - withheld.per_second).max(0.0);
        self.free.refill(now, per_second, capacity);
    }

    fn add_block(&mut self, host: &str, tokens: u32, now: Instant) {
        let expires = now + TOKEN_LIFETIME + MAX_CLOCK_DRIFT;
        let blocks = self.blocks.entry(host.to_owned()).or_default();
        blocks.push_back(Block { tokens, expires });
    }
}
