//! Statements that upstreams make about themselves in the heads of their answers.
//!
//! A [`Statement`] is what one answer says. A [`Ledger`] keeps what is known from all answers. It does so
//! by [`Number`], which stands for one start of an upstream, so that the next start, or another upstream
//! at the same address, has none:
//!
//! ```
//! use persimmonbend_core::statement::Ledger;
//! use persimmonbend_core::statement::Statement;
//!
//! let mut ledger = Ledger::default();
//! assert!(ledger.note(7, &Statement { is_draining: true }));
//! assert!(ledger.is_draining(7));
//! ```

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::roster::Number;

/// What an upstream states about itself in the head of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Statement {
    /// Whether the upstream is draining and wants no new requests.
    pub is_draining: bool,
}

/// The statements that are in force, by upstream.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    draining: BTreeSet<Number>,
}

impl Ledger {
    /// Records the statement of an answer; returns whether it changes what is known.
    ///
    /// An upstream that has once stated that it is draining does not return, so an answer without that
    /// statement changes nothing.
    pub fn note(&mut self, upstream: Number, statement: &Statement) -> bool {
        statement.is_draining && self.draining.insert(upstream)
    }

    /// Returns the statement that is in force for each upstream that has made one.
    pub fn statements(&self) -> impl Iterator<Item = (Number, Statement)> {
        let draining = Statement { is_draining: true };
        self.draining.iter().map(move |number| (*number, draining))
    }

    /// Returns whether an upstream has stated that it is draining.
    #[must_use]
    pub fn is_draining(&self, upstream: Number) -> bool {
        self.draining.contains(&upstream)
    }

    /// Removes the statements of an upstream that has left.
    pub fn forget(&mut self, upstream: Number) {
        self.draining.remove(&upstream);
    }
}
