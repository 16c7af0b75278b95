//! Evacuation of zones under load: the capacity that is left is used, and nothing beyond it.

use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::error::Kind;
use persimmonbend_core::upstream::Stage;

use crate::fleet::Fleet;
use crate::fleet::RUN_TIME;
use crate::fleet::STEP;
use crate::world::IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

/// Zones of the upstreams, each with a third of them.
const ZONES: [&str; 12] = ["a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c"];

/// Requests that one upstream runs in one step of 10 ms.
const EACH_PER_STEP: f64 = 3.0 * 0.01 / 0.24;

/// Time after which the effects of a change are over: requests that were running, and the queue.
const SETTLED: Duration = Duration::from_secs(3);

const CHECKED: Duration = Duration::from_secs(10);

/// Returns a fleet whose upstreams are busy for a share of their time, after the evacuation of `zones`.
fn evacuated(load: f64, zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(24, ZONES.to_vec(), 7);
    // The dispatcher learns how long requests take before the load comes.
    fleet.run(SETTLED);
    fleet.arrivals_per_step = load * EACH_PER_STEP * ZONES.len() as f64;
    fleet.run(SETTLED);
    let ordered = fleet.now + STEP / 2;
    for zone in zones {
        fleet.announce(zone, Stage::Draining);
    }
    fleet.run(SETTLED);
    (fleet.served, fleet.refused) = (0, 0);
    fleet.longest_refused = Duration::ZERO;
    fleet.run(CHECKED);
    for upstream in zones.iter().flat_map(|zone| fleet.upstreams(zone)) {
        assert_eq!(fleet.count_since(upstream, ordered), 0, "{upstream}");
    }
    fleet
}

/// Returns the requests that a number of upstreams can run in the time that is checked.
fn capacity(upstreams: u32) -> f64 {
    3.0 * f64::from(upstreams) * CHECKED.as_secs_f64() / RUN_TIME.as_secs_f64()
}

#[test]
fn two_thirds_of_the_slots_take_over_all_requests_of_a_service_with_a_load_of_60_percent() {
    let fleet = evacuated(0.6, &["a"]);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn what_is_beyond_the_slots_left_at_a_load_of_90_percent_is_refused_early_and_the_rest_served() {
    for (zones, left) in [(&["a"] as &[&str], 8), (&["a", "b"], 4)] {
        let fleet = evacuated(0.9, zones);
        let served = fleet.served as f64 / capacity(left);
        assert!(served > 0.95, "{zones:?}: {served} of the capacity used");
        // Three quarters of the deadline of 2 s count as held for nothing.
        let longest = fleet.longest_refused;
        assert!(longest < Duration::from_millis(1_500), "{longest:?}");
    }
}

#[test]
fn requests_are_refused_at_once_and_told_when_to_return_while_all_zones_are_evacuated() {
    let mut world = World::new(&["a"]);
    let placed: Vec<_> = std::iter::from_fn(|| world.place(IDEMPOTENT)).collect();
    assert_eq!(placed.len(), 3);
    assert_eq!(world.dispatcher.queued(SERVICE), 1);
    assert!(world.update_upstream(1, "a", Stage::Draining).is_empty());
    let refused = world.dispatcher.tick(world.now);
    let request = world.request(IDEMPOTENT);
    let decisions = [refused[0].decision, world.reserve(request)];
    for decision in decisions {
        let Decision::Refused { kind, retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(kind, Kind::NoUpstream);
        assert!(retry_after >= Duration::from_millis(100), "{retry_after:?}");
    }
    assert_eq!(world.dispatcher.running(1), 3, "running requests go on");
    world.update_upstream(1, "a", Stage::Ready);
    let (ticket, _) = &placed[0];
    world.release(
        ticket,
        persimmonbend_core::health::Outcome::Answered,
        RUN_TIME,
    );
    assert!(world.place(IDEMPOTENT).is_some());
}

// The floor would send requests to upstreams that drain, as requests to the service fail.
#[test]
fn an_evacuated_upstream_is_not_kept_in_use_for_the_floor() {
    let mut world = World::new(&["a", "b"]);
    world.update_upstream(1, "a", Stage::Draining);
    for _ in 0..40 {
        if let Some((ticket, upstream)) = world.place(IDEMPOTENT) {
            assert_eq!(upstream, 2);
            let outcome = persimmonbend_core::health::Outcome::Failed;
            world.release(&ticket, outcome, RUN_TIME);
        }
        world.advance(Duration::from_millis(100));
    }
}
