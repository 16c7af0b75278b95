//! Grey upstreams: the share of failed requests, and when a suspect is tried again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

const STEP: Duration = Duration::from_millis(1);
const RUN_TIME: Duration = Duration::from_millis(240);
const GREY_PERIOD_MS: u32 = 9_000;
const GREY_SHARE: f64 = 0.3;
const GREY_FAILURE_SHARE: f64 = 0.75;
const HEALTHY_FAILURE_SHARE: f64 = 0.012;

/// A running attempt, with the millisecond at which it ends and its outcome.
struct Attempt {
    due: u32,
    ticket: Ticket,
    upstream: Number,
    outcome: Outcome,
}

/// The requests and failures of a run.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    failed: u32,
}

/// Simulates 13 upstreams; every 9 s a new random set of three in ten is grey.
fn simulate(seed: u64, per_second: f64, millis: u32, without_beliefs: bool) -> Tally {
    let zones = [
        "a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "d", "d",
    ];
    let mut world = World::new(&zones);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut grey: BTreeSet<Number> = BTreeSet::new();
    let mut attempts_running: Vec<Attempt> = Vec::new();
    let mut tally = Tally::default();
    for at in 0..millis {
        if at % GREY_PERIOD_MS == 0 {
            let drawn = (1..=13).filter(|_| rng.random_bool(GREY_SHARE));
            grey = drawn.collect();
        }
        world.advance(STEP);
        let mut answers = Vec::new();
        if at % 50 == 0 {
            answers.extend(world.dispatcher.tick(world.now));
        }
        let (due, left): (Vec<Attempt>, Vec<Attempt>) = attempts_running
            .into_iter()
            .partition(|attempt| attempt.due <= at);
        attempts_running = left;
        for attempt in due {
            tally.failed += u32::from(attempt.outcome == Outcome::Failed);
            let took = if attempt.outcome == Outcome::Failed {
                STEP
            } else {
                RUN_TIME
            };
            // For comparison: a cancelled attempt changes no belief.
            let outcome = if without_beliefs {
                Outcome::Cancelled
            } else {
                attempt.outcome
            };
            answers.extend(world.release(&attempt.ticket, outcome, took));
            assert!(world.dispatcher.running(attempt.upstream) <= 3);
        }
        if rng.random_bool(per_second / 1_000.0) {
            tally.sent += 1;
            let mut request = world.request(NON_IDEMPOTENT);
            request.zone = ["a", "b", "c", "d"][rng.random_range(0..4)].to_owned();
            answers.extend(world.dispatcher.reserve(request, world.now));
        }
        for answer in answers {
            let upstream = match answer.decision {
                Decision::Granted { upstream, .. } => upstream,
                Decision::Queued => continue,
                Decision::Refused { .. } => {
                    tally.failed += 1;
                    continue;
                }
            };
            let failure_share = if grey.contains(&upstream) {
                GREY_FAILURE_SHARE
            } else {
                HEALTHY_FAILURE_SHARE
            };
            let failed = rng.random_bool(failure_share);
            attempts_running.push(Attempt {
                due: at + if failed { 1 } else { 240 },
                ticket: answer.ticket,
                upstream,
                outcome: if failed {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                },
            });
        }
    }
    // Requests that are still queued count as failed.
    let waiting = world.dispatcher.queued(crate::world::SERVICE);
    tally.failed += u32::try_from(waiting).expect("a small number");
    tally
}

fn share(tally: &Tally) -> f64 {
    f64::from(tally.failed) / f64::from(tally.sent)
}

