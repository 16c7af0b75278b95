//! Services that are asked for more than they offer: who is served, who waits and who is refused.

use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::error;
use persimmonbend_core::upstream::Stage;

use crate::load::Kind;
use crate::load::Load;
use crate::load::Run;
use crate::world::LOW_PRIORITY;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;
use crate::world::policy;

const WEIGHT: Kind = Kind {
    name: "weight",
    priority: 0,
    work_ms: 300,
    objective_ms: 1_500,
    deadline_ms: 4_000,
    per_second: 10.0,
    burst: 1.0,
};

const SALE: Kind = Kind {
    name: "sale",
    priority: 1,
    work_ms: 390,
    deadline_ms: 6_000,
    per_second: 20.0,
    ..WEIGHT
};

const LISTING: Kind = Kind {
    name: "listing",
    priority: 2,
    work_ms: 1_200,
    objective_ms: 6_000,
    deadline_ms: 12_000,
    per_second: 10.0,
    ..WEIGHT
};

const LOOKUP: Kind = Kind {
    name: "lookup",
    priority: 1,
    work_ms: 60,
    objective_ms: 300,
    deadline_ms: 600,
    per_second: 300.0,
    burst: 1.0,
};

/// The usual load keeps about two of three slots busy.
fn base() -> Load {
    Load {
        upstreams: 12,
        kinds: vec![WEIGHT, SALE, LISTING],
        tenants: vec![("only", 1.0, 1.0)],
        keys: 1,
        burst_ms: 6_000..12_000,
        end_ms: 30_000,
        repeats: 0,
        shed: &[],
        policy: policy(),
    }
}

fn with_bursts(kinds: &[(Kind, f64)]) -> Vec<Kind> {
    let each = kinds.iter();
    each.map(|(kind, burst)| Kind {
        burst: *burst,
        ..*kind
    })
    .collect()
}

/// A listing holds its slot for four times as long as a weight.
#[test]
fn a_burst_of_slow_requests_does_not_hold_up_urgent_ones() {
    for upstreams in [2, 4, 12] {
        let scale = f64::from(upstreams) / 12.0;
        let mut load = base();
        load.upstreams = upstreams;
        load.kinds = with_bursts(&[(WEIGHT, 1.0), (SALE, 1.0), (LISTING, 3.0)]);
        for kind in &mut load.kinds {
            kind.per_second *= scale;
        }
        let run = Run::play(load);
        run.print();
        let weights = run.kind("weight");
        assert!(weights.timely_share() > 0.99, "{upstreams} upstreams");
        assert!(weights.wait_ms(0.99) < 300, "{upstreams} upstreams");
        assert!(
            run.kind("sale").timely_share() > 0.97,
            "{upstreams} upstreams"
        );
        assert!(
            run.kind("listing").answered_share() > 0.25,
            "{upstreams} upstreams"
        );
    }
}

/// First come, first served up to the deadline: all answers come after the objective.
#[test]
fn while_too_much_is_asked_what_is_served_is_served_in_time() {
    for (kind, times) in [(LOOKUP, 3.0), (LOOKUP, 4.5)] {
        let load = Load {
            kinds: with_bursts(&[(kind, times)]),
            ..base()
        };
        let run = Run::play(load);
        run.print();
        let possible = 36.0 / (kind.per_second * times * 0.06);
        let tally = run.kind(kind.name);
        assert!(tally.timely_share() > 0.9 * possible.min(1.0), "{possible}");
        assert!(tally.late_refusals() < 0.05);
    }
}

#[test]
fn a_short_burst_of_all_kinds_is_served_by_priority() {
    let mut load = base();
    load.kinds = with_bursts(&[(WEIGHT, 2.4), (SALE, 2.4), (LISTING, 2.4)]);
    let run = Run::play(load);
    run.print();
    assert!(run.kind("weight").timely_share() > 0.99);
    assert!(run.kind("sale").timely_share() > 0.97);
    assert!(run.kind("listing").answered_share() > 0.25);
}

