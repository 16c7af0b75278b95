//! Services of which three upstreams in ten fail most requests by turns while there is far more room than needed.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::upstream::Stage;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const GREY_SHARE: f64 = 0.3;
const GREY_FAILURE_SHARE: f64 = 0.75;
const HEALTHY_FAILURE_SHARE: f64 = 0.012;

/// Time after which an upstream turns grey or healthy by chance, in milliseconds.
const TURN_MILLIS: u32 = 9_000;

/// Time from which requests count, and the end of a run, in milliseconds.
const SETTLED: u32 = 3_000;
const END: u32 = 15_000;

const SLOTS: u32 = 3;

/// A service and its load.
#[derive(Debug, Clone, Copy)]
struct Load {
    upstreams: u32,
    /// Requests a second that may be repeated, and others, with their times on an upstream.
    repeatable: (f64, u32),
    once: (f64, u32),
    grey_share: f64,
}

const LARGE: Load = Load {
    upstreams: 183,
    repeatable: (220.0, 150),
    once: (560.0, 200),
    grey_share: GREY_SHARE,
};

const SMALL: Load = Load {
    upstreams: 36,
    repeatable: (160.0, 61),
    once: (150.0, 110),
    grey_share: GREY_SHARE,
};

/// Who chooses upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chooser {
    Dispatcher,
    /// One that knows which upstreams are grey at every moment.
    Oracle,
}

/// Requests that were sent and that failed in the end.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    once: u32,
    once_failed: u32,
    repeatable: u32,
    repeatable_failed: u32,
    attempts: u32,
    grey_attempts: u32,
    remote: u32,
    used: usize,
}

impl Tally {
    fn once_share(&self) -> f64 {
        f64::from(self.once_failed) / f64::from(self.once)
    }

    fn repeatable_share(&self) -> f64 {
        f64::from(self.repeatable_failed) / f64::from(self.repeatable)
    }
}

struct Attempt {
    due: u32,
    request: Request,
    upstream: Number,
    fails: bool,
    millis: u32,
}

struct Run {
    world: World,
    rng: ChaCha8Rng,
    load: Load,
    is_grey: Vec<bool>,
    running: Vec<Attempt>,
    waiting: BTreeMap<u32, Request>,
    /// Requests that run at each upstream.
    busy: Vec<u32>,
    tally: Tally,
}

impl Run {
    fn play(load: Load, chooser: Chooser, seed: u64) -> Tally {
        let zones: Vec<&str> = (0..load.upstreams as usize)
            .map(|one| ZONES[one % 4])
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = load.upstreams as usize;
        let phases: Vec<u32> = (0..count)
            .map(|_| rng.random_range(0..TURN_MILLIS))
            .collect();
        let is_grey = (0..count)
            .map(|_| rng.random_bool(load.grey_share))
            .collect();
        let mut run = Self {
            world: World::new(&zones),
            rng,
            load,
            is_grey,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            busy: vec![0; count],
            tally: Tally::default(),
        };
        let mut used = vec![0_u32; count];
        for at in 0..END {
            run.world.advance(Duration::from_millis(1));
            for (number, phase) in phases.iter().enumerate() {
                if (at + phase) % TURN_MILLIS == 0 {
                    run.is_grey[number] = run.rng.random_bool(load.grey_share);
                }
            }
            if at % 50 == 0 {
                let answers = run.world.dispatcher.tick(run.world.now);
                run.handle(answers, at);
            }
            run.finish(at, chooser);
            for (route, (per_second, _)) in
                [(IDEMPOTENT, load.repeatable), (NON_IDEMPOTENT, load.once)]
            {
                if run.rng.random_bool(per_second / 1_000.0) {
                    let mut request = run.world.request(route);
                    request.zone = ZONES[run.rng.random_range(0..4)].to_owned();
                    run.place(request, chooser, at);
                }
            }
            if at > END - 1_000 {
                for one in &run.running {
                    used[one.upstream as usize - 1] += 1;
                }
            }
        }
        run.tally.used = used.iter().filter(|count| **count > 0).count();
        run.tally
    }

    fn place(&mut self, request: Request, chooser: Chooser, at: u32) {
        if chooser == Chooser::Oracle {
            let free: Vec<usize> = (0..self.busy.len())
                .filter(|one| !self.is_grey[*one] && self.busy[*one] < SLOTS)
                .collect();
            let upstream = free[self.rng.random_range(0..free.len())];
            let number = Number::try_from(upstream + 1).expect("a small number");
            self.start(request, number, at);
            return;
        }
        self.waiting.insert(request.ticket.number, request.clone());
        let answers = self.world.dispatcher.reserve(request, self.world.now);
        self.handle(answers, at);
    }

    fn handle(&mut self, answers: Vec<persimmonbend_core::dispatch::Answer>, at: u32) {
        for answer in answers {
            match answer.decision {
                Decision::Granted { upstream, .. } => {
                    let request = self.waiting.remove(&answer.ticket.number);
                    self.start(request.expect("a waiting request"), upstream, at);
                }
                Decision::Queued => {}
                Decision::Refused { .. } => panic!("there is room for all requests: {answer:?}"),
            }
        }
    }

    fn start(&mut self, request: Request, upstream: Number, at: u32) {
        let index = upstream as usize - 1;
        let is_grey = self.is_grey[index];
        let failure = if is_grey {
            GREY_FAILURE_SHARE
        } else {
            HEALTHY_FAILURE_SHARE
        };
        let fails = self.rng.random_bool(failure);
        let (_, mean) = if request.route == IDEMPOTENT {
            self.load.repeatable
        } else {
            self.load.once
        };
        // A few requests take seven times as long.
        let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
        let millis = f64::from(mean) * 0.85 * self.rng.random_range(0.5..1.5) * tail;
        let millis = millis as u32;
        self.busy[index] += 1;
        self.tally.attempts += 1;
        self.tally.grey_attempts += u32::from(is_grey);
        self.tally.remote += u32::from(request.zone != ZONES[index % 4]);
        self.running.push(Attempt {
            due: at + millis.max(1),
            request,
            upstream,
            fails,
            millis,
        });
    }

