//! The upstreams of one service and the requests that are queued for them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Request;
use crate::dispatch::cost;
use crate::dispatch::cost::Attempt;
use crate::dispatch::failures::Failures;
use crate::dispatch::retries::Budget;
use crate::dispatch::upstream::Upstream;
use crate::id::Zone;
use crate::publication::Priority;
use crate::roster::Number;
use crate::steward::Estimate;
use crate::steward::Queue;

/// Most upstreams of the requesting zone, and of all other zones, that are compared for one
/// request. In a larger service the compared window moves on with every request, so that the time
/// of a decision does not grow with the service.
const MAX_LOCAL_CANDIDATES: usize = 24;
const MAX_REMOTE_CANDIDATES: usize = 24;

/// Smallest probability of being grey at which an upstream does not count as capacity.
const CAPACITY_GREY_LIMIT: f64 = 0.5;

/// Time after a grant during which an upstream counts as in use; operators check two seconds.
const IN_USE_WINDOW: Duration = Duration::from_millis(1_500);

/// Time after a failure during which an upstream does not count for the floor.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Share beyond the floor that is kept in use, because some upstreams in use may fail.
const FLOOR_MARGIN: f64 = 0.08;

/// Size above which a service keeps in use all upstreams that count for the floor. Operators check
/// only upstreams without any fault; these may be a small part of a large service, and all of the
/// unused upstreams may be among them.
const LARGE_SERVICE_UPSTREAMS: usize = 24;

/// The upstreams of one service.
#[derive(Debug)]
pub struct Pool {
    /// Upstreams by number.
    pub upstreams: BTreeMap<Number, Upstream>,
    /// Queued requests by priority.
    pub queues: BTreeMap<Priority, Queue<Request>>,
    /// Retries that the service may still send.
    pub retry_budget: Budget,
    /// Recent failures of the service.
    pub failures: Failures,
    /// Estimated time that a request holds a slot.
    pub slot_time: Estimate,
    by_zone: BTreeMap<Zone, Vec<Number>>,
    rotation: usize,
}

impl Pool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(retry_budget: Budget, now: Instant) -> Self {
        Self {
            upstreams: BTreeMap::new(),
            queues: BTreeMap::new(),
            retry_budget,
            failures: Failures::new(now),
            slot_time: Estimate::new(),
            by_zone: BTreeMap::new(),
            rotation: 0,
        }
    }

    /// Adds an upstream.
    pub fn add(&mut self, number: Number, state: Upstream) {
        self.upstreams.insert(number, state);
        self.rebuild_index();
    }

    /// Removes an upstream.
    pub fn remove(&mut self, number: Number) {
        self.upstreams.remove(&number);
        self.rebuild_index();
    }

    /// Returns the number of queued requests that are served before a new one of `priority`.
    #[must_use]
    pub fn count_ahead(&self, priority: Priority) -> usize {
        self.queues
            .range(..=priority)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Returns the slots of the open upstreams that are likely healthy, or of all open ones if none
    /// is.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let open = self.upstreams.values().filter(|state| state.is_open());
        let healthy = open
            .clone()
            .filter(|state| state.belief.grey(now) < CAPACITY_GREY_LIMIT);
        let healthy: u32 = healthy.map(|state| state.slots).sum();
        if healthy > 0 {
            return healthy;
        }
        open.map(|state| state.slots).sum()
    }

    /// Returns whether requests fail and fewer upstreams are in use than the floor requires.
    #[must_use]
    pub fn is_below_floor(&self, floor: f64, now: Instant) -> bool {
        if !self.failures.is_failing(now) {
            return false;
        }
        let (mut all, mut used) = (0.0, 0.0);
        for number in self.upstreams.keys() {
            if self.counts_for_floor(*number, now) {
                all += 1.0;
                used += f64::from(u8::from(self.is_in_use(*number, now)));
            }
        }
        let wanted = if self.upstreams.len() > LARGE_SERVICE_UPSTREAMS {
            1.0
        } else {
            (floor + FLOOR_MARGIN).min(1.0)
        };
        used < wanted * all
    }

    /// Returns whether an upstream is open and has failed no request lately.
    #[must_use]
    pub fn counts_for_floor(&self, number: Number, now: Instant) -> bool {
        self.upstreams.get(&number).is_some_and(|state| {
            let lately = |at| now.saturating_duration_since(at) < FAILURE_WINDOW;
            state.is_open() && !state.last_failed.is_some_and(lately)
        })
    }

    /// Returns whether an upstream was granted a request lately.
    #[must_use]
    pub fn is_in_use(&self, number: Number, now: Instant) -> bool {
        let last_granted = self
            .upstreams
            .get(&number)
            .and_then(|state| state.last_granted);
        last_granted.is_some_and(|at| now.saturating_duration_since(at) < IN_USE_WINDOW)
    }

    /// Advances the window of compared upstreams.
    pub const fn advance_window(&mut self) {
        self.rotation = self.rotation.wrapping_add(1);
    }

    /// Returns whether an upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, number: Number, now: Instant) -> bool {
        let state = self.upstreams.get(&number);
        state.is_some_and(|state| state.belief.is_suspect(now))
    }

    /// Returns whether some open upstream is likely healthy.
    #[must_use]
    pub fn has_healthy_upstream(&self, now: Instant) -> bool {
        let mut open = self.upstreams.values().filter(|state| state.is_open());
        open.any(|state| !state.belief.is_suspect(now))
    }

    /// Returns the upstream of least expected cost among those with a free slot that `allowed`
    /// accepts.
    #[must_use]
    pub fn cheapest<F>(
        &self,
        attempt: &Attempt<'_>,
        max_silence: Duration,
        now: Instant,
        allowed: F,
    ) -> Option<Number>
    where
        F: Fn(Number) -> bool,
    {
        let window = self.window(attempt.zone);
        let mut best: Option<(f64, Number)> = None;
        for number in window {
            let Some(state) = self.upstreams.get(&number) else {
                continue;
            };
            if !state.has_room() || !allowed(number) {
                continue;
            }
            let is_silent = now.saturating_duration_since(state.last_heard) > max_silence;
            let cost = cost::expected(attempt, state, is_silent, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, number));
            }
        }
        best.map(|(_, number)| number)
    }

    fn window(&self, zone: &str) -> Vec<Number> {
        let near = self
            .by_zone
            .get(zone)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut window = Vec::with_capacity(MAX_LOCAL_CANDIDATES + MAX_REMOTE_CANDIDATES);
        window.extend(self.rotate(near, MAX_LOCAL_CANDIDATES));
        let others = self
            .by_zone
            .iter()
            .filter(|(name, _)| name.as_str() != zone);
        let each = MAX_REMOTE_CANDIDATES / self.by_zone.len().saturating_sub(1).max(1);
        for (_, numbers) in others {
            window.extend(self.rotate(numbers, each.max(1)));
        }
        window
    }

    /// Returns at most `most` of the numbers, from a start that moves with the rotation.
    fn rotate<'a>(&self, numbers: &'a [Number], most: usize) -> impl Iterator<Item = Number> + 'a {
        let start = self.rotation.wrapping_mul(most) % numbers.len().max(1);
        let rotated = numbers[start..].iter().chain(&numbers[..start]);
        rotated.take(most).copied()
    }

    fn rebuild_index(&mut self) {
        self.by_zone.clear();
        for (number, state) in &self.upstreams {
            let zone = self.by_zone.entry(state.zone.clone()).or_default();
            zone.push(*number);
        }
    }
}
