//! The issuer's side of one account.

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

/// Part of the free tokens that is granted ahead of requests.
const AHEAD_PART: u32 = 4;

/// Tokens of one grant that are neither settled nor lapsed.
#[derive(Debug)]
struct Lot {
    tokens: u32,
    lapses: Instant,
}

/// Tokens of one account: some free, some outstanding at hosts.
#[derive(Debug)]
pub(super) struct Pool {
    free: Bucket,
    lots: BTreeMap<HostId, VecDeque<Lot>>,
}

impl Pool {
    /// Creates a pool with nothing outstanding.
    pub(super) const fn new(level: f64, now: Instant) -> Self {
        Self {
            free: Bucket::new(level, now),
            lots: BTreeMap::new(),
        }
    }

    /// Returns the tokens that are outstanding.
    pub(super) fn outstanding(&self) -> u32 {
        self.lots.values().flatten().map(|lot| lot.tokens).sum()
    }

    /// Returns the free tokens.
    pub(super) const fn level(&self) -> f64 {
        self.free.level()
    }

    /// Returns whether the pool is as it would be created anew.
    pub(super) fn is_idle(&self, rate: Rate, withheld: Share) -> bool {
        let capacity = f64::from(rate.burst - withheld.burst);
        self.lots.is_empty() && self.free.level() >= capacity
    }

    /// Drops what has lapsed and lets free tokens flow in.
    ///
    /// Until a lot lapses its tokens count as outstanding and leave less room for free ones.
    pub(super) fn refill(&mut self, rate: Rate, withheld: Share, now: Instant) {
        while let Some(lapse) = self.next_lapse().filter(|lapse| *lapse <= now) {
            self.fill(rate, withheld, lapse);
            self.drop_lapsed(lapse);
        }
        self.fill(rate, withheld, now);
    }

    /// Notes tokens that a host was granted by an earlier issuer.
    pub(super) fn adopt(&mut self, host: &str, tokens: u32, now: Instant) {
        self.put_lot(host, tokens, now);
    }

    /// Takes in what a host gave back and what it still holds.
    ///
    /// A batch is built only after the answer to the one before it arrived, so the host can spend
    /// no more than it says that it holds.
    pub(super) fn settle(&mut self, host: &str, demand: &Demand) {
        let Some(lots) = self.lots.get_mut(host) else {
            return;
        };
        if let Some(latest) = lots.back_mut() {
            let returned = demand.returned.min(latest.tokens);
            latest.tokens -= returned;
            self.free.add(returned);
        }
        let outstanding: u32 = lots.iter().map(|lot| lot.tokens).sum();
        let mut settled = outstanding.saturating_sub(demand.held);
        for lot in lots {
            let part = settled.min(lot.tokens);
            lot.tokens -= part;
            settled -= part;
        }
    }

    /// Grants tokens for an ask as far as there are any.
    pub(super) fn grant(
        &mut self,
        host: &str,
        demand: &Demand,
        per_second: f64,
        now: Instant,
    ) -> Grant {
        let whole = self.free.whole();
        let needed = demand.waiting.min(whole);
        let ahead = demand.ahead.min((whole - needed) / AHEAD_PART);
        let tokens = needed + ahead;
        self.free.take(tokens);
        if tokens > 0 {
            self.put_lot(host, tokens, now);
        }
        let retry_after = if needed < demand.waiting {
            self.free.next(per_second)
        } else {
            Duration::ZERO
        };
        Grant {
            tokens,
            retry_after,
        }
    }

    fn next_lapse(&self) -> Option<Instant> {
        self.lots.values().flatten().map(|lot| lot.lapses).min()
    }

    fn drop_lapsed(&mut self, now: Instant) {
        for lots in self.lots.values_mut() {
            lots.retain(|lot| lot.lapses > now && lot.tokens > 0);
        }
        self.lots.retain(|_, lots| !lots.is_empty());
    }

    fn fill(&mut self, rate: Rate, withheld: Share, now: Instant) {
        let taken = f64::from(withheld.burst) + f64::from(self.outstanding());
        let capacity = f64::from(rate.burst) - taken;
        let per_second = (rate.per_second - withheld.per_second).max(0.0);
        self.free.refill(now, per_second, capacity);
    }

    fn put_lot(&mut self, host: &str, tokens: u32, now: Instant) {
        let lapses = now + TOKEN_LIFETIME + MAX_CLOCK_DRIFT;
        let lots = self.lots.entry(host.to_owned()).or_default();
        lots.push_back(Lot { tokens, lapses });
    }
}