    fn finish(&mut self, at: u32, chooser: Chooser) {
        let running = std::mem::take(&mut self.running);
        let (due, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|one| one.due <= at);
        self.running = left;
        for mut one in due {
            self.busy[one.upstream as usize - 1] -= 1;
            if chooser == Chooser::Dispatcher {
                let outcome = if one.fails {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                };
                let took = Duration::from_millis(one.millis.into());
                let ticket = one.request.ticket.clone();
                let answers = self.world.release(&ticket, outcome, took);
                self.handle(answers, at);
            }
            let is_once = one.request.route == NON_IDEMPOTENT;
            if one.fails && !is_once && one.request.attempts == 0 {
                one.request.attempts = 1;
                one.request.is_retry = true;
                one.request.avoid.push(one.upstream);
                one.request.ticket.number = self.world.request(IDEMPOTENT).ticket.number;
                self.place(one.request, chooser, at);
                continue;
            }
            if at < SETTLED {
                continue;
            }
            let failed = u32::from(one.fails);
            if is_once {
                self.tally.once += 1;
                self.tally.once_failed += failed;
            } else {
                self.tally.repeatable += 1;
                self.tally.repeatable_failed += failed;
            }
        }
    }
}

/// Failures that one turn to grey may cost: three requests in four fail, and a few are under way by then.
const FAILURES_PER_TURN: f64 = 2.0;

/// Knowledge costs the failures by which it is learnt; all else is what any upstream fails.
#[test]
fn each_upstream_that_turns_grey_costs_no_more_than_the_failures_that_show_it() {
    for load in [
        LARGE,
        SMALL,
        Load {
            grey_share: 0.0,
            ..LARGE
        },
    ] {
        let tally = Run::play(load, Chooser::Dispatcher, 3);
        let oracle = Run::play(load, Chooser::Oracle, 3);
        for (name, tally) in [("dispatcher", tally), ("oracle", oracle)] {
            println!(
                "{name} of {load:?}: {:.4} of once, {tally:?}",
                tally.once_share()
            );
        }
        let turns = f64::from(load.upstreams * (END - SETTLED)) / f64::from(TURN_MILLIS)
            * load.grey_share
            * (1.0 - load.grey_share);
        let (repeatable, once) = (load.repeatable.0, load.once.0);
        let learnt = turns * FAILURES_PER_TURN * once / (once + repeatable);
        let most = oracle.once_share() + learnt / f64::from(tally.once) + 0.003;
        assert!(tally.once_share() < most, "{load:?}: {tally:?}, {most:.4}");
        assert!(tally.repeatable_share() < 0.01, "{load:?}: {tally:?}");
    }
}

/// Eight upstreams that answer, requests that may be repeated among the others, and four upstreams that join.
fn world_with_new_upstreams() -> World {
    let mut world = World::new(&["a"; 8]);
    for turn in 0..80 {
        let (ticket, _) = world
            .place([IDEMPOTENT, NON_IDEMPOTENT][turn % 2])
            .expect("a slot");
        world.advance(Duration::from_millis(10));
        world.release(&ticket, Outcome::Answered, Duration::from_millis(10));
    }
    for number in 9..=12 {
        world.update_upstream(number, "a", Stage::Ready);
    }
    world
}

/// A third of the upstreams that join are grey, and filings that cannot be repeated were the first to find out.
#[test]
fn new_upstreams_are_tried_with_requests_that_may_be_repeated() {
    let mut world = world_with_new_upstreams();
    let mut first = BTreeMap::new();
    for turn in 0..60 {
        let route = [NON_IDEMPOTENT, NON_IDEMPOTENT, IDEMPOTENT][turn % 3];
        let (ticket, upstream) = world.place(route).expect("a slot");
        first.entry(upstream).or_insert(route);
        world.advance(Duration::from_millis(10));
        world.release(&ticket, Outcome::Answered, Duration::from_millis(10));
    }
    for number in 9..=12 {
        assert_eq!(first.get(&number), Some(&IDEMPOTENT), "{number}: {first:?}");
    }
}

/// A read failed twice in the first second, as its second and last attempt went to another new upstream.
#[test]
fn the_last_attempt_of_a_read_does_not_go_to_an_upstream_of_which_nothing_is_known() {
    let mut world = world_with_new_upstreams();
    for _ in 0..4 {
        let (ticket, upstream) = world.place(IDEMPOTENT).expect("a slot");
        assert!(upstream > 8, "{upstream}");
        world.release(&ticket, Outcome::Failed, Duration::from_millis(1));
        let mut retry = world.request(IDEMPOTENT);
        (retry.attempts, retry.is_retry, retry.avoid) = (1, true, vec![upstream]);
        let decision = world.reserve(retry);
        assert!(
            matches!(decision, Decision::Granted { upstream, .. } if upstream <= 8),
            "{decision:?}"
        );
    }
}

#[test]
fn new_upstreams_are_used_for_all_requests_where_none_can_be_repeated_any_more() {
    let mut world = world_with_new_upstreams();
    let mut used = Vec::new();
    for _ in 0..60 {
        let (ticket, upstream) = world.place(NON_IDEMPOTENT).expect("a slot");
        used.push(upstream);
        world.advance(Duration::from_millis(10));
        world.release(&ticket, Outcome::Answered, Duration::from_millis(10));
    }
    assert!((9..=12).all(|number| used.contains(&number)), "{used:?}");
}
