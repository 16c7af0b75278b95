//! Services of which all upstreams refuse part of their requests: who gets the retries.

use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::health::Outcome;

use crate::load::Kind;
use crate::load::Load;
use crate::load::Run;
use crate::world::IDEMPOTENT;
use crate::world::World;
use crate::world::policy;

const RETRIES: Retries = Retries {
    ratio: 0.2,
    burst: 64.0,
};

const SLOTS: f64 = 3.0;

/// Share of the slots that the load uses while no upstream sheds.
const LOAD: f64 = 0.65;

/// Share of the requests that are of the urgent kind.
const URGENT_SHARE: f64 = 0.3;

const URGENT: Kind = Kind {
    name: "urgent",
    priority: 0,
    work_ms: 240,
    objective_ms: 1_000,
    deadline_ms: 2_000,
    per_second: 0.0,
    burst: 1.0,
};

/// Plays a service whose upstreams refuse a share of their requests for a time.
fn play(upstreams: u32, urgent_share: f64, shed: &'static [f64], lasting_ms: u64) -> Run {
    let all = f64::from(upstreams) * SLOTS * LOAD / (URGENT.work_ms as f64 / 1_000.0);
    let urgent = Kind {
        per_second: all * urgent_share,
        ..URGENT
    };
    let usual = Kind {
        name: "usual",
        priority: 1,
        per_second: all - urgent.per_second,
        ..URGENT
    };
    let run = Run::play(Load {
        upstreams,
        kinds: vec![urgent, usual],
        tenants: vec![("only", 1.0, 1.0)],
        keys: 1,
        burst_ms: 4_000..4_000 + lasting_ms,
        end_ms: 4_000 + lasting_ms + 2_500,
        repeats: 0,
        shed,
        policy: Policy {
            retries: RETRIES,
            ..policy()
        },
    });
    println!("{upstreams} upstreams, {urgent_share} urgent, {shed:?} shed for {lasting_ms} ms");
    run.print();
    run
}

/// Shares that upstreams refuse, by turns.
const EVEN: &[f64] = &[0.55];
const UNEVEN: &[f64] = &[0.1, 0.3, 0.7, 0.8, 0.85];
const FEW: &[f64] = &[0.1];

/// Share of the allowed retries that a dispatcher hands out.
const HANDED_OUT: f64 = 0.9;

/// Three standard deviations of a share of 600 requests.
const NOISE: f64 = 0.06;

/// Most requests that may be refused later than an eighth of their objective.
const MAX_LATE_REFUSALS: f64 = 0.1;

/// Retries went to who asked first: 55 of 100 urgent requests were answered, as of all others.
#[test]
fn the_retries_of_a_service_that_sheds_go_to_urgent_requests() {
    let answered = 1.0 - EVEN[0];
    let earned = RETRIES.ratio * HANDED_OUT;
    for upstreams in [36, 183] {
        for urgent_share in [0.05, URGENT_SHARE, 0.6] {
            let run = play(upstreams, urgent_share, EVEN, 8_000);
            let possible = answered * (1.0 + earned / urgent_share);
            let urgent = run.kind("urgent").timely_share();
            assert!(urgent > possible.min(1.0) - NOISE, "{urgent} of {possible}");
            let all = run.tenant("only");
            let possible = answered * (1.0 + earned);
            assert!(all.answered_share() > possible - NOISE, "{possible}");
            let allowed = RETRIES.ratio * f64::from(all.sent) + RETRIES.burst;
            assert!(f64::from(all.retries) <= allowed, "{allowed}");
            let withheld = run.world.dispatcher.retries_withheld();
            let withheld: Vec<u32> = withheld
                .flat_map(|(_, each)| each.keys().copied())
                .collect();
            assert_eq!(withheld, [1]);
        }
    }
}

/// Urgent requests that may be repeated tried the upstreams that shed most, relying on retries: 41 of 100
/// were answered, and 81 of the others.
#[test]
fn urgent_requests_do_not_rely_on_retries_that_a_service_has_not() {
    for upstreams in [36, 183] {
        let run = play(upstreams, URGENT_SHARE, UNEVEN, 8_000);
        assert!(run.kind("urgent").timely_share() > 1.0 - NOISE);
        assert!(run.kind("usual").late_refusals() < MAX_LATE_REFUSALS);
    }
}

#[test]
fn nothing_is_withheld_while_the_budget_covers_all_retries() {
    let run = play(36, URGENT_SHARE, FEW, 8_000);
    assert!(run.tenant("only").timely_share() > 0.999);
    let mut withheld = run.world.dispatcher.retries_withheld();
    assert!(withheld.all(|(_, each)| each.is_empty()));
}

/// The first retries counted as a rate that lasts, and a late one was refused beside a full budget.
#[test]
fn a_few_retries_of_a_quiet_service_leave_one_to_a_late_request() {
    let mut world = World::with(
        Policy {
            retries: RETRIES,
            is_first_dispatcher: true,
            ..policy()
        },
        &["a"; 4],
    );
    let mut late = world.request(IDEMPOTENT);
    for _ in 0..12 {
        for is_retry in [false, true] {
            let mut request = world.request(IDEMPOTENT);
            request.is_retry = is_retry;
            let ticket = request.ticket.clone();
            let decision = world.reserve(request);
            assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
            world.advance(Duration::from_millis(40));
            world.release(&ticket, Outcome::Answered, Duration::from_millis(40));
        }
    }
    world.advance(Duration::from_millis(40));
    late.is_retry = true;
    let decision = world.reserve(late);
    assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
}
