//! Services without free slots: the order of the queue, and requests that are refused at once.

use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::steward::Ticket;

use crate::world::IDEMPOTENT;
use crate::world::LOW_PRIORITY;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

const RUN_TIME: Duration = Duration::from_millis(240);

/// Returns a world whose one upstream is full, with the tickets that hold its slots.
fn full_world() -> (World, Vec<Ticket>) {
    let mut world = World::new(&["a"]);
    for _ in 0..20 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).expect("a free slot");
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let held = (0..3)
        .map(|_| world.place(NON_IDEMPOTENT).expect("a free slot").0)
        .collect();
    (world, held)
}

fn granted(answers: &[Answer]) -> Vec<u32> {
    let granted = answers
        .iter()
        .filter(|answer| matches!(answer.decision, Decision::Granted { .. }));
    granted.map(|answer| answer.ticket.number).collect()
}

#[test]
fn a_higher_priority_is_served_first_and_equal_ones_in_order() {
    let (mut world, held) = full_world();
    let requests =
        [LOW_PRIORITY, IDEMPOTENT, LOW_PRIORITY, NON_IDEMPOTENT].map(|route| world.request(route));
    let numbers = requests.clone().map(|request| request.ticket.number);
    for request in requests {
        assert_eq!(world.reserve(request), Decision::Queued);
    }
    let mut order = Vec::new();
    for ticket in &held {
        order.extend(granted(&world.release(ticket, Outcome::Answered, RUN_TIME)));
    }
    assert_eq!(order, [numbers[1], numbers[3], numbers[0]]);
}

#[test]
fn queued_tenants_are_served_in_turn() {
    let (mut world, held) = full_world();
    let mut tenant = |name: &str| {
        let mut request = world.request(IDEMPOTENT);
        request.tenant = Some(name.to_owned());
        let number = request.ticket.number;
        assert_eq!(world.reserve(request), Decision::Queued);
        number
    };
    let many = ["loud"; 3].map(&mut tenant);
    let one = tenant("quiet");
    let mut order = Vec::new();
    for ticket in &held {
        order.extend(granted(&world.release(ticket, Outcome::Answered, RUN_TIME)));
    }
    assert!(order.contains(&one), "{order:?} lacks {one}");
    assert!(order.contains(&many[0]), "{order:?} lacks {}", many[0]);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let (mut world, _) = full_world();
    let mut refused = None;
    for count in 0..200 {
        let request = world.request(IDEMPOTENT);
        if let Decision::Refused { kind, retry_after } = world.reserve(request) {
            refused = Some((count, kind, retry_after));
            break;
        }
    }
    // Three slots at 240 ms serve about 22 requests before the deadline of 2 s.
    let (count, kind, retry_after) = refused.unwrap();
    assert!((12..=28).contains(&count), "{count} were taken");
    assert_eq!(kind, Kind::Overloaded);
    assert!(retry_after >= Duration::from_millis(500), "{retry_after:?}");
    assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
}

#[test]
fn a_queued_request_is_refused_before_its_deadline() {
    let (mut world, _) = full_world();
    let request = world.request(IDEMPOTENT);
    let (number, deadline) = (request.ticket.number, request.deadline);
    assert_eq!(world.reserve(request), Decision::Queued);
    let answer = loop {
        world.advance(Duration::from_millis(50));
        let answers = world.dispatcher.tick(world.now);
        if let Some(answer) = answers.into_iter().find(|one| one.ticket.number == number) {
            break answer;
        }
        assert!(world.now < deadline);
    };
    assert!(matches!(
        answer.decision,
        Decision::Refused {
            kind: Kind::Overloaded,
            ..
        }
    ));
    assert_eq!(world.dispatcher.queued(crate::world::SERVICE), 0);
}

#[test]
fn a_withdrawn_request_is_not_placed() {
    let (mut world, held) = full_world();
    let request = world.request(IDEMPOTENT);
    let ticket = request.ticket.clone();
    world.reserve(request);
    world.release(&ticket, Outcome::Cancelled, Duration::ZERO);
    assert!(granted(&world.release(&held[0], Outcome::Answered, RUN_TIME)).is_empty());
    assert_eq!(world.dispatcher.running(1), 2);
}

#[test]
fn an_idempotent_request_times_out_early_enough_for_another_attempt() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..40 {
        let (ticket, _) = world.place(IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let attempt_timeout = |world: &mut World, route: &str, attempts: u32| {
        let mut request = world.request(route);
        request.attempts = attempts;
        let ticket = request.ticket.clone();
        let Decision::Granted {
            attempt_timeout, ..
        } = world.reserve(request)
        else {
            panic!("there are free slots");
        };
        world.release(&ticket, Outcome::Cancelled, Duration::ZERO);
        attempt_timeout
    };
    let first = attempt_timeout(&mut world, IDEMPOTENT, 0).unwrap();
    assert!(
        first > RUN_TIME * 3 && first < Duration::from_millis(1_600),
        "{first:?}"
    );
    assert_eq!(attempt_timeout(&mut world, IDEMPOTENT, 1), None);
    assert_eq!(attempt_timeout(&mut world, NON_IDEMPOTENT, 0), None);
}
