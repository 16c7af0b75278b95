//! The budget of a host under clients that read slowly and bodies that come at once.

use persimmonbend_check::properties;
use persimmonbend_core::memory::Bound;
use persimmonbend_core::memory::Budget;

const LIMIT: u64 = 48_000_000;

/// Bytes of one read.
const STEP: u64 = 64_000;

const ANSWER: u64 = 4_000_000;

/// An answer whose upstream sends a step each millisecond, while its client takes one in many.
struct Answer {
    tenant: &'static str,
    every_ms: u64,
    read: u64,
    held: u64,
    read_whole_at: Option<u64>,
}

/// Plays answers that all begin at once, for three seconds.
fn play(tenants: &[(&'static str, usize, u64)]) -> Vec<Answer> {
    let mut budget = Budget::new(LIMIT);
    let each = tenants
        .iter()
        .flat_map(|(tenant, count, every_ms)| std::iter::repeat_n((*tenant, *every_ms), *count));
    let mut answers: Vec<Answer> = each
        .map(|(tenant, every_ms)| Answer {
            tenant,
            every_ms,
            read: 0,
            held: 0,
            read_whole_at: None,
        })
        .collect();
    let most = LIMIT + STEP * answers.len() as u64;
    for now in 0..3_000 {
        for answer in &mut answers {
            if now % answer.every_ms == 0 && answer.held > 0 {
                answer.held -= STEP;
                budget.remove(answer.tenant, STEP);
            }
            let has_room = budget
                .check_answer(answer.tenant, answer.held, STEP)
                .is_ok();
            if answer.read < ANSWER && (has_room || answer.held == 0) {
                answer.read += STEP;
                answer.held += STEP;
                budget.add(answer.tenant, STEP);
            }
            if answer.read >= ANSWER {
                answer.read_whole_at.get_or_insert(now);
            }
        }
        assert!(budget.used() <= most, "{} of {LIMIT}", budget.used());
    }
    answers
}

/// A client that reads slowly kept its upstream until its deadline.
#[test]
fn upstreams_of_a_few_slow_clients_are_released_at_once() {
    let answers = play(&[("farm", 5, 500), ("mill", 5, 500)]);
    for answer in answers {
        assert!(answer.read_whole_at.is_some_and(|at| at < 100));
    }
}

/// The slow clients of one tenant took the memory of all others.
#[test]
fn many_slow_clients_of_a_tenant_leave_room_to_the_others() {
    let answers = play(&[("flood", 200, 500), ("mill", 5, 500)]);
    for answer in answers.iter().filter(|answer| answer.tenant == "mill") {
        assert!(
            answer.read_whole_at.is_some_and(|at| at < 500),
            "{:?}",
            answer.read_whole_at
        );
    }
    // Each of the others still advances as fast as its client reads.
    let flood = answers.iter().filter(|answer| answer.tenant == "flood");
    assert!(
        flood
            .min_by_key(|answer| answer.read)
            .is_some_and(|answer| answer.read >= 5 * STEP)
    );
}

/// A body could never be taken that is larger than the part of its tenant.
#[test]
fn one_body_always_has_room_and_more_are_refused() {
    let mut budget = Budget::new(LIMIT);
    assert_eq!(budget.check_body("farm", 0, LIMIT * 2), Ok(()));
    budget.add("farm", LIMIT * 2);
    assert_eq!(budget.check_body("farm", 0, 0), Ok(()));
    assert_eq!(budget.check_body("farm", 0, 1), Err(Bound::Tenant));
    assert_eq!(budget.check_body("mill", 0, 1), Err(Bound::Host));
    assert_eq!(budget.check_answer("mill", 0, STEP), Err(Bound::Host));
    budget.remove("farm", LIMIT * 2);
    assert_eq!(budget.check_body("mill", 0, LIMIT / 4), Ok(()));
}

/// A body that came in parts was refused at the part of its tenant, also if it was the only one.
#[test]
fn one_body_that_comes_in_parts_always_has_room() {
    let mut budget = Budget::new(LIMIT);
    for own in (0..LIMIT * 2).step_by(1_000_000) {
        assert_eq!(budget.check_body("farm", own, 1_000_000), Ok(()));
        budget.add("farm", 1_000_000);
    }
    budget.add("mill", 1);
    assert_eq!(budget.check_body("farm", LIMIT * 2, 1), Err(Bound::Host));
    budget.remove("mill", 1);
    budget.add("farm", 1);
    assert_eq!(budget.check_body("farm", LIMIT * 2, 1), Err(Bound::Tenant));
}

properties! {
    fn what_is_checked_stays_within_the_budget(steps: Vec<(u8, u32, bool)>) -> bool {
        let mut budget = Budget::new(u64::from(u32::MAX));
        let mut held = [0; 4];
        steps.iter().all(|(tenant, bytes, is_freed)| {
            let index = usize::from(*tenant) % held.len();
            let (name, bytes) = (index.to_string(), u64::from(*bytes));
            if *is_freed {
                budget.remove(&name, bytes);
                held[index] -= bytes.min(held[index]);
            } else if budget.check_body(&name, 0, bytes).is_ok() {
                budget.add(&name, bytes);
                held[index] += bytes;
            }
            let all: u64 = held.iter().sum();
            budget.used() == all && all <= budget.limit() && budget.used_by(&name) == held[index]
        })
    }
}
