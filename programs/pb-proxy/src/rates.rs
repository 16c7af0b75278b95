//! Rates of tenants: spends the tokens that this host holds and gets more from the issuer.

mod borrow;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use compio::time::sleep;
use compio::time::timeout;
use event_listener::Event;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::config::Rate;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::quota::Account;
use persimmonbend_core::quota::Admission;
use persimmonbend_core::quota::Holder;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use serde_json::json;

use crate::node::Node;
use crate::settings::Settings;

/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The time until the deadline divided by this is kept for the request itself.
const EXECUTION_DIVISOR: u32 = 4;

/// Time between two checks for a token or for a batch that is due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the issuer's reply to a batch.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a reply of the issuer after which tokens of other hosts are borrowed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time that this host waits for a token that it is to lend.
const MAX_LEND_WAIT: Duration = Duration::from_millis(150);

/// Time after a failed link until the next replica is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);

/// Tokens of all tenants on this host, and the requests that wait for them.
#[derive(Debug)]
pub struct Rates {
    incarnation: Incarnation,
    holder: RefCell<Holder>,
    token_wanted: Event,
    reply_received: Event,
    borrowing: Cell<usize>,
}

impl Rates {
    /// Creates rates without tokens.
    #[must_use]
    pub fn new(settings: &Settings, clock: &dyn Clock) -> Self {
        let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(started.as_micros()).unwrap_or(u64::MAX);
        let holder = Holder::new(settings.host.clone(), incarnation, clock.now());
        Self {
            incarnation,
            holder: RefCell::new(holder),
            token_wanted: Event::new(),
            reply_received: Event::new(),
            borrowing: Cell::new(0),
        }
    }

    /// Returns the held tokens, the seat (the right to a fixed share of every account) and whether
    /// this host is cut off, as JSON.
    #[must_use]
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let holder = self.holder.borrow();
        let held = holder.held().map(|(account, tokens)| {
            json!({
                "tenant": account.tenant,
                "service": account.service,
                "tokens": tokens,
            })
        });
        json!({
            "cut_off": holder.is_cut_off(now),
            "seat": holder.seat().map(|seat| seat.number),
            "held": held.collect::<Vec<_>>(),
        })
    }
}

/// Spends a token of a tenant; waits for one up to `MAX_WAIT` while the issuer is asked.
///
/// While the issuer is silent, a token of another host is borrowed.
///
/// # Errors
///
/// Returns [`Kind::RateExceeded`] when the tenant has used up its rate, and
/// [`Kind::RateUnavailable`] when the rate cannot be checked in time.
pub async fn admit(
    node: &Rc<Node>,
    tenant: &str,
    service: &str,
    deadline: Instant,
) -> Result<(), Kind> {
    let config = node.board().config();
    let account = Account::of(&config, tenant, service);
    let rate = account.rate(&config).ok_or(Kind::RateUnavailable)?;
    let time = deadline.saturating_duration_since(node.now()) / EXECUTION_DIVISOR
        * (EXECUTION_DIVISOR - 1);
    let until = node.now() + time.min(MAX_WAIT);
    let waiter = Waiter {
        node,
        account,
        rate,
        until,
    };
    let admitted = match waiter.try_admit() {
        Some(result) => result,
        None => waiter.wait(true).await,
    };
    match admitted {
        Err(_) if waiter.is_issuer_silent() && borrow::borrow(node, &waiter.account).await => {
            Ok(())
        }
        result => result,
    }
}

/// Spends a token of this host for a request of another host and returns whether there was one.
pub async fn lend(node: &Rc<Node>, account: Account) -> bool {
    let rate = account.rate(&node.board().config());
    let Some(rate) = rate else {
        return false;
    };
    let waiter = Waiter {
        node,
        account,
        rate,
        until: node.now() + MAX_LEND_WAIT,
    };
    let lent = match waiter.try_admit() {
        Some(result) => result,
        None => waiter.wait(false).await,
    };
    lent.is_ok()
}

/// Exchanges batches with the issuer, on the leader, until the future is dropped.
pub async fn run(node: Rc<Node>) {
    loop {
        let error = match node.control().connect().await {
            Ok(client) => exchange_batches(&node, &client).await,
            Err(error) => error,
        };
        node.rates().holder.borrow_mut().mark_failed();
        node.control().disconnect(&error, node.now());
        sleep(RECONNECT_DELAY).await;
    }
}

