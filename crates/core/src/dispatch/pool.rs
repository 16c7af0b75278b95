//! The upstreams of one service and the requests that are queued for them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::backlog::Backlog;
use crate::dispatch::cost;
use crate::dispatch::cost::Attempt;
use crate::dispatch::demand::Demand;
use crate::dispatch::failures::Failures;
use crate::dispatch::free::Free;
use crate::dispatch::free::MILLIONTHS;
use crate::dispatch::free::Standing;
use crate::dispatch::hedge::Hedges;
use crate::dispatch::ration::Ration;
use crate::dispatch::reserve::Reserve;
use crate::dispatch::retries::Budget;
use crate::dispatch::upstream::Upstream;
use crate::publication::Priority;
use crate::roster::Number;
use crate::statement::Pauses;
use crate::steward::Estimate;
use crate::steward::Ticket;

/// Time after the last failure of an idle upstream after which requests that may be retried are sent to
/// it.
const TRIAL_AGE: Duration = Duration::from_millis(2_500);

/// Time since a request that may be retried within which more of them are expected.
const SCOUT_AGE: Duration = Duration::from_millis(100);

/// Share beyond the floor that is kept in use, because some upstreams in use may fail.
const FLOOR_MARGIN: f64 = 0.08;

/// Size above which a service keeps in use all upstreams that count for the floor. Operators check
/// only upstreams without any fault; these may be a small part of a large service, and all of the
/// unused upstreams may be among them.
const LARGE_SERVICE_UPSTREAMS: usize = 24;

/// Time for which a large service is not checked again for its floor.
const FLOOR_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest time that a request is expected to hold a slot.
const MIN_SLOT_TIME: Duration = Duration::from_millis(1);

/// The upstreams of one service.
#[derive(Debug, Clone)]
pub struct Pool {
    upstreams: BTreeMap<Number, Upstream>,
    /// Queued requests.
    pub backlog: Backlog,
    /// Requests that arrive and run.
    pub demand: Demand,
    /// Retries that the service may still send.
    pub retry_budget: Budget,
    /// Who gets these retries.
    pub ration: Ration,
    /// Recent failures of the service.
    pub failures: Failures,
    /// Estimated time that a request holds a slot.
    pub slot_time: Estimate,
    /// Mean time of the routes of the answered requests, which [`Pool::cost`] compares a route with.
    pub route_time: Estimate,
    /// When the free slots of suspects are next offered to queued requests; at once if `None`.
    pub next_suspect_offer: Option<Instant>,
    /// When the next request that no upstream could take is told to return.
    pub next_return: Option<Instant>,
    /// Extra sends of the service.
    pub hedges: Hedges,
    /// Upstreams that are earmarked for queued requests which are too large for the others.
    pub earmarks: BTreeMap<Number, Ticket>,
    /// Requests that are known to run on the upstreams.
    busy: u32,
    /// When a request that may be retried was last placed.
    pub last_scout: Option<Instant>,
    free: Free,
    /// Free slots of all open upstreams.
    free_slots: u32,
    floor_check: Option<FloorCheck>,
}

/// Whether a service was below its floor when that was last checked.
#[derive(Debug, Clone, Copy)]
struct FloorCheck {
    at: Instant,
    is_below: bool,
}

