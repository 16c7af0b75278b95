//! Rules of retries, the retry budget and attempt timeouts.

use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::retry;
use persimmonbend_core::retry::Budget;
use persimmonbend_core::retry::Failure;
use persimmonbend_core::retry::Limits;
use persimmonbend_core::retry::MAX_ATTEMPTS;
use persimmonbend_core::retry::Step;

properties! {
    fn a_written_non_idempotent_request_is_never_sent_again(stale: bool, refused: bool, attempts: u32, affordable: bool) -> bool {
        let failure = Failure { written: true, stale, refused };
        retry::next(failure, false, attempts, affordable) == Step::GiveUp
    }

    fn no_attempt_follows_the_last_allowed_one(written: bool, stale: bool, refused: bool, idempotent: bool) -> bool {
        let failure = Failure { written, stale, refused };
        retry::next(failure, idempotent, MAX_ATTEMPTS, true) == Step::GiveUp
    }

    fn an_exhausted_budget_stops_retries_of_written_and_shed_requests(stale: bool, refused: bool) -> bool {
        let written = Failure { written: true, stale, refused };
        let shed = Failure { written: false, stale, refused: true };
        retry::next(written, true, 1, false) == Step::GiveUp
            && retry::next(shed, true, 1, false) == Step::GiveUp
    }

    fn retries_stay_within_the_budget(requests: u16) -> bool {
        let mut budget = Budget::new();
        let mut retries = 0;
        for _ in 0..requests {
            budget.earn();
            while budget.is_affordable() {
                budget.spend();
                retries += 1;
            }
        }
        retries <= 20 + u32::from(requests) / 10 + 1
    }

    fn a_timeout_never_exceeds_the_remaining_time(left_ms: u16, idempotent: bool, attempts: u8, seen_ms: Vec<u16>) -> bool {
        let mut limits = Limits::new();
        for seen in seen_ms {
            limits.observe(Duration::from_millis(u64::from(seen)));
        }
        let left = Duration::from_millis(u64::from(left_ms));
        limits.attempt_timeout(left, idempotent, u32::from(attempts)) <= left
    }
}

#[test]
fn the_timeout_follows_the_latencies_of_the_service() {
    let mut limits = Limits::new();
    let left = Duration::from_secs(2);
    for _ in 0..64 {
        limits.observe(Duration::from_millis(20));
    }
    assert_eq!(
        limits.attempt_timeout(left, true, 1),
        Duration::from_millis(80)
    );
    assert_eq!(limits.attempt_timeout(left, false, 1), left);
    assert_eq!(limits.attempt_timeout(left, true, MAX_ATTEMPTS), left);
    for _ in 0..64 {
        limits.observe(Duration::from_millis(200));
    }
    assert_eq!(
        limits.attempt_timeout(left, true, 1),
        Duration::from_millis(800)
    );
}
