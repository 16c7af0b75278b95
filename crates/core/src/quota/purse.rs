//! A holder's tokens of one account.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::config::Rate;
use crate::quota::Account;
use crate::quota::Bucket;
use crate::quota::Demand;
use crate::quota::Share;

/// Time that tokens held ahead should last for.
const AHEAD: Duration = Duration::from_millis(100);

/// Time without a request after which tokens are given back.
const IDLE: Duration = Duration::from_millis(200);

/// Time after which spent tokens are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time over which the demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// Time within which a waiting request must be due for a token.
const QUEUE_TIME: Duration = Duration::from_millis(500);

/// Part of the burst that one holder asks for ahead at most.
const AHEAD_PART: u32 = 8;

/// Tokens of one grant.
#[derive(Debug)]
struct Lot {
    tokens: u32,
    lapses: Instant,
}

/// What a holder has and knows of one account.
#[derive(Debug)]
pub(super) struct Purse {
    rate: Rate,
    lots: VecDeque<Lot>,
    spent: u32,
    pub(super) waiting: u32,
    /// Until when the issuer has no token for this account.
    empty_until: Option<Instant>,
    share: Option<Bucket>,
    request_rate: f64,
    used: Instant,
    reported: Instant,
}

impl Purse {
    /// Creates an empty purse.
    pub(super) const fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            lots: VecDeque::new(),
            spent: 0,
            waiting: 0,
            empty_until: None,
            share: None,
            request_rate: 0.0,
            used: now,
            reported: now,
        }
    }

    /// Returns the tokens that can be spent.
    pub(super) fn held(&self) -> u32 {
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    /// Returns how long the issuer is known to have no token.
    pub(super) fn empty_for(&self, now: Instant) -> Option<Duration> {
        self.empty_until
            .filter(|until| *until > now)
            .map(|until| until.duration_since(now))
    }

    /// Returns whether all requests that wait get a token within a bounded time.
    pub(super) fn is_served_soon(&self, per_second: f64) -> bool {
        f64::from(self.waiting) <= per_second * QUEUE_TIME.as_secs_f64()
    }

    /// Returns whether nothing is lost when the purse is dropped.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.lots.is_empty()
            && self.spent == 0
            && self.waiting == 0
            && self.share.is_none()
            && now.saturating_duration_since(self.used) > IDLE
    }

    /// Returns whether the issuer should be told or asked something now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let has_demand = self.empty_for(now).is_none() && (self.needs() > 0 || self.runs_low());
        let unreported = now.saturating_duration_since(self.reported) >= REPORT_INTERVAL;
        has_demand || (self.spent > 0 && unreported) || (self.is_unused(now) && self.held() > 0)
    }

    /// Puts the rate in force.
    pub(super) const fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Forgets tokens that have lapsed.
    pub(super) fn expire(&mut self, now: Instant) {
        self.lots.retain(|lot| lot.lapses > now);
    }

    /// Spends a granted token if there is one.
    pub(super) fn spend(&mut self, now: Instant) -> bool {
        self.expire(now);
        let Some(lot) = self.lots.iter_mut().find(|lot| lot.tokens > 0) else {
            return false;
        };
        lot.tokens -= 1;
        self.spent += 1;
        self.used = now;
        true
    }

    /// Counts a request into the demand.
    pub(super) fn count(&mut self, now: Instant) {
        let window = DEMAND_WINDOW.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.used).as_secs_f64();
        self.request_rate = self.request_rate * (-elapsed / window).exp() + 1.0 / window;
        self.used = now;
    }

    /// Spends a token of the host's share, which is in use since `since`.
    pub(super) fn spend_share(
        &mut self,
        share: Share,
        since: Instant,
        now: Instant,
    ) -> Result<(), Duration> {
        let bucket = self.share.get_or_insert(Bucket::new(0.0, since));
        bucket.refill(now, share.per_second, f64::from(share.burst));
        if bucket.take(1) {
            return Ok(());
        }
        Err(bucket.next(share.per_second))
    }

    /// Stops using the share.
    pub(super) const fn leave_share(&mut self) {
        self.share = None;
    }

    /// Takes in a grant of tokens that lapse at `lapses`.
    pub(super) fn put(&mut self, tokens: u32, lapses: Instant) {
        if tokens > 0 {
            self.lots.push_back(Lot { tokens, lapses });
        }
    }

    /// Notes that the issuer has no more tokens until `until`.
    pub(super) const fn set_empty(&mut self, until: Instant) {
        self.empty_until = Some(until);
    }

    /// Returns what to tell the issuer; `everything` gives back all tokens.
    pub(super) fn take_demand(
        &mut self,
        account: &Account,
        everything: bool,
        now: Instant,
    ) -> Demand {
        self.expire(now);
        self.reported = now;
        self.spent = 0;
        let gives_back = everything || (self.is_unused(now) && self.waiting == 0);
        let latest = self.lots.back().map_or(0, |lot| lot.tokens);
        if gives_back {
            self.lots.clear();
        }
        Demand {
            account: account.clone(),
            waiting: self.needs(),
            ahead: if gives_back { 0 } else { self.ahead() },
            returned: if gives_back { latest } else { 0 },
            held: self.held(),
        }
    }

    fn needs(&self) -> u32 {
        self.waiting.saturating_sub(self.held())
    }

    fn is_unused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.used) >= IDLE
    }

    /// Returns the tokens that requests of the near future would take.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn stock(&self) -> u32 {
        let wanted = (self.request_rate.min(self.rate.per_second) * AHEAD.as_secs_f64()) as u32;
        wanted.min(self.rate.burst / AHEAD_PART)
    }

    fn ahead(&self) -> u32 {
        self.stock().saturating_sub(self.held())
    }

    fn runs_low(&self) -> bool {
        self.held() < self.stock().div_ceil(2)
    }
}
