//! The leader's side of the quota: grants tokens to holders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::config::Rate;
use crate::config::State;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Term;
use crate::quota::Account;
use crate::quota::Batch;
use crate::quota::Demand;
use crate::quota::Grant;
use crate::quota::MAX_CLOCK_DRIFT;
use crate::quota::Reply;
use crate::quota::SILENCE_TIMEOUT;
use crate::quota::Seats;
use crate::quota::Share;
use crate::quota::TOKEN_LIFETIME;
use crate::quota::Timestamp;
use crate::quota::bucket::MAX_WAIT;
use crate::quota::pool::Pool;

/// Upper bound of the accounts with tokens outstanding or a level below the burst.
const MAX_POOLS: usize = 200_000;

/// Pools that are checked with each batch in order to drop idle ones.
const POOLS_SWEPT_PER_BATCH: usize = 8;

/// The answer to a demand that is refused.
const REFUSED_GRANT: Grant = Grant {
    tokens: 0,
    retry_after: MAX_WAIT,
};

/// The latest exchange with one host.
#[derive(Debug)]
struct Session {
    incarnation: Incarnation,
    sequence: Sequence,
    reply: Reply,
    /// When the latest reply that the host has acknowledged was sent.
    acknowledged: Option<Instant>,
    /// Since when the share of the host is no longer withheld.
    share_since: Option<Instant>,
}

/// Grants the tokens of all accounts for one term.
#[derive(Debug)]
pub struct Issuer {
    term: Term,
    started: Instant,
    opens_at: Instant,
    seats: Seats,
    seats_since: Instant,
    unreported: BTreeSet<HostId>,
    sessions: BTreeMap<HostId, Session>,
    pools: BTreeMap<Account, Pool>,
    last_swept: Option<Account>,
}

impl Issuer {
    /// Creates the issuer of a term, whose lease began no later than `now`.
    ///
    /// The term must differ from that of every earlier issuer, including one of the same replica
    /// before its restart.
    ///
    /// The issuer grants nothing until every grant of an earlier issuer has expired, or all hosts
    /// with a seat have reported the tokens they hold.
    #[must_use]
    pub fn new(term: Term, seats: Seats, now: Instant) -> Self {
        let opens_at = now + TOKEN_LIFETIME + MAX_CLOCK_DRIFT;
        Self {
            term,
            started: now,
            opens_at,
            unreported: seats.hosts().keys().cloned().collect(),
            seats,
            seats_since: opens_at,
            sessions: BTreeMap::new(),
            pools: BTreeMap::new(),
            last_swept: None,
        }
    }

    /// Returns the term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the incarnation of a host that has sent a batch in this term.
    #[must_use]
    pub fn incarnation(&self, host: &str) -> Option<Incarnation> {
        self.sessions.get(host).map(|session| session.incarnation)
    }

    /// Returns the number of accounts with tokens outstanding or a level below the burst.
    #[must_use]
    pub fn active_accounts(&self) -> usize {
        self.pools.len()
    }

    /// Returns the free and the outstanding tokens of an active account.
    #[must_use]
    pub fn tokens(&self, account: &Account) -> Option<(f64, u32)> {
        let pool = self.pools.get(account)?;
        Some((pool.level(), pool.outstanding()))
    }

    /// Returns the hosts whose share is withheld.
    pub fn withheld(&self, now: Instant) -> impl Iterator<Item = &str> {
        let hosts = self.seats.hosts().keys().map(String::as_str);
        hosts.filter(move |host| self.is_withheld(host, now))
    }

    /// Applies changed seats.
    pub fn set_seats(&mut self, seats: &Seats, config: &State, now: Instant) {
        if seats.version() == self.seats.version() {
            return;
        }
        self.refill_all(config, now);
        let before = std::mem::replace(&mut self.seats, seats.clone());
        self.seats_since = self.seats_since.max(now);
        let hosts = self.seats.hosts();
        self.unreported.retain(|host| hosts.contains_key(host));
        self.sessions
            .retain(|host, _| hosts.contains_key(host) || !before.hosts().contains_key(host));
    }

