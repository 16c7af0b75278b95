//! Calls of upstreams in every order: announcements, departures, crashes, starts and changes of leader.

#[path = "admission/world.rs"]
mod world;

use persimmonbend_core::roster::MAX_UNKNOWN_DEPARTURES;

use crate::world::SKEW_MS;
use crate::world::World;

/// A departure of an upstream that the roster did not know left no trace, and the late first announcement
/// registered it again.
#[test]
fn a_late_first_announcement_brings_no_departed_upstream_back() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.pass(900);
    world.leave(start, 0);
    world.pass(2_100);
    world.announce_late(start, 1);
    assert!(!world.is_used(start));
    world.kill_all();
    world.announce_late(start, 1);
    assert!(!world.is_used(start));
}

/// The departure was noted with the start before, which had crashed, so the late announcement counted as newer.
#[test]
fn a_late_first_announcement_of_the_start_after_a_crash_brings_it_not_back() {
    let mut world = World::new();
    let first = world.start("u", 1, 0);
    world.announce(first);
    world.pass(5_000);
    world.crash(first);
    let second = world.start("u", 1, 0);
    world.pass(900);
    world.leave(second, 0);
    world.pass(2_100);
    world.announce_late(second, 1);
    assert!(!world.is_used(second));
    assert!(!world.is_used(first));
}

#[test]
fn a_start_that_returns_is_used_at_once() {
    for (is_repeated, pause_ms) in [(false, SKEW_MS + 1), (true, 1), (true, 5_000)] {
        let mut world = World::new();
        let first = world.start("u", 1, 0);
        world.announce(first);
        world.leave(first, 0);
        if is_repeated {
            world.pass(2_500);
            world.leave(first, 0);
        }
        world.crash(first);
        world.pass(pause_ms);
        let second = world.start("u", 1, 0);
        assert!(world.announce(second), "{is_repeated} {pause_ms}");
        assert!(world.is_used(second), "{is_repeated} {pause_ms}");
    }
}

/// A clock that is ahead made a start seem to come after its own departure.
#[test]
fn a_late_announcement_with_a_clock_ahead_brings_no_departed_upstream_back() {
    for (ahead_ms, life_ms) in [(6_000, 900), (900, 300), (3_500, 10)] {
        let mut world = World::new();
        let start = world.start("u", 1, ahead_ms);
        world.pass(life_ms);
        world.leave(start, 0);
        world.pass(2_100);
        world.announce_late(start, 1);
        assert!(!world.is_used(start), "{ahead_ms} {life_ms}");
    }
}

#[test]
fn a_start_that_names_itself_has_left_for_good_and_takes_no_other_with_it() {
    let mut world = World::new();
    let first = world.start("u", 1, 0);
    world.announce(first);
    world.pass(1_000);
    let second = world.start("u", 1, 0);
    world.announce(second);
    world.leave_by_name(first);
    assert!(world.is_used(second), "a departure of the start before");
    world.leave_by_name(second);
    world.announce_for(&[second], 15_000);
    assert!(!world.is_used(second));
    world.kill_all();
    world.announce_for(&[second], 15_000);
    assert!(!world.is_used(second));
}

/// A start that drained before it was registered was acknowledged, and nothing was noted.
#[test]
fn an_acknowledged_drain_of_a_refused_start_binds() {
    let mut world = World::new();
    let holder = world.start("holder", 1, 5_000);
    world.announce(holder);
    let start = world.start("u", 1, 0);
    assert!(world.drain(start));
    world.crash(holder);
    world.leave(holder, 0);
    world.announce_late(start, 1);
    assert!(!world.is_used(start));
}

/// Anybody can send departures of upstreams that do not exist.
#[test]
fn departures_of_unknown_upstreams_push_no_others_out() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.announce(start);
    world.leave(start, 0);
    let late = world.start("late", 2, 0);
    for number in 0..8 * MAX_UNKNOWN_DEPARTURES {
        world.leave_as(&format!("nobody-{number}"));
    }
    world.leave(late, 0);
    assert!(world.roster_len() <= MAX_UNKNOWN_DEPARTURES + 2);
    world.kill_all();
    for one in [start, late] {
        world.announce_late(one, 1);
        assert!(!world.is_used(one));
    }
}

/// Departures in the log are commands that the builds before apply, to the same state.
#[test]
fn departures_need_no_command_of_this_build() {
    let mut world = World::new();
    let first = world.start("u", 1, 0);
    world.announce(first);
    world.leave(first, 0);
    world.leave_as("unknown");
    assert_eq!(world.level(), 1);
}
