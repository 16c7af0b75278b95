//! The retry budget of one service over the whole fleet.

/// Share of the allowed retry ratio that each request adds to the budget.
const RATIO_SHARE: f64 = 0.9;

/// Shares of the burst that a budget holds at most, and at the start of a later dispatcher. Leaders
/// that follow one another within one window each start a new budget; together they stay within
/// what operators allow.
const MAX_BURST_SHARE: f64 = 0.6;
const INITIAL_BURST_SHARE: f64 = 0.15;

/// Share of the burst below which retries are scarce; less than a later dispatcher starts with.
const SCARCE_BURST_SHARE: f64 = 0.08;

/// Retries that operators allow beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retries {
    /// Retries per request in the long run.
    pub ratio: f64,
    /// Retries beyond the ratio that may come at once.
    pub burst: f64,
}

/// The retries that a service may still send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    tokens: f64,
    /// Retries that were taken so far.
    spent: u64,
}

impl Budget {
    /// Creates the budget of a new dispatcher; `is_first` says that the fleet has had none before.
    #[must_use]
    pub fn new(retries: &Retries, is_first: bool) -> Self {
        let share = if is_first {
            MAX_BURST_SHARE
        } else {
            INITIAL_BURST_SHARE
        };
        Self {
            tokens: retries.burst * share,
            spent: 0,
        }
    }

    /// Adds the retries that one new request earns, and returns them.
    pub fn deposit(&mut self, retries: &Retries) -> f64 {
        let earned = retries.ratio * RATIO_SHARE;
        let max_tokens = retries.burst * MAX_BURST_SHARE;
        self.tokens = (self.tokens + earned).min(max_tokens);
        earned
    }

    /// Returns the retries that are left.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the retries that were taken so far.
    #[must_use]
    pub const fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns whether so few retries are left that requests should be placed as if they had none.
    #[must_use]
    pub fn is_scarce(&self, retries: &Retries) -> bool {
        self.tokens < retries.burst * SCARCE_BURST_SHARE
    }

    /// Takes one retry and returns whether one was left beside those that are `kept` for others.
    pub fn withdraw(&mut self, kept: f64) -> bool {
        let is_affordable = self.tokens >= 1.0 + kept;
        if is_affordable {
            self.tokens -= 1.0;
            self.spent += 1;
        }
        is_affordable
    }
}
