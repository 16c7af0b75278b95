//! A proxy's side: tokens in hand, and what to ask for.

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
use crate::quota::purse::Purse;

/// Requests of one account that wait for a token at most.
const MAX_WAITING: u32 = 1_024;

/// Time between two questions whether an issuer grants already.
const OPENING_POLL: Duration = Duration::from_millis(20);

/// Time after the first reply of an issuer for which its tokens are waited for.
const RECOVERY: Duration = Duration::from_secs(2);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// A token was spent.
    Admitted,
    /// The issuer is asked; the answer decides.
    Wait,
    /// The account has used up its rate; a token is due after this time.
    Exceeded(Duration),
    /// The rate cannot be checked for this time at least.
    Unavailable(Duration),
}

/// A batch on its way.
#[derive(Debug)]
struct Flight {
    batch: Batch,
    /// When it was first sent.
    sent: Instant,
    failed: bool,
}

/// Spends tokens of all accounts on one host.
#[derive(Debug)]
pub struct Holder {
    host: HostId,
    incarnation: Incarnation,
    sequence: Sequence,
    echo: Option<Timestamp>,
    reported: Option<Term>,
    /// When the last reply arrived, or the holder started.
    contact: Instant,
    opens: Instant,
    /// Until when the issuer is new, or new to this host.
    recovers: Instant,
    seat: Option<Seat>,
    flight: Option<Flight>,
    sent: Option<Instant>,
    purses: BTreeMap<Account, Purse>,
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
            reported: None,
            contact: now,
            opens: now,
            recovers: now,
            seat: None,
            flight: None,
            sent: None,
            purses: BTreeMap::new(),
        }
    }

    /// Returns whether the holder lives on the share of its seat.
    #[must_use]
    pub fn is_cut_off(&self, now: Instant) -> bool {
        now >= self.contact + CUT_OFF_TIMEOUT
    }

    /// Returns how long no reply has arrived.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.contact)
    }

    /// Returns the seat, once it is known.
    #[must_use]
    pub const fn seat(&self) -> Option<Seat> {
        self.seat
    }

    /// Returns the tokens in hand.
    pub fn held(&self) -> impl Iterator<Item = (&Account, u32)> {
        let purses = self.purses.iter();
        purses.map(|(account, purse)| (account, purse.held()))
    }

    /// Decides about a new request.
    ///
    /// After [`Admission::Wait`] the request counts as waiting until [`Holder::stop_waiting`].
    pub fn admit(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let purse = self.purse(account, rate, now);
        purse.count(now);
        let admission = self.retry(account, rate, now);
        let purse = self.purse(account, rate, now);
        if admission != Admission::Wait {
            return admission;
        }
        if purse.waiting >= MAX_WAITING {
            return Admission::Exceeded(HEARTBEAT_INTERVAL);
        }
        purse.waiting += 1;
        admission
    }

    /// Decides again about a request that waits.
    pub fn retry(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let is_open = now >= self.opens;
        let recovers = now < self.recovers;
        let purse = self.purse(account, rate, now);
        purse.set_rate(rate);
        if purse.spend(now) {
            return Admission::Admitted;
        }
        if self.is_cut_off(now) {
            return self.admit_by_share(account, rate, now);
        }
        let purse = self.purse(account, rate, now);
        let soon = recovers && purse.is_served_soon(rate.per_second);
        match purse.empty_for(now) {
            Some(wait) if !soon => Admission::Exceeded(wait),
            _ if !is_open && !soon => Admission::Unavailable(OPENING_POLL),
            _ => Admission::Wait,
        }
    }

    /// Ends the wait of a request.
    pub fn stop_waiting(&mut self, account: &Account) {
        if let Some(purse) = self.purses.get_mut(account) {
            purse.waiting = purse.waiting.saturating_sub(1);
        }
    }

    /// Returns the batch to send now, if there is reason for one and none is on its way.
    pub fn batch(&mut self, now: Instant) -> Option<Batch> {
        if let Some(flight) = &mut self.flight {
            let again = std::mem::take(&mut flight.failed);
            return again.then(|| flight.batch.clone());
        }
        self.purses.retain(|_, purse| {
            purse.expire(now);
            !purse.is_idle(now)
        });
        if !self.is_due(now) {
            return None;
        }
        Some(self.depart(false, now))
    }

    /// Returns a batch that gives back all tokens, if none is on its way.
    pub fn give_back(&mut self, now: Instant) -> Option<Batch> {
        self.flight.is_none().then(|| self.depart(true, now))
    }

    /// Notes that the batch on its way got no answer.
    pub const fn mark_failed(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.failed = true;
        }
    }

    /// Takes in the answer to the batch of this number.
    pub fn settle(&mut self, sequence: Sequence, reply: &Reply, now: Instant) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        if flight.batch.sequence != sequence {
            self.flight = Some(flight);
            return;
        }
        self.reported = flight.batch.echo.map(|timestamp| timestamp.term);
        let is_new = self
            .echo
            .is_none_or(|timestamp| timestamp.term != reply.timestamp.term);
        if is_new || self.is_cut_off(now) {
            self.recovers = now + reply.opens_in + RECOVERY;
        }
        self.contact = now;
        self.echo = Some(reply.timestamp);
        self.opens = now + reply.opens_in.min(OPENING_POLL);
        self.seat = reply.seat.or(self.seat);
        for purse in self.purses.values_mut() {
            purse.leave_share();
        }
        let lapses = flight.sent + TOKEN_LIFETIME;
        for (demand, grant) in flight.batch.demands.iter().zip(&reply.grants) {
            if let Some(purse) = self.purses.get_mut(&demand.account) {
                put(purse, *grant, lapses, now);
            }
        }
    }

    fn admit_by_share(&mut self, account: &Account, rate: Rate, now: Instant) -> Admission {
        let since = self.contact + CUT_OFF_TIMEOUT;
        let seat = self.seat;
        let share = seat.map(|seat| seat.share(account, rate));
        let Some(share) = share.filter(|share| share.burst > 0) else {
            return Admission::Unavailable(HEARTBEAT_INTERVAL);
        };
        let purse = self.purse(account, rate, now);
        match purse.spend_share(share, since, now) {
            Ok(()) => Admission::Admitted,
            Err(_) if purse.is_served_soon(share.per_second) => Admission::Wait,
            Err(wait) => Admission::Exceeded(wait),
        }
    }

    fn purse(&mut self, account: &Account, rate: Rate, now: Instant) -> &mut Purse {
        self.purses
            .entry(account.clone())
            .or_insert_with(|| Purse::new(rate, now))
    }

    /// Returns the term of an issuer that was not told yet what is held.
    fn unreported(&self) -> Option<Term> {
        let term = self.echo.map(|timestamp| timestamp.term);
        term.filter(|term| self.reported != Some(*term))
    }

    fn is_due(&self, now: Instant) -> bool {
        let quiet = self
            .sent
            .is_none_or(|sent| now.saturating_duration_since(sent) >= HEARTBEAT_INTERVAL);
        let open = now >= self.opens;
        quiet
            || self.unreported().is_some()
            || (open && self.purses.values().any(|purse| purse.is_due(now)))
    }

    fn depart(&mut self, everything: bool, now: Instant) -> Batch {
        let unreported = self.unreported();
        let due = self.purses.iter_mut().filter(|(_, purse)| {
            everything || purse.is_due(now) || (unreported.is_some() && purse.held() > 0)
        });
        let demands = due.map(|(account, purse)| purse.take_demand(account, everything, now));
        let demands: Vec<_> = demands.take(MAX_DEMANDS).collect();
        let listed = demands.iter().filter(|demand| demand.held > 0).count();
        let held = self.held().filter(|(_, tokens)| *tokens > 0).count();
        self.sequence += 1;
        let batch = Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            echo: self.echo,
            complete_for: unreported.filter(|_| listed == held),
            demands,
        };
        self.sent = Some(now);
        self.flight = Some(Flight {
            batch: batch.clone(),
            sent: now,
            failed: false,
        });
        batch
    }
}

fn put(purse: &mut Purse, grant: Grant, lapses: Instant, now: Instant) {
    purse.put(grant.tokens, lapses);
    if !grant.retry_after.is_zero() {
        purse.set_empty(now + grant.retry_after);
    }
}
