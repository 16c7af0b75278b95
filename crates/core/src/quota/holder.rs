//! The proxy's side of the quota: spends granted tokens and requests more.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::config::Rate;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Term;
use crate::quota::Account;
use crate::quota::Batch;
use crate::quota::CUT_OFF_TIMEOUT;
use crate::quota::Grant;
use crate::quota::HEARTBEAT_INTERVAL;
use crate::quota::MAX_DEMANDS;
use crate::quota::Reply;
use crate::quota::Seat;
use crate::quota::TOKEN_LIFETIME;
use crate::quota::Timestamp;
use crate::quota::holding::Holding;

/// Upper bound of the requests of one account that wait for a token.
const MAX_WAITING_REQUESTS: u32 = 1_024;

/// Interval at which a holder polls an issuer that does not grant yet.
const OPENING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after a new issuer starts to grant for which requests still wait for its tokens.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted; a token was spent.
    Admitted,
    /// The request waits for tokens, which the issuer is asked for.
    Wait,
    /// The account has used up its rate; the next token is due after this time.
    Exceeded(Duration),
    /// The rate cannot be checked for at least this time.
    Unavailable(Duration),
}

/// A batch that awaits its reply.
#[derive(Debug)]
struct Pending {
    batch: Batch,
    /// When the batch was first sent.
    sent: Instant,
    failed: bool,
}

/// Holds and spends the tokens of all accounts on one host.
#[derive(Debug)]
pub struct Holder {
    host: HostId,
    incarnation: Incarnation,
    sequence: Sequence,
    /// Timestamp of the latest reply, which the next batch acknowledges.
    echo: Option<Timestamp>,
    /// Term of the issuer whose reply the latest answered batch acknowledged.
    reported_to: Option<Term>,
    /// When the last reply arrived, or the holder started.
    last_reply: Instant,
    /// When the issuer starts to grant or is polled again.
    issuer_opens: Instant,
    /// End of the time in which requests wait for the tokens of a newly reached issuer.
    recovers_until: Instant,
    seat: Option<Seat>,
    pending: Option<Pending>,
    last_sent: Option<Instant>,
    holdings: BTreeMap<Account, Holding>,
}

