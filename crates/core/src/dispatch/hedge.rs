//! Extra sends of running requests: how many, when, and to which upstream.
//!
//! A service whose terms set a share of extra sends, or that falls under the default of the fleet, has an
//! [`Account`] that every new request pays that share into. An extra send costs 1 and a retry of the retry
//! budget, so extra sends stay within the share over any number of dispatchers. Without a share nothing here
//! has an effect, and only the retry budget limits extra sends.
//!
//! Answers the load of a service of which a part is slow, while the rest has slots to spare: a request that
//! takes longer than most of its kind is sent to another upstream, later the less of the account is left.
//! A service that is nearly full gets no extra sends, since they would delay all other requests.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Answer;
use crate::dispatch::Choice;
use crate::dispatch::Dispatcher;
use crate::dispatch::MIN_RETRY_AFTER;
use crate::dispatch::Pool;
use crate::dispatch::Request;
use crate::dispatch::Slot;
use crate::dispatch::belief::BEATEN_RATIO;
use crate::dispatch::contact::Finding;
use crate::dispatch::latencies::Latencies;
use crate::dispatch::placing::Search;
use crate::dispatch::refused;
use crate::error::Kind;
use crate::id::Zone;
use crate::publication::Route;
use crate::roster::Number;
use crate::steward::Ticket;

/// Requests whose shares an account holds at most.
const BURST_REQUESTS: f64 = 200.0;

/// Smallest shares of a full account at which requests are sent again at the lower and at the higher
/// quantile of their latency; below, only what takes far longer than expected is.
const AMPLE_SHARE: f64 = 0.5;
const SOME_SHARE: f64 = 0.2;

/// Quantiles of the latency at which requests are sent again.
const EARLY_QUANTILE: f64 = 0.95;
const LATE_QUANTILE: f64 = 0.99;

/// Shortest time after which a request is sent again; placing and connecting take a few milliseconds.
const MIN_HEDGE_AFTER: Duration = Duration::from_millis(10);

/// Largest share of the healthy slots that are in use while extra sends are granted; the rest is left to new
/// requests.
const MAX_LOAD: f64 = 0.95;

/// Multiple of the expected time in other zones from which on a zone counts as slow.
const SLOW_ZONE_RATIO: f64 = 1.5;

/// The extra sends that a service may still make.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Account {
    tokens: f64,
}

impl Account {
    /// Adds the share of one new request; `part` is the part of the fleet that this dispatcher serves.
    pub fn deposit(&mut self, share: f64, part: f64) {
        self.tokens = (self.tokens + share).min(Self::size(share, part));
    }

    /// Takes one extra send and returns whether one was left.
    pub fn withdraw(&mut self) -> bool {
        let is_affordable = self.tokens >= 1.0;
        if is_affordable {
            self.tokens -= 1.0;
        }
        is_affordable
    }

    /// Returns how full the account is, from 0 to 1.
    #[must_use]
    pub fn level(&self, share: f64, part: f64) -> f64 {
        self.tokens / Self::size(share, part)
    }

    /// Returns the extra sends that are left.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    fn size(share: f64, part: f64) -> f64 {
        (share * part * BURST_REQUESTS).max(1.0)
    }
}

/// What became of the extra sends that hosts asked for, since the dispatcher began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counts {
    /// Requests to the service.
    pub requests: u64,
    /// Extra sends that were granted.
    pub sent: u64,
    /// Extra sends that were answered before the attempt that they were added to.
    pub won: u64,
    /// Refused, since the limit was used up.
    pub over_limit: u64,
    /// Refused, since retries were scarce.
    pub over_budget: u64,
    /// Refused, since no healthy upstream had a slot to spare.
    pub without_room: u64,
}

/// The extra sends of one service.
#[derive(Debug, Clone, Default)]
pub struct Hedges {
    account: Account,
    counts: Counts,
    latencies: Latencies,
}

impl Hedges {
    /// Returns what became of the extra sends.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the latencies of the service by route.
    pub const fn latencies_mut(&mut self) -> &mut Latencies {
        &mut self.latencies
    }
}

