//! Quotas, retry budgets, and upstreams and routes that take no requests.

use std::collections::VecDeque;
use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Tolerance;
use persimmonbend_core::dispatch::share_without_leader;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::publication::Quota;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;
use crate::world::policy;

const WINDOW: Duration = Duration::from_secs(5);

properties! {
    fn no_window_holds_more_than_the_quota(gaps_ms: Vec<u8>) -> bool {
        let mut world = World::new(&["a"; 20]);
        world.set_quota(10.0, 6.0);
        let mut given = VecDeque::new();
        for gap in gaps_ms.into_iter().cycle().take(600) {
            world.advance(Duration::from_millis(u64::from(gap % 60)));
            if let Some((ticket, _)) = world.place(IDEMPOTENT) {
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

    fn retries_stay_within_their_budget(requests: u8, wanted: u8) -> bool {
        let mut world = World::new(&["a"; 20]);
        let mut retries = 0.0;
        for _ in 0..requests {
            let (ticket, _) = world.place(IDEMPOTENT).unwrap();
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        for _ in 0..wanted {
            let mut request = world.request(IDEMPOTENT);
            request.is_retry = true;
            request.attempts = 1;
            let ticket = request.ticket.clone();
            match world.reserve(request) {
                Decision::Granted { .. } => retries += 1.0,
                Decision::Refused { kind: Kind::RetryBudgetSpent, .. } => {}
                other => panic!("{other:?}"),
            }
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        retries <= 20.0 + 0.2 * f64::from(requests)
    }
}

#[test]
fn a_tenant_over_its_quota_is_told_when_to_retry() {
    let mut world = World::new(&["a"; 20]);
    world.set_quota(2.0, 1.0);
    assert!(world.place(IDEMPOTENT).is_some());
    let mut waits = Vec::new();
    for _ in 0..3 {
        let request = world.request(IDEMPOTENT);
        let Decision::Refused { kind, retry_after } = world.reserve(request) else {
            panic!("over the quota");
        };
        assert_eq!(kind, Kind::RateExceeded);
        waits.push(retry_after);
    }
    // Each refused request is told to wait for another token.
    let expected = [500, 1_000, 1_500].map(Duration::from_millis);
    assert_eq!(waits, expected);
    world.advance(Duration::from_millis(510));
    assert!(world.place(IDEMPOTENT).is_some());
}

#[test]
fn a_request_that_was_not_placed_costs_no_token() {
    let mut world = World::new(&[]);
    world.set_quota(0.1, 1.0);
    for _ in 0..5 {
        let request = world.request(NON_IDEMPOTENT);
        let Decision::Refused { kind, .. } = world.reserve(request) else {
            panic!("there is no upstream");
        };
        assert_eq!(kind, Kind::NoUpstream);
    }
}

/// Returns the number of requests of a tenant that a new dispatcher places at once.
fn placed_at_once(initial_balance: Balance, per_second: f64, burst: f64) -> usize {
    let policy = Policy {
        initial_balance,
        ..policy()
    };
    let mut world = World::with(policy, &["a"; 100]);
    world.set_quota(per_second, burst);
    (0..200)
        .filter(|_| world.place(IDEMPOTENT).is_some())
        .count()
}

#[test]
fn a_later_dispatcher_starts_with_a_share_of_the_tolerance_beyond_quotas() {
    let tolerance = Tolerance {
        window: WINDOW,
        part: 0.1,
        slack: 20.0,
    };
    let first = Balance::Tolerated(tolerance);
    // Beyond a quota of 10 per second with a burst of 10, 26 requests are tolerated in 5 s.
    assert_eq!(placed_at_once(first, 10.0, 10.0), 6);
    assert_eq!(placed_at_once(first, 10.0, 6.0), 6);
    let large = tolerance.excess(&Quota {
        per_second: 40.0,
        burst: 40.0,
    });
    let placed = placed_at_once(first, 40.0, 40.0) as f64;
    // Three dispatchers in one window, and hosts without a dispatcher, which use a fifth, stay
    // within the tolerance.
    assert!(
        3.0 * placed + large / 5.0 <= large,
        "{placed} of {large} tolerated"
    );
    assert!(placed > large / 5.0, "{placed} of {large} tolerated");
}

#[test]
fn the_share_of_a_disconnected_host_is_withheld_from_a_quota() {
    let mut world = World::new(&["a"; 20]);
    world.set_quota(10.0, 1.0);
    world.dispatcher.connect_host("host-1", world.now);
    world.dispatcher.connect_host("host-2", world.now);
    world.dispatcher.disconnect_host("host-2", world.now);
    let mut given = 0;
    for _ in 0..400 {
        world.advance(Duration::from_millis(10));
        if let Some((ticket, _)) = world.place(IDEMPOTENT) {
            given += 1;
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
    }
    assert!((18..=22).contains(&given), "{given} in 4 s");
}

/// Returns the requests of a tenant with a quota of 100 a second that are placed in each second without the leader,
/// by a dispatcher for all hosts that heard it last when the first of these seconds began.
fn placed_alone(seconds: usize) -> Vec<usize> {
    let tolerance = Tolerance {
        window: WINDOW,
        part: 0.1,
        slack: 20.0,
    };
    let policy = Policy {
        initial_balance: Balance::Tolerated(tolerance),
        ..policy()
    };
    let mut world = World::with(policy, &["a"; 20]);
    world.set_quota(100.0, 100.0);
    let share = share_without_leader(20, Some(20));
    world.dispatcher.set_share(share, world.now);
    world.dispatcher.note_leader_heard(Some(world.now));
    let second = |world: &mut World| {
        let mut placed = 0;
        for _ in 0..200 {
            world.advance(Duration::from_millis(5));
            if let Some((ticket, _)) = world.place(IDEMPOTENT) {
                placed += 1;
                world.release(&ticket, Outcome::Answered, Duration::from_millis(1));
            }
        }
        placed
    };
    (0..seconds).map(|_| second(&mut world)).collect()
}

#[test]
fn hosts_that_are_cut_off_for_long_use_all_of_their_quota_and_no_window_exceeds_it() {
    let placed = placed_alone(16);
    // The leader may have granted the share of these hosts for two seconds, which count for five.
    assert!(placed[1..7].iter().all(|one| *one <= 81), "{placed:?}");
    assert!(placed[9..].iter().all(|one| *one >= 98), "{placed:?}");
    for window in placed.windows(5) {
        let sum: usize = window.iter().sum();
        assert!(sum <= 550 + 20, "{sum} of {placed:?}");
    }
}

#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let mut world = World::new(&["a", "a"]);
    let (_, first) = world.place(NON_IDEMPOTENT).unwrap();
    world.update_upstream(first, "a", Stage::Draining);
    for _ in 0..3 {
        assert_ne!(world.place(NON_IDEMPOTENT).unwrap().1, first);
    }
    let request = world.request(NON_IDEMPOTENT);
    assert_eq!(world.reserve(request), Decision::Queued);
}

/// The dispatcher of a deputy went on to grant upstreams that its host no longer listed.
#[test]
fn an_upstream_that_is_no_longer_listed_gets_no_requests() {
    let mut world = World::new(&["a", "a"]);
    world.dispatcher.retain_upstreams(&[2].into());
    for _ in 0..3 {
        assert_eq!(world.place(NON_IDEMPOTENT).unwrap().1, 2);
    }
    let request = world.request(NON_IDEMPOTENT);
    assert_eq!(world.reserve(request), Decision::Queued);
}

#[test]
fn an_upstream_whose_address_was_reused_gets_no_requests() {
    let mut world = World::new(&["a", "a"]);
    let (ticket, moved) = world.place(NON_IDEMPOTENT).unwrap();
    world.release(&ticket, Outcome::Moved, Duration::from_millis(1));
    for _ in 0..3 {
        assert_ne!(world.place(NON_IDEMPOTENT).unwrap().1, moved);
    }
}

#[test]
fn a_route_that_does_not_lead_to_the_service_is_refused() {
    let mut world = World::new(&["a"]);
    let mut request = world.request(NON_IDEMPOTENT);
    request.service = "another".to_owned();
    let decision = world.reserve(request);
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
fn leaders_that_follow_one_another_stay_within_the_retry_budget() {
    // Within one window of 10 s, two leaders follow a leader with a full budget.
    let mut retries = 0;
    for requests in [400, 75, 75] {
        let mut world = World::new(&["a"; 20]);
        for _ in 0..requests {
            let (ticket, _) = world.place(IDEMPOTENT).unwrap();
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        loop {
            let mut request = world.request(IDEMPOTENT);
            request.is_retry = true;
            let ticket = request.ticket.clone();
            if !matches!(world.reserve(request), Decision::Granted { .. }) {
                break;
            }
            retries += 1;
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
    }
    // 150 requests in the window earn a fifth of a retry each, beside the burst of 20.
    assert!(retries <= 20 + 150 / 5, "{retries}");
}

#[test]
fn hosts_that_were_told_no_number_of_hosts_stay_within_a_quota_together() {
    for hosts in [1, 3, 128, 129, 442, 1_000] {
        let together = f64::from(hosts) * share_without_leader(1, None);
        assert!(together <= 1.0, "{hosts} hosts use {together} of a quota");
        let told = f64::from(hosts) * share_without_leader(1, Some(hosts));
        assert!(
            (0.7..=1.0).contains(&told),
            "{hosts} hosts use {told} of a quota"
        );
    }
    // A group of hosts that is larger than the fleet was uses no more than all of it.
    assert!(share_without_leader(64, Some(48)) <= 1.0);
}
