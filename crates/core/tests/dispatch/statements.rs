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
    pause: None,
};

fn drain(world: &mut World, upstream: Number) -> bool {
    let now = world.now;
    world
        .dispatcher
        .note_statement("host-1", upstream, &DRAINING, now)
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

const HOST: &str = "host-1";
const OTHER_HOST: &str = "host-2";

/// Time for which the upstreams of these tests pause.
const PAUSE: Duration = Duration::from_secs(3);

fn pause(world: &mut World, host: &str, upstream: Number) {
    let statement = Statement {
        pause: Some(PAUSE),
        ..Statement::default()
    };
    let now = world.now;
    let dispatcher = &mut world.dispatcher;
    assert!(dispatcher.note_statement(host, upstream, &statement, now));
}

/// Reserves a slot for a request of a host.
fn reserve(world: &mut World, host: &str) -> Decision {
    let mut request = world.request(NON_IDEMPOTENT);
    request.ticket.host = host.to_owned();
    world.reserve(request)
}

const fn is_granted(decision: &Decision) -> bool {
    matches!(decision, Decision::Granted { .. })
}

#[test]
fn a_pause_binds_the_host_that_was_asked_for_it_until_its_end() {
    let mut world = World::new(&["a"]);
    pause(&mut world, HOST, 1);
    assert!(!is_granted(&reserve(&mut world, HOST)));
    assert!(is_granted(&reserve(&mut world, OTHER_HOST)));
    world.advance(PAUSE - Duration::from_millis(1));
    assert!(!is_granted(&reserve(&mut world, HOST)));
    world.advance(Duration::from_millis(1));
    assert!(is_granted(&reserve(&mut world, HOST)));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut world = World::new(&["a"]);
    pause(&mut world, HOST, 1);
    let shorter = Statement {
        pause: Some(PAUSE / 3),
        ..Statement::default()
    };
    let now = world.now;
    assert!(!world.dispatcher.note_statement(HOST, 1, &shorter, now));
    world.advance(PAUSE / 2);
    assert!(!is_granted(&reserve(&mut world, HOST)));
}

#[test]
fn the_longest_pause_outlasts_any_day() {
    let mut world = World::new(&["a"]);
    let forever = Statement {
        pause: Some(Duration::MAX),
        ..Statement::default()
    };
    let now = world.now;
    assert!(world.dispatcher.note_statement(HOST, 1, &forever, now));
    world.advance(Duration::from_secs(24 * 60 * 60));
    assert!(!is_granted(&reserve(&mut world, HOST)));
}

#[test]
fn those_who_return_after_a_pause_come_one_after_the_other() {
    let mut world = World::new(&["a"]);
    let (ticket, _) = world.place(IDEMPOTENT).expect("a free slot");
    world.advance(Duration::from_millis(300));
    world.release(&ticket, Outcome::Answered, Duration::from_millis(300));
    pause(&mut world, HOST, 1);
    let mut waits = Vec::new();
    for _ in 0..40 {
        let Decision::Refused { kind, retry_after } = reserve(&mut world, HOST) else {
            panic!("the only upstream pauses");
        };
        assert_eq!(kind, Kind::NoUpstream);
        waits.push(retry_after);
    }
    // Three slots run a request in 300 ms; returns are spread over two seconds at the most.
    assert_eq!(
        waits[..3],
        [0, 100, 200].map(|ms| PAUSE + Duration::from_millis(ms))
    );
    assert_eq!(waits.iter().max(), Some(&(PAUSE + Duration::from_secs(2))));
}

#[test]
fn a_queued_request_is_refused_once_every_upstream_wants_no_more_of_its_host() {
    let mut world = World::new(&["a", "a"]);
    while world.place(NON_IDEMPOTENT).is_some() {}
    assert_eq!(world.dispatcher.queued("filing"), 1);
    pause(&mut world, HOST, 1);
    assert!(world.dispatcher.tick(world.now).is_empty());
    pause(&mut world, HOST, 2);
    let answers = world.dispatcher.tick(world.now);
    let decision = answers.first().map(|answer| &answer.decision);
    let Some(Decision::Refused { kind, retry_after }) = decision else {
        panic!("{answers:?}");
    };
    assert_eq!((*kind, *retry_after), (Kind::NoUpstream, PAUSE));
    assert_eq!(world.dispatcher.queued("filing"), 0);
}

/// Half of a service pauses for all hosts under its usual load, of which the other half can run all.
#[test]
fn the_rest_of_a_service_serves_its_usual_load_while_half_of_it_pauses() {
    for hosts in [3_u32, 48, 442] {
        let mut world = World::new(&["a", "b", "a", "b", "a", "b", "a", "b"]);
        for host in 0..hosts {
            for upstream in 1..=4 {
                pause(&mut world, &host.to_string(), upstream);
            }
        }
        let mut running = Vec::new();
        for number in 0..290 {
            world.advance(Duration::from_millis(10));
            while running.first().is_some_and(|(ends, _)| *ends <= world.now) {
                let (_, ticket) = running.remove(0);
                let answers = world.release(&ticket, Outcome::Answered, Duration::from_millis(240));
                assert!(answers.is_empty());
            }
            if number % 3 > 0 {
                continue;
            }
            let decision = reserve(&mut world, &(number % hosts).to_string());
            let Decision::Granted { upstream, .. } = decision else {
                panic!("{hosts} hosts: {decision:?}");
            };
            assert!(upstream > 4, "{hosts} hosts: {upstream}");
            assert!(world.dispatcher.running(upstream) <= 3);
            let ticket = world.latest_ticket(&(number % hosts).to_string());
            running.push((world.now + Duration::from_millis(240), ticket));
        }
    }
}
