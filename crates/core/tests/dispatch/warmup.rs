//! Requests to upstreams that are cold, over a whole fleet.

use std::time::Duration;

use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::upstream::Stage;

use crate::fleet::Fleet;
use crate::world::IDEMPOTENT;
use crate::world::World;

/// Requests a second that a cold upstream takes, a fifth of what it could run.
const PER_SECOND: f64 = 2.5;

/// Time for which an upstream is cold.
const WARMUP: Duration = Duration::from_secs(3);

/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

const ZONES: [&str; 12] = ["a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c"];

/// Requests that one upstream runs in one step of 10 ms.
const EACH_PER_STEP: f64 = 3.0 * 0.01 / 0.24;

fn fleet(host_count: usize, load: f64) -> Fleet {
    let mut fleet = Fleet::new(host_count, ZONES.to_vec(), 11);
    fleet.arrivals_per_step = load * EACH_PER_STEP * ZONES.len() as f64;
    fleet.set_warmup(PER_SECOND, WARMUP);
    fleet.run(Duration::from_secs(3));
    fleet
}

/// Lets a zone stay cold for some heartbeats.
fn stay_cold(fleet: &mut Fleet, heartbeats: u32) {
    for _ in 0..heartbeats {
        fleet.run(HEARTBEAT);
        fleet.renew("a");
    }
}

/// Checks that no upstream of the zone `a` got more in any window than operators tolerate.
fn check_windows(fleet: &Fleet, from: std::time::Instant, what: &str) {
    for upstream in fleet.upstreams("a") {
        for seconds in [1, 2, 5] {
            let most = fleet.most_in_a_window(upstream, Duration::from_secs(seconds), from);
            #[allow(clippy::cast_precision_loss)]
            let tolerated = PER_SECOND * seconds as f64 * 1.5 + 8.0;
            assert!(
                (most as f64) <= tolerated,
                "{what}: {most} requests in {seconds} s, {tolerated} tolerated"
            );
        }
    }
}

#[test]
fn a_zone_that_becomes_cold_under_full_load_is_not_pressed_and_warm_upstreams_serve_on() {
    let mut fleet = fleet(24, 0.9);
    let from = fleet.now;
    fleet.announce("a", Stage::Starting);
    stay_cold(&mut fleet, 2);
    (fleet.served, fleet.refused) = (0, 0);
    stay_cold(&mut fleet, 6);
    check_windows(&fleet, from, "cold");
    // Eight warm upstreams with three slots each, for which the requests of the others wait.
    let warm = 8.0 * EACH_PER_STEP * 900.0;
    let served = fleet.served as f64;
    assert!(served > 0.95 * warm, "{served} served, {warm} expected");
    assert!(fleet.longest_refused < Duration::from_millis(1_500));
    fleet.announce("a", Stage::Ready);
    fleet.run(Duration::from_secs(4));
    (fleet.served, fleet.refused) = (0, 0);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.refused, 0, "warm upstreams take their part again");
}

#[test]
fn a_zone_that_returns_cold_from_an_evacuation_takes_its_part_step_by_step() {
    let mut fleet = fleet(24, 0.9);
    fleet.announce("a", Stage::Draining);
    fleet.run(Duration::from_secs(6));
    let from = fleet.now;
    // The operator's order comes before the announcement that the upstreams are cold.
    fleet.announce("a", Stage::Ready);
    fleet.run(HEARTBEAT);
    fleet.announce("a", Stage::Starting);
    stay_cold(&mut fleet, 3);
    check_windows(&fleet, from, "readmitted");
    for upstream in fleet.upstreams("a") {
        assert!(fleet.count_since(upstream, from) > 0, "{upstream} unused");
    }
}

#[test]
fn cold_upstreams_are_spared_by_hosts_on_their_own_and_by_the_next_leader() {
    for host_count in [3, 48, 442] {
        let mut fleet = fleet(host_count, 0.5);
        let from = fleet.now;
        fleet.announce("a", Stage::Starting);
        fleet.run(Duration::from_secs(1));
        fleet.lose_leader();
        fleet.run(Duration::from_millis(1_500));
        fleet.elect_leader();
        stay_cold(&mut fleet, 3);
        check_windows(&fleet, from, &format!("{host_count} hosts"));
    }
}

#[test]
fn a_limit_of_a_cold_upstream_ends_with_its_word_or_its_time() {
    let limited = |world: &World| world.dispatcher.count_cold() == 1;
    for (ends_with_word, renewals) in [(true, 0), (false, 0), (false, 4)] {
        let mut world = World::new(&["a"]);
        world.set_warmup(PER_SECOND, WARMUP);
        assert!(!limited(&world));
        world.update_upstream(1, "a", Stage::Starting);
        for _ in 0..renewals {
            world.advance(HEARTBEAT);
            world.dispatcher.renew_upstream(1, world.now);
        }
        world.advance(WARMUP / 2);
        world.dispatcher.tick(world.now);
        assert!(limited(&world));
        if ends_with_word {
            world.update_upstream(1, "a", Stage::Ready);
        } else {
            world.advance(WARMUP / 2);
            world.dispatcher.tick(world.now);
        }
        assert!(!limited(&world));
        let placed = (0..3).filter_map(|_| world.place(IDEMPOTENT)).count();
        assert_eq!(placed, 3);
    }
}

#[test]
fn services_without_terms_do_not_limit_their_cold_upstreams() {
    let mut world = World::new(&["a"]);
    world.update_upstream(1, "a", Stage::Starting);
    assert!(world.place(IDEMPOTENT).is_some());
    assert_eq!(world.dispatcher.count_cold(), 0);
    world.set_warmup(PER_SECOND, WARMUP);
    assert_eq!(world.dispatcher.count_cold(), 1);
    assert!(world.place(IDEMPOTENT).is_none());
}

#[test]
fn the_lower_one_of_a_stated_limit_and_the_terms_counts() {
    for (stated, expected) in [(1.0, 1), (100.0, 2)] {
        let mut world = World::new(&["a"]);
        world.set_warmup(2.0, Duration::from_secs(60));
        world.update_upstream(1, "a", Stage::Starting);
        let statement = Statement {
            limit: Limit::try_from(stated).ok(),
            ..Statement::default()
        };
        let now = world.now;
        world
            .dispatcher
            .note_statement("host-1", 1, &statement, now);
        for _ in 0..105 {
            world.place(IDEMPOTENT);
            world.advance(Duration::from_millis(10));
            world.dispatcher.tick(world.now);
        }
        let placed = world.dispatcher.running(1);
        assert_eq!(placed, expected, "{stated} stated");
    }
}
