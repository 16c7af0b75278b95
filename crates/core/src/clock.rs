//! Sources of time; an interface, so that decisions can be replayed.
//!
//! Programs use [`System`]; tests use [`Manual`] and advance it.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A source of time.
pub trait Clock: fmt::Debug {
    /// Returns the monotonic time, for timeouts and intervals.
    fn now(&self) -> Instant;

    /// Returns the wall time, for what operators read and for a first guess at the order of starts.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
///
/// The monotonic time includes the time that the machine was suspended, so that a lease ends even
/// while its holder is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now() + suspended()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns how long the machine was suspended since the first call of this process.
fn suspended() -> Duration {
    static AT_FIRST_CALL: OnceLock<Duration> = OnceLock::new();
    let total = suspended_since_boot();
    total.saturating_sub(*AT_FIRST_CALL.get_or_init(|| total))
}

/// Returns how long the machine was suspended since boot.
///
/// This is how far the clock that counts suspensions is ahead of the clock that does not.
fn suspended_since_boot() -> Duration {
    let running = read(ClockId::Monotonic);
    let counted = read(ClockId::Boottime);
    let suspended = counted.saturating_sub(running);
    if suspended < READING_SKEW {
        return Duration::ZERO;
    }
    suspended
}

/// The wall time that does not go back when the wall clock of the machine is set back.
///
/// It is the later one of the wall time and of the wall time at the start plus the monotonic time since then.
#[derive(Debug)]
pub struct LatestWall {
    clock: Rc<dyn Clock>,
    start: Instant,
    wall_at_start: SystemTime,
}

impl LatestWall {
    /// Creates the wall time of a clock from now on.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            start: clock.now(),
            wall_at_start: clock.wall(),
            clock,
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> SystemTime {
        let passed = self.clock.now().saturating_duration_since(self.start);
        self.clock.wall().max(self.wall_at_start + passed)
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Upper bound on the difference that comes from reading the two clocks one after the other.
const READING_SKEW: Duration = Duration::from_millis(5);

/// A clock that stands still until it is advanced.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl Manual {
    /// Creates a clock that stands at its start.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Returns how far the clock was advanced since its creation.
    #[must_use]
    pub const fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
