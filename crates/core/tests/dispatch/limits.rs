//! Quotas, budgets of repeats, and upstreams that take nothing.

use std::collections::VecDeque;
use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Tolerance;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::publication::Quota;
use persimmonbend_core::upstream::Stage;

use crate::world::AGAIN;
use crate::world::ONCE;
use crate::world::World;
use crate::world::policy;

const WINDOW: Duration = Duration::from_secs(5);

properties! {
    fn no_window_holds_more_than_the_quota(gaps_ms: Vec<u8>) -> bool {
        let mut world = World::new(&["a"; 20]);
        world.limit(10.0, 6.0);
        let mut given = VecDeque::new();
        for gap in gaps_ms.into_iter().cycle().take(600) {
            world.pass(Duration::from_millis(u64::from(gap % 60)));
            if let Some((ticket, _)) = world.place(AGAIN) {
                world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
                given.push_back(world.now);
            }
            while given.front().is_some_and(|at| *at + WINDOW < world.now) {
                given.pop_front();
            }
            if given.len() > 56 {
                return false;
            }
        }
        true
    }

    fn repeats_stay_within_their_budget(requests: u8, wanted: u8) -> bool {
        let mut world = World::new(&["a"; 20]);
        let mut repeats = 0.0;
        for _ in 0..requests {
            let (ticket, _) = world.place(AGAIN).unwrap();
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        for _ in 0..wanted {
            let mut ask = world.ask(AGAIN);
            ask.is_retry = true;
            ask.attempts = 1;
            let ticket = ask.ticket.clone();
            match world.reserve(ask) {
                Decision::Granted { .. } => repeats += 1.0,
                Decision::Refused { kind: Kind::RetryBudgetSpent, .. } => {}
                other => panic!("{other:?}"),
            }
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        repeats <= 20.0 + 0.2 * f64::from(requests)
    }
}

#[test]
fn a_tenant_over_its_quota_hears_when_to_come_back() {
    let mut world = World::new(&["a"; 20]);
    world.limit(2.0, 1.0);
    assert!(world.place(AGAIN).is_some());
    let mut waits = Vec::new();
    for _ in 0..3 {
        let ask = world.ask(AGAIN);
        let Decision::Refused { kind, retry_after } = world.reserve(ask) else {
            panic!("over the quota");
        };
        assert_eq!(kind, Kind::RateExceeded);
        waits.push(retry_after);
    }
    // Each is told of a token of its own.
    let expected = [500, 1_000, 1_500].map(Duration::from_millis);
    assert_eq!(waits, expected);
    world.pass(Duration::from_millis(510));
    assert!(world.place(AGAIN).is_some());
}

#[test]
fn a_request_that_was_not_placed_costs_no_token() {
    let mut world = World::new(&[]);
    world.limit(0.1, 1.0);
    for _ in 0..5 {
        let ask = world.ask(ONCE);
        let Decision::Refused { kind, .. } = world.reserve(ask) else {
            panic!("there is no upstream");
        };
        assert_eq!(kind, Kind::NoUpstream);
    }
}

/// Requests of a tenant that a new dispatcher places at once.
fn placed_at_once(initial_balance: Balance, per_second: f64, burst: f64) -> usize {
    let policy = Policy {
        initial_balance,
        ..policy()
    };
    let mut world = World::with(policy, &["a"; 100]);
    world.limit(per_second, burst);
    (0..200).filter(|_| world.place(AGAIN).is_some()).count()
}

#[test]
fn a_later_dispatcher_begins_with_what_is_tolerated_beyond_quotas() {
    let tolerance = Tolerance {
        window: WINDOW,
        part: 0.1,
        slack: 20.0,
    };
    let first = Balance::Tolerated(tolerance);
    // Beyond 10 a second and a burst of 10, 26 requests are tolerated in 5 s.
    assert_eq!(placed_at_once(first, 10.0, 10.0), 6);
    assert_eq!(placed_at_once(first, 10.0, 6.0), 6);
    let large = tolerance.excess(&Quota {
        per_second: 40.0,
        burst: 40.0,
    });
    let placed = placed_at_once(first, 40.0, 40.0) as f64;
    // Three in one window stay within it, and hosts on their own use a fifth.
    assert!(
        3.0 * placed + large / 5.0 <= large,
        "{placed} of {large} tolerated"
    );
    assert!(placed > large / 5.0, "{placed} of {large} tolerated");
}

#[test]
fn lost_hosts_keep_their_part_of_a_quota() {
    let mut world = World::new(&["a"; 20]);
    world.limit(10.0, 1.0);
    world.dispatcher.connect_host("host-1");
    world.dispatcher.connect_host("host-2");
    world.dispatcher.disconnect_host("host-2", world.now);
    let mut given = 0;
    for _ in 0..400 {
        world.pass(Duration::from_millis(10));
        if let Some((ticket, _)) = world.place(AGAIN) {
            given += 1;
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
    }
    assert!((18..=22).contains(&given), "{given} in 4 s");
}

#[test]
fn a_draining_upstream_gets_nothing_from_then_on() {
    let mut world = World::new(&["a", "a"]);
    let (_, first) = world.place(ONCE).unwrap();
    world.update_upstream(first, "a", Stage::Draining);
    for _ in 0..3 {
        assert_ne!(world.place(ONCE).unwrap().1, first);
    }
    let ask = world.ask(ONCE);
    assert_eq!(world.reserve(ask), Decision::Queued);
}

#[test]
fn an_upstream_whose_address_was_reused_gets_nothing_until_it_starts_anew() {
    let mut world = World::new(&["a", "a"]);
    let (ticket, moved) = world.place(ONCE).unwrap();
    world.release(&ticket, Outcome::Moved, Duration::from_millis(1));
    for _ in 0..3 {
        assert_ne!(world.place(ONCE).unwrap().1, moved);
    }
}

#[test]
fn slots_of_a_lost_host_are_free_again() {
    let mut world = World::new(&["a"]);
    world.dispatcher.connect_host("host-1");
    for _ in 0..3 {
        world.place(ONCE).unwrap();
    }
    assert_eq!(world.dispatcher.running(1), 3);
    world.dispatcher.disconnect_host("host-1", world.now);
    assert_eq!(world.dispatcher.running(1), 0);
}

#[test]
fn a_route_that_does_not_lead_to_the_service_is_refused() {
    let mut world = World::new(&["a"]);
    let mut ask = world.ask(ONCE);
    ask.service = "another".to_owned();
    let decision = world.reserve(ask);
    assert!(
        matches!(
            decision,
            Decision::Refused {
                kind: Kind::RouteChanged,
                ..
            }
        ),
        "{decision:?}"
    );
}

#[test]
fn leaders_that_follow_one_another_stay_within_the_budget_of_repeats() {
    // Of one window of ten seconds: a leader with a full budget, and two that came after it.
    let mut repeats = 0;
    for requests in [400, 75, 75] {
        let mut world = World::new(&["a"; 20]);
        for _ in 0..requests {
            let (ticket, _) = world.place(AGAIN).unwrap();
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        loop {
            let mut ask = world.ask(AGAIN);
            ask.is_retry = true;
            let ticket = ask.ticket.clone();
            if !matches!(world.reserve(ask), Decision::Granted { .. }) {
                break;
            }
            repeats += 1;
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
    }
    // 150 requests in the window earn a fifth each, beside the 20 that may come at once.
    assert!(repeats <= 20 + 150 / 5, "{repeats}");
}