    /// Answers a batch; a repeated batch gets the same reply again.
    pub fn answer(&mut self, batch: &Batch, config: &State, now: Instant) -> Reply {
        self.record_echo(batch, config, now);
        if let Some(known) = self.sessions.get(&batch.host) {
            let current = (batch.incarnation, batch.sequence);
            let last = (known.incarnation, known.sequence);
            if current == last {
                return known.reply.clone();
            }
            if current < last {
                return self.reply(batch, Vec::new(), now);
            }
        }
        self.adopt_report(batch, config, now);
        let demands = batch.demands.iter();
        let grants = demands.map(|demand| self.grant(&batch.host, demand, config, now));
        let grants = grants.collect();
        self.sweep(config, now);
        let reply = self.reply(batch, grants, now);
        self.record_reply(batch, reply.clone());
        reply
    }

    fn is_open(&self, now: Instant) -> bool {
        now >= self.opens_at
    }

    /// Returns whether seats are free, so that every host that was ever granted a token has one.
    fn has_free_seats(&self) -> bool {
        u64::from(self.seats.size()) > self.seats.hosts().len() as u64
    }

    /// Returns whether tokens may be granted to a host.
    fn may_grant_to(&self, host: &str) -> bool {
        self.seats.get(host).is_some() || !self.has_free_seats()
    }

    fn is_withheld(&self, host: &str, now: Instant) -> bool {
        let session = self.sessions.get(host);
        let acknowledged = session.and_then(|session| session.acknowledged);
        acknowledged.is_none_or(|acknowledged| now >= acknowledged + SILENCE_TIMEOUT)
    }

    /// Records which reply the host acknowledges with the timestamp in its batch.
    fn record_echo(&mut self, batch: &Batch, config: &State, now: Instant) {
        let echo = batch.echo.filter(|timestamp| timestamp.term == self.term);
        let acknowledged = echo.map(|timestamp| self.started + timestamp.since_start);
        let Some(acknowledged) = acknowledged.filter(|acknowledged| *acknowledged <= now) else {
            return;
        };
        let is_reconnected =
            self.is_withheld(&batch.host, now) && now < acknowledged + SILENCE_TIMEOUT;
        if is_reconnected {
            self.refill_all(config, now);
        }
        if let Some(session) = self.sessions.get_mut(&batch.host) {
            session.acknowledged = session.acknowledged.max(Some(acknowledged));
            if is_reconnected {
                session.share_since = Some(now);
            }
        }
    }

    /// Counts the tokens that a host holds from an earlier issuer as outstanding.
    fn adopt_report(&mut self, batch: &Batch, config: &State, now: Instant) {
        if batch.complete_for != Some(self.term) || !self.unreported.remove(&batch.host) {
            return;
        }
        for demand in &batch.demands {
            let tokens = demand.held.saturating_add(demand.returned);
            if tokens > 0
                && let Some(rate) = demand.account.rate(config)
            {
                let pool = self.pool(&demand.account, rate, now);
                pool.adopt(&batch.host, tokens, now);
            }
        }
        if self.unreported.is_empty() && self.has_free_seats() {
            self.opens_at = self.opens_at.min(now);
        }
    }