impl Search<'_> {
    /// Returns the cheapest upstream for an extra send of a request that runs at `first`: one that the host
    /// could connect to and that is no suspect, in another zone if that of `first` is slow.
    pub(super) fn for_hedge(&self, first: Option<Number>) -> Option<Choice> {
        let slow = first.and_then(|first| self.slow_zone_of(first));
        let is_healthy = |number: Number| {
            let is_suspect = self.pool.is_suspect(number, self.now);
            !is_suspect && self.is_reachable(number)
        };
        let elsewhere = self.find(|number| {
            let zone = self.pool.get(number).map(|state| &state.zone);
            is_healthy(number) && zone != slow
        });
        let upstream = elsewhere.or_else(|| self.find(is_healthy))?;
        Some(Choice {
            upstream,
            is_trial: false,
        })
    }

    /// Returns the zone of an upstream if requests take far longer there than in the other zones.
    fn slow_zone_of(&self, number: Number) -> Option<&Zone> {
        let zone = &self.pool.get(number)?.zone;
        let (mut own, mut other) = (Mean::default(), Mean::default());
        for state in self.candidates.iter().filter_map(|one| self.pool.get(*one)) {
            let mean = if state.zone == *zone {
                &mut own
            } else {
                &mut other
            };
            mean.add(state.expected_seconds(self.attempt.timing, self.now));
        }
        let is_slow = own.value()? > other.value()? * SLOW_ZONE_RATIO;
        is_slow.then_some(zone)
    }
}

/// A mean of some values.
#[derive(Debug, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    fn value(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

impl Dispatcher {
    /// Returns what became of the extra sends of each service with a limit on them, and how many are left.
    pub fn hedges(&self) -> impl Iterator<Item = (&str, Counts, f64)> {
        let limited = self.pools.iter().filter(|(service, _)| {
            let share = self.hedge_share(service);
            share.is_some()
        });
        limited.map(|(service, pool)| {
            let hedges = &pool.hedges;
            (service.as_str(), hedges.counts, hedges.account.tokens())
        })
    }

    /// Returns the share of extra sends that is set for a service, or else for the fleet.
    pub(super) fn hedge_share(&self, service: &str) -> Option<f64> {
        let terms = self.publication.terms.get(service);
        let own = terms.and_then(|terms| terms.hedge_share);
        own.or(self.policy.hedge_share)
    }

    /// Returns whether a request is an extra send to a service with a limit on them.
    pub(super) fn is_limited_hedge(&self, request: &Request) -> bool {
        request.is_hedge && self.hedge_share(&request.service).is_some()
    }

    /// Returns whether a host runs an attempt of a route at the upstream that a retry has tried last. A host that
    /// does not say which of its retries are extra sends ends a failed attempt before it asks for the next one, so
    /// this one is added to a running attempt.
    #[must_use]
    pub fn runs_attempt_before(&self, host: &str, route: &str, avoid: &[Number]) -> bool {
        let Some(last) = avoid.last() else {
            return false;
        };
        let before = |slot: &Slot| slot.upstream == *last && slot.route == route;
        !self.tickets(host, before).is_empty()
    }

    /// Pays the share of a new request into the account of its service.
    pub(super) fn deposit_hedge(&mut self, service: &str) {
        let Some(share) = self.hedge_share(service) else {
            return;
        };
        let part = self.share;
        if let Some(pool) = self.pools.get_mut(service) {
            pool.hedges.counts.requests += 1;
            pool.hedges.account.deposit(share, part);
        }
    }

    /// Returns the time after which a request that runs is sent again, `otherwise` where the service has no
    /// limit on extra sends, too few latencies are known or too little of its account is left.
    pub(super) fn hedge_after(&self, request: &Request, otherwise: Duration) -> Duration {
        let share = self.hedge_share(&request.service);
        let pool = self.pools.get(&request.service);
        let (Some(share), Some(pool)) = (share.filter(|share| *share > 0.0), pool) else {
            return otherwise;
        };
        let level = pool.hedges.account.level(share, self.share);
        let quantile = match level {
            level if level >= AMPLE_SHARE => EARLY_QUANTILE,
            level if level >= SOME_SHARE => LATE_QUANTILE,
            _ => return otherwise,
        };
        let latency = pool.hedges.latencies.quantile(&request.route, quantile);
        latency.map_or(otherwise, |latency| {
            latency.max(MIN_HEDGE_AFTER).min(otherwise)
        })
    }