#[test]
fn few_requests_fail_while_three_in_ten_upstreams_are_grey() {
    // In a model of the same load, 2.4 to 3.9% of the requests fail with beliefs, 6.2 to 7.5% with
    // ejection after five failures, and about 23% without beliefs.
    let mut known = Tally::default();
    let mut without_beliefs = Tally::default();
    for seed in 1..=5 {
        let one = simulate(seed, 52.0, 60_000, false);
        known.sent += one.sent;
        known.failed += one.failed;
        let one = simulate(seed, 52.0, 60_000, true);
        without_beliefs.sent += one.sent;
        without_beliefs.failed += one.failed;
    }
    println!(
        "with beliefs {:.4}, without {:.4}",
        share(&known),
        share(&without_beliefs)
    );
    assert!(share(&known) < 0.045, "{known:?}");
    assert!(share(&without_beliefs) > 0.15, "{without_beliefs:?}");
}

/// The bytes of an answer of 90 KB between zones were reckoned as dearer than any number of failures, so
/// that downloads of a zone whose few upstreams had turned grey failed until these recovered.
#[test]
fn a_large_answer_comes_from_another_zone_if_the_own_one_is_grey() {
    let mut world = World::new(&["a", "b"]);
    let download = |world: &mut World, outcome: Outcome| {
        let mut request = world.request(IDEMPOTENT);
        request.attempts = 1;
        let ticket = request.ticket.clone();
        let Decision::Granted { upstream, .. } = world.reserve(request) else {
            panic!("there are free slots");
        };
        world.advance(RUN_TIME);
        let completion = Completion {
            outcome,
            latency: RUN_TIME,
            bytes: 90_000,
        };
        world.dispatcher.release(&ticket, &completion, world.now);
        upstream
    };
    for _ in 0..20 {
        download(&mut world, Outcome::Answered);
    }
    assert_eq!(download(&mut world, Outcome::Failed), 1);
    assert_eq!(download(&mut world, Outcome::Answered), 2);
}

#[test]
fn one_failure_moves_the_next_request_elsewhere() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..8 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let (ticket, failed) = world.place(NON_IDEMPOTENT).unwrap();
    world.advance(STEP);
    world.release(&ticket, Outcome::Failed, STEP);
    for _ in 0..5 {
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        assert_ne!(upstream, failed);
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
}

#[test]
fn a_suspect_is_tried_again_with_requests_that_may_be_retried() {
    let mut world = World::new(&["a", "a"]);
    let (ticket, suspect) = world.place(NON_IDEMPOTENT).unwrap();
    world.release(&ticket, Outcome::Failed, STEP);
    let (ticket, healthy) = world.place(NON_IDEMPOTENT).unwrap();
    world.advance(RUN_TIME);
    world.release(&ticket, Outcome::Answered, RUN_TIME);
    let mut first = BTreeMap::new();
    for at in 0..600 {
        for route in [NON_IDEMPOTENT, IDEMPOTENT] {
            let Some((ticket, upstream)) = world.place(route) else {
                continue;
            };
            if upstream == suspect {
                first.entry(route).or_insert(at);
            }
            world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
        }
        if first.contains_key(IDEMPOTENT) {
            break;
        }
        world.advance(Duration::from_millis(50));
    }
    assert_ne!(healthy, suspect);
    assert!(
        first.contains_key(IDEMPOTENT) && !first.contains_key(NON_IDEMPOTENT),
        "{first:?}"
    );
}

#[test]
fn an_upstream_that_hangs_is_avoided_before_its_requests_time_out() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..40 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let (_, hanging) = world.place(NON_IDEMPOTENT).unwrap();
    for _ in 0..40 {
        world.advance(Duration::from_millis(50));
        world.dispatcher.tick(world.now);
    }
    assert!(world.dispatcher.grey(hanging, world.now).unwrap() > 0.3);
    let (_, next) = world.place(NON_IDEMPOTENT).unwrap();
    assert_ne!(next, hanging);
}

#[test]
fn a_host_that_cannot_connect_is_sent_elsewhere_and_others_are_not() {
    let mut world = World::new(&["a", "b"]);
    for _ in 0..8 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let (ticket, unreachable) = world.place(NON_IDEMPOTENT).unwrap();
    world.release(&ticket, Outcome::Unreachable, STEP);
    let (_, other) = world.place(NON_IDEMPOTENT).unwrap();
    assert_ne!(other, unreachable);
    let mut request = world.request(NON_IDEMPOTENT);
    request.ticket.host = "host-2".to_owned();
    let decision = world.reserve(request);
    assert!(
        matches!(decision, Decision::Granted { upstream, .. } if upstream == unreachable),
        "{decision:?}"
    );
}

