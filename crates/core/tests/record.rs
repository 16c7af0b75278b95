//! Tests of the records of non-idempotent requests: each key is executed at most once, and no
//! executed request is reported as not run, while commands are lost, repeated and reordered and
//! hosts crash.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use persimmonbend_check::tester;
use persimmonbend_core::key::Digest;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::record::Answer;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::MAX_ANSWER_BYTES;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Outcome;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Table;
use persimmonbend_core::record::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const EXECUTION_TIMEOUT: Duration = Duration::from_millis(50);
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn name(key: u64) -> Name {
    Name {
        tenant: "farm".to_owned(),
        route: "herd/lodge".to_owned(),
        key: key.to_string(),
    }
}

fn claim(key: u64, attempt: u64, body: u8) -> Claim {
    Claim {
        name: name(key),
        request: Digest::from([body; 32]),
        owner: Owner {
            host: format!("host-{}", attempt % 3),
            attempt,
        },
        execution_timeout: EXECUTION_TIMEOUT,
    }
}

fn answer(body: &[u8]) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: body.to_vec(),
    }
}

fn complete(table: &mut Table, claim: &Claim, outcome: &Outcome, at: u64) {
    table.complete(&claim.name, &claim.owner, outcome, at);
}

#[test]
fn states_of_a_record() {
    let mut table = Table::default();
    let first = claim(1, 1, 0);
    let other = claim(1, 2, 0);
    assert_eq!(table.claim(&first, 0), Verdict::Fresh);
    assert_eq!(table.claim(&first, 1), Verdict::Fresh, "a resend");
    assert_eq!(table.claim(&other, 2), Verdict::Running);
    assert_eq!(table.claim(&claim(1, 3, 9), 2), Verdict::Mismatch);
    complete(&mut table, &other, &Outcome::NotRun, 3);
    assert_eq!(table.claim(&other, 3), Verdict::Running, "not the owner");
    let late = 3 + 60;
    assert_eq!(table.claim(&other, late), Verdict::Unknown, "owner gone");
    let whole = answer(&[0, 10, 200, 255]);
    let outcome = Outcome::Answered {
        answer: whole.clone(),
    };
    complete(&mut table, &first, &outcome, late);
    assert_eq!(table.claim(&other, late), Verdict::Done(whole));
    let copy: Table = serde_json::from_slice(&serde_json::to_vec(&table).unwrap()).unwrap();
    assert_eq!(copy, table);
    assert_eq!(table.claim(&other, late + DAY_MS), Verdict::Fresh);
}

#[test]
fn outcomes_of_an_execution() {
    let large = answer(&vec![b'x'; MAX_ANSWER_BYTES + 1]);
    let cases = [
        (Outcome::Ran, Verdict::AnswerGone),
        (Outcome::Answered { answer: large }, Verdict::AnswerGone),
        (Outcome::Unknown, Verdict::Unknown),
        (Outcome::NotRun, Verdict::Fresh),
    ];
    for (outcome, verdict) in cases {
        let mut table = Table::default();
        let first = claim(1, 1, 0);
        table.claim(&first, 0);
        complete(&mut table, &first, &outcome, 1);
        assert_eq!(table.claim(&claim(1, 2, 0), 2), verdict, "{outcome:?}");
    }
}

#[test]
fn a_claim_that_arrives_after_its_release_is_refused() {
    let mut table = Table::default();
    let first = claim(1, 1, 0);
    complete(&mut table, &first, &Outcome::NotRun, 0);
    assert_eq!(table.claim(&first, 1), Verdict::Released);
    assert_eq!(table.claim(&claim(1, 2, 0), 2), Verdict::Fresh);
}

#[test]
fn a_tenant_with_too_many_records_is_refused_until_they_expire() {
    let mut table = Table::default();
    for key in 0..100_000 {
        assert_eq!(table.claim(&claim(key, key, 0), 0), Verdict::Fresh);
    }
    let next = claim(100_000, 100_000, 0);
    assert_eq!(table.claim(&next, 1), Verdict::Full);
    assert_eq!(table.peek(&next, 1), Some(Verdict::Full));
    assert_eq!(table.claim(&next, DAY_MS + 1), Verdict::Fresh);
}

/// A request that a client sent to one host.
#[derive(Debug)]
struct Request {
    claim: Claim,
    state: State,
}

#[derive(Debug, PartialEq)]
enum State {
    Claiming,
    Owning,
    Reporting(Outcome),
    Finished,
}