impl Holder {
    /// Creates a holder without tokens.
    #[must_use]
    pub const fn new(host: HostId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            sequence: 0,
            echo: None,
            reported_to: None,
            last_reply: now,
            issuer_opens: now,
            recovers_until: now,
            seat: None,
            pending: None,
            last_sent: None,
            holdings: BTreeMap::new(),
        }
    }

    /// Returns whether the holder is cut off from the issuer and spends the share of its seat.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        now >= self.last_reply + CUT_OFF_TIMEOUT
    }

    /// Returns the time since the last reply.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_reply)
    }

    /// Returns the seat, once it is known.
    #[must_use]
    pub const fn seat(&self) -> Option<Seat> {
        self.seat
    }

    /// Returns the granted tokens that can be spent, by account.
    pub fn held(&self) -> impl Iterator<Item = (&Account, u32)> {
        let holdings = self.holdings.iter();
        holdings.map(|(account, holding)| (account, holding.held()))
    }

    /// Decides on a new request.
    ///
    /// After [`Admission::Wait`] the request counts as waiting until [`Holder::stop_waiting`].
    pub fn admit(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let holding = self.holding(account, rate, now);
        holding.count_request(now);
        let admission = self.retry(account, rate, now);
        let holding = self.holding(account, rate, now);
        if admission != Admission::Wait {
            return admission;
        }
        if holding.waiting >= MAX_WAITING_REQUESTS {
            return Admission::Exceeded(HEARTBEAT_INTERVAL);
        }
        holding.waiting += 1;
        admission
    }

    /// Decides again on a request that waits.
    pub fn retry(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let is_open = now >= self.issuer_opens;
        let recovers = now < self.recovers_until;
        let holding = self.holding(account, rate, now);
        holding.set_rate(rate);
        if holding.spend(now) {
            return Admission::Admitted;
        }
        if self.is_cut_off(now) {
            return self.admit_from_share(account, rate, now);
        }
        let holding = self.holding(account, rate, now);
        let soon = recovers && holding.can_serve_waiting_soon(rate.per_second);
        match holding.exhausted_for(now) {
            Some(wait) if !soon => Admission::Exceeded(wait),
            _ if !is_open && !soon => Admission::Unavailable(OPENING_POLL_INTERVAL),
            _ => Admission::Wait,
        }
    }

    /// Stops counting a request as waiting.
    pub fn stop_waiting(&mut self, account: &Account) {
        if let Some(holding) = self.holdings.get_mut(account) {
            holding.waiting = holding.waiting.saturating_sub(1);
        }
    }

    /// Returns the batch to send now, if one is due.
    ///
    /// A batch that failed is returned again; while a batch awaits its reply, none is due.
    pub fn batch(&mut self, now: Instant) -> Option<Batch> {
        if let Some(pending) = &mut self.pending {
            let again = std::mem::take(&mut pending.failed);
            return again.then(|| pending.batch.clone());
        }
        self.holdings.retain(|_, holding| {
            holding.expire(now);
            !holding.is_idle(now)
        });
        if !self.is_due(now) {
            return None;
        }
        Some(self.build_batch(false, now))
    }

    /// Returns a batch that gives back all tokens, unless a batch awaits its reply.
    pub fn give_back(&mut self, now: Instant) -> Option<Batch> {
        self.pending.is_none().then(|| self.build_batch(true, now))
    }

    /// Marks the batch that awaits its reply as failed, so that it is sent again.
    pub const fn mark_failed(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.failed = true;
        }
    }

    /// Processes the reply to the batch with this sequence number.
    pub fn settle(&mut self, sequence: Sequence, reply: &Reply, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.batch.sequence != sequence {
            self.pending = Some(pending);
            return;
        }
        self.reported_to = pending.batch.echo.map(|timestamp| timestamp.term);
        let is_new = self
            .echo
            .is_none_or(|timestamp| timestamp.term != reply.timestamp.term);
        if is_new || self.is_cut_off(now) {
            self.recovers_until = now + reply.opens_in + RECOVERY_TIME;
        }
        self.last_reply = now;
        self.echo = Some(reply.timestamp);
        self.issuer_opens = now + reply.opens_in.min(OPENING_POLL_INTERVAL);
        self.seat = reply.seat.or(self.seat);
        for holding in self.holdings.values_mut() {
            holding.stop_share();
        }
        let expires = pending.sent + TOKEN_LIFETIME;
        for (demand, grant) in pending.batch.demands.iter().zip(&reply.grants) {
            if let Some(holding) = self.holdings.get_mut(&demand.account) {
                add_grant(holding, *grant, expires, now);
            }
        }
    }

    fn admit_from_share(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let since = self.last_reply + CUT_OFF_TIMEOUT;
        let seat = self.seat;
        let share = seat.map(|seat| seat.share(account, rate));
        let Some(share) = share.filter(|share| share.burst > 0) else {
            return Admission::Unavailable(HEARTBEAT_INTERVAL);
        };
        let holding = self.holding(account, rate, now);
        match holding.spend_share(share, since, now) {
            Ok(()) => Admission::Admitted,
            Err(_) if holding.can_serve_waiting_soon(share.per_second) => Admission::Wait,
            Err(wait) => Admission::Exceeded(wait),
        }
    }

    fn holding(&mut self, account: &Account, rate: Rate, now: Instant) -> &mut Holding {
        self.holdings
            .entry(account.clone())
            .or_insert_with(|| Holding::new(rate, now))
    }

    /// Returns the term of the issuer if no report of all held tokens has reached it yet.
    fn unreported_issuer(&self) -> Option<Term> {
        let term = self.echo.map(|timestamp| timestamp.term);
        term.filter(|term| self.reported_to != Some(*term))
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_heartbeat_due = self
            .last_sent
            .is_none_or(|sent| now.saturating_duration_since(sent) >= HEARTBEAT_INTERVAL);
        let is_open = now >= self.issuer_opens;
        is_heartbeat_due
            || self.unreported_issuer().is_some()
            || (is_open && self.holdings.values().any(|holding| holding.is_due(now)))
    }

    fn build_batch(&mut self, gives_back_all: bool, now: Instant) -> Batch {
        let unreported_issuer = self.unreported_issuer();
        let due = self.holdings.iter_mut().filter(|(_, holding)| {
            gives_back_all
                || holding.is_due(now)
                || (unreported_issuer.is_some() && holding.held() > 0)
        });
        let demands =
            due.map(|(account, holding)| holding.take_demand(account, gives_back_all, now));
        let demands: Vec<_> = demands.take(MAX_DEMANDS).collect();
        let listed = demands.iter().filter(|demand| demand.held > 0).count();
        let held = self.held().filter(|(_, tokens)| *tokens > 0).count();
        self.sequence += 1;
        let batch = Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            echo: self.echo,
            complete_for: unreported_issuer.filter(|_| listed == held),
            demands,
        };
        self.last_sent = Some(now);
        self.pending = Some(Pending {
            batch: batch.clone(),
            sent: now,
            failed: false,
        });
        batch
    }
}

fn add_grant(holding: &mut Holding, grant: Grant, expires: Instant, now: Instant) {
    holding.add(grant.tokens, expires);
    if !grant.retry_after.is_zero() {
        holding.set_exhausted_until(now + grant.retry_after);
    }
}
