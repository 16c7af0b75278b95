//! The dispatcher's state of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::belief::Belief;
use crate::dispatch::timing::Timing;
use crate::health::Outcome;
use crate::id::Zone;
use crate::roster::Number;
use crate::statement::Ledger;
use crate::upstream::Announcement;
use crate::upstream::Stage;

/// Weight of one observation in the slowdown.
const SLOWDOWN_GAIN: f64 = 0.25;

/// Time in which the distance of a slowdown to 1 shrinks by a factor of e.
const SLOWDOWN_DRIFT_TIME: Duration = Duration::from_secs(8);

/// Bounds of one observed slowdown, which limit the weight of an outlier.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 8.0;

/// Factor by which an upstream that is starting is slower.
const STARTING_SLOWDOWN: f64 = 2.0;

/// Share by which an upstream with all slots in use is slower than an idle one.
const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// The state, load and estimated health of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Zone that the upstream runs in.
    pub zone: Zone,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Requests that are known to run on the upstream.
    pub running: u32,
    /// Estimated probability that the upstream is grey.
    pub belief: Belief,
    /// When a slot was last granted.
    pub last_granted: Option<Instant>,
    /// When a request last failed, was truncated or timed out.
    pub last_failed: Option<Instant>,
    /// When the last announcement arrived.
    pub last_heard: Instant,
    stage: Stage,
    /// Whether the upstream has stated in an answer that it is draining.
    states_draining: bool,
    /// Latency as a multiple of the mean of the route.
    slowdown: f64,
    slowdown_updated: Instant,
}

impl Upstream {
    /// Creates the state of an upstream that has announced itself and run no requests.
    #[must_use]
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        Self {
            zone: announcement.zone.clone(),
            slots: announcement.slots,
            running: 0,
            belief: Belief::new(now),
            last_granted: None,
            last_failed: None,
            last_heard: now,
            stage: announcement.stage,
            states_draining: false,
            slowdown: 1.0,
            slowdown_updated: now,
        }
    }

    /// Updates zone, slots and stage from an announcement.
    pub fn update(&mut self, announcement: &Announcement) {
        self.zone.clone_from(&announcement.zone);
        self.slots = announcement.slots;
        self.stage = announcement.stage;
    }

    /// Applies what the upstream has stated about itself in its answers.
    pub fn apply_ledger(&mut self, number: Number, ledger: &Ledger) {
        self.states_draining = ledger.is_draining(number);
    }

    /// Returns whether the upstream takes new requests.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.stage.takes_requests() && !self.states_draining
    }

    /// Returns whether the upstream takes new requests and has a free slot.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.is_open() && self.running < self.slots
    }

    /// Returns the expected time of a request of a route on this upstream, in seconds.
    #[must_use]
    pub fn expected_seconds(&self, timing: &Timing, now: Instant) -> f64 {
        let starting = if self.stage == Stage::Starting {
            STARTING_SLOWDOWN
        } else {
            1.0
        };
        let utilization = f64::from(self.running) / f64::from(self.slots.max(1));
        timing.mean() * self.slowdown(now) * starting * (1.0 + FULL_LOAD_SLOWDOWN * utilization)
    }

    /// Records the outcome of an attempt.
    pub fn observe_outcome(&mut self, outcome: Outcome, now: Instant) {
        self.belief.observe(outcome, now);
        if matches!(
            outcome,
            Outcome::Failed | Outcome::Truncated | Outcome::TimedOut
        ) {
            self.last_failed = Some(now);
        }
    }

    /// Records the latency of an answer to a request of a route.
    pub fn observe_latency(&mut self, latency: Duration, timing: &Timing, now: Instant) {
        let starting = if self.stage == Stage::Starting {
            STARTING_SLOWDOWN
        } else {
            1.0
        };
        let relative = latency.as_secs_f64() / (timing.mean() * starting).max(f64::EPSILON);
        let relative = relative.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        let slowdown = self.slowdown(now);
        self.slowdown = slowdown + (relative - slowdown) * SLOWDOWN_GAIN;
        self.slowdown_updated = now;
    }

    fn slowdown(&self, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.slowdown_updated)
            .as_secs_f64();
        let decay = (-elapsed / SLOWDOWN_DRIFT_TIME.as_secs_f64()).exp();
        1.0 + (self.slowdown - 1.0) * decay
    }
}
