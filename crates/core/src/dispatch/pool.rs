//! The upstreams of one service, and the asks that wait for one of them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Request;
use crate::dispatch::cost;
use crate::dispatch::cost::Subject;
use crate::dispatch::health::Health;
use crate::dispatch::place::Place;
use crate::dispatch::retries::Budget;
use crate::id::Zone;
use crate::publication::Priority;
use crate::roster::Number;
use crate::steward::Estimate;
use crate::steward::Queue;

/// Upstreams of the asking zone, and of all others, that are compared for one request. A service
/// with fewer is compared whole; beyond, the window moves on with every request, so that the cost
/// of a decision does not grow with the service.
const NEAR_WINDOW: usize = 24;
const FAR_WINDOW: usize = 24;

/// Probability of being grey above which an upstream does not count as capacity.
const USABLE: f64 = 0.5;

/// Time within which an upstream got a request that counts as in use; operators look at two
/// seconds.
const IN_USE: Duration = Duration::from_millis(1_500);

/// Time after a failure in which an upstream does not count for the floor.
const UNSOUND: Duration = Duration::from_secs(2);

/// Share beyond the floor that is kept in use, since some that are used may turn out not to be
/// sound.
const FLOOR_MARGIN: f64 = 0.08;

/// Upstreams of a service from which on all that count are kept in use: those that operators look
/// at, the ones without any disturbance, may be a small part of them, and hold all that are not.
const LARGE: usize = 24;

/// The upstreams of one service.
#[derive(Debug)]
pub struct Pool {
    /// Upstreams by number.
    pub places: BTreeMap<Number, Place>,
    /// Asks that wait, by rank.
    pub waiting: BTreeMap<Priority, Queue<Request>>,
    /// Repeats that are left.
    pub retry_budget: Budget,
    /// How its requests went lately.
    pub health: Health,
    /// How long a request holds a slot.
    pub slot_time: Estimate,
    zones: BTreeMap<Zone, Vec<Number>>,
    cursor: usize,
}

impl Pool {
    /// Creates a pool without upstreams.
    #[must_use]
    pub fn new(retry_budget: Budget, now: Instant) -> Self {
        Self {
            places: BTreeMap::new(),
            waiting: BTreeMap::new(),
            retry_budget,
            health: Health::new(now),
            slot_time: Estimate::new(),
            zones: BTreeMap::new(),
            cursor: 0,
        }
    }

    /// Adds an upstream.
    pub fn add(&mut self, number: Number, place: Place) {
        self.places.insert(number, place);
        self.index();
    }

    /// Removes an upstream.
    pub fn remove(&mut self, number: Number) {
        self.places.remove(&number);
        self.index();
    }

    /// Returns how many asks wait that go before a new one of `priority`.
    #[must_use]
    pub fn ahead(&self, priority: Priority) -> usize {
        self.waiting
            .range(..=priority)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// Returns how many asks wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.values().map(Queue::len).sum()
    }

    /// Returns the slots of the upstreams that are likely sound, or of all where none is.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let open = self.places.values().filter(|place| place.is_open());
        let sound = open.clone().filter(|place| place.belief.grey(now) < USABLE);
        let sound: u32 = sound.map(|place| place.slots).sum();
        if sound > 0 {
            return sound;
        }
        open.map(|place| place.slots).sum()
    }

    /// Returns whether fewer upstreams are in use than the floor asks for while requests fail.
    #[must_use]
    pub fn is_below_floor(&self, floor: f64, now: Instant) -> bool {
        if !self.health.is_troubled(now) {
            return false;
        }
        let (mut all, mut used) = (0.0, 0.0);
        for number in self.places.keys() {
            if self.counts_for_floor(*number, now) {
                all += 1.0;
                used += f64::from(u8::from(self.is_in_use(*number, now)));
            }
        }
        let wanted = if self.places.len() > LARGE {
            1.0
        } else {
            (floor + FLOOR_MARGIN).min(1.0)
        };
        used < wanted * all
    }

    /// Returns whether an upstream is open and has failed no request lately.
    #[must_use]
    pub fn counts_for_floor(&self, number: Number, now: Instant) -> bool {
        self.places.get(&number).is_some_and(|place| {
            let lately = |at| now.saturating_duration_since(at) < UNSOUND;
            place.is_open() && !place.failed.is_some_and(lately)
        })
    }

    /// Returns whether an upstream got a request lately.
    #[must_use]
    pub fn is_in_use(&self, number: Number, now: Instant) -> bool {
        let granted = self.places.get(&number).and_then(|place| place.granted);
        granted.is_some_and(|at| now.saturating_duration_since(at) < IN_USE)
    }

    /// Moves the window of compared upstreams on.
    pub const fn turn_on(&mut self) {
        self.cursor = self.cursor.wrapping_add(1);
    }

    /// Returns whether an upstream is more likely grey than not.
    #[must_use]
    pub fn is_suspect(&self, number: Number, now: Instant) -> bool {
        let place = self.places.get(&number);
        place.is_some_and(|place| place.belief.is_suspect(now))
    }

    /// Returns whether some open upstream is likely sound.
    #[must_use]
    pub fn has_sound(&self, now: Instant) -> bool {
        let mut open = self.places.values().filter(|place| place.is_open());
        open.any(|place| !place.belief.is_suspect(now))
    }

    /// Returns the upstream of least expected cost that has a free slot and that `allowed` holds
    /// for.
    #[must_use]
    pub fn cheapest<F>(
        &self,
        subject: &Subject<'_>,
        max_silence: Duration,
        now: Instant,
        allowed: F,
    ) -> Option<Number>
    where
        F: Fn(Number) -> bool,
    {
        let window = self.window(subject.zone);
        let mut best: Option<(f64, Number)> = None;
        for number in window {
            let Some(place) = self.places.get(&number) else {
                continue;
            };
            if !place.has_room() || !allowed(number) {
                continue;
            }
            let silent = now.saturating_duration_since(place.heard) > max_silence;
            let cost = cost::of(subject, place, silent, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, number));
            }
        }
        best.map(|(_, number)| number)
    }

    fn window(&self, zone: &str) -> Vec<Number> {
        let near = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        let mut window = Vec::with_capacity(NEAR_WINDOW + FAR_WINDOW);
        window.extend(self.turn(near, NEAR_WINDOW));
        let others = self.zones.iter().filter(|(name, _)| name.as_str() != zone);
        let each = FAR_WINDOW / self.zones.len().saturating_sub(1).max(1);
        for (_, numbers) in others {
            window.extend(self.turn(numbers, each.max(1)));
        }
        window
    }

    /// Returns some of the numbers, starting where the cursor stands.
    fn turn<'a>(&self, numbers: &'a [Number], most: usize) -> impl Iterator<Item = Number> + 'a {
        let start = self.cursor.wrapping_mul(most) % numbers.len().max(1);
        let turned = numbers[start..].iter().chain(&numbers[..start]);
        turned.take(most).copied()
    }

    fn index(&mut self) {
        self.zones.clear();
        for (number, place) in &self.places {
            let zone = self.zones.entry(place.zone.clone()).or_default();
            zone.push(*number);
        }
    }
}
