//! Statements that upstreams make about themselves in the heads of their answers.
//!
//! A [`Statement`] is what one answer says. A [`Ledger`] keeps what is known from all answers. It does so
//! by [`Number`], which stands for one start of an upstream, so that the next start, or another upstream
//! at the same address, has none:
//!
//! ```
//! use std::time::Instant;
//!
//! use persimmonbend_core::statement::Ledger;
//! use persimmonbend_core::statement::Statement;
//!
//! let mut ledger = Ledger::default();
//! let statement = Statement {
//!     is_draining: true,
//!     ..Statement::default()
//! };
//! assert!(ledger.note(7, &statement, Instant::now()));
//! assert!(ledger.is_draining(7));
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::roster::Number;

/// Requests a second that an upstream takes from all hosts together, zero or more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Limit(f64);

impl Limit {
    /// Returns the requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Limit {
    type Error = String;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(format!("limit {per_second}: must be a number from 0"))
        }
    }
}

/// What an upstream states about itself in the head of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Statement {
    /// Whether the upstream is draining and wants no new requests.
    pub is_draining: bool,
    /// Requests that the upstream takes from all hosts together, if it limits them.
    pub limit: Option<Limit>,
}

/// A limit that is in force.
#[derive(Debug, Clone, Copy)]
struct Limited {
    limit: Limit,
    /// When an answer last stated it.
    stated: Instant,
}

/// The statements that are in force, by upstream.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    draining: BTreeSet<Number>,
    limits: BTreeMap<Number, Limited>,
}

impl Ledger {
    /// Records the statement of an answer; returns whether it changes what is known.
    ///
    /// An upstream that has once stated that it is draining does not return, so an answer without that
    /// statement changes nothing. What an answer without a limit means depends on when its request was
    /// placed, see [`Ledger::end_limit`].
    pub fn note(&mut self, upstream: Number, statement: &Statement, now: Instant) -> bool {
        let drains = statement.is_draining && self.draining.insert(upstream);
        let Some(limit) = statement.limit else {
            return drains;
        };
        let stated = Limited { limit, stated: now };
        let before = self.limits.insert(upstream, stated);
        drains || before.is_none_or(|before| before.limit != limit)
    }

    /// Ends the limit of an upstream, as it answered without one a request that was placed at `placed`;
    /// returns whether that changes what is known.
    ///
    /// An answer to a request that was placed before the limit was last stated may be older than the
    /// statement, and ends nothing.
    pub fn end_limit(&mut self, upstream: Number, placed: Instant) -> bool {
        let limited = self.limits.get(&upstream);
        let ends = limited.is_some_and(|limited| limited.stated < placed);
        if ends {
            self.limits.remove(&upstream);
        }
        ends
    }

    /// Removes the limit of an upstream; returns whether there was one.
    pub fn remove_limit(&mut self, upstream: Number) -> bool {
        self.limits.remove(&upstream).is_some()
    }

    /// Returns the statement that is in force for each upstream that has made one.
    pub fn statements(&self) -> impl Iterator<Item = (Number, Statement)> {
        let numbers: BTreeSet<Number> = self
            .draining
            .iter()
            .chain(self.limits.keys())
            .copied()
            .collect();
        numbers.into_iter().map(|number| {
            let statement = Statement {
                is_draining: self.is_draining(number),
                limit: self.limit(number),
            };
            (number, statement)
        })
    }

    /// Returns the limits that are in force, by upstream.
    pub fn limits(&self) -> impl Iterator<Item = (Number, Limit)> + Clone {
        let limits = self.limits.iter();
        limits.map(|(number, limited)| (*number, limited.limit))
    }

    /// Returns whether an upstream has stated that it is draining.
    #[must_use]
    pub fn is_draining(&self, upstream: Number) -> bool {
        self.draining.contains(&upstream)
    }

    /// Returns the limit that is in force for an upstream.
    #[must_use]
    pub fn limit(&self, upstream: Number) -> Option<Limit> {
        self.limits.get(&upstream).map(|limited| limited.limit)
    }

    /// Removes the statements of an upstream that has left.
    pub fn forget(&mut self, upstream: Number) {
        self.draining.remove(&upstream);
        self.limits.remove(&upstream);
    }
}
