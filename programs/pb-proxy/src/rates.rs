//! Rates of tenants: tokens in hand, and batches to the issuer.

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

/// One part in this many of the time until the deadline is left for the request itself.
const WAIT_PART: u32 = 4;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time for the answer to a batch.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a reply after which tokens of other hosts are borrowed.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// Longest time that a host which lends waits for a token.
const LEND_WAIT: Duration = Duration::from_millis(150);

/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// The rates of all tenants on this host.
#[derive(Debug)]
pub struct Rates {
    incarnation: Incarnation,
    holder: RefCell<Holder>,
    wanted: Event,
    answered: Event,
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
            wanted: Event::new(),
            answered: Event::new(),
            borrowing: Cell::new(0),
        }
    }

    /// Returns the tokens in hand as JSON.
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

/// Spends a token of a tenant, and waits shortly for one if the issuer is being asked.
///
/// # Errors
///
/// Returns [`Kind::RateExceeded`] when the tenant has used up its rate, and
/// [`Kind::RateUnavailable`] when that cannot be told in time.
pub async fn admit(
    node: &Rc<Node>,
    tenant: &str,
    service: &str,
    deadline: Instant,
) -> Result<(), Kind> {
    let config = node.board().config();
    let account = Account::of(&config, tenant, service);
    let rate = account.rate(&config).ok_or(Kind::RateUnavailable)?;
    let time = deadline.saturating_duration_since(node.now()) / WAIT_PART * (WAIT_PART - 1);
    let until = node.now() + time.min(MAX_WAIT);
    let waiter = Waiter {
        node,
        account,
        rate,
        until,
    };
    let refused = match waiter.try_admit() {
        Some(result) => result,
        None => waiter.wait(true).await,
    };
    match refused {
        Err(_) if waiter.is_silent() && borrow::borrow(node, &waiter.account).await => Ok(()),
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
        until: node.now() + LEND_WAIT,
    };
    let lent = match waiter.try_admit() {
        Some(result) => result,
        None => waiter.wait(false).await,
    };
    lent.is_ok()
}

/// Exchanges batches with the leader until the future is dropped.
pub async fn run(node: Rc<Node>) {
    loop {
        let error = match node.control().connect().await {
            Ok(client) => exchange(&node, &client).await,
            Err(error) => error,
        };
        node.rates().holder.borrow_mut().mark_failed();
        node.control().disconnect(&error, node.now());
        sleep(RETRY_PAUSE).await;
    }
}

/// Gives back all tokens and the seat of this host.
pub async fn stop(node: &Rc<Node>) {
    let Some(client) = node.control().client() else {
        return;
    };
    let rates = node.rates();
    rates.holder.borrow_mut().mark_failed();
    for _ in 0..2 {
        if !give_back(node, &client).await {
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
    /// Decides at once if possible; otherwise the request counts as waiting.
    fn try_admit(&self) -> Option<Result<(), Kind>> {
        let mut holder = self.node.rates().holder.borrow_mut();
        result(holder.admit(&self.account, self.rate, self.node.now()))
    }

    /// Waits for a token; `borrows` tells whether other hosts are asked while control is silent.
    async fn wait(&self, borrows: bool) -> Result<(), Kind> {
        let rates = self.node.rates();
        let _waiting = Waiting(self);
        rates.wanted.notify(usize::MAX);
        loop {
            let answered = rates.answered.listen();
            let now = self.node.now();
            let admission = self.retry(now);
            if let Some(result) = result(admission) {
                return result;
            }
            let left = self.until.saturating_duration_since(now);
            if left.is_zero() {
                return Err(Kind::RateUnavailable);
            }
            if borrows && self.is_silent() && borrow::borrow(self.node, &self.account).await {
                return Ok(());
            }
            let _ = timeout(left.min(TICK), answered).await;
        }
    }

    fn retry(&self, now: Instant) -> Admission {
        let mut holder = self.node.rates().holder.borrow_mut();
        holder.retry(&self.account, self.rate, now)
    }

    fn is_silent(&self) -> bool {
        let silence = self.node.rates().holder.borrow().silence(self.node.now());
        silence >= SILENT_AFTER
    }
}

/// Ends the wait of a request when dropped.
struct Waiting<'a>(&'a Waiter<'a>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let rates = self.0.node.rates();
        rates.holder.borrow_mut().stop_waiting(&self.0.account);
    }
}

const fn result(admission: Admission) -> Option<Result<(), Kind>> {
    match admission {
        Admission::Admitted => Some(Ok(())),
        Admission::Wait => None,
        Admission::Exceeded(_) => Some(Err(Kind::RateExceeded)),
        Admission::Unavailable(_) => Some(Err(Kind::RateUnavailable)),
    }
}

/// Sends batches over one link until a call fails.
async fn exchange(node: &Rc<Node>, client: &Client) -> Error {
    let rates = node.rates();
    loop {
        let wanted = rates.wanted.listen();
        let batch = rates.holder.borrow_mut().batch(node.now());
        let Some(batch) = batch else {
            let _ = timeout(TICK, wanted).await;
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
                rates.answered.notify(usize::MAX);
            }
            Err(error) => return error,
        }
    }
}

/// Sends the batch on its way again, or else one that gives back all; returns whether it arrived.
async fn give_back(node: &Rc<Node>, client: &Client) -> bool {
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
