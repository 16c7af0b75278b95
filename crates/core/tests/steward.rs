//! The steward compared with a naive model: slots, final answers, drains, fairness between tenants
//! and lapsed reservations.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_check::properties;
use persimmonbend_core::board::Board;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Evidence;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::steward::Answer;
use persimmonbend_core::steward::Decision;
use persimmonbend_core::steward::Hold;
use persimmonbend_core::steward::RESERVATION_TIMEOUT;
use persimmonbend_core::steward::Release;
use persimmonbend_core::steward::Request;
use persimmonbend_core::steward::Steward;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::steward::Unconditional;
use persimmonbend_core::steward::Verdicts;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const SLOTS: u32 = 3;

/// Verdicts that the test sets.
#[derive(Debug, Default)]
struct Fixed {
    verdicts: BTreeMap<String, Verdict>,
    seen: Vec<Evidence>,
}

impl Verdicts for Fixed {
    fn observe(&mut self, evidence: &Evidence, _now: Instant) {
        self.seen.push(evidence.clone());
    }

    fn verdict(&self, upstream: &str, _zone: &str, _now: Instant) -> Verdict {
        let verdict = self.verdicts.get(upstream).copied();
        verdict.unwrap_or(Verdict::Use { weight: 1.0 })
    }
}

fn announcement(id: &str, zone: &str, sequence: u64, stage: Stage) -> Announcement {
    Announcement {
        id: id.to_owned(),
        service: "herd".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.to_owned(),
        slots: SLOTS,
        incarnation: 1,
        sequence,
        stage,
    }
}

fn board(clock: &Rc<Manual>, upstreams: usize) -> Board {
    let clock: Rc<dyn Clock> = Rc::<Manual>::clone(clock);
    let mut board = Board::new(clock);
    for number in 0..upstreams {
        let zone = if number % 2 == 0 { "a" } else { "b" };
        board.announce(announcement(&format!("u{number}"), zone, 1, Stage::Ready));
    }
    board
}

fn ticket(host: &str, number: u32) -> Ticket {
    Ticket {
        host: host.to_owned(),
        number,
    }
}

fn request(board: &Board, number: u32, tenant: &str, left: Duration) -> Request {
    Request {
        ticket: ticket("h", number),
        zone: "a".to_owned(),
        tenant: Some(tenant.to_owned()),
        deadline: board.now() + left,
        avoid: Vec::new(),
        idempotent: true,
    }
}

fn release(number: u32, latency: Duration) -> Release {
    Release {
        ticket: ticket("h", number),
        outcome: Outcome::Answered,
        latency,
        reused: false,
    }
}

fn granted(answers: &[Answer]) -> Option<&str> {
    match &answers.first()?.decision {
        Decision::Granted { upstream } => Some(upstream),
        _ => None,
    }
}

/// One step of a random schedule.
#[derive(Debug, Clone)]
enum Step {
    Reserve {
        host: u8,
        tenant: u8,
        left_ms: u16,
        avoid: u8,
    },
    Release {
        nth: u16,
        latency_ms: u8,
    },
    Hold {
        host: u8,
        upstream: u8,
    },
    ReleaseHost {
        host: u8,
    },
    Stage {
        upstream: u8,
        stage: u8,
    },
    Verdict {
        upstream: u8,
        verdict: u8,
    },
    Advance {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Reserve {
                host: u8::arbitrary(g) % 4,
                tenant: u8::arbitrary(g) % 3,
                left_ms: u16::arbitrary(g) % 2_000,
                avoid: u8::arbitrary(g) % 8,
            },
            7..=10 => Self::Release {
                nth: u16::arbitrary(g),
                latency_ms: u8::arbitrary(g),
            },
            11 => Self::Hold {
                host: u8::arbitrary(g) % 4,
                upstream: u8::arbitrary(g) % 4,
            },
            12 => Self::ReleaseHost {
                host: u8::arbitrary(g) % 4,
            },
            13 => Self::Stage {
                upstream: u8::arbitrary(g) % 4,
                stage: u8::arbitrary(g) % 3,
            },
            14 => Self::Verdict {
                upstream: u8::arbitrary(g) % 4,
                verdict: u8::arbitrary(g) % 4,
            },
            _ => Self::Advance {
                ms: u16::arbitrary(g) % 1_500,
            },
        }
    }
}

