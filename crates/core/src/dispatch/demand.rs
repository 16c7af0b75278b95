//! Requests that arrive for one service, by priority, and the slots that they hold.
//!
//! A [`Demand`] knows nothing at first: a new leader, a deputy and a host on its own learn from the first
//! windows what arrives, and until then keep nothing for anybody.

use std::collections::BTreeMap;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::usual::Usual;
use crate::id::TenantId;
use crate::publication::Priority;

/// Length of the windows in which arrivals are counted. Those of the current one don't count: what has
/// just come at once is in the queue, and is not to be counted again as what will come.
const WINDOW: Duration = Duration::from_millis(200);

/// Weight of a window in the latest rate, but for the first ones, which count equally.
const GAIN: f64 = 0.4;

/// Time after which a tenant that sends nothing is forgotten.
const TENANT_MEMORY: Duration = Duration::from_secs(10);

/// Unit of [`Hold::ends`].
const MILLIONTHS: f64 = 1_000_000.0;

/// What arrives for one service and runs there, by priority.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    arrivals: BTreeMap<Priority, Arrivals>,
    tenants: BTreeMap<(Priority, TenantId), Arrivals>,
    running: BTreeMap<Priority, Running>,
}

/// A slot in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Priority of the request.
    priority: Priority,
    /// Expected ends a second, in millionths.
    ends: u64,
}

/// Slots that arriving requests keep busy.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Level {
    /// In the last second.
    pub lately: f64,
    /// But for bursts.
    pub usual: f64,
}

impl Add for Level {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            lately: self.lately + other.lately,
            usual: self.usual + other.usual,
        }
    }
}

impl Sub for Level {
    type Output = Self;

    /// Returns the load without another, or none where the other is larger.
    fn sub(self, other: Self) -> Self {
        Self {
            lately: (self.lately - other.lately).max(0.0),
            usual: (self.usual - other.usual).max(0.0),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrivals {
    /// Arrivals a second.
    per_second: f64,
    /// Slots that they keep busy.
    load: f64,
    usual: Usual,
    /// Shortest time for which one of them may wait without harm.
    patience: Duration,
    /// Windows that have ended.
    windows: u32,
    /// When the current window began.
    since: Instant,
    /// Arrivals in the current window, and the slot time that they take in seconds.
    count: f64,
    work: f64,
}

#[derive(Debug, Clone, Default)]
struct Running {
    slots: u32,
    ends: u64,
}

impl Hold {
    /// Creates the use of a slot by a request of a priority that is expected to take `run_time` seconds.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(priority: Priority, run_time: f64) -> Self {
        Self {
            priority,
            ends: (MILLIONTHS / run_time.max(1.0 / MILLIONTHS)) as u64,
        }
    }
}

impl Demand {
    /// Records the arrival of a request of a tenant that is expected to hold a slot for `run_time` seconds, and
    /// may wait for `patience` without harm.
    pub fn note_arrival(
        &mut self,
        priority: Priority,
        tenant: &str,
        run_time: f64,
        patience: Duration,
        now: Instant,
    ) {
        let arrivals = self.arrivals.entry(priority);
        let arrivals = arrivals.or_insert_with(|| Arrivals::new(now));
        arrivals.note(run_time, now);
        arrivals.patience = arrivals.patience.min(patience);
        let arrivals = self.tenants.entry((priority, tenant.to_owned()));
        let arrivals = arrivals.or_insert_with(|| Arrivals::new(now));
        arrivals.note(run_time, now);
    }

    /// Forgets the tenants that have sent nothing for some time.
    pub fn expire(&mut self, now: Instant) {
        let is_recent =
            |arrivals: &Arrivals| now.saturating_duration_since(arrivals.since) < TENANT_MEMORY;
        self.tenants.retain(|_, arrivals| is_recent(arrivals));
    }

    /// Records that a slot is in use.
    pub fn note_grant(&mut self, hold: Hold) {
        let running = self.running.entry(hold.priority).or_default();
        running.slots += 1;
        running.ends += hold.ends;
    }

    /// Records that a slot is free again.
    pub fn note_end(&mut self, hold: Hold) {
        if let Some(running) = self.running.get_mut(&hold.priority) {
            running.slots = running.slots.saturating_sub(1);
            running.ends = running.ends.saturating_sub(hold.ends);
        }
    }

    /// Returns the arrivals a second above a priority, and the slots that they keep busy.
    #[must_use]
    pub fn above(&self, priority: Priority, now: Instant) -> (f64, Level) {
        let above = self.arrivals.range(..priority);
        above.fold((0.0, Level::default()), |(rate, load), (_, arrivals)| {
            let arrivals = arrivals.at(now);
            (rate + arrivals.per_second, load + arrivals.level())
        })
    }

    /// Returns the time for which arriving requests above a priority may wait without harm.
    #[must_use]
    pub fn patience_above(&self, priority: Priority) -> Duration {
        let above = self.arrivals.range(..priority);
        let patience = above.map(|(_, arrivals)| arrivals.patience);
        patience.min().unwrap_or(Duration::MAX)
    }

    /// Returns the slots that arriving requests of a priority keep busy.
    #[must_use]
    pub fn load_of(&self, priority: Priority, now: Instant) -> Level {
        let arrivals = self.arrivals.get(&priority);
        arrivals.map_or_else(Level::default, |arrivals| arrivals.at(now).level())
    }

    /// Returns the slots that arriving requests of a priority and tenant keep busy.
    #[must_use]
    pub fn load_of_tenant(&self, priority: Priority, tenant: &str, now: Instant) -> Level {
        let arrivals = self.tenants.get(&(priority, tenant.to_owned()));
        arrivals.map_or_else(Level::default, |arrivals| arrivals.at(now).level())
    }

    /// Returns the slots in use by requests above a priority.
    #[must_use]
    pub fn running_above(&self, priority: Priority) -> u32 {
        let above = self.running.range(..priority);
        above.map(|(_, running)| running.slots).sum()
    }

    /// Returns the slots that are expected to become free in a second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn ends_per_second(&self) -> f64 {
        let ends: u64 = self.running.values().map(|running| running.ends).sum();
        ends as f64 / MILLIONTHS
    }
}

impl Arrivals {
    const fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            load: 0.0,
            usual: Usual::new(now),
            patience: Duration::MAX,
            windows: 0,
            since: now,
            count: 0.0,
            work: 0.0,
        }
    }

    fn note(&mut self, run_time: f64, now: Instant) {
        *self = self.at(now);
        self.count += 1.0;
        self.work += run_time;
        self.usual.note(run_time, now);
    }

    const fn level(&self) -> Level {
        Level {
            lately: self.load,
            usual: self.usual.per_second(),
        }
    }

    /// Returns the arrivals with the windows ended that lie before `now`.
    fn at(mut self, now: Instant) -> Self {
        self.usual.end_windows(now);
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < WINDOW {
            return self;
        }
        self.windows = self.windows.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.windows));
        let seconds = WINDOW.as_secs_f64();
        self.per_second += (self.count / seconds - self.per_second) * gain;
        self.load += (self.work / seconds - self.load) * gain;
        (self.count, self.work) = (0.0, 0.0);
        let ended = (elapsed.as_secs_f64() / seconds).floor();
        let kept = (1.0 - GAIN).powf(ended - 1.0);
        self.per_second *= kept;
        self.load *= kept;
        self.since += WINDOW.mul_f64(ended);
        self
    }
}
