//! Calls of upstreams in every order: announcements, departures, crashes, starts and changes of leader.

#[path = "admission/world.rs"]
mod world;

use std::rc::Rc;

use persimmonbend_check::tester;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::roster::MAX_UNKNOWN_DEPARTURES;
use persimmonbend_core::upstream::Stage;

use crate::world::DELAY_MS;
use crate::world::INTERVAL_MS;
use crate::world::SKEW_MS;
use crate::world::World;

/// Time by which a start that was left out by mistake is used again: it has to be heard for the longest delay, from
/// its next announcement on, and no announcement comes at the very end of that.
const RETURN_MS: u64 = DELAY_MS + 2 * INTERVAL_MS;

/// Scripts of calls that are played; few of them bring about the rarer orders.
const SCRIPTS: u64 = 3_000;

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
    let cases = [
        (false, SKEW_MS + 1, 1),
        (false, SKEW_MS + 1, 2),
        (true, 1, 1),
        (true, 5_000, 2),
    ];
    for (is_repeated, pause_ms, port) in cases {
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
        let second = world.start("u", port, 0);
        assert!(world.announce(second), "{is_repeated} {pause_ms}");
        assert!(world.is_used(second), "{is_repeated} {pause_ms}");
    }
}

/// The departure of the start before arrived late and took the next one out for good.
#[test]
fn a_late_departure_takes_the_next_start_out_for_a_bounded_time() {
    for change in ["none", "leader", "all"] {
        let mut world = World::new();
        let first = world.start("u", 1, 0);
        world.announce(first);
        world.crash(first);
        world.pass(500);
        let second = world.start("u", 1, 0);
        world.announce(second);
        world.pass(2_300);
        world.leave(first, 0);
        assert!(!world.is_used(second));
        assert!(
            !world.announce(second),
            "a refused announcement is not acknowledged"
        );
        match change {
            "leader" => world.change_leader(),
            "all" => world.kill_all(),
            _ => {}
        }
        world.announce_for(&[second], RETURN_MS);
        assert!(world.is_used(second), "{change}");
        world.kill_all();
        assert!(world.is_used(second), "{change}");
        assert!(world.announce(second), "{change}");
    }
}

/// A start whose clock was set back is older than the one before by its own word.
#[test]
fn a_start_with_a_clock_set_back_is_used_after_a_bounded_time() {
    let mut world = World::new();
    let first = world.start("u", 1, 5_000);
    world.announce(first);
    world.crash(first);
    let second = world.start("u", 1, -2_000);
    assert!(!world.announce(second));
    world.announce_for(&[second], RETURN_MS);
    assert!(world.is_used(second));
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

/// One announcement for a service of no configuration took the upstream at its address out for good.
#[test]
fn an_announcement_for_an_unknown_service_displaces_nobody() {
    let mut world = World::new();
    let sound = world.start("u", 1, 0);
    world.announce(sound);
    world.pass(1_000);
    for (id, port) in [("other", 1), ("u", 1), ("u", 2)] {
        assert!(
            !world.announce_as(id, port, "nobody", 100_000),
            "{id} {port}"
        );
        assert!(world.is_used(sound), "{id} {port}");
    }
    // A service that is named later gets its upstream with the next announcement, and a withdrawn one loses none.
    assert!(world.announce_as("free", 3, "nobody", 0));
    world.publish(&["nobody"]);
    assert!(world.announce_as("other", 1, "nobody", 100_000));
    assert!(!world.is_used(sound), "the address has passed on");
}

#[test]
fn an_address_that_passes_on_is_followed_at_once_and_one_that_does_not_returns() {
    let mut world = World::new();
    let old = world.start("old", 1, 0);
    world.announce(old);
    world.pass(2_000);
    let new = world.start("new", 1, 0);
    assert!(world.announce(new));
    assert!(world.is_used(new) && !world.is_used(old));
    world.announce_for(&[old, new], 3 * RETURN_MS);
    assert!(world.is_used(new) && !world.is_used(old), "both are heard");
    world.announce_for(&[old], RETURN_MS);
    assert!(world.is_used(old) && !world.is_used(new), "one is heard");
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
    world.announce_for(&[second], 3 * RETURN_MS);
    assert!(!world.is_used(second));
    world.kill_all();
    world.announce_for(&[second], 3 * RETURN_MS);
    assert!(!world.is_used(second));
}

/// One message of a stranger must not take an upstream out for good, whatever start it names.
#[test]
fn a_departure_that_names_a_start_of_the_future_takes_nobody_out_for_good() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.announce(start);
    world.leave_as_start("u", u64::MAX);
    world.announce_for(&[start], RETURN_MS);
    assert!(world.is_used(start));
    world.crash(start);
    world.pass(1_000);
    let next = world.start("u", 1, 0);
    assert!(world.announce(next));
    assert!(world.is_used(next));
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

/// A drain that a later sequence had overtaken was acknowledged and ignored.
#[test]
fn an_acknowledged_drain_binds_whatever_its_sequence() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.announce_late(start, 7);
    assert!(world.is_used(start));
    assert!(world.drain(start));
    assert!(!world.is_used(start));
    world.announce_late(start, 6);
    assert!(!world.is_used(start));
}

/// A replica that had missed how a start was reinstated refused it once it led.
#[test]
fn a_leader_that_remembers_a_departure_goes_by_the_roster() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.announce(start);
    world.leave_as("u");
    let before = world.admission_of_a_follower();
    world.announce_for(&[start], RETURN_MS);
    world.lead_with(before);
    assert!(world.announce_as_starting(start));
    assert!(world.is_used(start));
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
    let second = world.start("v", 2, 0);
    world.announce(second);
    world.pass(10);
    world.leave_as("v");
    world.announce_for(&[second], RETURN_MS);
    assert!(world.is_used(second));
    assert_eq!(world.level(), 4);
}

#[test]
fn a_reinstated_start_is_refused_by_no_build_that_reads_the_log() {
    let mut world = World::new();
    let start = world.start("u", 1, 0);
    world.announce(start);
    world.leave_as("u");
    let announcement = world.announcement(start, Stage::Ready);
    let command = Command::Reinstate { announcement };
    let bytes = serde_json::to_vec(&command).unwrap();
    assert_eq!(serde_json::from_slice::<Command>(&bytes).unwrap(), command);
    let mut machine: Machine = world.machine().clone();
    machine.apply(&command);
    let entry = machine.roster().get("u").unwrap();
    assert_eq!(entry.announcement.stage, Stage::Ready);
    let before = Rc::new(entry.clone());
    machine.apply(&command);
    assert_eq!(machine.roster().get("u"), Some(before.as_ref()));
}

/// An action, to whom, the pause after it and the delay of its call, each from one byte.
type Step = (u8, u8, u8, u8);

/// Returns whether what has to hold holds while calls of two upstreams at two addresses come in some order.
fn holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for (action, who, pause, delay) in steps {
        world.act(action, who, delay);
        world.pass(u64::from(pause) * 8);
        if !world.departures_bind() {
            return false;
        }
    }
    // Calls that are under way arrive, and then all is calm.
    world.end_delays();
    world.pass(2 * DELAY_MS + 2 * RETURN_MS);
    world.departures_bind() && world.all_sound_are_used()
}

#[test]
fn acknowledged_departures_bind_and_sound_starts_return() {
    tester("acknowledged_departures_bind_and_sound_starts_return")
        .tests(SCRIPTS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
