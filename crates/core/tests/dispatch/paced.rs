//! Limits that upstreams state, over a whole fleet: a leader, hosts on their own, and the next leader.

use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;

use crate::fleet::Fleet;
use crate::fleet::LOCAL_SHARE;
use crate::fleet::STEP;
use crate::world::IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

/// Time after the first statement from which on the limit is checked, and the length of the window.
const GRACE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests that are allowed in a window.
fn allowed(per_second: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = (1.5 * per_second * WINDOW.as_secs_f64()) as usize;
    allowed + 5
}

/// Plays a leader, hosts on their own and the next leader while half of the upstreams state limits.
fn play(host_count: usize, per_second: f64) -> Fleet {
    let mut fleet = Fleet::new(host_count, vec!["a", "b", "a", "b", "a", "b", "a", "b"], 7);
    let limit = Limit::try_from(per_second).expect("a limit");
    fleet.run(Duration::from_secs(5));
    fleet
        .limits
        .extend((1..=4).map(|upstream| (upstream, limit)));
    fleet.run(Duration::from_secs(20));
    fleet.lose_leader();
    fleet.run(Duration::from_secs(8));
    fleet.elect_leader();
    fleet.run(Duration::from_secs(12));
    fleet
}

#[test]
fn hosts_together_keep_to_a_limit_with_and_without_a_leader() {
    for host_count in [3, 48, 442] {
        for per_second in [0.0, 1.0, 1.3, 6.0] {
            let fleet = play(host_count, per_second);
            let from = fleet.started + Duration::from_secs(5) + GRACE_TIME;
            for upstream in 1..=4 {
                let most = fleet.most_in_a_window(upstream, WINDOW, from);
                let allowed = allowed(per_second);
                assert!(most <= allowed, "{host_count} hosts, {per_second}: {most}");
            }
            // The other upstreams can run all requests, in three quarters of their slots.
            assert_eq!(fleet.refused, 0, "{host_count} hosts, {per_second}");
        }
    }
}

#[test]
fn an_upstream_gets_most_of_the_limit_that_it_stated() {
    let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
    fleet
        .limits
        .insert(1, Limit::try_from(4.0).expect("a limit"));
    fleet.run(Duration::from_secs(8));
    let from = fleet.now;
    fleet.run(Duration::from_secs(10));
    let count = fleet.count_since(1, from);
    assert!((36..=44).contains(&count), "{count}");
}

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_does_not_state_it() {
    for per_second in [0.0, 1.0] {
        let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
        let limit = Limit::try_from(per_second).expect("a limit");
        fleet.limits.insert(1, limit);
        fleet.run(Duration::from_secs(8));
        fleet.limits.clear();
        fleet.run(Duration::from_secs(6));
        let from = fleet.now;
        fleet.run(Duration::from_secs(4));
        let count = fleet.count_since(1, from);
        assert!(count > 30, "{per_second}: {count}");
    }
}

#[test]
fn requests_wait_no_longer_than_their_deadlines_for_upstreams_that_state_limits() {
    let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
    let limit = Limit::try_from(2.0).expect("a limit");
    fleet.limits.extend([(1, limit), (2, limit)]);
    fleet.run(Duration::from_secs(5));
    let (served, refused) = (fleet.served, fleet.refused);
    fleet.run(Duration::from_secs(10));
    let (served, refused) = (fleet.served - served, fleet.refused - refused);
    let queued = fleet.leader().queued(SERVICE);
    assert!(
        (36..=44).contains(&served),
        "{served} served, {refused} refused"
    );
    assert!(queued < 10, "{queued} wait for four requests a second");
}

#[test]
fn a_request_waits_for_a_limited_upstream_whose_first_answer_has_just_been_timed() {
    let mut world = World::new(&["a"]);
    world.dispatcher.set_share(LOCAL_SHARE, world.now);
    let (ticket, upstream) = world.place(IDEMPOTENT).expect("a slot");
    let statement = Statement {
        limit: Limit::try_from(4.0).ok(),
        ..Statement::default()
    };
    world
        .dispatcher
        .note_statement("host-1", upstream, &statement, world.now);
    world.advance(STEP);
    world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
    let request = world.request(IDEMPOTENT);
    assert_eq!(world.reserve(request), Decision::Queued);
}