/// The naive model: running and waiting requests, and the tickets that got a final answer.
struct Model {
    clock: Rc<Manual>,
    board: Board,
    verdicts: Fixed,
    steward: Steward,
    running: BTreeMap<Ticket, String>,
    waiting: BTreeMap<Ticket, Request>,
    answered: BTreeSet<Ticket>,
    next: u32,
    sequence: u64,
}

impl Model {
    fn new() -> Self {
        let clock = Rc::new(Manual::new());
        Self {
            board: board(&clock, 4),
            clock,
            verdicts: Fixed::default(),
            steward: Steward::new("herd".to_owned()),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            answered: BTreeSet::new(),
            next: 0,
            sequence: 1,
        }
    }

    fn ticket(&mut self, host: u8) -> Ticket {
        self.next += 1;
        ticket(&format!("h{host}"), self.next)
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Reserve {
                host,
                tenant,
                left_ms,
                avoid,
            } => {
                let request = Request {
                    ticket: self.ticket(*host),
                    zone: "a".to_owned(),
                    tenant: Some(format!("t{tenant}")),
                    deadline: self.board.now() + Duration::from_millis(u64::from(*left_ms)),
                    avoid: (*avoid < 4)
                        .then(|| format!("u{avoid}"))
                        .into_iter()
                        .collect(),
                    idempotent: *tenant == 0,
                };
                self.waiting.insert(request.ticket.clone(), request.clone());
                let answers = self
                    .steward
                    .reserve(&self.board, &self.verdicts, request.clone());
                assert!(answers.iter().any(|answer| answer.ticket == request.ticket));
                self.process(answers);
            }
            Step::Release { nth, latency_ms } => self.release(*nth, *latency_ms),
            Step::Hold { host, upstream } => {
                let ticket = self.ticket(*host);
                let hold = Hold {
                    zone: "a".to_owned(),
                    tenant: None,
                    upstream: format!("u{upstream}"),
                };
                self.running.insert(ticket.clone(), hold.upstream.clone());
                self.steward.hold(ticket, hold, self.board.now());
            }
            Step::ReleaseHost { host } => {
                let host = format!("h{host}");
                self.steward.release_host(&host);
                self.running.retain(|ticket, _| ticket.host != host);
                self.waiting.retain(|ticket, _| ticket.host != host);
            }
            Step::Stage { upstream, stage } => {
                self.sequence += 1;
                let stages = [Stage::Ready, Stage::Draining, Stage::Starting];
                let stage = stages[usize::from(*stage)];
                let id = format!("u{upstream}");
                self.board
                    .announce(announcement(&id, "a", self.sequence, stage));
            }
            Step::Verdict { upstream, verdict } => {
                let verdicts = [
                    Verdict::Use { weight: 1.0 },
                    Verdict::Use { weight: 0.1 },
                    Verdict::Trial,
                    Verdict::Ejected,
                ];
                let verdict = verdicts[usize::from(*verdict)];
                self.verdicts
                    .verdicts
                    .insert(format!("u{upstream}"), verdict);
            }
            Step::Advance { ms } => self.advance(Duration::from_millis(u64::from(*ms))),
        }
        self.check();
    }

    fn release(&mut self, nth: u16, latency_ms: u8) {
        let known: Vec<Ticket> = self
            .running
            .keys()
            .chain(self.waiting.keys())
            .cloned()
            .collect();
        if known.is_empty() {
            return;
        }
        let ticket = known[usize::from(nth) % known.len()].clone();
        let before = self.verdicts.seen.len();
        let ran = self.running.remove(&ticket).is_some();
        self.waiting.remove(&ticket);
        let release = Release {
            ticket,
            outcome: Outcome::Answered,
            latency: Duration::from_millis(u64::from(latency_ms)),
            reused: false,
        };
        let answers = self
            .steward
            .release(&self.board, &mut self.verdicts, &release);
        assert_eq!(self.verdicts.seen.len() - before, usize::from(ran));
        self.process(answers);
    }

    fn advance(&mut self, by: Duration) {
        self.clock.advance(by);
        for upstream in 0..4 {
            let id = format!("u{upstream}");
            let known = self
                .board
                .upstreams("herd")
                .find(|one| one.announcement.id == id);
            let mut renewed = known.unwrap().announcement.clone();
            self.sequence += 1;
            renewed.sequence = self.sequence;
            self.board.announce(renewed);
        }
        for host in 0..4 {
            self.steward.renew(&format!("h{host}"), self.board.now());
        }
        let answers = self.steward.tick(&self.board, &self.verdicts);
        self.process(answers);
        let now = self.board.now();
        assert!(
            self.waiting.values().all(|request| now < request.deadline),
            "a request waits beyond its deadline"
        );
    }

    fn process(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            if answer.decision == Decision::Queued {
                continue;
            }
            let request = self
                .waiting
                .remove(&answer.ticket)
                .expect("an answer to a request");
            assert!(
                self.answered.insert(answer.ticket.clone()),
                "two final answers"
            );
            if let Decision::Granted { upstream } = answer.decision {
                self.check_grant(&request, &upstream);
                self.running.insert(answer.ticket, upstream);
            }
        }
    }

    fn check_grant(&self, request: &Request, upstream: &str) {
        assert!(!request.avoid.iter().any(|avoided| avoided == upstream));
        let known = self
            .board
            .upstreams("herd")
            .find(|one| one.announcement.id == upstream);
        assert!(
            known.unwrap().announcement.stage.takes_requests(),
            "a grant while draining"
        );
        let others = self.running.values().filter(|one| *one == upstream).count();
        let usable = match self.verdicts.verdict(upstream, "a", self.board.now()) {
            Verdict::Use { weight } if weight < 0.5 => 1,
            Verdict::Use { .. } => 3,
            Verdict::Trial => 1,
            Verdict::Ejected => 0,
        };
        assert!(others < usable, "{upstream} is over-booked");
    }

    fn check(&self) {
        assert_eq!(self.steward.queued(), self.waiting.len());
        assert_eq!(self.steward.reserved(), self.running.len());
        for upstream in 0..4 {
            let id = format!("u{upstream}");
            let running = self.running.values().filter(|one| **one == id).count();
            assert_eq!(self.steward.running(&id), u32::try_from(running).unwrap());
        }
    }
}

