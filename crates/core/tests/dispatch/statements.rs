//! Statements that upstreams make about themselves in their answers.

use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

const DRAINING: Statement = Statement {
    is_draining: true,
    limit: None,
};

fn drain(world: &mut World, upstream: Number) -> bool {
    let now = world.now;
    world.dispatcher.note_statement(upstream, &DRAINING, now)
}

#[test]
fn a_queued_request_gets_no_slot_of_an_upstream_that_stated_it_drains() {
    let mut world = World::new(&["a", "a"]);
    let mut running = Vec::new();
    while let Some(placed) = world.place(NON_IDEMPOTENT) {
        running.push(placed);
    }
    let waiting = world.dispatcher.queued("filing");
    assert_eq!((running.len(), waiting), (6, 1));
    assert!(drain(&mut world, 1));
    world.advance(Duration::from_millis(100));
    let answered = Outcome::Answered;
    let on = |upstream| running.iter().filter(move |(_, one)| *one == upstream);
    for (ticket, _) in on(1) {
        let answers = world.release(ticket, answered, Duration::from_millis(100));
        assert!(answers.is_empty(), "{answers:?}");
    }
    let (ticket, _) = on(2).next().expect("a request on each");
    let answers = world.release(ticket, answered, Duration::from_millis(100));
    let decision = &answers.first().expect("an answer").decision;
    assert!(
        matches!(decision, Decision::Granted { upstream: 2, .. }),
        "{decision:?}"
    );
}

#[test]
fn a_statement_outlasts_the_absence_of_its_upstream_but_not_its_departure() {
    let mut world = World::new(&["a"]);
    assert!(drain(&mut world, 1));
    assert!(!drain(&mut world, 1));
    for stage in [Stage::Starting, Stage::Ready] {
        world.update_upstream(1, "b", stage);
        assert_eq!(world.place(IDEMPOTENT), None);
    }
    world.update_upstream(1, "a", Stage::Left);
    assert!(!world.dispatcher.ledger().is_draining(1));
}

#[test]
fn a_statement_about_an_upstream_that_is_not_known_yet_binds() {
    let mut world = World::new(&[]);
    assert!(drain(&mut world, 1));
    world.update_upstream(1, "a", Stage::Ready);
    let request = world.request(IDEMPOTENT);
    let Decision::Refused { kind, .. } = world.reserve(request) else {
        panic!("the only upstream drains");
    };
    assert_eq!(kind, Kind::NoUpstream);
}

properties! {
    fn no_request_is_placed_on_an_upstream_that_stated_it_drains(steps: Vec<(u8, u8)>) -> bool {
        let mut world = World::new(&["a", "b", "a", "b", "a"]);
        let mut running = Vec::new();
        let mut draining = Vec::new();
        for (action, detail) in steps {
            world.advance(Duration::from_millis(u64::from(detail)));
            let mut request = world.request([IDEMPOTENT, NON_IDEMPOTENT][usize::from(detail % 2)]);
            request.is_retry = action % 3 == 0;
            request.attempts = u32::from(request.is_retry);
            let answers = match action % 8 {
                0 if draining.len() < 4 => {
                    let upstream = Number::from(detail % 5) + 1;
                    drain(&mut world, upstream);
                    draining.push(upstream);
                    Vec::new()
                }
                1 => world.update_upstream(Number::from(detail % 5) + 1, "a", Stage::Ready),
                2 => world.dispatcher.tick(world.now),
                3 | 4 if !running.is_empty() => {
                    let ticket = running.swap_remove(usize::from(detail) % running.len());
                    let outcome = [Outcome::Answered, Outcome::Failed, Outcome::Moved, Outcome::Shed];
                    world.release(&ticket, outcome[usize::from(detail % 4)], Duration::from_millis(9))
                }
                _ => world.dispatcher.reserve(request, world.now),
            };
            for answer in answers {
                if let Decision::Granted { upstream, .. } = answer.decision {
                    if draining.contains(&upstream) {
                        return false;
                    }
                    running.push(answer.ticket);
                }
            }
        }
        true
    }
}