#[test]
fn an_upstream_that_joins_gets_a_request_soon() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..20 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    world.update_upstream(9, "a", Stage::Ready);
    let (_, upstream) = world.place(NON_IDEMPOTENT).unwrap();
    assert_eq!(upstream, 9);
}

#[test]
fn an_upstream_of_the_same_zone_is_preferred_unless_it_is_suspect() {
    let mut world = World::new(&["b", "a", "c"]);
    for number in [1, 2, 3] {
        // Each upstream gets one request, so that none counts as unused below.
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        assert!((1..=3).contains(&upstream), "{number}");
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    for _ in 0..10 {
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        assert_eq!(upstream, 2);
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
    world.release(&ticket, Outcome::Failed, STEP);
    assert_ne!(world.place(NON_IDEMPOTENT).unwrap().1, 2);
}

#[test]
fn most_healthy_upstreams_stay_in_use_while_some_requests_fail() {
    // Two of ten upstreams fail all requests, and one request in seven fails on any upstream. Of
    // the upstreams without a failure for 2 s, seven in ten must get a request in every 2 s.
    let mut world = World::new(&["a", "a", "a", "a", "b", "b", "c", "c", "d", "d"]);
    let mut used: BTreeMap<Number, u32> = BTreeMap::new();
    let mut failed: BTreeMap<Number, u32> = BTreeMap::new();
    let mut checks = 0;
    for at in (0..30_000_u32).step_by(40) {
        world.advance(STEP * 40);
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        used.insert(upstream, at);
        let does_fail = upstream <= 2 || at % 280 == 0;
        if does_fail {
            failed.insert(upstream, at);
        }
        let outcome = if does_fail {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        world.release(&ticket, outcome, Duration::from_millis(30));
        if at < 4_000 {
            continue;
        }
        let lately = |times: &BTreeMap<Number, u32>, one: Number| {
            times.get(&one).is_some_and(|time| time + 2_000 > at)
        };
        let healthy: Vec<Number> = (1..=10).filter(|one| !lately(&failed, *one)).collect();
        let in_use = healthy.iter().filter(|one| lately(&used, **one)).count();
        assert!(
            in_use * 10 >= healthy.len() * 7,
            "at {at}: {in_use} of {healthy:?}"
        );
        checks += 1;
    }
    assert!(checks > 600);
}

#[test]
fn each_upstream_of_a_large_service_stays_in_use_while_some_requests_fail() {
    // Fifteen of sixty upstreams fail all requests, and one request in twelve fails on any
    // upstream. Each upstream without a failure for 2 s must get a request in the next 2 s.
    let zones = ["a", "b", "c", "d"];
    let zones: Vec<&str> = (0..60).map(|number| zones[number % 4]).collect();
    let mut world = World::new(&zones);
    let mut used: BTreeMap<Number, u32> = BTreeMap::new();
    let mut failed: BTreeMap<Number, u32> = BTreeMap::new();
    for at in (0..20_000_u32).step_by(6) {
        world.advance(STEP * 6);
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        used.insert(upstream, at);
        let does_fail = upstream <= 15 || at % 72 == 0;
        if does_fail {
            failed.insert(upstream, at);
        }
        let outcome = if does_fail {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        world.release(&ticket, outcome, Duration::from_millis(5));
        if at < 6_000 {
            continue;
        }
        let last = |times: &BTreeMap<Number, u32>, one: Number| {
            times.get(&one).copied().unwrap_or_default()
        };
        for one in 1..=60 {
            let healthy = last(&failed, one) + 4_000 < at;
            let idle = last(&used, one) + 2_000 < at;
            assert!(!(healthy && idle), "at {at}: {one} gets nothing");
        }
    }
}

/// Half of the upstreams fail for a moment, then the other half. An upstream counts as healthy two
/// seconds after its failure; if it got its next request only then, it was idle when it was checked.
#[test]
fn upstreams_that_failed_for_a_moment_are_in_use_once_they_count_as_healthy() {
    let zones = ["a", "b", "c", "d"];
    let zones: Vec<&str> = (0..16).map(|number| zones[number % 4]).collect();
    let mut world = World::new(&zones);
    let mut used: BTreeMap<Number, u32> = BTreeMap::new();
    let mut failed: BTreeMap<Number, u32> = BTreeMap::new();
    for at in (0..30_000_u32).step_by(10) {
        world.advance(STEP * 10);
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).unwrap();
        used.insert(upstream, at);
        let is_first_half = upstream <= 8;
        let fails_now = at % 2_500 < 500 && is_first_half == (at % 5_000 < 2_500);
        let does_fail = fails_now || at % 110 == 0;
        if does_fail {
            failed.insert(upstream, at);
        }
        let outcome = if does_fail {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        world.release(&ticket, outcome, Duration::from_millis(5));
        if at < 6_000 {
            continue;
        }
        let lately = |times: &BTreeMap<Number, u32>, one: Number| {
            times.get(&one).is_some_and(|time| time + 2_000 > at)
        };
        let healthy: Vec<Number> = (1..=16).filter(|one| !lately(&failed, *one)).collect();
        let in_use = healthy.iter().filter(|one| lately(&used, **one)).count();
        assert!(
            in_use * 10 >= healthy.len() * 7,
            "at {at}: {in_use} of {healthy:?}"
        );
    }
}

/// Half of the upstreams fail once in a while and recover at once. Nothing else fails, so that the floor
/// is not enforced; when all hosts were then lost, operators found most healthy upstreams idle.
#[test]
fn suspects_are_tried_again_with_reads_while_nothing_else_fails() {
    let zones = ["a", "b", "c", "d"];
    let zones: Vec<&str> = (0..16).map(|number| zones[number % 4]).collect();
    let mut world = World::new(&zones);
    let mut used: BTreeMap<Number, u32> = BTreeMap::new();
    let mut failed: BTreeMap<Number, u32> = BTreeMap::new();
    for at in (0..40_000_u32).step_by(10) {
        world.advance(STEP * 10);
        let mut request = world.request(IDEMPOTENT);
        request.zone = zones[at as usize / 10 % 4].to_owned();
        let ticket = request.ticket.clone();
        let Decision::Granted { upstream, .. } = world.reserve(request) else {
            panic!("there are free slots");
        };
        used.insert(upstream, at);
        let does_fail = upstream <= 8 && at % 10_000 < 300;
        if does_fail {
            failed.insert(upstream, at);
        }
        let outcome = if does_fail {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        world.release(&ticket, outcome, Duration::from_millis(5));
        let lately = |times: &BTreeMap<Number, u32>, one: Number, within: u32| {
            times.get(&one).is_some_and(|time| time + within > at)
        };
        // A window of two seconds begins when the upstream counts as healthy again.
        let healthy: Vec<Number> = (1..=16)
            .filter(|one| !lately(&failed, *one, 4_000))
            .collect();
        let in_use = healthy.iter().filter(|one| lately(&used, **one, 2_000));
        let in_use = in_use.count();
        assert!(
            at < 4_000 || in_use * 10 >= healthy.len() * 7,
            "at {at}: {in_use} of {healthy:?}"
        );
    }
}

#[test]
fn a_busy_service_fails_little_more() {
    let busy = simulate(8, 100.0, 60_000, false);
    assert!(share(&busy) < 0.06, "{busy:?}");
}

#[test]
fn the_suspects_of_a_dispatcher_are_adopted_by_the_next() {
    let mut world = World::new(&["a", "a", "a"]);
    let (ticket, suspect) = world.place(NON_IDEMPOTENT).unwrap();
    world.release(&ticket, Outcome::Failed, STEP);
    let suspects = world.dispatcher.suspects(world.now);
    assert_eq!(suspects, BTreeSet::from([suspect]));
    let mut next = World::new(&["a", "a", "a"]);
    next.dispatcher.adopt_suspects(&suspects, false, next.now);
    for _ in 0..3 {
        let (ticket, upstream) = next.place(NON_IDEMPOTENT).unwrap();
        assert_ne!(upstream, suspect);
        next.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    // Own observations override the suspects of the earlier dispatcher.
    next.dispatcher
        .adopt_suspects(&BTreeSet::from([1, 2, 3]), false, next.now);
    assert!(next.dispatcher.suspects(next.now).len() < 3);
}

#[test]
fn timeouts_of_a_route_with_too_short_a_timeout_make_no_upstream_a_suspect() {
    let mut world = World::new(&["a", "a"]);
    let short = Duration::from_millis(400);
    // Each request comes from another host, as several timeouts in a row at one host speak against its path.
    let time_out = |world: &mut World, count: usize| {
        for _ in 0..count {
            let mut request = world.request(IDEMPOTENT);
            request.ticket.host = format!("host-{}", request.ticket.number);
            let ticket = request.ticket.clone();
            let decision = world.reserve(request);
            assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
            world.advance(short);
            world.release(&ticket, Outcome::TimedOut, short);
        }
    };
    time_out(&mut world, 18);
    // Further timeouts change no belief, so that the probabilities drift back.
    let before = world.dispatcher.grey(1, world.now).unwrap();
    time_out(&mut world, 6);
    assert!(world.dispatcher.grey(1, world.now).unwrap() < before);
}

#[test]
fn a_non_idempotent_request_waits_for_a_healthy_upstream_before_it_takes_a_suspect() {
    let mut world = World::new(&["a", "a"]);
    for _ in 0..20 {
        let (ticket, _) = world.place(NON_IDEMPOTENT).unwrap();
        world.advance(RUN_TIME);
        world.release(&ticket, Outcome::Answered, RUN_TIME);
    }
    let (ticket, suspect) = world.place(NON_IDEMPOTENT).unwrap();
    let (again, same) = world.place(NON_IDEMPOTENT).unwrap();
    let (third, last) = world.place(NON_IDEMPOTENT).unwrap();
    for (ticket, upstream) in [(ticket, suspect), (again, same), (third, last)] {
        let outcome = if upstream == suspect {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        world.release(&ticket, outcome, STEP);
    }
    assert_eq!(
        world.dispatcher.suspects(world.now),
        BTreeSet::from([suspect])
    );
    let held: Vec<Ticket> = (0..3)
        .map(|_| world.place(NON_IDEMPOTENT).unwrap().0)
        .collect();
    // The healthy upstream is full. A non-idempotent request waits for it; an idempotent request
    // may try the suspect.
    let request = world.request(NON_IDEMPOTENT);
    let waiting = request.ticket.clone();
    assert_eq!(world.reserve(request), Decision::Queued);
    let request = world.request(IDEMPOTENT);
    assert!(matches!(
        world.reserve(request),
        Decision::Granted { .. } | Decision::Queued
    ));
    let answers = world.release(&held[0], Outcome::Answered, RUN_TIME);
    let own = answers
        .iter()
        .find(|answer| answer.ticket == waiting)
        .unwrap();
    assert!(
        matches!(own.decision, Decision::Granted { upstream, .. } if upstream != suspect),
        "{own:?}"
    );
    // A request that has waited for 40% of its objective takes a slot of the suspect.
    let request = world.request(NON_IDEMPOTENT);
    let late = request.ticket.clone();
    assert_eq!(world.reserve(request), Decision::Queued);
    world.advance(Duration::from_millis(450));
    let answers = world.dispatcher.tick(world.now);
    let own = answers.iter().find(|answer| answer.ticket == late).unwrap();
    assert!(matches!(own.decision, Decision::Granted { .. }), "{own:?}");
}
