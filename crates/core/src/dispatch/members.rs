//! The upstreams that take requests, and what is believed about them.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Budget;
use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::dispatch::Upstream;
use crate::roster::Entry;
use crate::roster::Number;
use crate::upstream::Stage;

impl Dispatcher {
    /// Adds, updates or removes an upstream by its entry of the roster.
    ///
    /// Returns answers to the queued requests that can now be placed.
    pub fn update_upstream(&mut self, entry: &Entry, now: Instant) -> Vec<Answer> {
        let announcement = &entry.announcement;
        if announcement.stage == Stage::Left {
            self.ledger.forget(entry.number);
            self.remove_upstream(entry.number);
            return Vec::new();
        }
        let service = announcement.service.clone();
        let changed_service = self
            .services
            .get(&entry.number)
            .is_some_and(|known| *known != service);
        if changed_service {
            self.remove_upstream(entry.number);
        }
        self.services.insert(entry.number, service.clone());
        let before = self.stage(entry.number);
        let retries = self.retries();
        let is_first = self.policy.is_first_dispatcher;
        let pool = self.pools.entry(service.clone());
        let pool = pool.or_insert_with(|| Pool::new(Budget::new(&retries, is_first), now));
        if !pool.change(entry.number, now, |state| state.update(announcement)) {
            pool.add(entry.number, Upstream::new(announcement, now), now);
            self.restore_slots(entry.number, now);
            self.apply_ledger(entry.number, now);
        }
        self.note_stage(entry.number, before, now);
        self.place_queued(&service, now)
    }

    /// Removes the upstreams that are not `listed`.
    pub fn retain_upstreams(&mut self, listed: &BTreeSet<Number>) {
        let known: Vec<Number> = self.services.keys().copied().collect();
        for number in known.into_iter().filter(|one| !listed.contains(one)) {
            self.ledger.forget(number);
            self.remove_upstream(number);
        }
    }

    /// Records an announcement of an upstream.
    pub fn touch_upstream(&mut self, number: Number, now: Instant) {
        let lives = self.contact.note_announcement(number, now);
        self.change_upstream(number, now, |state| {
            state.last_heard = now;
            state.dead_until = state.dead_until.filter(|_| !lives);
        });
    }

    /// Returns the probability that an upstream is grey, or `None` for an unknown upstream.
    #[must_use]
    pub fn grey(&self, number: Number, now: Instant) -> Option<f64> {
        let pool = self.pools.get(self.services.get(&number)?)?;
        let state = pool.get(number)?;
        Some(state.belief.grey(now))
    }

    /// Returns the upstreams that are more likely grey than not.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> BTreeSet<Number> {
        let upstreams = self.pools.values().flat_map(Pool::upstreams);
        let suspects = upstreams.filter(|(_, state)| state.belief.is_suspect(now));
        suspects.map(|(number, _)| number).collect()
    }

    /// Adopts the suspects of another dispatcher for upstreams without an outcome observed here.
    ///
    /// With `overrides_observed`, they replace the beliefs about all other upstreams too.
    pub fn adopt_suspects(
        &mut self,
        suspects: &BTreeSet<Number>,
        overrides_observed: bool,
        now: Instant,
    ) {
        for pool in self.pools.values_mut() {
            pool.change_all(now, |number, state| {
                if overrides_observed || !state.belief.is_observed() {
                    state.belief.adopt(suspects.contains(&number), now);
                }
            });
        }
    }

    /// Removes an upstream until it announces itself again.
    pub(super) fn remove_upstream(&mut self, number: Number) {
        self.cold.remove(number);
        self.contact.forget_upstream(number);
        let service = self.services.remove(&number);
        if let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) {
            pool.remove(number);
        }
    }

    /// Changes an upstream; returns whether it is known.
    pub(super) fn change_upstream<F>(&mut self, number: Number, now: Instant, change: F) -> bool
    where
        F: FnOnce(&mut Upstream),
    {
        let service = self.services.get(&number);
        let pool = service.and_then(|service| self.pools.get_mut(service));
        pool.is_some_and(|pool| pool.change(number, now, change))
    }
}
