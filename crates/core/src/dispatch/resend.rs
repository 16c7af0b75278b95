//! When a request that may be repeated is sent to a second upstream so that it is answered within its objective.
//!
//! Answers the load of a service of which some upstreams have stopped to answer while the others have slots to
//! spare: a request that runs for longer than most of its kind is sent again as long as another upstream probably
//! answers it in time.
//!
//! ```
//! use std::time::Duration;
//!
//! use persimmonbend_core::dispatch::Resend;
//!
//! let resend = Resend {
//!     left: Duration::from_millis(800),
//!     mean: Duration::from_millis(250),
//!     spread: Duration::from_millis(100),
//! };
//! assert_eq!(resend.after(), Some(Duration::from_millis(450)));
//! // A shorter objective is missed by a request that takes longer than most.
//! let short = Resend { left: Duration::from_millis(600), ..resend };
//! assert_eq!(short.after(), None);
//! ```

use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Dispatcher;
use crate::dispatch::Request;
use crate::dispatch::Timing;
use crate::dispatch::Upstream;
use crate::dispatch::timing::NINE_IN_TEN_SPREADS;
use crate::publication::Route;

/// Largest share of the healthy slots that are in use while requests are sent again to be in time; in a fuller
/// service a second send delays new requests.
const MAX_LOAD: f64 = 0.8;

/// A request that is about to run, and the time that requests of its route take.
#[derive(Debug, Clone, Copy)]
pub struct Resend {
    /// Time left to the objective.
    pub left: Duration,
    /// Mean time of the requests of the route.
    pub mean: Duration,
    /// Mean distance of these times to their mean.
    pub spread: Duration,
}

impl Resend {
    /// Returns the time after which a second send still is answered in time more often than not; `None` if nine in
    /// ten requests take longer than that on any upstream.
    #[must_use]
    pub fn after(&self) -> Option<Duration> {
        let second = self.mean + self.spread;
        let earliest = self.mean + self.spread.mul_f64(NINE_IN_TEN_SPREADS);
        let latest = self.left.checked_sub(second)?;
        (latest >= earliest).then_some(latest)
    }
}

impl Dispatcher {
    /// Returns the time after which a request that is granted now is sent again: `otherwise`, or earlier where that
    /// keeps its objective and takes neither slots nor retries that others need.
    pub(super) fn resend_after(
        &self,
        (route, timing): (&Route, &Timing),
        request: &Request,
        state: &Upstream,
        otherwise: Duration,
        now: Instant,
    ) -> Duration {
        let Some(pool) = self.pools.get(&request.service) else {
            return otherwise;
        };
        let busy = f64::from(pool.busy()) + 1.0;
        let is_full = busy > pool.free().healthy_capacity() * MAX_LOAD;
        // A suspect probably does not answer, so the second send only comes earlier.
        let is_full = is_full && !state.belief.is_suspect(now);
        let rank = self.rank(request, route, now);
        if is_full || !pool.has_retry(rank, &self.retries(), now) {
            return otherwise;
        }
        let objective = request.arrived + route.objective;
        let resend = Resend {
            left: objective.saturating_duration_since(now),
            mean: Duration::from_secs_f64(timing.mean()),
            spread: Duration::from_secs_f64(timing.spread()),
        };
        resend
            .after()
            .map_or(otherwise, |after| after.min(otherwise))
    }
}