    fn grant(&mut self, host: &str, demand: &Demand, config: &State, now: Instant) -> Grant {
        let Some(rate) = demand.account.rate(config) else {
            return REFUSED_GRANT;
        };
        let is_full = self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&demand.account);
        if is_full || !self.may_grant_to(host) {
            return REFUSED_GRANT;
        }
        let withheld = self.withheld_share(&demand.account, rate, now);
        let open = self.is_open(now);
        let pool = self.pool(&demand.account, rate, now);
        pool.refill(rate, withheld, now);
        pool.settle(host, demand);
        pool.refill(rate, withheld, now);
        if !open {
            return Grant::default();
        }
        pool.grant(host, demand, rate.per_second - withheld.per_second, now)
    }

    fn pool(&mut self, account: &Account, rate: Rate, now: Instant) -> &mut Pool {
        let level = self.initial_level(account, rate, now);
        self.pools
            .entry(account.clone())
            .or_insert_with(|| Pool::new(level, now))
    }

    /// Returns the level of an account that has no pool.
    ///
    /// The share of each seat refills from empty since the seat was last withheld, and the share
    /// of the free seats since the seats last changed.
    fn initial_level(&self, account: &Account, rate: Rate, now: Instant) -> f64 {
        if self.pools.contains_key(account) {
            return 0.0;
        }
        let mut rest = Share {
            burst: rate.burst,
            per_second: rate.per_second,
        };
        let mut level = 0.0;
        for host in self.seats.hosts().keys() {
            let Some(seat) = self.seats.get(host) else {
                continue;
            };
            let share = seat.share(account, rate);
            rest.burst -= share.burst;
            rest.per_second -= share.per_second;
            let share_since = self
                .sessions
                .get(host)
                .and_then(|session| session.share_since);
            if let Some(share_since) = share_since.filter(|_| !self.is_withheld(host, now)) {
                level += refilled_since(share, share_since.max(self.opens_at), now);
            }
        }
        level + refilled_since(rest, self.seats_since.max(self.opens_at), now)
    }

    fn withheld_share(&self, account: &Account, rate: Rate, now: Instant) -> Share {
        let mut sum = Share::default();
        for host in self.withheld(now) {
            if let Some(seat) = self.seats.get(host) {
                let share = seat.share(account, rate);
                sum.burst += share.burst;
                sum.per_second += share.per_second;
            }
        }
        sum
    }

    fn refill_all(&mut self, config: &State, now: Instant) {
        let mut pools = std::mem::take(&mut self.pools);
        for (account, pool) in &mut pools {
            if let Some(rate) = account.rate(config) {
                pool.refill(rate, self.withheld_share(account, rate, now), now);
            }
        }
        self.pools = pools;
    }

    /// Drops idle pools and those of removed accounts, a few at a time.
    fn sweep(&mut self, config: &State, now: Instant) {
        let from = self.last_swept.take();
        let start = from.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let range = self.pools.range((start, std::ops::Bound::Unbounded));
        let seen: Vec<Account> = range
            .take(POOLS_SWEPT_PER_BATCH)
            .map(|(account, _)| account.clone())
            .collect();
        for account in &seen {
            let rate = account.rate(config);
            let idle = rate.is_none_or(|rate| {
                let withheld = self.withheld_share(account, rate, now);
                self.pools.get_mut(account).is_some_and(|pool| {
                    pool.refill(rate, withheld, now);
                    pool.is_idle(rate, withheld)
                })
            });
            if idle {
                self.pools.remove(account);
            }
        }
        self.last_swept = seen.into_iter().next_back();
    }

    fn reply(&self, batch: &Batch, grants: Vec<Grant>, now: Instant) -> Reply {
        Reply {
            timestamp: Timestamp {
                term: self.term,
                since_start: now.saturating_duration_since(self.started),
            },
            seat: self.seats.get(&batch.host),
            opens_in: self.opens_at.saturating_duration_since(now),
            grants,
        }
    }

    fn record_reply(&mut self, batch: &Batch, reply: Reply) {
        let known = self.sessions.get(&batch.host);
        let session = Session {
            incarnation: batch.incarnation,
            sequence: batch.sequence,
            reply,
            acknowledged: known.and_then(|known| known.acknowledged),
            share_since: known.and_then(|known| known.share_since),
        };
        self.sessions.insert(batch.host.clone(), session);
    }
}

fn refilled_since(share: Share, since: Instant, now: Instant) -> f64 {
    let elapsed: Duration = now.saturating_duration_since(since);
    (elapsed.as_secs_f64() * share.per_second).min(f64::from(share.burst))
}
