//! The budget of repeats of one service over the whole fleet.

/// Part of the share of requests that is handed out.
const RATIO_SHARE: f64 = 0.9;

/// Part of what may come at once that a budget holds at most, and at its start. Leaders that follow
/// one another within one window each begin a budget of their own; together they stay within what
/// operators allow.
const MAX_BURST_SHARE: f64 = 0.6;
const INITIAL_BURST_SHARE: f64 = 0.15;

/// What operators allow beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retries {
    /// Repeats for one request in the long run.
    pub ratio: f64,
    /// Repeats that may come at once beyond that.
    pub burst: f64,
}

/// Repeats that are left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// Creates the budget of a new dispatcher, the `first` of its fleet or a later one.
    #[must_use]
    pub fn new(retries: &Retries, first: bool) -> Self {
        let part = if first {
            MAX_BURST_SHARE
        } else {
            INITIAL_BURST_SHARE
        };
        Self {
            tokens: retries.burst * part,
        }
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self, retries: &Retries) {
        let most = retries.burst * MAX_BURST_SHARE;
        self.tokens = (self.tokens + retries.ratio * RATIO_SHARE).min(most);
    }

    /// Takes one repeat and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
