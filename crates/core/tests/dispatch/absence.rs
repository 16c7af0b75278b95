//! Hosts that are silent, or whose links end, while upstreams run their requests.

use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

/// Time within which the requests of these tests are due.
const DUE: Duration = Duration::from_secs(2);

/// Places three filings of `host-1`, which take all slots, and queues a read of `host-2` a second later.
fn full_world() -> (World, Vec<Ticket>) {
    let mut world = World::new(&["a"]);
    for host in ["host-1", "host-2"] {
        world.dispatcher.connect_host(host, world.now);
    }
    let tickets = (0..3).map(|_| world.place(NON_IDEMPOTENT).expect("a slot").0);
    let tickets = tickets.collect();
    world.advance(DUE / 2);
    let mut request = world.request(IDEMPOTENT);
    request.ticket.host = "host-2".to_owned();
    assert_eq!(world.reserve(request), Decision::Queued);
    (world, tickets)
}

fn grants(answers: &[Answer]) -> usize {
    let granted = |one: &&Answer| matches!(one.decision, Decision::Granted { .. });
    answers.iter().filter(granted).count()
}

fn report(world: &mut World, ticket: &Ticket) {
    let placement = Placement {
        ticket: ticket.clone(),
        service: SERVICE.to_owned(),
        upstream: 1,
        route: NON_IDEMPOTENT.to_owned(),
        body_bytes: 0,
    };
    world.dispatcher.record_running(placement, world.now);
}

#[test]
fn slots_of_a_silent_host_stay_in_use_until_its_requests_are_due() {
    for silence in [1, 5, 20].map(Duration::from_secs) {
        let (mut world, tickets) = full_world();
        world.dispatcher.disconnect_host("host-1", world.now);
        let (start, mut answers) = (world.now, Vec::new());
        while world.now < start + silence {
            world.advance(Duration::from_millis(50));
            let now = world.dispatcher.tick(world.now);
            let is_due = world.now >= start + DUE / 2;
            assert!(is_due || grants(&now) == 0, "{:?}", world.now - start);
            answers.extend(now);
        }
        assert_eq!(grants(&answers), 1);
        assert_eq!(world.dispatcher.running(1), 1);
        // Its requests have ended by then, so it has nothing to report, and its releases change nothing.
        world.dispatcher.connect_host("host-1", world.now);
        world.dispatcher.end_report("host-1", world.now);
        for ticket in tickets {
            world.release(&ticket, Outcome::TimedOut, DUE);
        }
        assert_eq!(world.dispatcher.running(1), 1);
    }
}

#[test]
fn a_host_that_returns_keeps_what_it_runs_and_frees_the_rest() {
    let (mut world, tickets) = full_world();
    world.dispatcher.disconnect_host("host-1", world.now);
    world.advance(DUE / 10);
    world.dispatcher.connect_host("host-1", world.now);
    report(&mut world, &tickets[0]);
    report(&mut world, &tickets[1]);
    assert_eq!(grants(&world.dispatcher.tick(world.now)), 0);
    let answers = world.dispatcher.end_report("host-1", world.now);
    assert_eq!(grants(&answers), 1);
    assert_eq!(world.dispatcher.running(1), 3);
    for ticket in &tickets[..2] {
        world.release(ticket, Outcome::Answered, DUE / 2);
    }
    assert_eq!(world.dispatcher.running(1), 1);
}

#[test]
fn a_host_that_links_to_the_next_leader_keeps_what_it_runs() {
    let (_, tickets) = full_world();
    let mut next = World::new(&["a"]);
    next.dispatcher.connect_host("host-1", next.now);
    for ticket in &tickets {
        report(&mut next, ticket);
    }
    assert!(next.dispatcher.end_report("host-1", next.now).is_empty());
    assert!(next.place(NON_IDEMPOTENT).is_none());
    next.dispatcher.disconnect_host("host-1", next.now);
    next.advance(DUE);
    next.dispatcher.tick(next.now);
    assert_eq!(next.dispatcher.running(1), 0);
}

#[test]
fn the_silence_of_an_absent_host_does_not_make_its_upstreams_suspect() {
    let mut world = World::new(&["a"; 4]);
    world.dispatcher.connect_host("host-1", world.now);
    let mut placed = Vec::new();
    for _ in 0..8 {
        let mut request = world.request(NON_IDEMPOTENT);
        request.deadline += Duration::from_secs(60);
        placed.push(world.reserve(request));
    }
    world.dispatcher.disconnect_host("host-1", world.now);
    for _ in 0..100 {
        world.advance(Duration::from_millis(100));
        world.dispatcher.tick(world.now);
    }
    assert!(world.dispatcher.suspects(world.now).is_empty());
    assert_eq!(
        (1..=4)
            .map(|one| world.dispatcher.running(one))
            .sum::<u32>(),
        8
    );
    world.advance(Duration::from_secs(20));
    world.dispatcher.tick(world.now);
    assert_eq!(
        (1..=4)
            .map(|one| world.dispatcher.running(one))
            .sum::<u32>(),
        0
    );
}

#[test]
fn a_host_that_stops_as_planned_frees_its_slots_at_once() {
    let (mut world, _) = full_world();
    assert_eq!(
        grants(&world.dispatcher.remove_host("host-1", world.now)),
        1
    );
    assert_eq!(world.dispatcher.running(1), 1);
}

/// An upstream that a roster left out for a moment got its slots, and the bytes it holds, twice.
#[test]
fn an_upstream_that_is_listed_again_still_runs_what_it_ran() {
    let mut world = World::new(&["a", "a"]);
    let place = |world: &mut World| {
        let mut request = world.request(NON_IDEMPOTENT);
        (request.avoid, request.body_bytes) = (vec![2], 7_000);
        let ticket = request.ticket.clone();
        let decision = world.reserve(request);
        assert!(matches!(decision, Decision::Granted { upstream: 1, .. }));
        ticket
    };
    let first = place(&mut world);
    world.dispatcher.retain_upstreams(&[2].into());
    world.update_upstream(1, "a", Stage::Ready);
    let held = |world: &World| {
        let loads = world.dispatcher.dump(world.now).into_iter();
        let mut loads = loads.filter(|load| load.upstream == 1);
        loads.next().map(|load| (load.running, load.held_bytes))
    };
    assert_eq!(held(&world), Some((1, 7_000)));
    place(&mut world);
    world.release(&first, Outcome::Answered, DUE / 4);
    assert_eq!(held(&world), Some((1, 7_000)));
}
