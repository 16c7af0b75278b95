//! What the dispatcher knows of one upstream.

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::belief::Belief;
use crate::dispatch::timing::Timing;
use crate::health::Outcome;
use crate::id::Zone;
use crate::upstream::Announcement;
use crate::upstream::Stage;

/// Share of one observation in the speed.
const SLOWDOWN_GAIN: f64 = 0.25;

/// Time in which a speed drifts back to 1 by a factor of e.
const SLOWDOWN_DRIFT_TIME: Duration = Duration::from_secs(8);

/// Bounds of one observed speed, so that a single outlier moves little.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 8.0;

/// Factor by which an upstream that has just started is slower.
const STARTING_SLOWDOWN: f64 = 2.0;

/// Share by which an upstream slows down from empty to full.
const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// An upstream with its load and what is believed of it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Zone that it runs in.
    pub zone: Zone,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests that are known to run there.
    pub running: u32,
    /// What is believed of it.
    pub belief: Belief,
    /// When it was last granted.
    pub last_granted: Option<Instant>,
    /// When it last failed a request.
    pub last_failed: Option<Instant>,
    /// When it was last heard from.
    pub last_heard: Instant,
    stage: Stage,
    slowdown: f64,
    slowdown_at: Instant,
}

impl Upstream {
    /// Creates an upstream that nothing is known of beyond what it says itself.
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
            slowdown: 1.0,
            slowdown_at: now,
        }
    }

    /// Takes in what it says of itself.
    pub fn update(&mut self, announcement: &Announcement) {
        self.zone.clone_from(&announcement.zone);
        self.slots = announcement.slots;
        self.stage = announcement.stage;
    }

    /// Returns whether it takes new requests.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.stage.takes_requests()
    }

    /// Returns whether it has a free slot for a new request.
    #[must_use]
    pub const fn has_room(&self) -> bool {
        self.is_open() && self.running < self.slots
    }

    /// Returns how long a request of a route is expected to take here, in seconds.
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

    /// Takes in how an attempt ended.
    pub fn observe_outcome(&mut self, outcome: Outcome, now: Instant) {
        self.belief.observe(outcome, now);
        if matches!(
            outcome,
            Outcome::Failed | Outcome::Truncated | Outcome::TimedOut
        ) {
            self.last_failed = Some(now);
        }
    }

    /// Takes in the latency of an answer to a request of a route.
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
        self.slowdown_at = now;
    }

    fn slowdown(&self, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.slowdown_at)
            .as_secs_f64();
        let decay = (-elapsed / SLOWDOWN_DRIFT_TIME.as_secs_f64()).exp();
        1.0 + (self.slowdown - 1.0) * decay
    }
}
