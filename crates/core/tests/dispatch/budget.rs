//! Retry budgets of services.

use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;

use crate::world::IDEMPOTENT;
use crate::world::World;
use crate::world::policy;

/// Upstreams that refuse connections, in the order in which each request finds them.
const ENDED: [Number; 4] = [1, 2, 3, 4];

/// Requests within one window, each of which is retried once.
const REQUESTS: u32 = 100;

/// Plays requests that find `placings` upstreams without a listener before one runs them, and that are then
/// retried; returns the granted retries.
fn count_retries(placings: usize) -> u32 {
    let mut world = World::new(&["a"; 12]);
    let mut granted = 0;
    for _ in 0..REQUESTS {
        let mut request = world.request(IDEMPOTENT);
        for ended in &ENDED[..placings] {
            let decision = world.reserve(request.clone());
            assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
            world.release(&request.ticket, Outcome::Cancelled, Duration::ZERO);
            request.avoid.push(*ended);
        }
        world.reserve(request.clone());
        world.release(&request.ticket, Outcome::Answered, Duration::from_millis(5));
        let mut retry = request;
        retry.is_retry = true;
        retry.attempts = 1;
        let ticket = retry.ticket.clone();
        granted += u32::from(matches!(world.reserve(retry), Decision::Granted { .. }));
        world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        world.advance(Duration::from_millis(20));
    }
    granted
}

#[test]
fn a_request_that_finds_no_listener_and_is_placed_again_earns_retries_once() {
    let retries = policy().retries;
    let allowed = retries.ratio.mul_add(f64::from(REQUESTS), retries.burst);
    for placings in 0..=ENDED.len() {
        let granted = count_retries(placings);
        assert!(
            f64::from(granted) <= allowed,
            "{granted} retries of {allowed} after {placings} placings"
        );
        assert_eq!(granted, count_retries(0), "after {placings} placings");
    }
}
