//! Hosts whose own paths to upstreams are cut off, and what their reports mean for the others.

use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

/// Upstreams of the service.
const UPSTREAMS: usize = 10;

/// Hosts that are cut off from all of them.
const CUT_OFF: usize = 8;

fn host_name(number: usize) -> String {
    format!("cut-{number}")
}

/// Places a request of a host; returns its ticket and upstream.
fn place(world: &mut World, host: &str, route: &str) -> (Ticket, Number) {
    let mut request = world.request(route);
    request.ticket.host = host.to_owned();
    let ticket = request.ticket.clone();
    match world.reserve(request) {
        Decision::Granted { upstream, .. } => (ticket, upstream),
        other => panic!("{other:?}"),
    }
}

/// Lets one host that reaches all upstreams have some answers.
fn warm_up(world: &mut World) {
    for _ in 0..5 * UPSTREAMS {
        let (ticket, _) = world.place(IDEMPOTENT).expect("a slot");
        world.release(&ticket, Outcome::Answered, Duration::from_millis(20));
        world.advance(Duration::from_millis(10));
    }
}

/// Lets each host that is cut off have several requests end with an outcome, as at the start of a cut.
fn cut_off(world: &mut World, outcome: Outcome) {
    for round in 0..4 {
        for number in 0..CUT_OFF {
            let route = [IDEMPOTENT, NON_IDEMPOTENT][round % 2];
            let (ticket, _) = place(world, &host_name(number), route);
            world.release(&ticket, outcome, Duration::from_millis(500));
        }
        world.advance(Duration::from_millis(100));
    }
}

#[test]
fn the_reports_of_hosts_that_are_cut_off_do_not_make_upstreams_suspect() {
    let outcomes = [Outcome::TimedOut, Outcome::Truncated, Outcome::Unreachable];
    for outcome in outcomes {
        let mut world = World::new(&["a"; UPSTREAMS]);
        warm_up(&mut world);
        cut_off(&mut world, outcome);
        let suspects = world.dispatcher.suspects(world.now);
        assert!(suspects.len() <= 1, "{outcome:?}: {suspects:?}");
    }
}

#[test]
fn requests_that_hang_at_hosts_that_are_cut_off_do_not_make_upstreams_suspect() {
    let mut world = World::new(&["a"; UPSTREAMS]);
    warm_up(&mut world);
    for number in 0..CUT_OFF {
        for _ in 0..3 {
            place(&mut world, &host_name(number), IDEMPOTENT);
        }
    }
    for _ in 0..20 {
        world.advance(Duration::from_millis(100));
        world.dispatcher.tick(world.now);
    }
    let suspects = world.dispatcher.suspects(world.now);
    assert!(suspects.len() <= 1, "{suspects:?}");
}

#[test]
fn the_reports_of_hosts_that_are_in_contact_speak_against_an_upstream() {
    let mut world = World::new(&["a"; UPSTREAMS]);
    warm_up(&mut world);
    let failing = 3;
    for _ in 0..4 {
        for number in 0..CUT_OFF {
            let (ticket, upstream) = place(&mut world, &host_name(number), IDEMPOTENT);
            let outcome = if upstream == failing {
                Outcome::TimedOut
            } else {
                Outcome::Answered
            };
            world.release(&ticket, outcome, Duration::from_millis(20));
            world.advance(Duration::from_millis(20));
        }
        world.advance(Duration::from_millis(400));
    }
    let grey = |number| world.dispatcher.grey(number, world.now).expect("a belief");
    let others = (1..).take(UPSTREAMS).filter(|number| *number != failing);
    let most = others.map(grey).fold(0.0, f64::max);
    assert!(grey(failing) > 2.0 * most, "{} and {most}", grey(failing));
}

/// Many upstreams lost a part of their answers; a host that met two of them in a row counted as cut off, and what
/// it had seen never counted, though it was answered by a third a moment later.
#[test]
fn lost_answers_at_two_upstreams_in_a_row_count_once_a_third_responds_to_the_host() {
    let mut world = World::new(&["a"; UPSTREAMS]);
    warm_up(&mut world);
    let mut losing = Vec::new();
    for _ in 0..2 {
        let (ticket, upstream) = place(&mut world, "host-2", NON_IDEMPOTENT);
        world.advance(Duration::from_millis(20));
        world.release(&ticket, Outcome::Truncated, Duration::from_millis(20));
        losing.push(upstream);
    }
    assert_ne!(losing[0], losing[1]);
    // Other hosts are answered by the same upstreams now and then.
    let placed: Vec<_> = (0..3 * UPSTREAMS)
        .map(|_| world.place(IDEMPOTENT).expect("a slot"))
        .collect();
    world.advance(Duration::from_millis(50));
    for (ticket, _) in placed {
        world.release(&ticket, Outcome::Answered, Duration::from_millis(50));
    }
    let before: Vec<f64> = losing
        .iter()
        .map(|one| world.dispatcher.grey(*one, world.now).expect("a belief"))
        .collect();
    let (ticket, other) = place(&mut world, "host-2", NON_IDEMPOTENT);
    world.release(&ticket, Outcome::Answered, Duration::from_millis(20));
    for (upstream, before) in losing.into_iter().zip(before) {
        let grey = world
            .dispatcher
            .grey(upstream, world.now)
            .expect("a belief");
        assert!(
            upstream == other || grey > 2.0 * before,
            "{upstream}: {grey} after {before}"
        );
    }
}
