//! When a host takes its own path to upstreams for blocked.

use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::reach::Reach;

const SERVICE: &str = "herd";

#[test]
fn a_service_of_which_one_upstream_is_down_does_not_speak_against_the_path() {
    let mut now = Instant::now();
    let mut reach = Reach::default();
    for _ in 0..10 {
        reach.note_failure(SERVICE, 1, now);
        now += Duration::from_millis(100);
        assert!(!reach.is_suspected(SERVICE, 8, now));
    }
}

#[test]
fn upstreams_that_are_down_beside_others_that_are_reached_do_not_speak_against_the_path() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for upstream in 1..=6 {
        reach.note_failure(SERVICE, upstream, now);
        assert!(!reach.is_suspected(SERVICE, 8, now));
        assert!(!reach.note_opened(SERVICE, 10 + upstream));
    }
}

/// Hosts with kept connections open few new ones, so two dead upstreams in a row looked like a lost way.
#[test]
fn answers_over_kept_connections_end_the_suspicion_but_no_block() {
    let now = Instant::now();
    let mut reach = Reach::default();
    for upstream in 1..=6 {
        reach.note_failure(SERVICE, upstream, now);
        assert!(!reach.is_suspected(SERVICE, 8, now));
        reach.note_answered(SERVICE);
    }
    reach.note_detour(SERVICE, 1);
    reach.note_answered(SERVICE);
    assert!(reach.is_blocked(SERVICE, 1) && reach.is_blocked(SERVICE, 5));
}

#[test]
fn failures_that_lie_far_apart_do_not_speak_against_the_path() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.note_failure(SERVICE, 1, now);
    let later = now + Duration::from_secs(5);
    reach.note_failure(SERVICE, 2, later);
    assert!(!reach.is_suspected(SERVICE, 8, later));
}

#[test]
fn the_path_to_the_only_upstream_is_suspected_at_its_first_failure() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.note_failure(SERVICE, 1, now);
    assert!(reach.is_suspected(SERVICE, 1, now));
    assert!(!reach.is_suspected("barn", 1, now));
}

#[test]
fn a_blocked_path_to_one_service_makes_one_failure_at_another_suspicious() {
    let now = Instant::now();
    let mut reach = Reach::default();
    reach.note_failure("barn", 7, now);
    assert!(!reach.is_suspected("barn", 8, now));
    assert!(reach.note_detour(SERVICE, 1));
    assert!(!reach.note_detour(SERVICE, 1), "news only once");
    assert!(reach.is_suspected("barn", 8, now));
    assert!(!reach.is_blocked("barn", 7));
    assert_eq!(reach.services().collect::<Vec<_>>(), [SERVICE]);
}

#[test]
fn upstreams_that_only_others_reach_stay_blocked_while_the_rest_of_the_service_is_reached() {
    let mut reach = Reach::default();
    assert!(reach.note_detour(SERVICE, 1));
    assert!(reach.is_blocked(SERVICE, 1) && reach.is_blocked(SERVICE, 2));
    assert!(reach.note_opened(SERVICE, 2));
    assert!(reach.is_blocked(SERVICE, 1) && !reach.is_blocked(SERVICE, 2));
    assert!(!reach.is_any_blocked());
    assert!(reach.note_opened(SERVICE, 1));
    assert!(!reach.is_blocked(SERVICE, 1));
}

#[test]
fn an_upstream_that_has_left_is_forgotten() {
    let mut reach = Reach::default();
    reach.note_detour(SERVICE, 1);
    reach.forget(1);
    assert_eq!(reach.upstreams().count(), 0);
}
