//! How the dispatcher spares upstreams that are cold.
//!
//! Answers the load that falls on upstreams which have just started or have lost their caches: each has free
//! slots, so that it looks like the best choice, and ends under more than a few requests a second. While an
//! upstream of a service with [`Warmup`] terms announces that it is starting, it gets requests by a [`Pace`] as
//! one that states a limit does; requests that find no permit wait, or go to warm upstreams as far as these have
//! free slots.
//!
//! An upstream that takes requests again after it took none, as one of a zone that is taken back, may have
//! become cold meanwhile: it counts as cold until its next announcement says what it is.
//!
//! [`Pace`]: crate::dispatch::Pace

use std::collections::BTreeMap;
use std::time::Instant;

use crate::dispatch::Dispatcher;
use crate::dispatch::Upstream;
use crate::publication::Warmup;
use crate::roster::Number;
use crate::statement::Limit;
use crate::upstream::Stage;

/// The upstreams that count as cold, with the time at which that ends unless they renew it.
#[derive(Debug, Clone, Default)]
pub struct Cold {
    ends: BTreeMap<Number, Instant>,
}

impl Cold {
    /// Returns whether an upstream counts as cold.
    #[must_use]
    pub fn contains(&self, upstream: Number) -> bool {
        self.ends.contains_key(&upstream)
    }

    /// Returns the upstreams that count as cold.
    pub fn upstreams(&self) -> impl Iterator<Item = Number> {
        self.ends.keys().copied()
    }

    /// Forgets an upstream; returns whether it counted as cold.
    pub fn remove(&mut self, upstream: Number) -> bool {
        self.ends.remove(&upstream).is_some()
    }
}

impl Dispatcher {
    /// Records that an upstream announced once more what it had announced before.
    pub fn renew_upstream(&mut self, number: Number, now: Instant) {
        self.touch_upstream(number, now);
        if self.cold.contains(number) {
            self.set_cold(number, self.stage(number) == Some(Stage::Starting), now);
        }
    }

    /// Returns the number of upstreams that count as cold.
    #[must_use]
    pub fn count_cold(&self) -> usize {
        self.cold.ends.len()
    }

    /// Returns whether an upstream takes new requests.
    #[must_use]
    pub fn is_open(&self, number: Number) -> bool {
        self.stage(number).is_some_and(Stage::takes_requests)
    }

    /// Takes note of the stage that an upstream announces, which was `before`.
    pub(super) fn note_stage(&mut self, number: Number, before: Option<Stage>, now: Instant) {
        let stage = self.stage(number);
        let was_closed = before.is_some_and(|before| !before.takes_requests());
        let returns = was_closed && stage == Some(Stage::Ready);
        self.set_cold(number, returns || stage == Some(Stage::Starting), now);
    }

    /// Applies the terms of a new publication to the upstreams that are starting.
    pub(super) fn apply_terms(&mut self, now: Instant) {
        let numbers: Vec<Number> = self.services.keys().copied().collect();
        for number in numbers {
            let stage = self.stage(number);
            self.note_stage(number, stage, now);
        }
    }

    /// Ends the limits of upstreams that have not been heard to be cold for as long as they can be.
    pub(super) fn end_warmups(&mut self, now: Instant) {
        let ended = self.cold.ends.extract_if(.., |_, end| *end <= now);
        let ended: Vec<Number> = ended.map(|(number, _)| number).collect();
        for number in ended {
            self.apply_ledger(number, now);
        }
    }

    /// Returns the limit on requests to an upstream: what it states, or the terms of its service while it is
    /// cold, whichever is lower.
    pub(super) fn limit(&self, number: Number) -> Option<Limit> {
        let stated = self.ledger.limit(number);
        let is_cold = self.cold.contains(number);
        let warmup = self.warmup(number).filter(|_| is_cold);
        let cold = warmup.and_then(|warmup| Limit::try_from(warmup.per_second).ok());
        match (stated, cold) {
            (Some(stated), Some(cold)) if stated.per_second() < cold.per_second() => Some(stated),
            (stated, cold) => cold.or(stated),
        }
    }

    fn set_cold(&mut self, number: Number, is_cold: bool, now: Instant) {
        let warmup = self.warmup(number).filter(|_| is_cold);
        let is_changed = match warmup {
            Some(warmup) => {
                let end = now + warmup.duration;
                self.cold.ends.insert(number, end).is_none()
            }
            None => self.cold.remove(number),
        };
        if is_changed {
            self.apply_ledger(number, now);
        }
    }

    fn warmup(&self, number: Number) -> Option<Warmup> {
        let service = self.services.get(&number)?;
        self.publication.terms.get(service)?.warmup
    }

    pub(super) fn stage(&self, number: Number) -> Option<Stage> {
        let pool = self.pools.get(self.services.get(&number)?)?;
        pool.get(number).map(Upstream::stage)
    }
}