/// Returns all tokens and the seat of this host to the issuer.
pub async fn stop(node: &Rc<Node>) {
    let Some(client) = node.control().client() else {
        return;
    };
    let rates = node.rates();
    rates.holder.borrow_mut().mark_failed();
    for _ in 0..2 {
        if !return_tokens(node, &client).await {
            return;
        }
    }
    let host = &node.settings().host;
    let _ = client.vacate(host, rates.incarnation).await;
}

/// A request that waits for a token.
struct Waiter<'a> {
    node: &'a Rc<Node>,
    account: Account,
    rate: Rate,
    until: Instant,
}

impl Waiter<'_> {
    /// Decides at once and returns the result; returns `None` and counts the request as waiting if
    /// only a grant of the issuer can decide.
    fn try_admit(&self) -> Option<Result<(), Kind>> {
        let mut holder = self.node.rates().holder.borrow_mut();
        final_result(holder.admit(&self.account, self.rate, self.node.now()))
    }

    /// Waits for a token; with `may_borrow`, borrows one while the issuer is silent.
    async fn wait(&self, may_borrow: bool) -> Result<(), Kind> {
        let rates = self.node.rates();
        let _guard = Guard(self);
        rates.token_wanted.notify(usize::MAX);
        loop {
            let reply_received = rates.reply_received.listen();
            let now = self.node.now();
            let admission = self.retry(now);
            if let Some(result) = final_result(admission) {
                return result;
            }
            let left = self.until.saturating_duration_since(now);
            if left.is_zero() {
                return Err(Kind::RateUnavailable);
            }
            if may_borrow
                && self.is_issuer_silent()
                && borrow::borrow(self.node, &self.account).await
            {
                return Ok(());
            }
            let _ = timeout(left.min(POLL_INTERVAL), reply_received).await;
        }
    }

    fn retry(&self, now: Instant) -> Admission {
        let mut holder = self.node.rates().holder.borrow_mut();
        holder.retry(&self.account, self.rate, now)
    }

    fn is_issuer_silent(&self) -> bool {
        let silence = self.node.rates().holder.borrow().silence(self.node.now());
        silence >= SILENCE_TIMEOUT
    }
}

/// Stops counting a request as waiting when dropped.
struct Guard<'a>(&'a Waiter<'a>);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let rates = self.0.node.rates();
        rates.holder.borrow_mut().stop_waiting(&self.0.account);
    }
}

const fn final_result(admission: Admission) -> Option<Result<(), Kind>> {
    match admission {
        Admission::Admitted => Some(Ok(())),
        Admission::Wait => None,
        Admission::Exceeded(_) => Some(Err(Kind::RateExceeded)),
        Admission::Unavailable(_) => Some(Err(Kind::RateUnavailable)),
    }
}

/// Sends batches over one link until a call fails, and returns the error.
async fn exchange_batches(node: &Rc<Node>, client: &Client) -> Error {
    let rates = node.rates();
    loop {
        let token_wanted = rates.token_wanted.listen();
        let batch = rates.holder.borrow_mut().batch(node.now());
        let Some(batch) = batch else {
            let _ = timeout(POLL_INTERVAL, token_wanted).await;
            continue;
        };
        match client.grant(&batch, GRANT_TIMEOUT).await {
            Ok(reply) => {
                let now = node.now();
                rates
                    .holder
                    .borrow_mut()
                    .settle(batch.sequence, &reply, now);
                node.control().promote_candidate();
                rates.reply_received.notify(usize::MAX);
            }
            Err(error) => return error,
        }
    }
}

/// Sends the unanswered batch again or, without one, a batch that returns all tokens.
///
/// Returns whether a reply arrived.
async fn return_tokens(node: &Rc<Node>, client: &Client) -> bool {
    let rates = node.rates();
    let now = node.now();
    let again = rates.holder.borrow_mut().batch(now);
    let batch = again.or_else(|| rates.holder.borrow_mut().give_back(now));
    let Some(batch) = batch else {
        return false;
    };
    let Ok(reply) = client.grant(&batch, GRANT_TIMEOUT).await else {
        return false;
    };
    let now = node.now();
    rates
        .holder
        .borrow_mut()
        .settle(batch.sequence, &reply, now);
    true
}
