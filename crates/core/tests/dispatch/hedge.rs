//! The limit on extra sends of running requests, and where they go.

use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;
use crate::world::policy;

const USUAL: Duration = Duration::from_millis(40);

/// Requests that fill half of the account of a share of 1.
const ENOUGH: u32 = 120;

/// Runs requests one after the other, so that latencies are known and the account holds extra sends.
fn warm_up(world: &mut World, requests: u32) {
    for _ in 0..requests {
        let (ticket, _) = world.place(IDEMPOTENT).expect("a free slot");
        world.advance(USUAL);
        world.release(&ticket, Outcome::Answered, USUAL);
    }
}

/// Returns a service with a share of 1 and known latencies.
fn warm_world(zones: &[&str]) -> World {
    let mut world = World::new(zones);
    world.set_hedge_share(1.0);
    warm_up(&mut world, ENOUGH);
    world
}

/// Returns a policy with retries to spare.
fn policy_with_retries() -> Policy {
    let retries = Retries {
        ratio: 1.0,
        burst: 1_000.0,
    };
    Policy {
        retries,
        ..policy()
    }
}

/// Places a request and returns it with an extra send of it.
fn place_with_hedge(world: &mut World) -> (Ticket, Number, Request) {
    let (ticket, first) = world.place(IDEMPOTENT).expect("a free slot");
    let hedge = Request {
        attempts: 1,
        is_retry: true,
        is_hedge: true,
        avoid: vec![first],
        ..world.request(IDEMPOTENT)
    };
    (ticket, first, hedge)
}

fn refusal(decision: Decision) -> Option<Kind> {
    match decision {
        Decision::Refused { kind, .. } => Some(kind),
        Decision::Granted { .. } | Decision::Queued => None,
    }
}

#[test]
fn without_a_share_an_extra_send_is_decided_like_any_retry() {
    let decisions = |is_hedge| {
        let mut world = World::with(policy_with_retries(), &["a", "a", "b"]);
        let decide = |_| {
            let (_, _, hedge) = place_with_hedge(&mut world);
            world.reserve(Request { is_hedge, ..hedge })
        };
        (0..5).map(decide).collect::<Vec<_>>()
    };
    assert!(
        decisions(true).contains(&Decision::Queued),
        "{:?}",
        decisions(true)
    );
    assert_eq!(decisions(true), decisions(false));
}

#[test]
fn a_share_of_zero_refuses_every_extra_send() {
    let mut world = warm_world(&["a", "a", "b"]);
    world.set_hedge_share(0.0);
    warm_up(&mut world, ENOUGH);
    for _ in 0..3 {
        let (_, _, hedge) = place_with_hedge(&mut world);
        let kind = refusal(world.reserve(hedge));
        assert_eq!(kind, Some(Kind::HedgeLimitReached));
    }
}

#[test]
fn the_share_of_the_fleet_holds_where_a_service_sets_none() {
    let policy = Policy {
        hedge_share: Some(0.0),
        ..policy()
    };
    let mut world = World::with(policy, &["a", "a", "b"]);
    let (_, _, hedge) = place_with_hedge(&mut world);
    let kind = refusal(world.reserve(hedge.clone()));
    assert_eq!(kind, Some(Kind::HedgeLimitReached));
    world.set_hedge_share(1.0);
    warm_up(&mut world, ENOUGH);
    assert_eq!(refusal(world.reserve(hedge)), None);
}

properties! {
    /// A new leader, deputies and hosts on their own each gave out the burst of a whole fleet.
    fn extra_sends_stay_within_the_share_over_any_number_of_dispatchers(parts: Vec<u8>, share: u8) -> bool {
        let share = f64::from(share) / 255.0;
        let (mut requests, mut sent) = (0.0, 0.0);
        for part in parts.iter().take(12) {
            let mut world = World::new(&["a", "a", "b"]);
            world.set_hedge_share(share);
            world.dispatcher.set_share(f64::from(*part % 10 + 1) / 10.0, world.now);
            for _ in 0..*part {
                let (ticket, _, hedge) = place_with_hedge(&mut world);
                let extra = hedge.ticket.clone();
                requests += 1.0;
                sent += f64::from(u8::from(refusal(world.reserve(hedge)).is_none()));
                world.advance(USUAL);
                world.release(&ticket, Outcome::Answered, USUAL);
                world.release(&extra, Outcome::Cancelled, USUAL);
            }
        }
        sent <= share * requests
    }
}

#[test]
fn a_refused_extra_send_neither_waits_nor_spends_nor_counts_as_a_failure() {
    let mut world = warm_world(&["a", "a"]);
    let left = |world: &World| world.dispatcher.retries_left().next().map(|(_, left)| left);
    while world.place(IDEMPOTENT).is_some() {}
    assert_eq!(world.dispatcher.queued(SERVICE), 1);
    let before = left(&world);
    for _ in 0..20 {
        let hedge = Request {
            is_retry: true,
            is_hedge: true,
            avoid: vec![1],
            ..world.request(IDEMPOTENT)
        };
        assert_eq!(refusal(world.reserve(hedge)), Some(Kind::Overloaded));
    }
    assert_eq!(world.dispatcher.queued(SERVICE), 1);
    assert_eq!(left(&world), before);
    let (_, counts, _) = world.dispatcher.hedges().next().expect("a limited service");
    assert_eq!((counts.sent, counts.without_room), (0, 20));
}