/// A tenant at several times its usual filled the queue, and the others were refused at arrival.
#[test]
fn the_excess_of_one_tenant_is_its_own() {
    for (times, kind) in [(8.0, LOOKUP), (5.0, LOOKUP), (8.0, SALE)] {
        let mut tenants = vec![("large", 6.0, 1.0), ("loud", 3.0, times)];
        tenants.extend(["t1", "t2", "t3", "t4", "t5", "t6"].map(|name| (name, 1.0, 1.0)));
        let per_second = if kind.name == "sale" { 60.0 } else { 400.0 };
        let load = Load {
            kinds: vec![Kind { per_second, ..kind }],
            tenants,
            ..base()
        };
        let run = Run::play(load);
        run.print();
        for quiet in ["large", "t1", "t2", "t3", "t4", "t5", "t6"] {
            let share = run.tenant(quiet).timely_share();
            assert!(share > 0.995, "{times} times: {quiet} {share}");
        }
        // The room that the others leave is used.
        let busy = per_second * kind.work_ms as f64 / 1_000.0;
        let possible = (36.0 - busy * 12.0 / 15.0) / (busy * 3.0 / 15.0 * times);
        let share = run.tenant("loud").answered_share();
        assert!(share > 0.85 * possible.min(1.0), "{share} of {possible}");
    }
}

#[test]
fn clients_that_repeat_at_once_do_not_push_others_out() {
    let mut load = base();
    load.kinds = with_bursts(&[(WEIGHT, 1.0), (SALE, 1.5), (LISTING, 2.5)]);
    load.repeats = 6;
    let run = Run::play(load);
    run.print();
    assert!(run.kind("weight").timely_share() > 0.99);
    assert!(run.kind("sale").timely_share() > 0.95);
}

/// The cost of one request must not grow with those that are queued.
#[test]
fn the_work_for_a_request_does_not_grow_with_the_queue() {
    let steps_at = |upstreams: u32, queued: usize| {
        let zones: Vec<&str> = ["a", "b", "c"]
            .into_iter()
            .cycle()
            .take(upstreams as usize)
            .collect();
        let mut world = World::new(&zones);
        let held: Vec<_> = (0..upstreams * 3)
            .filter_map(|_| world.place(LOW_PRIORITY))
            .collect();
        for _ in 0..queued {
            let mut request = world.request(LOW_PRIORITY);
            request.deadline += Duration::from_secs(3_000);
            assert_eq!(world.reserve(request), Decision::Queued);
        }
        let before = world.dispatcher.steps();
        for (ticket, _) in held.iter().take(30) {
            world.advance(Duration::from_millis(10));
            world.dispatcher.tick(world.now);
            let outcome = persimmonbend_core::health::Outcome::Answered;
            world.release(ticket, outcome, Duration::from_millis(200));
        }
        (world.dispatcher.steps() - before) / 30
    };
    for upstreams in [36, 219, 432, 1_300] {
        for queued in [40, 4_000] {
            let steps = steps_at(upstreams, queued);
            println!("{upstreams} upstreams, {queued} queued: {steps} steps");
            assert!(
                steps < 150,
                "{upstreams} upstreams, {queued} queued: {steps}"
            );
        }
    }
}

/// Requests that were queued before most upstreams were lost waited in vain up to their deadline.
#[test]
fn queued_requests_are_refused_early_after_the_loss_of_upstreams() {
    let mut world = World::new(&["a"; 12]);
    let count = (0..36).filter_map(|_| world.place(NON_IDEMPOTENT)).count();
    assert_eq!(count, 36);
    let requests: Vec<_> = (0..60).map(|_| world.request(NON_IDEMPOTENT)).collect();
    let is_queued = |world: &mut World, request| world.reserve(request) == Decision::Queued;
    let queued = requests
        .into_iter()
        .filter(|request| is_queued(&mut world, request.clone()))
        .count();
    assert!(queued > 30, "{queued}");
    for number in 2..=12 {
        world.update_upstream(number, "a", Stage::Draining);
    }
    world.advance(Duration::from_millis(50));
    let answers = world.dispatcher.tick(world.now);
    let is_refused = |answer: &&Answer| {
        let decision = answer.decision;
        matches!(
            decision,
            Decision::Refused {
                kind: error::Kind::Overloaded,
                ..
            }
        )
    };
    let refused = answers.iter().filter(is_refused).count();
    let left = world.dispatcher.queued(SERVICE);
    // Three slots serve about twelve requests of 330 ms before the deadline of 2 s.
    assert!(refused > queued / 2, "{refused} of {queued}");
    assert!((3..=24).contains(&left), "{left} of {queued}");
}