impl Pool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(retry_budget: Budget, now: Instant) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            backlog: Backlog::default(),
            demand: Demand::default(),
            retry_budget,
            ration: Ration::default(),
            failures: Failures::new(now),
            slot_time: Estimate::new(),
            route_time: Estimate::new(),
            next_suspect_offer: None,
            next_return: None,
            hedges: Hedges::default(),
            earmarks: BTreeMap::new(),
            busy: 0,
            last_scout: None,
            free: Free::default(),
            free_slots: 0,
            floor_check: None,
        }
    }

    /// Adds an upstream.
    pub fn add(&mut self, number: Number, state: Upstream, now: Instant) {
        self.remove(number);
        self.busy += state.running;
        self.free_slots += free_slots(&state);
        self.upstreams.insert(number, state);
        self.refresh(number, now);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, number: Number) {
        if let Some(state) = self.upstreams.remove(&number) {
            self.busy -= state.running;
            self.free_slots -= free_slots(&state);
        }
        self.earmarks.remove(&number);
        self.free.remove(number);
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, number: Number) -> Option<&Upstream> {
        self.upstreams.get(&number)
    }

    /// Returns all upstreams by number.
    pub fn upstreams(&self) -> impl Iterator<Item = (Number, &Upstream)> {
        self.upstreams
            .iter()
            .map(|(number, state)| (*number, state))
    }

    /// Changes an upstream; returns whether it is known.
    pub fn change<F>(&mut self, number: Number, now: Instant, change: F) -> bool
    where
        F: FnOnce(&mut Upstream),
    {
        let Some(state) = self.upstreams.get_mut(&number) else {
            return false;
        };
        let (running, free) = (state.running, free_slots(state));
        change(state);
        self.busy = self.busy - running + state.running;
        self.free_slots = self.free_slots - free + free_slots(state);
        self.refresh(number, now);
        true
    }

    /// Changes all upstreams.
    pub fn change_all<F>(&mut self, now: Instant, mut change: F)
    where
        F: FnMut(Number, &mut Upstream),
    {
        for (number, state) in &mut self.upstreams {
            change(*number, state);
        }
        self.busy = self.upstreams.values().map(|state| state.running).sum();
        self.free_slots = self.upstreams.values().map(free_slots).sum();
        self.refresh_all(now);
    }

    /// Takes note of the upstreams that became suspects, or no suspects, with time.
    pub fn refresh_all(&mut self, now: Instant) {
        for (number, state) in &self.upstreams {
            self.free
                .set(*number, standing(state, self.mean_slot_time(), now));
        }
    }

    /// Forgets the grant of an upstream that was not used, so that a new one still counts as unused.
    pub fn forget_unused(&mut self, number: Number) {
        if let Some(state) = self.upstreams.get_mut(&number)
            && !state.belief.is_observed()
        {
            state.last_granted = None;
        }
    }

    /// Returns the slots of the upstreams, by what they can take.
    #[must_use]
    pub const fn free(&self) -> &Free {
        &self.free
    }

    /// Returns the number of requests that are known to run on the upstreams.
    #[must_use]
    pub const fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the estimated time that a request holds a slot; waiting times are in proportion to it, so it
    /// is never zero.
    #[must_use]
    pub fn mean_slot_time(&self) -> Duration {
        self.slot_time.mean().max(MIN_SLOT_TIME)
    }

    /// Returns the free slots of all open upstreams.
    #[must_use]
    pub const fn free_slots(&self) -> u32 {
        self.free_slots
    }

    /// Returns the free slots that requests of a priority, each of which holds its slot for `cost`, leave to
    /// more urgent ones.
    #[must_use]
    pub fn kept_slots(&self, priority: Priority, cost: Duration, now: Instant) -> u32 {
        let (arrivals, load) = self.demand.above(priority, now);
        let reserve = Reserve {
            run_time: cost.as_secs_f64(),
            arrivals,
            load: load.lately,
            patience: self.demand.patience_above(priority).as_secs_f64(),
            running: self.demand.running_above(priority),
            ends: self.demand.ends_per_second(),
        };
        reserve.slots()
    }

    /// Returns whether no slot is free but those that are kept for the most urgent requests.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        let kept = self.kept_slots(Priority::MAX, Duration::MAX, now);
        self.free.is_empty() || self.free_slots <= kept
    }

    /// Returns the time for which a request of a route of a mean time is expected to hold a slot: the mean
    /// slot time, in the proportion of the route to all routes.
    #[must_use]
    pub fn cost(&self, route_mean: f64) -> Duration {
        let all = self.route_time.mean().as_secs_f64();
        if all <= 0.0 {
            return Duration::from_secs_f64(route_mean);
        }
        self.mean_slot_time().mul_f64(route_mean / all)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.backlog.len()
    }

    /// Returns whether requests fail and fewer upstreams are in use than the floor requires.
    #[must_use]
    pub fn is_below_floor(&mut self, floor: f64, now: Instant) -> bool {
        if !self.failures.is_failing(now) {
            return false;
        }
        let is_recent =
            |check: &FloorCheck| now.saturating_duration_since(check.at) < FLOOR_CHECK_INTERVAL;
        let is_large = self.upstreams.len() > LARGE_SERVICE_UPSTREAMS;
        if let Some(check) = self.floor_check.filter(is_recent).filter(|_| is_large) {
            return check.is_below;
        }
        let is_below = self.lacks_upstreams_in_use(floor, now);
        self.floor_check = Some(FloorCheck { at: now, is_below });
        is_below
    }

    fn lacks_upstreams_in_use(&self, floor: f64, now: Instant) -> bool {
        let (mut all, mut used) = (0.0, 0.0);
        for state in self.upstreams.values() {
            if state.counts_for_floor(now) {
                all += 1.0;
                used += f64::from(u8::from(state.is_in_use(now)));
            }
        }
        let wanted = if self.upstreams.len() > LARGE_SERVICE_UPSTREAMS {
            1.0
        } else {
            (floor + FLOOR_MARGIN).min(1.0)
        };
        used < wanted * all
    }

    /// Returns whether an upstream is open, limits no requests and has failed none lately.
    #[must_use]
    pub fn counts_for_floor(&self, number: Number, now: Instant) -> bool {
        let state = self.upstreams.get(&number);
        state.is_some_and(|state| state.counts_for_floor(now))
    }

    /// Returns whether an upstream was granted a request lately.
    #[must_use]
    pub fn is_in_use(&self, number: Number, now: Instant) -> bool {
        let state = self.upstreams.get(&number);
        state.is_some_and(|state| state.is_in_use(now))
    }

    /// Returns whether an upstream that failed is idle and has not failed for so long that a request that
    /// may be retried is worth sending, to learn whether it has recovered.
    ///
    /// Answers the load of a service that seems well while some of its upstreams recover: operators
    /// count these as healthy, and idle, long before the belief in their failure has faded.
    #[must_use]
    pub fn is_trial_due(&self, number: Number, now: Instant) -> bool {
        self.upstreams.get(&number).is_some_and(|state| {
            let lately = |at| now.saturating_duration_since(at) < TRIAL_AGE;
            let is_idle = !self.is_in_use(number, now);
            is_idle && state.belief.is_doubted(now) && !state.last_failed.is_some_and(lately)
        })
    }

    /// Returns whether requests that may be retried come so often that new upstreams are left to them.
    #[must_use]
    pub fn has_scouts(&self, now: Instant) -> bool {
        let lately = |at| now.saturating_duration_since(at) < SCOUT_AGE;
        self.last_scout.is_some_and(lately)
    }

    /// Returns whether an upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, number: Number, now: Instant) -> bool {
        let state = self.upstreams.get(&number);
        state.is_some_and(|state| state.belief.is_suspect(now))
    }

    /// Returns upstreams with a free slot, without the paused ones, that are to be compared for a request of
    /// `zone`.
    pub fn candidates(&mut self, zone: &str, pauses: Pauses<'_>) -> Vec<Number> {
        self.free.candidates(zone, pauses)
    }

    /// Returns the upstream of least expected cost among the `candidates` that `allowed` accepts.
    #[must_use]
    pub fn cheapest<F>(
        &self,
        candidates: &[Number],
        attempt: &Attempt<'_>,
        max_silence: Duration,
        now: Instant,
        allowed: F,
    ) -> Option<Number>
    where
        F: Fn(Number) -> bool,
    {
        let mut best: Option<(f64, Number)> = None;
        for number in candidates {
            let Some(state) = self.upstreams.get(number) else {
                continue;
            };
            if !state.has_room(now) || !allowed(*number) {
                continue;
            }
            let cost = expected_cost(state, attempt, max_silence, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *number));
            }
        }
        best.map(|(_, number)| number)
    }

    fn refresh(&mut self, number: Number, now: Instant) {
        if let Some(state) = self.upstreams.get(&number) {
            self.free
                .set(number, standing(state, self.mean_slot_time(), now));
        }
    }
}

/// Returns the expected cost of an attempt on an upstream.
pub(super) fn expected_cost(
    state: &Upstream,
    attempt: &Attempt<'_>,
    max_silence: Duration,
    now: Instant,
) -> f64 {
    let is_silent = now.saturating_duration_since(state.last_heard) > max_silence;
    cost::expected(attempt, state, is_silent, now)
}

const fn free_slots(state: &Upstream) -> u32 {
    if state.is_open() {
        state.slots.saturating_sub(state.running)
    } else {
        0
    }
}

fn standing(state: &Upstream, slot_time: Duration, now: Instant) -> Standing {
    let capacity = state.capacity(slot_time) * MILLIONTHS;
    Standing {
        zone: state.zone.clone(),
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        capacity: capacity.ceil() as u64,
        is_suspect: state.belief.is_suspect(now),
        has_room: state.has_room(now),
    }
}