properties! {
    fn any_schedule_agrees_with_the_naive_model(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        true
    }
}

#[test]
fn upstreams_of_the_same_zone_are_preferred_and_never_over_booked() {
    let clock = Rc::new(Manual::new());
    let board = board(&clock, 4);
    let mut steward = Steward::new("herd".to_owned());
    let mut zones = Vec::new();
    for number in 0..12 {
        let request = request(&board, number, "t", Duration::from_secs(1));
        let answers = steward.reserve(&board, &Unconditional, request);
        let upstream = granted(&answers).unwrap();
        zones.push(if upstream == "u0" || upstream == "u2" {
            'a'
        } else {
            'b'
        });
    }
    assert_eq!(zones.iter().collect::<String>(), "aaaaaabbbbbb");
}

#[test]
fn non_idempotent_requests_are_used_for_trials_only_without_an_alternative() {
    let clock = Rc::new(Manual::new());
    let board = board(&clock, 2);
    let mut verdicts = Fixed::default();
    verdicts.verdicts.insert("u0".to_owned(), Verdict::Trial);
    let mut steward = Steward::new("herd".to_owned());
    for number in 0..SLOTS {
        let mut non_idempotent = request(&board, number, "t", Duration::from_secs(1));
        non_idempotent.idempotent = false;
        let answers = steward.reserve(&board, &verdicts, non_idempotent);
        assert_eq!(granted(&answers), Some("u1"));
    }
    let again = request(&board, 10, "t", Duration::from_secs(1));
    let answers = steward.reserve(&board, &verdicts, again);
    assert_eq!(granted(&answers), Some("u0"));
    steward.release(&board, &mut verdicts, &release(10, Duration::ZERO));
    let mut last = request(&board, 11, "t", Duration::from_secs(1));
    last.idempotent = false;
    let answers = steward.reserve(&board, &verdicts, last);
    assert_eq!(granted(&answers), Some("u0"), "nothing else is free");
}

