//! How the dispatcher obeys what upstreams state about themselves.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Dispatcher;
use crate::dispatch::Pace;
use crate::roster::Number;
use crate::statement::Ledger;
use crate::statement::Limit;
use crate::statement::Statement;

/// Fraction of its share of a limit that a dispatcher without the leader uses: the leader grants the whole
/// limit, and operators tolerate half as much again.
const LOCAL_LIMIT_FRACTION: f64 = 0.4;

/// Requests a second that all hosts together send to an upstream which takes fewer or none, to learn when
/// its limit ends.
const MIN_LIMIT_PER_SECOND: f64 = 0.2;

/// Time for which a permit for a request to an upstream with a limit can be used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

impl Dispatcher {
    /// Sets the part of an interval, from 0 to 1, after which the first permit of a limit is issued; random
    /// parts spread the requests of dispatchers that each have a share.
    pub const fn set_first_permit(&mut self, part: f64) {
        self.first_permit = part;
    }

    /// Records what an upstream states about itself in an answer to a host; returns whether it changes what
    /// is known.
    pub fn note_statement(
        &mut self,
        host: &str,
        upstream: Number,
        statement: &Statement,
        now: Instant,
    ) -> bool {
        let is_new = self.ledger.note(host, upstream, statement, now);
        if is_new {
            self.apply_ledger(upstream, now);
        }
        is_new
    }

    /// Ends the limit of an upstream, as another dispatcher knows that it has ended.
    pub fn remove_limit(&mut self, upstream: Number, now: Instant) {
        if self.ledger.remove_limit(upstream) {
            self.apply_ledger(upstream, now);
        }
    }

    /// Returns the upstreams whose limits have ended since the last call.
    pub fn take_ended_limits(&mut self) -> Vec<Number> {
        std::mem::take(&mut self.ended_limits)
    }

    /// Returns what upstreams have stated about themselves.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Applies to an upstream what it has stated about itself.
    pub(super) fn apply_ledger(&mut self, upstream: Number, now: Instant) {
        let states_draining = self.ledger.is_draining(upstream);
        let limit = self.limit(upstream);
        let terms = limit.map(|limit| self.permits(limit));
        let first_permit = self.first_permit;
        self.change_upstream(upstream, now, |state| {
            state.set_draining(states_draining);
            let pace = terms.map(|(interval, lifetime)| {
                let mut pace = state
                    .pace()
                    .copied()
                    .unwrap_or_else(|| Pace::new(interval, lifetime, first_permit, now));
                pace.set(interval, lifetime);
                pace
            });
            state.set_pace(pace);
        });
    }

    /// Returns the interval between the permits that this dispatcher issues under a limit, and the time for
    /// which each can be used.
    ///
    /// The leader alone knows how many requests all hosts send, and keeps a permit until the next one.
    fn permits(&self, limit: Limit) -> (Duration, Duration) {
        let per_second = limit.per_second().max(MIN_LIMIT_PER_SECOND);
        if self.share < 1.0 {
            let own = per_second * self.share * LOCAL_LIMIT_FRACTION;
            return (interval(own), PERMIT_LIFETIME);
        }
        let interval = interval(per_second);
        (interval, interval.max(PERMIT_LIFETIME))
    }
}

/// Returns the time between two of `per_second` requests.
fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX)
}
