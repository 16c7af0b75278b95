//! Whether a request that finds no free slot is worth queueing.
//!
//! A [`Prospect`] compares the slot time that is served before a request with the capacity which more
//! urgent requests leave. While more is asked than a service offers, requests that would all be answered
//! after their objective are of little use to clients, and so is a refusal after a long wait. Those that
//! will probably not be answered in time are therefore refused at once.
//!
//! ```
//! use std::time::Duration;
//!
//! use persimmonbend_core::dispatch::Level;
//! use persimmonbend_core::dispatch::Prospect;
//! use persimmonbend_core::dispatch::Verdict;
//!
//! let second = Duration::from_secs(1);
//! let prospect = Prospect {
//!     ahead: second * 30,
//!     behind: second * 30,
//!     own: second * 3,
//!     cost: second / 4,
//!     own_share: 0.1,
//!     capacity: 100.0,
//!     urgent_load: Level { lately: 40.0, usual: 40.0 },
//!     equal_load: Level { lately: 80.0, usual: 80.0 },
//!     own_load: Level { lately: 20.0, usual: 20.0 },
//!     run_time: second / 4,
//!     probable_time: second / 3,
//!     objective_left: second,
//!     deadline_left: second * 2,
//! };
//! assert_eq!(prospect.verdict(), Verdict::Timely(second / 2));
//! ```

use std::time::Duration;

use crate::dispatch::demand::Level;

/// Least shares of the capacity that are assumed to be left to requests that can still be answered within
/// their objective, and to those that cannot: a burst may end any time.
const MIN_TIMELY_SHARE: f64 = 0.25;
const MIN_LATE_SHARE: f64 = 0.125;

/// Time for which a load that was seen lately is assumed to last, in seconds, for requests that can still
/// be answered within their objective, and for others, which are of less use and wait for longer.
const TIMELY_BURST_SECONDS: f64 = 1.0;
const LATE_BURST_SECONDS: f64 = 3.0;

/// Multiple of the expected wait that leaves room for one which is longer than expected.
const WAIT_MARGIN: f64 = 1.15;

/// Longest wait that is estimated; clients wait for less.
const MAX_WAIT: Duration = Duration::from_secs(60 * 60);

/// What a request can expect that has to wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// Slot time that is served before the request if it is queued among those that will be answered
    /// within their objective.
    pub ahead: Duration,
    /// The same if it is queued behind these.
    pub behind: Duration,
    /// Slot time of the queued requests of the same tenant and of this one.
    pub own: Duration,
    /// Slot time of this request.
    pub cost: Duration,
    /// Least share that its tenant gets of what more urgent requests leave.
    pub own_share: f64,
    /// Slots that the service can keep busy.
    pub capacity: f64,
    /// Slots that arriving requests of higher priority keep busy.
    pub urgent_load: Level,
    /// Slots that arriving requests of the same priority keep busy.
    pub equal_load: Level,
    /// Slots that arriving requests of the same priority and tenant keep busy.
    pub own_load: Level,
    /// Mean time of such requests.
    pub run_time: Duration,
    /// Time within which nine in ten such requests are answered.
    pub probable_time: Duration,
    /// Time left to the objective.
    pub objective_left: Duration,
    /// Time left to the deadline.
    pub deadline_left: Duration,
}

/// What becomes of a request, with the expected wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// An answer within the objective is likely: nine in ten are answered if the wait is as expected.
    Timely(Duration),
    /// An answer after the objective and before the deadline is more likely than not.
    Late(Duration),
    /// An answer before the deadline is less likely than not.
    Refused(Duration),
}

impl Prospect {
    /// Returns what becomes of the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let wait = self.timely_wait();
        if wait.mul_f64(WAIT_MARGIN) + self.probable_time
            <= self.objective_left.min(self.deadline_left)
        {
            return Verdict::Timely(wait);
        }
        let late = self.late_wait();
        if late + self.run_time <= self.deadline_left {
            return Verdict::Late(late);
        }
        Verdict::Refused(late)
    }

    /// Returns the expected wait behind the requests that will be answered within their objective.
    #[must_use]
    pub fn late_wait(&self) -> Duration {
        // With nobody queued before it, the request gets the next slot that more urgent ones leave.
        let is_next = self.behind <= self.cost;
        let load = if is_next {
            self.urgent_load
        } else {
            self.urgent_load + self.equal_load
        };
        self.time_for(self.behind, load, MIN_LATE_SHARE, LATE_BURST_SECONDS)
    }

    /// Returns the expected wait among the requests that will be answered within their objective.
    ///
    /// Those of other tenants that have yet to arrive are served before the last ones of a tenant that has
    /// many queued.
    fn timely_wait(&self) -> Duration {
        let lasting = TIMELY_BURST_SECONDS;
        let others = self.urgent_load + (self.equal_load - self.own_load);
        let all = self.time_for(self.ahead, self.urgent_load, MIN_TIMELY_SHARE, lasting);
        let left = 1.0 - self.urgent_load.lately / self.capacity;
        let least = self.own_share * left.max(MIN_TIMELY_SHARE);
        all.max(self.time_for(self.own, others, least, lasting))
    }

    /// Returns the time in which the slots that a load leaves serve the work, and at least a share of all
    /// slots: the load of late for `lasting` seconds, and then the usual one.
    fn time_for(&self, work: Duration, load: Level, least: f64, lasting: f64) -> Duration {
        let left = |load: f64| (self.capacity - load).max(self.capacity * least);
        let work = work.as_secs_f64();
        let first = left(load.lately) * lasting;
        let seconds = if work <= first {
            work / left(load.lately)
        } else {
            lasting + (work - first) / left(load.usual)
        };
        if !seconds.is_finite() {
            return MAX_WAIT;
        }
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }
}