#[test]
fn a_service_without_usable_upstreams_refuses_at_once() {
    let clock = Rc::new(Manual::new());
    let mut board = board(&clock, 1);
    let mut steward = Steward::new("herd".to_owned());
    let mut avoiding = request(&board, 1, "t", Duration::from_secs(1));
    avoiding.avoid.push("u0".to_owned());
    let answers = steward.reserve(&board, &Unconditional, avoiding);
    assert_eq!(answers, [Answer::refused(ticket("h", 1), Kind::NoUpstream)]);
    board.announce(announcement("u0", "a", 2, Stage::Draining));
    let late = request(&board, 2, "t", Duration::from_secs(1));
    let answers = steward.reserve(&board, &Unconditional, late);
    assert_eq!(answers, [Answer::refused(ticket("h", 2), Kind::NoUpstream)]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused() {
    let clock = Rc::new(Manual::new());
    let board = board(&clock, 1);
    let mut steward = Steward::new("herd".to_owned());
    let mut verdicts = Unconditional;
    let work = Duration::from_millis(100);
    for number in 0..SLOTS {
        let request = request(&board, number, "t", Duration::from_secs(9));
        steward.reserve(&board, &verdicts, request);
    }
    steward.release(&board, &mut verdicts, &release(0, work));
    steward.reserve(
        &board,
        &verdicts,
        request(&board, 9, "t", Duration::from_secs(9)),
    );
    let late = request(&board, 10, "t", Duration::from_millis(40));
    let answers = steward.reserve(&board, &verdicts, late);
    assert_eq!(
        answers,
        [Answer::refused(ticket("h", 10), Kind::Overloaded)]
    );
    let possible = request(&board, 11, "t", Duration::from_millis(200));
    let answers = steward.reserve(&board, &verdicts, possible);
    assert_eq!(answers[0].decision, Decision::Queued);
    clock.advance(Duration::from_millis(150));
    let answers = steward.tick(&board, &verdicts);
    assert_eq!(
        answers,
        [Answer::refused(ticket("h", 11), Kind::Overloaded)]
    );
}

#[test]
fn reservations_of_a_silent_host_lapse() {
    let clock = Rc::new(Manual::new());
    let board = board(&clock, 1);
    let mut steward = Steward::new("herd".to_owned());
    for number in 0..SLOTS {
        let request = request(&board, number, "t", Duration::from_secs(9));
        assert!(granted(&steward.reserve(&board, &Unconditional, request)).is_some());
    }
    let mut other = request(&board, 0, "t", Duration::from_secs(9));
    other.ticket.host = "other".to_owned();
    let answers = steward.reserve(&board, &Unconditional, other);
    assert_eq!(answers[0].decision, Decision::Queued);
    clock.advance(RESERVATION_TIMEOUT);
    steward.renew("other", board.now());
    let answers = steward.tick(&board, &Unconditional);
    assert_eq!(granted(&answers), Some("u0"));
    assert_eq!(steward.running("u0"), 1);
}

#[test]
fn a_new_steward_counts_what_hosts_report() {
    let clock = Rc::new(Manual::new());
    let board = board(&clock, 1);
    let mut steward = Steward::new("herd".to_owned());
    for number in 0..SLOTS + 2 {
        let hold = Hold {
            zone: "a".to_owned(),
            tenant: None,
            upstream: "u0".to_owned(),
        };
        steward.hold(ticket("h", number), hold, board.now());
    }
    let waiting = request(&board, 20, "t", Duration::from_secs(1));
    let answers = steward.reserve(&board, &Unconditional, waiting);
    assert_eq!(answers[0].decision, Decision::Queued);
    let mut granted_after = 0;
    for number in 0..SLOTS + 2 {
        let work = Duration::from_millis(5);
        let answers = steward.release(&board, &mut Unconditional, &release(number, work));
        granted_after += 1;
        if granted(&answers).is_some() {
            break;
        }
    }
    assert_eq!(
        granted_after, 3,
        "two over-booked reservations end first, the third frees a slot"
    );
}

/// Requests and waits of one tenant in a run of [`run_tenants`].
#[derive(Debug, Default, Clone, Copy)]
struct Usage {
    requested: u32,
    granted: u32,
    waited: Duration,
    longest: Duration,
}

/// Runs a loaded service in steps of one millisecond; tenant 0 sends `factor` times as many requests.
fn run_tenants(factor: u32) -> Vec<Usage> {
    const TENANTS: usize = 4;
    const UPSTREAMS: usize = 4;
    const WORK: Duration = Duration::from_millis(24);
    let clock = Rc::new(Manual::new());
    let mut board = board(&clock, UPSTREAMS);
    let mut steward = Steward::new("herd".to_owned());
    let mut verdicts = Unconditional;
    let mut seen = vec![Usage::default(); TENANTS];
    let mut requested: BTreeMap<u32, (usize, Instant)> = BTreeMap::new();
    let mut ends: BTreeMap<(Instant, u32), ()> = BTreeMap::new();
    let mut next = 0;
    for millis in 0_u32..8_000 {
        clock.advance(Duration::from_millis(1));
        if millis % 1_000 == 0 {
            for number in 0..UPSTREAMS {
                let sequence = u64::from(millis) + 2;
                board.announce(announcement(
                    &format!("u{number}"),
                    "a",
                    sequence,
                    Stage::Ready,
                ));
            }
        }
        let mut answers = Vec::new();
        while let Some((&(at, number), ())) = ends.first_key_value() {
            if at > board.now() {
                break;
            }
            ends.remove(&(at, number));
            answers.extend(steward.release(&board, &mut verdicts, &release(number, WORK)));
        }
        for (tenant, seen) in seen.iter_mut().enumerate() {
            let every = if tenant == 0 { 10 / factor } else { 10 };
            if millis % every != 0 {
                continue;
            }
            next += 1;
            seen.requested += 1;
            requested.insert(next, (tenant, board.now()));
            let name = format!("t{tenant}");
            let request = request(&board, next, &name, Duration::from_millis(400));
            answers.extend(steward.reserve(&board, &verdicts, request));
        }
        answers.extend(steward.tick(&board, &verdicts));
        for answer in answers {
            if let Decision::Granted { .. } = answer.decision {
                let (tenant, since) = requested[&answer.ticket.number];
                let waited = board.now() - since;
                seen[tenant].granted += 1;
                seen[tenant].waited += waited;
                seen[tenant].longest = seen[tenant].longest.max(waited);
                ends.insert((board.now() + WORK, answer.ticket.number), ());
            }
        }
    }
    seen
}

#[test]
fn one_tenant_at_five_times_its_rate_barely_delays_the_others() {
    let calm = run_tenants(1);
    let loaded = run_tenants(5);
    for tenant in 1..calm.len() {
        let (before, after) = (calm[tenant], loaded[tenant]);
        assert_eq!(before.granted, before.requested);
        assert!(after.granted + 1 >= after.requested, "{after:?}");
        let mean = after.waited / after.granted;
        assert!(mean < Duration::from_millis(24), "{after:?}");
        assert!(after.longest < Duration::from_millis(60), "{after:?}");
    }
    assert!(
        loaded[0].granted < loaded[0].requested,
        "the load is above the capacity"
    );
    assert!(
        loaded[0].granted >= calm[0].granted,
        "spare capacity is used"
    );
}
