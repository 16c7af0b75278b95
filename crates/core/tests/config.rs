//! Tests of the configuration as a state machine: concurrent changes, resends and revisions.

use persimmonbend_check::properties;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use quickcheck::TestResult;

fn submission(id: &str, base: Option<u64>, burst: u32) -> Submission {
    let rate = Rate {
        per_second: 1.0,
        burst,
    };
    Submission {
        id: id.to_owned(),
        base,
        operator: "test".to_owned(),
        change: Change::SetTenant {
            tenant: Tenant {
                id: "farm".to_owned(),
                rate,
            },
        },
    }
}

fn accept(state: &mut State, submission: &Submission) -> Outcome {
    let outcome = state.evaluate(submission);
    if let Outcome::Accepted { revision } = outcome
        && revision > state.revision()
    {
        let submission = submission.clone();
        assert!(state.apply(&Entry {
            revision,
            submission
        }));
    }
    outcome
}

#[test]
fn the_first_of_two_changes_with_the_same_base_wins() {
    let mut state = State::default();
    assert_eq!(
        accept(&mut state, &submission("a", Some(0), 1)),
        Outcome::Accepted { revision: 1 }
    );
    let outcome = accept(&mut state, &submission("b", Some(0), 2));
    let Outcome::Conflict { revision, since } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(revision, 1);
    assert_eq!(since[0].id, "a");
    assert_eq!(state.tenants()["farm"].rate.burst, 1);
}

properties! {
    fn a_resend_gets_the_first_answer(ids: Vec<u8>) -> bool {
        let mut state = State::default();
        let mut first = std::collections::BTreeMap::new();
        ids.iter().all(|id| {
            let outcome = accept(&mut state, &submission(&id.to_string(), None, 1));
            *first.entry(*id).or_insert_with(|| outcome.clone()) == outcome
        })
    }

    fn the_revision_counts_the_accepted_changes(bases: Vec<u8>) -> TestResult {
        let mut state = State::default();
        let mut accepted = 0;
        for (number, base) in bases.iter().enumerate() {
            let base = Some(u64::from(*base % 8));
            let outcome = accept(&mut state, &submission(&number.to_string(), base, 1));
            accepted += u64::from(matches!(outcome, Outcome::Accepted { .. }));
        }
        TestResult::from_bool(state.revision() == accepted)
    }
}
