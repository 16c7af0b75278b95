//! Retries of failed attempts and the timeouts of attempts.
//!
//! [`Limits`] holds the state of one service on one host: a [`Budget`], which bounds retries to a
//! share of the requests, and the latest latencies, from which the timeout of an attempt follows.
//! [`next`] decides what follows a failed attempt.
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

/// Upper bound of the attempts for one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Upper bound of the retries that a budget holds.
const MAX_BUDGET_RETRIES: f64 = 20.0;

/// Multiple of the service's high latency after which an attempt times out if a retry is possible.
const TIMEOUT_FACTOR: u32 = 4;

/// Lower bound of the timeout that follows from the latencies.
const MIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Divisor of the remaining time that gives the timeout while too few latencies are known.
const UNKNOWN_LATENCY_DIVISOR: u32 = 3;

/// The properties of a failed attempt that decide whether it is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether a byte of the request may have reached the upstream.
    pub written: bool,
    /// Whether the attempt used a pooled connection, which may be the cause of the failure.
    pub stale: bool,
    /// Whether the upstream refused the request without running it.
    pub refused: bool,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No retry; the request fails.
    GiveUp,
    /// A retry at the same upstream over a new connection.
    Reconnect,
    /// A retry at another upstream.
    Elsewhere,
}

/// Returns what follows the failed attempt number `attempts`, counted from 1.
///
/// `affordable` tells whether the budget has a retry left. A request that was neither written nor
/// refused is retried regardless of the budget, since the attempt put no load on the service.
#[must_use]
pub const fn next(failure: Failure, idempotent: bool, attempts: u32, affordable: bool) -> Step {
    if attempts >= MAX_ATTEMPTS {
        return Step::GiveUp;
    }
    if failure.written && !idempotent {
        return Step::GiveUp;
    }
    let uses_budget = failure.written || failure.refused;
    if uses_budget && !affordable {
        return Step::GiveUp;
    }
    if failure.stale {
        return Step::Reconnect;
    }
    Step::Elsewhere
}

/// Retry budget of a service, to which every request adds.
#[derive(Debug, Clone)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            left: MAX_BUDGET_RETRIES,
        }
    }

    /// Returns whether a retry is left.
    #[must_use]
    pub const fn is_affordable(&self) -> bool {
        self.left >= 1.0
    }

    /// Adds the retries that one request earns.
    pub const fn earn(&mut self) {
        self.left = (self.left + RETRIES_PER_REQUEST).min(MAX_BUDGET_RETRIES);
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

/// Retry budget and attempt timeouts of one service on one host.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Retries that are left.
    pub budget: Budget,
    latencies: Latencies,
}

impl Limits {
    /// Creates limits with a full budget and without latencies.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            budget: Budget::new(),
            latencies: Latencies::new(),
        }
    }

    /// Returns the timeout of an attempt when `left` remains until the deadline.
    ///
    /// An attempt that no retry can follow may take all of the remaining time.
    #[must_use]
    pub fn attempt_timeout(&self, left: Duration, idempotent: bool, attempts: u32) -> Duration {
        let is_last = attempts >= MAX_ATTEMPTS || !self.budget.is_affordable();
        if !idempotent || is_last {
            return left;
        }
        let timeout = match self.latencies.high_quantile() {
            Some(high) => (high * TIMEOUT_FACTOR).max(MIN_TIMEOUT),
            None => left / UNKNOWN_LATENCY_DIVISOR,
        };
        timeout.min(left)
    }

    /// Records the latency of a response, or the timeout of an attempt that timed out.
    pub fn observe(&mut self, latency: Duration) {
        self.latencies.push(latency);
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self::new()
    }
}
