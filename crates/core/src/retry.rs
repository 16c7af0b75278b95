//! Whether, where and for how long a request is tried again.
//!
//! [`Limits`] holds what one host knows of a service: a [`Budget`] that bounds retries to a share
//! of the requests, and the latest latencies, from which the time limit of an attempt follows.
//! [`next`] decides what comes after a failed attempt.
//!
//! ```
//! use persimmonbend_core::retry;
//! use persimmonbend_core::retry::Failure;
//! use persimmonbend_core::retry::Step;
//!
//! // A non-idempotent request that may have reached the upstream is never sent again.
//! let failure = Failure { written: true, stale: false, refused: false };
//! assert_eq!(retry::next(failure, false, 1, true), Step::GiveUp);
//! ```

use std::time::Duration;

use crate::health::window::Latencies;

/// Attempts at most for one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retries that a budget allows for one request in the long run.
const BUDGET_SHARE: f64 = 0.1;

/// Retries that a budget holds at most.
const BUDGET_MAX: f64 = 20.0;

/// Multiple of the service's high latency that an attempt may take while a retry is possible.
const LIMIT_FACTOR: u32 = 4;

/// Shortest limit of an attempt.
const MIN_LIMIT: Duration = Duration::from_millis(50);

/// Part of the remaining time that an attempt may take while latencies are not known.
const BLIND_PART: u32 = 3;

/// How an attempt failed, as far as a retry is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether a byte of the request may have reached the upstream.
    pub written: bool,
    /// Whether the connection had been used before, so that it may be at fault.
    pub stale: bool,
    /// Whether the upstream itself refused the request as not run.
    pub refused: bool,
}

/// What comes after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The request has failed.
    GiveUp,
    /// The same upstream over a new connection.
    Reconnect,
    /// Another upstream.
    Elsewhere,
}

/// Returns what comes after the failed attempt number `attempts`, counted from 1.
///
/// `affordable` tells whether the budget has a retry left. A request that was not written and not
/// refused is moved without regard to the budget, since it cost the service nothing.
#[must_use]
pub const fn next(failure: Failure, idempotent: bool, attempts: u32, affordable: bool) -> Step {
    if attempts >= MAX_ATTEMPTS {
        return Step::GiveUp;
    }
    if failure.written && !idempotent {
        return Step::GiveUp;
    }
    let costs = failure.written || failure.refused;
    if costs && !affordable {
        return Step::GiveUp;
    }
    if failure.stale {
        return Step::Reconnect;
    }
    Step::Elsewhere
}

/// Retries that are left, refilled by requests.
#[derive(Debug, Clone)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { left: BUDGET_MAX }
    }

    /// Returns whether a retry is left.
    #[must_use]
    pub const fn is_affordable(&self) -> bool {
        self.left >= 1.0
    }

    /// Adds the share of one request.
    pub const fn earn(&mut self) {
        self.left = (self.left + BUDGET_SHARE).min(BUDGET_MAX);
    }

    /// Takes one retry.
    pub const fn spend(&mut self) {
        self.left = (self.left - 1.0).max(0.0);
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

/// What one host knows of a service when it comes to retries.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Retries that are left.
    pub budget: Budget,
    latencies: Latencies,
}

impl Limits {
    /// Creates an limits with a full budget and no latencies.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            budget: Budget::new(),
            latencies: Latencies::new(),
        }
    }

    /// Returns how long an attempt may take when `left` remains until the deadline.
    ///
    /// An attempt that no retry can follow may take all that is left.
    #[must_use]
    pub fn attempt_timeout(&self, left: Duration, idempotent: bool, attempts: u32) -> Duration {
        let last = attempts >= MAX_ATTEMPTS || !self.budget.is_affordable();
        if !idempotent || last {
            return left;
        }
        let limit = match self.latencies.high_quantile() {
            Some(high) => (high * LIMIT_FACTOR).max(MIN_LIMIT),
            None => left / BLIND_PART,
        };
        limit.min(left)
    }

    /// Takes in the latency of an answer, or the limit that an attempt ran into.
    pub fn observe(&mut self, latency: Duration) {
        self.latencies.push(latency);
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}
