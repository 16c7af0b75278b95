//! The holder's tokens of one account.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::config::Rate;
use crate::quota::Account;
use crate::quota::Bucket;
use crate::quota::Demand;
use crate::quota::Share;

/// Time for which the tokens held ahead of requests should last.
const AHEAD_TIME: Duration = Duration::from_millis(100);

/// Time without a request after which tokens are returned.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// Interval at which spent tokens are reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time over which the rate of requests is averaged.
const REQUEST_RATE_WINDOW: Duration = Duration::from_millis(500);

/// Time within which all waiting requests must get a token for further ones to wait.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);

/// Divisor of the burst that gives the most tokens that one host holds ahead of requests.
const AHEAD_BURST_DIVISOR: u32 = 8;

/// Unspent tokens of one grant.
#[derive(Debug)]
struct Block {
    tokens: u32,
    expires: Instant,
}

/// Tokens, demand and rate of one account on one host.
#[derive(Debug)]
pub(super) struct Holding {
    rate: Rate,
    blocks: VecDeque<Block>,
    spent: u32,
    pub(super) waiting: u32,
    /// Until when the issuer has no token for the account.
    exhausted_until: Option<Instant>,
    share: Option<Bucket>,
    request_rate: f64,
    last_used: Instant,
    last_reported: Instant,
}

impl Holding {
    /// Creates a holding without tokens.
    pub(super) const fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            blocks: VecDeque::new(),
            spent: 0,
            waiting: 0,
            exhausted_until: None,
            share: None,
            request_rate: 0.0,
            last_used: now,
            last_reported: now,
        }
    }

    /// Returns the number of tokens that can be spent.
    pub(super) fn held(&self) -> u32 {
        let blocks = self.blocks.iter();
        blocks.fold(0, |sum, block| sum.saturating_add(block.tokens))
    }

    /// Returns for how long the issuer is known to have no token.
    pub(super) fn exhausted_for(&self, now: Instant) -> Option<Duration> {
        self.exhausted_until
            .filter(|until| *until > now)
            .map(|until| until.duration_since(now))
    }

    /// Returns whether all waiting requests get a token within [`MAX_QUEUE_TIME`].
    pub(super) fn can_serve_waiting_soon(&self, per_second: f64) -> bool {
        f64::from(self.waiting) <= per_second * MAX_QUEUE_TIME.as_secs_f64()
    }

    /// Returns whether the holding can be dropped without loss.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.blocks.is_empty()
            && self.spent == 0
            && self.waiting == 0
            && self.share.is_none()
            && now.saturating_duration_since(self.last_used) > IDLE_TIME
    }

    /// Returns whether a demand should be sent now.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let has_demand = self.exhausted_for(now).is_none()
            && (self.missing_for_waiting() > 0 || self.is_below_half_target());
        let unreported = now.saturating_duration_since(self.last_reported) >= REPORT_INTERVAL;
        has_demand || (self.spent > 0 && unreported) || (self.is_unused(now) && self.held() > 0)
    }

    /// Sets the rate of the account.
    pub(super) const fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Drops expired tokens.
    pub(super) fn expire(&mut self, now: Instant) {
        self.blocks.retain(|block| block.expires > now);
    }

    /// Spends a granted token if there is one.
    pub(super) fn spend(&mut self, now: Instant) -> bool {
        self.expire(now);
        let Some(block) = self.blocks.iter_mut().find(|block| block.tokens > 0) else {
            return false;
        };
        block.tokens -= 1;
        self.spent += 1;
        self.last_used = now;
        true
    }

    /// Counts a request towards the rate of requests.
    pub(super) fn count_request(&mut self, now: Instant) {
        let window = REQUEST_RATE_WINDOW.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.last_used).as_secs_f64();
        self.request_rate = self.request_rate * (-elapsed / window).exp() + 1.0 / window;
        self.last_used = now;
    }

    /// Spends a token of the host's share, which has been in use since `since`.
    ///
    /// Returns the time to the next token when there is none.
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
        Err(bucket.time_to_next(share.per_second))
    }

    /// Stops using the share.
    pub(super) const fn stop_share(&mut self) {
        self.share = None;
    }

    /// Adds granted tokens, which expire at `expires`.
    pub(super) fn add(&mut self, tokens: u32, expires: Instant) {
        if tokens > 0 {
            self.blocks.push_back(Block { tokens, expires });
        }
    }

    /// Records that the issuer has no tokens until `until`.
    pub(super) const fn set_exhausted_until(&mut self, until: Instant) {
        self.exhausted_until = Some(until);
    }

    /// Returns the demand to send and counts spent tokens as reported.
    ///
    /// With `gives_back_all` all tokens are returned.
    pub(super) fn take_demand(
        &mut self,
        account: &Account,
        gives_back_all: bool,
        now: Instant,
    ) -> Demand {
        self.expire(now);
        self.last_reported = now;
        self.spent = 0;
        let gives_back = gives_back_all || (self.is_unused(now) && self.waiting == 0);
        let latest = self.blocks.back().map_or(0, |block| block.tokens);
        if gives_back {
            self.blocks.clear();
        }
        Demand {
            account: account.clone(),
            waiting: self.missing_for_waiting(),
            ahead: if gives_back { 0 } else { self.missing_ahead() },
            returned: if gives_back { latest } else { 0 },
            held: self.held(),
        }
    }

    fn missing_for_waiting(&self) -> u32 {
        self.waiting.saturating_sub(self.held())
    }

    fn is_unused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) >= IDLE_TIME
    }

    /// Returns the number of tokens to hold ahead of requests.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn target_ahead(&self) -> u32 {
        let wanted =
            (self.request_rate.min(self.rate.per_second) * AHEAD_TIME.as_secs_f64()) as u32;
        wanted.min(self.rate.burst / AHEAD_BURST_DIVISOR)
    }

    fn missing_ahead(&self) -> u32 {
        self.target_ahead().saturating_sub(self.held())
    }

    fn is_below_half_target(&self) -> bool {
        self.held() < self.target_ahead().div_ceil(2)
    }
}