#[test]
fn an_extra_send_of_a_request_that_must_not_run_twice_is_refused() {
    let mut world = warm_world(&["a", "a", "b"]);
    let hedge = Request {
        is_hedge: true,
        is_retry: true,
        avoid: vec![1],
        ..world.request(NON_IDEMPOTENT)
    };
    assert!(refusal(world.reserve(hedge)).is_some());
}

#[test]
fn an_extra_send_never_takes_a_suspect() {
    let mut world = warm_world(&["a", "a", "a"]);
    let mut suspects = world.dispatcher.suspects(world.now);
    suspects.extend([2, 3]);
    world.dispatcher.adopt_suspects(&suspects, true, world.now);
    let (_, first, hedge) = place_with_hedge(&mut world);
    assert_eq!(first, 1);
    assert_eq!(refusal(world.reserve(hedge)), Some(Kind::Overloaded));
}

#[test]
fn an_extra_send_leaves_a_zone_that_is_slow() {
    let zones = ["a", "a", "a", "a", "b", "b", "b"];
    for is_slow in [false, true] {
        let mut world = warm_world(&zones);
        for zone in ["a", "b"].repeat(30) {
            let mut request = world.request(IDEMPOTENT);
            request.zone = zone.to_owned();
            let ticket = request.ticket.clone();
            let Decision::Granted { upstream, .. } = world.reserve(request) else {
                panic!("no free slot");
            };
            let took = USUAL * if is_slow && upstream <= 4 { 3 } else { 1 };
            world.advance(Duration::from_millis(5));
            world.release(&ticket, Outcome::Answered, took);
        }
        let (_, _, mut hedge) = place_with_hedge(&mut world);
        hedge.avoid = vec![1];
        let decision = world.reserve(hedge);
        let Decision::Granted { upstream, .. } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(upstream > 4, is_slow, "{upstream}");
    }
}

#[test]
fn only_an_extra_send_that_wins_says_something_and_it_is_about_the_slower_upstream() {
    for wins in [true, false] {
        let mut world = warm_world(&["a", "a", "a"]);
        let (ticket, first, hedge) = place_with_hedge(&mut world);
        let extra = hedge.ticket.clone();
        let Decision::Granted { upstream, .. } = world.reserve(hedge) else {
            panic!("no room");
        };
        world.advance(USUAL * 3);
        let grey = |world: &World, number| world.dispatcher.grey(number, world.now);
        let (of_first, of_second) = (grey(&world, first), grey(&world, upstream));
        let (winner, loser) = if wins {
            (&extra, &ticket)
        } else {
            (&ticket, &extra)
        };
        world.release(winner, Outcome::Answered, USUAL);
        world.release(loser, Outcome::Cancelled, USUAL * 3);
        if wins {
            assert!(grey(&world, first) > of_first);
        } else {
            assert_eq!(grey(&world, upstream), of_second);
        }
        assert_eq!(world.dispatcher.running(first), 0);
        assert_eq!(world.dispatcher.running(upstream), 0);
    }
}

#[test]
fn a_request_is_sent_again_later_as_the_account_is_used_up() {
    let mut world = World::with(policy_with_retries(), &["a"; 6]);
    world.set_hedge_share(0.5);
    // One request in fifty takes longer than usual.
    for number in 0..400 {
        let (ticket, _) = world.place(IDEMPOTENT).expect("a free slot");
        let took = USUAL * if number % 50 == 0 { 3 } else { 1 };
        world.advance(took);
        world.release(&ticket, Outcome::Answered, took);
    }
    let mut delays = Vec::new();
    for _ in 0..1_000 {
        let (first, _, hedge) = place_with_hedge(&mut world);
        let extra = hedge.ticket.clone();
        if refusal(world.reserve(hedge)).is_some() {
            break;
        }
        world.release(&first, Outcome::Cancelled, USUAL);
        world.release(&extra, Outcome::Cancelled, USUAL);
        let probe = world.request(IDEMPOTENT);
        let ticket = probe.ticket.clone();
        let Decision::Granted {
            attempt_timeout, ..
        } = world.reserve(Request {
            avoid: vec![1],
            ..probe
        })
        else {
            panic!("no free slot");
        };
        delays.extend(attempt_timeout);
        world.release(&ticket, Outcome::Cancelled, USUAL);
    }
    assert!(delays.is_sorted(), "{delays:?}");
    let (early, last) = (delays.first().copied(), delays.last().copied());
    assert!(early.is_some_and(|early| early < USUAL * 2), "{early:?}");
    assert!(last.is_some_and(|last| last >= USUAL * 3), "{last:?}");
}