/// Slots that a new dispatcher kept for urgent requests it had not seen would be idle.
#[test]
fn a_dispatcher_that_has_seen_nothing_urgent_keeps_no_slots() {
    let mut world = World::new(&["a"]);
    for _ in 0..3 {
        assert!(world.place(LOW_PRIORITY).is_some());
    }
}

/// Shorter requests of the same priority can wait for longer within their objective.
#[test]
fn no_kind_starves_beside_shorter_requests_of_its_priority() {
    let slow = Kind {
        name: "slow",
        work_ms: 600,
        per_second: 20.0,
        ..SALE
    };
    let fast = Kind {
        name: "fast",
        work_ms: 100,
        per_second: 120.0,
        ..SALE
    };
    let load = Load {
        kinds: with_bursts(&[(slow, 2.0), (fast, 2.0)]),
        ..base()
    };
    let run = Run::play(load);
    run.print();
    let all = run.tenant("only").answered_share();
    assert!(run.kind("slow").answered_share() > 0.25 * all);
}

/// With equal shares, a large tenant lost what it had to the excess of a smaller one.
#[test]
fn a_large_tenant_keeps_what_it_had_beside_the_excess_of_a_small_one() {
    let kind = Kind {
        per_second: 500.0,
        ..LOOKUP
    };
    let load = Load {
        kinds: vec![kind],
        tenants: vec![
            ("large", 12.0, 1.0),
            ("loud", 3.0, 8.0),
            ("other", 6.0, 1.0),
        ],
        ..base()
    };
    let run = Run::play(load);
    run.print();
    assert!(run.tenant("large").timely_share() > 0.995);
    assert!(run.tenant("other").timely_share() > 0.995);
}

/// The excess of two tenants at once, of which each alone would be held back.
#[test]
fn two_loud_tenants_take_nothing_from_the_others() {
    let quiet = ["large", "t1", "t2", "t3", "t4", "t5"];
    for (upstreams, times, kind) in [
        (12, [8.0, 8.0], LOOKUP),
        (12, [5.0, 8.0], LOOKUP),
        (12, [6.0, 6.0], SALE),
        (36, [8.0, 5.0], LOOKUP),
    ] {
        let mut tenants = vec![("large", 6.0, 1.0), ("loud", 3.0, times[0])];
        tenants.push(("shrill", 2.0, times[1]));
        tenants.extend(quiet[1..].iter().map(|name| (*name, 1.0, 1.0)));
        let slots = f64::from(upstreams) * 3.0;
        let per_second = slots * 0.66 / (kind.work_ms as f64 / 1_000.0);
        let load = Load {
            upstreams,
            kinds: vec![Kind { per_second, ..kind }],
            tenants,
            ..base()
        };
        let run = Run::play(load);
        println!("{upstreams} upstreams, {} at {times:?} times", kind.name);
        run.print();
        for name in quiet {
            let share = run.tenant(name).timely_share();
            assert!(share > 0.995, "{times:?} times: {name} {share}");
        }
        // What the others leave is used.
        let left = slots * (1.0 - 0.66 * 11.0 / 16.0);
        let asked = slots * 0.66 * (3.0 * times[0] + 2.0 * times[1]) / 16.0;
        let served = ["loud", "shrill"].map(|name| run.tenant(name));
        let answered: u32 = served.iter().map(|tally| tally.answered).sum();
        let sent: u32 = served.iter().map(|tally| tally.sent).sum();
        let share = f64::from(answered) / f64::from(sent);
        assert!(share > 0.85 * left / asked, "{share} of {}", left / asked);
        // Neither takes it all.
        for tally in served {
            assert!(tally.answered_share() > 0.5 * share, "{tally:?}");
        }
    }
}

/// Keys that counted as tenants would raise the share of one that has many.
#[test]
fn a_tenant_gets_no_more_with_many_keys() {
    let play = |keys| {
        let tenants = vec![("loud", 3.0, 8.0), ("t1", 3.0, 1.0), ("t2", 3.0, 1.0)];
        let run = Run::play(Load {
            kinds: vec![Kind {
                per_second: 400.0,
                ..LOOKUP
            }],
            tenants,
            keys,
            ..base()
        });
        run.print();
        for quiet in ["t1", "t2"] {
            let share = run.tenant(quiet).timely_share();
            assert!(share > 0.995, "{keys} keys: {quiet} {share}");
        }
        run.tenant("loud").answered
    };
    assert_eq!(play(1), play(40));
}
