//! Who gets the retries of a service that refuses many requests at once.
//!
//! A [`Ration`] compares the retries that more urgent requests ask for with those that new requests earn.
//! It answers the load of a service of which all upstreams refuse part of their requests for seconds: nearly
//! every request needs a retry then, and the budget covers a part of them. What more urgent requests will
//! probably need is kept back from the others, which are refused at once. While nothing urgent is refused,
//! nothing is kept back, and requests of one rank are served as they come.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Pool;
use crate::dispatch::Retries;
use crate::dispatch::backlog::Rank;
use crate::dispatch::usual::Usual;
use crate::publication::Priority;

/// Length of the windows in which retries are counted.
const WINDOW: Duration = Duration::from_millis(200);

/// Weight of a window in a rate.
const GAIN: f64 = 0.4;

/// Longest time for which a service that refuses requests is expected to go on: as long again as it has, up to this.
const MAX_LASTING: Duration = Duration::from_secs(3);

/// Time for which the retries of more urgent requests are kept in stock where those earned are enough for
/// them, in seconds: retries come in bursts.
const STOCK_SECONDS: f64 = 0.5;

/// Most of the burst that is kept in stock.
const MAX_STOCK_SHARE: f64 = 0.3;

/// Least rate of retries that is told from none.
const MIN_PER_SECOND: f64 = 0.01;

/// The retries of one service that are asked for and earned.
#[derive(Debug, Clone, Default)]
pub struct Ration {
    asked: BTreeMap<Rank, Rate>,
    /// New requests, and what is usual of each priority, which also tells of rare ones.
    requests: Rate,
    usual: BTreeMap<Priority, Usual>,
    earned: Rate,
    /// Since when more is asked for than earned.
    short_since: Option<Instant>,
    /// Retries that were kept from less urgent requests, by their priority.
    withheld: BTreeMap<Priority, u64>,
}

impl Ration {
    /// Records a new request, with the retries that it earns.
    pub fn note_request(&mut self, priority: Priority, earned: f64, now: Instant) {
        self.requests.add(1.0, now);
        self.earned.add(earned, now);
        let usual = self.usual.entry(priority);
        usual.or_insert_with(|| Usual::new(now)).note(1.0, now);
    }

    /// Records that a retry is asked for.
    pub fn note_asked(&mut self, rank: Rank, now: Instant) {
        // A few retries at once say nothing about those to come.
        let asked: f64 = self
            .asked
            .values()
            .map(|rate| rate.at(now).per_second)
            .sum();
        if asked <= self.earned.at(now).per_second {
            self.short_since = Some(now);
        }
        self.asked.entry(rank).or_default().add(1.0, now);
    }

    /// Records that a retry is kept from a request for more urgent ones.
    pub fn note_withheld(&mut self, rank: Rank) {
        *self.withheld.entry(rank.priority).or_default() += 1;
    }

    /// Returns the retries that requests of a rank leave to those of lesser ranks.
    #[must_use]
    pub fn kept(&self, rank: Rank, retries: &Retries, now: Instant) -> f64 {
        self.stock(self.needed_above(rank, now), retries, now)
    }

    /// Returns the retries that requests of a rank and of lesser ones keep from the others.
    #[must_use]
    pub fn kept_by(&self, rank: Rank, retries: &Retries, now: Instant) -> f64 {
        let own = self.asked.get(&rank);
        let own = own.map_or(0.0, |rate| rate.per_second(now));
        self.stock(self.needed_above(rank, now) + own, retries, now)
    }

    /// Returns the retries that have to be kept for `urgent` of them a second.
    fn stock(&self, urgent: f64, retries: &Retries, now: Instant) -> f64 {
        if urgent < MIN_PER_SECOND {
            return 0.0;
        }
        let short = self.short_since;
        let short = short.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let lasting = short.min(MAX_LASTING).as_secs_f64();
        let missing = (urgent - self.earned.per_second(now)) * lasting;
        // A part of a retry is of no use to anybody.
        let stock = (urgent * STOCK_SECONDS).max((urgent * MAX_LASTING.as_secs_f64()).min(1.0));
        stock.min(retries.burst * MAX_STOCK_SHARE) + missing.max(0.0)
    }

    /// Returns the retries a second that requests of lesser ranks will probably ask for: as many as lately, or
    /// as many of each of their usual requests as all requests do.
    fn needed_above(&self, rank: Rank, now: Instant) -> f64 {
        let sum = |rates: &mut dyn Iterator<Item = &Rate>| -> f64 {
            rates.map(|rate| rate.per_second(now)).sum()
        };
        let asked = sum(&mut self.asked.range(..rank).map(|(_, rate)| rate));
        let all = sum(&mut self.asked.values());
        let each = all / self.requests.per_second(now).max(all).max(MIN_PER_SECOND);
        let usual = self.usual.range(..rank.priority);
        let usual: f64 = usual.map(|(_, usual)| usual.per_second()).sum();
        asked.max(usual * each)
    }

    /// Returns the retries that were kept for more urgent requests so far, by the priority of those that
    /// did not get them.
    #[must_use]
    pub const fn withheld(&self) -> &BTreeMap<Priority, u64> {
        &self.withheld
    }
}

impl Pool {
    /// Returns whether a request of a rank that fails will probably get a retry.
    #[must_use]
    pub fn has_retry(&self, rank: Rank, retries: &Retries, now: Instant) -> bool {
        let kept = self.ration.kept_by(rank, retries, now);
        !self.retry_budget.is_scarce(retries) && self.retry_budget.tokens() >= kept
    }

    /// Takes a retry for a request of a rank and returns whether one was left beside those that more urgent
    /// requests will need.
    pub fn withdraw_retry(&mut self, rank: Rank, retries: &Retries, now: Instant) -> bool {
        self.ration.note_asked(rank, now);
        let kept = self.ration.kept(rank, retries, now);
        if self.retry_budget.withdraw(kept) {
            return true;
        }
        if self.retry_budget.tokens() >= 1.0 {
            self.ration.note_withheld(rank);
        }
        false
    }
}

/// Amounts in a second.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_second: f64,
    /// When the current window began, and the amount in it.
    since: Option<Instant>,
    amount: f64,
}

impl Rate {
    fn add(&mut self, amount: f64, now: Instant) {
        *self = self.at(now);
        self.amount += amount;
    }

    /// Returns the rate; the window that has not ended counts if it is above the others already.
    fn per_second(&self, now: Instant) -> f64 {
        let rate = self.at(now);
        rate.per_second.max(rate.amount / WINDOW.as_secs_f64())
    }

    /// Returns the rate with the windows ended that lie before `now`.
    fn at(mut self, now: Instant) -> Self {
        let since = *self.since.get_or_insert(now);
        let elapsed = now.saturating_duration_since(since);
        if elapsed < WINDOW {
            return self;
        }
        let seconds = WINDOW.as_secs_f64();
        let ended = (elapsed.as_secs_f64() / seconds).floor();
        self.per_second += (self.amount / seconds - self.per_second) * GAIN;
        self.per_second *= (1.0 - GAIN).powf(ended - 1.0);
        self.amount = 0.0;
        self.since = Some(since + WINDOW.mul_f64(ended));
        self
    }
}