/// Replicated control behind a network that loses, repeats and reorders commands.
#[derive(Debug)]
struct Control {
    machine: Machine,
    delayed: Vec<Command>,
    at: u64,
}

impl Control {
    /// Sends a command and returns the reply unless the command or the reply is lost.
    fn call(&mut self, command: Command, rng: &mut ChaCha8Rng) -> Option<Reply> {
        match rng.random_range(0..10) {
            0 => None,
            1 | 2 => {
                self.machine.apply(&command);
                None
            }
            3 => {
                self.delayed.push(command);
                None
            }
            4 => {
                self.delayed.push(command.clone());
                Some(self.machine.apply(&command))
            }
            _ => Some(self.machine.apply(&command)),
        }
    }

    fn inject_faults(&mut self, rng: &mut ChaCha8Rng) {
        self.at += rng.random_range(0..30);
        if !self.delayed.is_empty() && rng.random_range(0..4) == 0 {
            let late = self
                .delayed
                .swap_remove(rng.random_range(0..self.delayed.len()));
            self.machine.apply(&late);
        }
        if rng.random_range(0..20) == 0 {
            let document = serde_json::to_vec(&self.machine).unwrap();
            self.machine = serde_json::from_slice(&document).unwrap();
        }
    }
}

/// Runs many requests with few keys; returns whether each key ran at most once and no request
/// that was reported as not run did run.
fn runs_at_most_once(seed: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut control = Control {
        machine: Machine::default(),
        delayed: Vec::new(),
        at: 1_000,
    };
    let mut executions: BTreeMap<Name, u32> = BTreeMap::new();
    let mut ran: BTreeSet<u64> = BTreeSet::new();
    let mut reported_not_run: BTreeSet<u64> = BTreeSet::new();
    let mut requests: Vec<Request> = Vec::new();
    for round in 0..400 {
        control.inject_faults(&mut rng);
        if round < 40 {
            requests.push(Request {
                claim: claim(rng.random_range(0..4), round, 0),
                state: State::Claiming,
            });
        }
        let chosen = rng.random_range(0..requests.len());
        let request = &mut requests[chosen];
        let attempt = request.claim.owner.attempt;
        if rng.random_range(0..30) == 0 {
            request.state = State::Finished;
        }
        let not_run = advance(request, &mut control, &mut rng, |name| {
            *executions.entry(name.clone()).or_default() += 1;
            ran.insert(attempt);
        });
        if not_run {
            reported_not_run.insert(attempt);
        }
    }
    executions.values().all(|count| *count <= 1) && ran.is_disjoint(&reported_not_run)
}

/// Advances a request by one step and returns whether the client was told that the request did
/// not run.
fn advance<F>(
    request: &mut Request,
    control: &mut Control,
    rng: &mut ChaCha8Rng,
    execute: F,
) -> bool
where
    F: FnOnce(&Name),
{
    let at = control.at;
    match &request.state {
        State::Finished => false,
        State::Claiming => {
            let command = Command::Claim {
                claim: request.claim.clone(),
                at,
            };
            match control.call(command, rng) {
                Some(Reply::Claim {
                    verdict: Verdict::Fresh,
                }) => {
                    request.state = State::Owning;
                    false
                }
                Some(Reply::Claim { verdict }) => {
                    request.state = State::Finished;
                    matches!(verdict, Verdict::Full | Verdict::Released)
                }
                _ if rng.random_range(0..2) == 0 => {
                    request.state = State::Reporting(Outcome::NotRun);
                    true
                }
                _ => false,
            }
        }
        State::Owning if rng.random_range(0..4) == 0 => {
            request.state = State::Reporting(Outcome::NotRun);
            true
        }
        State::Owning => {
            execute(&request.claim.name);
            let outcome = match rng.random_range(0..4) {
                0 => Outcome::Unknown,
                1 => Outcome::Ran,
                _ => Outcome::Answered {
                    answer: answer(b"lodged"),
                },
            };
            request.state = State::Reporting(outcome);
            false
        }
        State::Reporting(outcome) => {
            let command = Command::Complete {
                name: request.claim.name.clone(),
                owner: request.claim.owner.clone(),
                outcome: outcome.clone(),
                at,
            };
            if control.call(command, rng).is_some() {
                request.state = State::Finished;
            }
            false
        }
    }
}

#[test]
fn requests_run_at_most_once_and_reports_of_not_run_are_true() {
    let property: fn(u64) -> bool = runs_at_most_once;
    tester("record").tests(2_000).quickcheck(property);
}
