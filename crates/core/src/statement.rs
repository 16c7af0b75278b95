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
//! assert!(ledger.note("host-1", 7, &statement, Instant::now()));
//! assert!(ledger.is_draining(7));
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
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
    /// Time for which the upstream wants no requests from the host that it answers.
    pub pause: Option<Duration>,
}

/// Longest pause, beyond which no clock of a host reaches.
const MAX_PAUSE: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A limit that is in force.
#[derive(Debug, Clone, Copy)]
struct Limited {
    limit: Limit,
    /// When an answer last stated it.
    stated: Instant,
}

/// The pauses that upstreams have asked of one host.
#[derive(Debug, Clone, Copy)]
pub struct Pauses<'a> {
    ends: Option<&'a BTreeMap<Number, Instant>>,
    now: Instant,
}

impl Pauses<'_> {
    /// Returns whether no upstream pauses.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams().next().is_none()
    }

    /// Returns the upstreams that pause.
    pub fn upstreams(&self) -> impl Iterator<Item = Number> {
        let ends = self.ends.into_iter().flatten();
        let current = ends.filter(|(_, end)| self.now < **end);
        current.map(|(number, _)| *number)
    }

    /// Returns when an upstream takes requests again, if it pauses.
    #[must_use]
    pub fn end(&self, upstream: Number) -> Option<Instant> {
        let end = self.ends?.get(&upstream).copied();
        end.filter(|end| self.now < *end)
    }

    /// Returns whether an upstream pauses.
    #[must_use]
    pub fn contains(&self, upstream: Number) -> bool {
        self.end(upstream).is_some()
    }
}

/// The statements that are in force, by upstream.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    draining: BTreeSet<Number>,
    limits: BTreeMap<Number, Limited>,
    /// When the pauses end that upstreams have asked of each host.
    pauses: BTreeMap<HostId, BTreeMap<Number, Instant>>,
}

impl Ledger {
    /// Records the statement of an answer to a host; returns whether it changes what is known.
    ///
    /// An upstream that has once stated that it is draining does not return, so an answer without that
    /// statement changes nothing. What an answer without a limit means depends on when its request was
    /// placed, see [`Ledger::end_limit`].
    pub fn note(
        &mut self,
        host: &str,
        upstream: Number,
        statement: &Statement,
        now: Instant,
    ) -> bool {
        let drains = statement.is_draining && self.draining.insert(upstream);
        let limit = statement.limit;
        let limits = limit.is_some_and(|limit| self.note_limit(upstream, limit, now));
        let pause = statement.pause;
        let pauses = pause.is_some_and(|pause| self.note_pause(host, upstream, pause, now));
        drains || limits || pauses
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

    /// Returns the statement that is in force for each upstream that has made one, with the rest of the
    /// pause that it has asked of a host.
    #[must_use]
    pub fn statements(&self, host: &str, now: Instant) -> Vec<(Number, Statement)> {
        let pauses = self.pauses(host, now);
        let mut numbers = self.draining.clone();
        numbers.extend(self.limits.keys());
        numbers.extend(pauses.upstreams());
        let statement = |number| Statement {
            is_draining: self.is_draining(number),
            limit: self.limit(number),
            pause: pauses.end(number).map(|end| end - now),
        };
        let each = numbers.into_iter();
        each.map(|number| (number, statement(number))).collect()
    }

    /// Returns the pauses that upstreams have asked of a host.
    #[must_use]
    pub fn pauses(&self, host: &str, now: Instant) -> Pauses<'_> {
        Pauses {
            ends: self.pauses.get(host),
            now,
        }
    }

    /// Returns whether no upstream has asked any host for a pause.
    #[must_use]
    pub fn has_no_pauses(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Returns the number of hosts from which an upstream wants no requests.
    #[must_use]
    pub fn count_paused_hosts(&self, upstream: Number, now: Instant) -> usize {
        let hosts = self.pauses.keys();
        let paused = hosts.filter(|host| self.pauses(host, now).end(upstream).is_some());
        paused.count()
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
        for pauses in self.pauses.values_mut() {
            pauses.remove(&upstream);
        }
    }

    /// Removes the pauses that upstreams have asked of a host.
    pub fn forget_host(&mut self, host: &str) {
        self.pauses.remove(host);
    }

    /// Removes the pauses that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.pauses.retain(|_, pauses| {
            pauses.retain(|_, end| now < *end);
            !pauses.is_empty()
        });
    }

    fn note_limit(&mut self, upstream: Number, limit: Limit, now: Instant) -> bool {
        let stated = Limited { limit, stated: now };
        let before = self.limits.insert(upstream, stated);
        before.is_none_or(|before| before.limit != limit)
    }

    /// Records a pause; one that ends before a known one changes nothing.
    fn note_pause(&mut self, host: &str, upstream: Number, pause: Duration, now: Instant) -> bool {
        let end = now + pause.min(MAX_PAUSE);
        if end <= now || !self.is_paused_before(host, upstream, end) {
            return false;
        }
        let pauses = self.pauses.entry(host.to_owned()).or_default();
        pauses.insert(upstream, end);
        true
    }

    /// Returns whether no pause of an upstream for a host lasts until `end`.
    fn is_paused_before(&self, host: &str, upstream: Number, end: Instant) -> bool {
        let known = self
            .pauses
            .get(host)
            .and_then(|pauses| pauses.get(&upstream));
        known.is_none_or(|known| *known < end)
    }
}
