//! Free slots that less urgent requests leave to more urgent ones.
//!
//! Answers the load of slow requests of low priority beside short urgent ones: a slow request that takes
//! the last slot holds it for long, and the urgent ones that arrive meanwhile wait. Kept are as many
//! slots as the urgent requests that arrive before others end will need, less those who can wait for these, and
//! no more than they keep busy.
//! In a large service slots become free all the time, and none is kept.
//!
//! ```
//! use persimmonbend_core::dispatch::Reserve;
//!
//! let reserve = Reserve {
//!     run_time: 1.2,
//!     arrivals: 5.0,
//!     load: 1.5,
//!     patience: 0.1,
//!     running: 0,
//!     ends: 5.0,
//! };
//! assert_eq!(reserve.slots(), 2);
//! let large = Reserve { ends: 500.0, ..reserve };
//! assert_eq!(large.slots(), 0);
//! ```

/// Multiple of the time of the urgent requests from which a less urgent one is slow: a shorter one holds
/// up an urgent one hardly longer than another urgent one does.
const SLOW_FACTOR: f64 = 2.0;

/// What is known of the urgent requests of a service and of its slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserve {
    /// Time for which the less urgent request would hold a slot, in seconds.
    pub run_time: f64,
    /// Urgent requests that arrive in a second.
    pub arrivals: f64,
    /// Slots that they keep busy.
    pub load: f64,
    /// Time for which they may wait without harm, in seconds.
    pub patience: f64,
    /// Slots that they hold.
    pub running: u32,
    /// Slots of all requests that become free in a second.
    pub ends: f64,
}

impl Reserve {
    /// Returns the slots to keep free for urgent requests.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn slots(&self) -> u32 {
        if self.arrivals <= 0.0 || self.run_time < SLOW_FACTOR * self.load / self.arrivals {
            return 0;
        }
        // The largest excess, by two standard deviations, of arrivals over the ends in any span from now.
        let spare = self.ends - self.arrivals;
        let excess = if spare > 0.0 {
            self.arrivals / spare
        } else {
            f64::INFINITY
        };
        // Those who wait get the slots that others leave in the meantime.
        let excess = excess - self.ends * self.patience;
        let wanted = self.load + self.load.sqrt() - f64::from(self.running);
        excess.min(wanted).max(0.0) as u32
    }
}