    /// Grants an extra send or refuses it; it never waits, and a refusal is no failure of the service.
    pub(super) fn reserve_hedge(
        &mut self,
        request: Request,
        route: &Route,
        now: Instant,
    ) -> Vec<Answer> {
        match self.choose_hedge(&request, route, now) {
            Ok(choice) => vec![self.grant(request, choice, now)],
            Err(kind) => {
                if let Some(pool) = self.pools.get_mut(&request.service) {
                    let counts = &mut pool.hedges.counts;
                    match kind {
                        Kind::HedgeLimitReached => counts.over_limit += 1,
                        Kind::RetryBudgetSpent => counts.over_budget += 1,
                        _ => counts.without_room += 1,
                    }
                }
                vec![refused(request.ticket, kind, MIN_RETRY_AFTER)]
            }
        }
    }

    /// Chooses the upstream of an extra send and pays for it, or returns why there is none.
    fn choose_hedge(
        &mut self,
        request: &Request,
        route: &Route,
        now: Instant,
    ) -> Result<Choice, Kind> {
        let retries = self.retries();
        let pool = self.pools.get(&request.service).ok_or(Kind::NoUpstream)?;
        let share = self.hedge_share(&request.service).unwrap_or_default();
        // The account may still hold what an earlier publication allowed.
        let is_off = share <= 0.0;
        if is_off || !route.idempotent || pool.hedges.account.tokens() < 1.0 {
            return Err(Kind::HedgeLimitReached);
        }
        let rank = self.rank(request, route, now);
        let kept = pool.ration.kept(rank, &retries, now);
        if pool.retry_budget.tokens() < 1.0 + kept || pool.retry_budget.is_scarce(&retries) {
            return Err(Kind::RetryBudgetSpent);
        }
        if !has_room_to_spare(pool) {
            return Err(Kind::Overloaded);
        }
        let choice = self.choose(request, now).ok_or(Kind::Overloaded)?;
        let pool = self.pools.get_mut(&request.service);
        let pool = pool.ok_or(Kind::NoUpstream)?;
        if !pool.hedges.account.withdraw() {
            return Err(Kind::HedgeLimitReached);
        }
        if !pool.retry_budget.withdraw(kept) {
            return Err(Kind::RetryBudgetSpent);
        }
        pool.hedges.counts.sent += 1;
        Ok(choice)
    }

    /// Returns the running attempt that an extra send is added to: the host's oldest of the route at the
    /// upstream that it tried last.
    pub(super) fn hedged_attempt(&self, request: &Request) -> Option<Ticket> {
        if !self.is_limited_hedge(request) {
            return None;
        }
        let upstream = *request.avoid.last()?;
        let bound = |number| Ticket {
            host: request.ticket.host.clone(),
            number,
        };
        let own = self.slots_in_use.range(bound(u32::MIN)..=bound(u32::MAX));
        let running = own.filter(|(_, slot)| {
            slot.upstream == upstream && slot.route == request.route && slot.hedge_of.is_none()
        });
        let oldest = running.min_by_key(|(_, slot)| slot.since);
        oldest.map(|(ticket, _)| ticket.clone())
    }

    /// Records that an extra send was answered while the attempt that it was added to still runs, which says
    /// that the upstream of that attempt is slow.
    pub(super) fn note_hedge_won(&mut self, first: &Ticket, now: Instant) {
        let Some(slot) = self.slots_in_use.get(first).cloned() else {
            return;
        };
        let Some(route) = self.publication.routes.get(&slot.route) else {
            return;
        };
        let timing = self.timing(&slot.route, route);
        let took = now.saturating_duration_since(slot.since);
        let Some(pool) = self.pools.get_mut(&slot.service) else {
            return;
        };
        pool.hedges.counts.won += 1;
        pool.hedges.latencies.observe(&slot.route, took);
        if timing.has_too_short_timeout() {
            return;
        }
        // An answer would have taken longer than this.
        pool.change(slot.upstream, now, |state| {
            if took.as_secs_f64() > state.expected_seconds(&timing, now) {
                state.observe_latency(took, &timing, now);
            }
        });
        let is_news = slot.late_count == 0;
        if is_news {
            self.charge(&first.host, &slot, Finding::Unanswered, BEATEN_RATIO, now);
        }
    }
}

/// Returns whether a service has slots that no other request will need soon.
fn has_room_to_spare(pool: &Pool) -> bool {
    let busy = f64::from(pool.busy()) + 1.0;
    let free = pool.free();
    free.has_healthy() && pool.queued() == 0 && busy <= free.healthy_capacity() * MAX_LOAD
}
