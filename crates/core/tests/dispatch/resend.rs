//! Second sends of requests that would otherwise miss their objective.

use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Resend;
use persimmonbend_core::health::Outcome;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

/// Objective of the routes of [`World`].
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Time that requests take, and their mean distance to it.
const MEAN: Duration = Duration::from_millis(300);
const SPREAD: Duration = Duration::from_millis(100);

properties! {
    fn a_second_send_is_late_enough_for_most_and_early_enough_for_its_answer(
        left_ms: u16,
        mean_ms: u16,
        spread_ms: u16
    ) -> bool {
        let millis = |value| Duration::from_millis(u64::from(value));
        let resend = Resend {
            left: millis(left_ms),
            mean: millis(mean_ms),
            spread: millis(spread_ms),
        };
        resend.after().is_none_or(|after| {
            let is_late_enough = after >= resend.mean + resend.spread;
            is_late_enough && after + resend.mean + resend.spread <= resend.left
        })
    }
}

/// Creates a service of ten upstreams whose requests are known to take [`MEAN`], by [`SPREAD`] more or less.
fn known_world() -> World {
    let mut world = World::new(&["a"; 10]);
    for round in 0..200 {
        let (ticket, _) = world.place(IDEMPOTENT).expect("a slot");
        let latency = if round % 2 == 0 {
            MEAN + SPREAD
        } else {
            MEAN - SPREAD
        };
        world.release(&ticket, Outcome::Answered, latency);
        world.advance(latency);
    }
    world
}

/// Returns the time after which the next request of a route may be sent again.
fn sent_again_after(world: &mut World, route: &str) -> Option<Duration> {
    let request = world.request(route);
    match world.reserve(request) {
        Decision::Granted {
            attempt_timeout, ..
        } => attempt_timeout,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_at_an_upstream_that_hangs_is_sent_again_in_time_for_its_objective() {
    let mut world = known_world();
    let after = sent_again_after(&mut world, IDEMPOTENT).expect("a second send");
    let answered = after + MEAN + SPREAD;
    assert!(
        answered.as_millis() <= OBJECTIVE.as_millis(),
        "{answered:?}"
    );
    assert!(after > MEAN + SPREAD, "{after:?}");
    assert_eq!(sent_again_after(&mut world, NON_IDEMPOTENT), None);
}

#[test]
fn a_service_without_slots_or_retries_to_spare_is_sent_no_early_second_sends() {
    let mut world = known_world();
    let mut running = Vec::new();
    while running.len() < 25 {
        running.extend(world.place(IDEMPOTENT));
    }
    let after = sent_again_after(&mut world, IDEMPOTENT).expect("a second send");
    assert!(after >= OBJECTIVE, "{after:?}");

    let mut world = known_world();
    loop {
        let mut retry = world.request(IDEMPOTENT);
        retry.is_retry = true;
        let ticket = retry.ticket.clone();
        match world.reserve(retry) {
            Decision::Granted { .. } => {
                world.release(&ticket, Outcome::Answered, MEAN);
            }
            _ => break,
        }
    }
    let after = sent_again_after(&mut world, IDEMPOTENT);
    assert!(after.is_none_or(|after| after >= OBJECTIVE), "{after:?}");
}
