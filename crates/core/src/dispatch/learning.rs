//! What the dispatcher learns from attempts, those that have ended and those that run long.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Completion;
use crate::dispatch::Dispatcher;
use crate::dispatch::Hold;
use crate::dispatch::LATE_LEAST;
use crate::dispatch::Timing;
use crate::health::Outcome;
use crate::publication::Route;

/// Multiple of the expected time after which a running attempt counts as late, and again after
/// twice as much.
const LATE_FACTOR: f64 = 3.0;

/// Times that one attempt can count as late.
const LATE_MOST: u32 = 2;

/// Time for which a host that could not connect to an upstream is sent elsewhere.
const PAIR_PAUSE: Duration = Duration::from_secs(4);

impl Dispatcher {
    pub(super) fn learn(&mut self, host: &str, hold: &Hold, end: &Completion, now: Instant) {
        let publication = Rc::clone(&self.publication);
        let Some(route) = publication.routes.get(&hold.route) else {
            return;
        };
        let mut timing = self.timing(&hold.route, route);
        let Some(pool) = self.pools.get_mut(&hold.service) else {
            return;
        };
        let Some(place) = pool.places.get_mut(&hold.upstream) else {
            return;
        };
        let own_doing = end.outcome == Outcome::TimedOut && timing.is_too_short();
        if !own_doing {
            // What the floor itself costs must not keep it in force.
            if !hold.forced {
                pool.health.observe(end.outcome, hold.last, now);
            }
            place.observe_end(end.outcome, now);
        }
        match end.outcome {
            Outcome::Answered => {
                place.observe(end.latency, &timing, now);
                pool.slot_time.observe(end.latency);
                timing.observe(end);
                self.timings.insert(hold.route.clone(), timing);
            }
            Outcome::TimedOut => {
                timing.observe_timeout();
                self.timings.insert(hold.route.clone(), timing);
            }
            Outcome::Unreachable => {
                let pair = (host.to_owned(), hold.upstream);
                self.pairs.insert(pair, now + PAIR_PAUSE);
            }
            Outcome::Moved => self.dismiss(hold.upstream),
            _ => {}
        }
    }

    pub(super) fn note_late(&mut self, now: Instant) {
        let publication = Rc::clone(&self.publication);
        let mut late = Vec::new();
        for (ticket, hold) in &self.held {
            if hold.late >= LATE_MOST {
                continue;
            }
            let Some(route) = publication.routes.get(&hold.route) else {
                continue;
            };
            let timing = self.timing(&hold.route, route);
            if timing.is_too_short() {
                continue;
            }
            let pool = self.pools.get(&hold.service);
            let place = pool.and_then(|pool| pool.places.get(&hold.upstream));
            let Some(place) = place else {
                continue;
            };
            let expected = place.expected(&timing, now) * LATE_FACTOR;
            let limit = Duration::from_secs_f64(expected).max(LATE_LEAST) * (hold.late + 1);
            if now.saturating_duration_since(hold.since) > limit {
                late.push((ticket.clone(), hold.upstream));
            }
        }
        for (ticket, upstream) in late {
            if let Some(hold) = self.held.get_mut(&ticket) {
                hold.late += 1;
            }
            if let Some(place) = self.place_mut(upstream) {
                place.belief.observe_late(now);
            }
        }
    }

    pub(super) fn timing(&self, name: &str, route: &Route) -> Timing {
        let known = self.timings.get(name).copied();
        known.unwrap_or_else(|| Timing::new(route.objective))
    }
}
