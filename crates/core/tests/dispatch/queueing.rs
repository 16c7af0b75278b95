//! Full services: who waits, in which order, and who is refused at once.

use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::steward::Ticket;

use crate::world::AGAIN;
use crate::world::LATER;
use crate::world::ONCE;
use crate::world::World;

const RUN: Duration = Duration::from_millis(240);

/// Returns a world whose one upstream is full, with the tickets that hold its slots.
fn full() -> (World, Vec<Ticket>) {
    let mut world = World::new(&["a"]);
    for _ in 0..20 {
        let (ticket, _) = world.place(ONCE).expect("a free slot");
        world.pass(RUN);
        world.release(&ticket, Outcome::Answered, RUN);
    }
    let held = (0..3)
        .map(|_| world.place(ONCE).expect("a free slot").0)
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
fn a_higher_rank_goes_first_and_equals_in_order() {
    let (mut world, held) = full();
    let asks = [LATER, AGAIN, LATER, ONCE].map(|route| world.ask(route));
    let numbers = asks.clone().map(|ask| ask.ticket.number);
    for ask in asks {
        assert_eq!(world.reserve(ask), Decision::Queued);
    }
    let mut order = Vec::new();
    for ticket in &held {
        order.extend(granted(&world.release(ticket, Outcome::Answered, RUN)));
    }
    assert_eq!(order, [numbers[1], numbers[3], numbers[0]]);
}

#[test]
fn tenants_take_turns() {
    let (mut world, held) = full();
    let mut tenant = |name: &str| {
        let mut ask = world.ask(AGAIN);
        ask.tenant = Some(name.to_owned());
        let number = ask.ticket.number;
        assert_eq!(world.reserve(ask), Decision::Queued);
        number
    };
    let many = ["loud"; 3].map(&mut tenant);
    let one = tenant("quiet");
    let mut order = Vec::new();
    for ticket in &held {
        order.extend(granted(&world.release(ticket, Outcome::Answered, RUN)));
    }
    assert!(order.contains(&one), "{order:?} lacks {one}");
    assert!(order.contains(&many[0]), "{order:?} lacks {}", many[0]);
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let (mut world, _) = full();
    let mut refused = None;
    for count in 0..200 {
        let ask = world.ask(AGAIN);
        if let Decision::Refused { kind, retry_after } = world.reserve(ask) {
            refused = Some((count, kind, retry_after));
            break;
        }
    }
    // Three slots at 240 ms serve some 22 requests in what is left of two seconds.
    let (count, kind, retry_after) = refused.unwrap();
    assert!((12..=28).contains(&count), "{count} were taken");
    assert_eq!(kind, Kind::Overloaded);
    assert!(retry_after >= Duration::from_millis(500), "{retry_after:?}");
    assert!(retry_after <= Duration::from_secs(2), "{retry_after:?}");
}

#[test]
fn one_that_waits_is_refused_before_its_deadline_and_not_held_to_it() {
    let (mut world, _) = full();
    let ask = world.ask(AGAIN);
    let (number, deadline) = (ask.ticket.number, ask.deadline);
    assert_eq!(world.reserve(ask), Decision::Queued);
    let answer = loop {
        world.pass(Duration::from_millis(50));
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
fn one_that_was_withdrawn_is_not_placed() {
    let (mut world, held) = full();
    let ask = world.ask(AGAIN);
    let ticket = ask.ticket.clone();
    world.reserve(ask);
    world.release(&ticket, Outcome::Cancelled, Duration::ZERO);
    assert!(granted(&world.release(&held[0], Outcome::Answered, RUN)).is_empty());
    assert_eq!(world.dispatcher.running(1), 2);
}

#[test]
fn a_request_that_may_be_repeated_is_given_up_in_time_for_another_attempt() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..40 {
        let (ticket, _) = world.place(AGAIN).unwrap();
        world.pass(RUN);
        world.release(&ticket, Outcome::Answered, RUN);
    }
    let attempt_timeout = |world: &mut World, route: &str, attempts: u32| {
        let mut ask = world.ask(route);
        ask.attempts = attempts;
        let ticket = ask.ticket.clone();
        let Decision::Granted {
            attempt_timeout, ..
        } = world.reserve(ask)
        else {
            panic!("there are free slots");
        };
        world.release(&ticket, Outcome::Cancelled, Duration::ZERO);
        attempt_timeout
    };
    let first = attempt_timeout(&mut world, AGAIN, 0).unwrap();
    assert!(
        first > RUN * 3 && first < Duration::from_millis(1_600),
        "{first:?}"
    );
    assert_eq!(attempt_timeout(&mut world, AGAIN, 1), None);
    assert_eq!(attempt_timeout(&mut world, ONCE, 0), None);
}
