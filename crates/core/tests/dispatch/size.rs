//! Large services: the work of the dispatcher, and what clients get while all of a service sheds.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::steward::Ticket;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::timeline::Timeline;
use crate::world::IDEMPOTENT;
use crate::world::LOW_PRIORITY;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const TENANTS: u32 = 190;
const HOSTS: u32 = 46;
const SLOTS: u32 = 3;

/// Time that an upstream takes to answer, and to shed, in milliseconds.
const RUN_MS: u32 = 240;
const SHED_MS: u32 = 2;

const TICK_MS: u32 = 50;

/// Share of the slots that the load uses while no upstream sheds.
const LOAD: f64 = 0.65;

const IDEMPOTENT_SHARE: f64 = 0.25;

/// Share of the requests that every upstream sheds, and when.
const SHED_SHARE: f64 = 0.55;
const SHEDDING_MS: Range<u32> = 3_000..8_000;
const END_MS: u32 = 12_000;

/// Time after the end of the shedding within which the service is used again as before.
const RECOVERY_MS: u32 = 1_000;

/// Most requests and upstreams that are looked at for one request, on average: those of a few
/// decisions, each over the candidates of its own zone and of the others.
const MAX_STEPS: f64 = 150.0;

/// Most that are looked at for one release: some queued requests of each rank, and the candidates of those placed.
const MAX_RELEASE_STEPS: u64 = 400;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    /// An attempt ends, refused or answered.
    End(Ticket, bool),
    Arrivals,
}

/// What became of the requests that were sent within one span of time.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    answered: u32,
    shed: u32,
    refused: u32,
}

/// A service under a load that is in proportion to its size.
struct Run {
    world: World,
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    owed: f64,
    /// When each request was sent, by its number less 1, in milliseconds.
    sent_ms: Vec<u32>,
    /// Times for which refused requests were kept waiting, in milliseconds.
    refused_after_ms: Vec<u32>,
    before: Tally,
    shedding: Tally,
    recovered: Tally,
    /// Requests and upstreams that were looked at for the release that took most.
    most_steps: u64,
}

impl Run {
    /// Plays a service of a number of upstreams, all of which shed for five seconds.
    fn play(upstreams: u32) -> Self {
        let zones: Vec<&str> = ZONES.into_iter().cycle().take(upstreams as usize).collect();
        let world = World::new(&zones);
        let now = world.now;
        let mut run = Self {
            world,
            rng: ChaCha8Rng::seed_from_u64(7),
            timeline: Timeline::new(now),
            owed: 0.0,
            sent_ms: Vec::new(),
            refused_after_ms: Vec::new(),
            before: Tally::default(),
            shedding: Tally::default(),
            recovered: Tally::default(),
            most_steps: 0,
        };
        let per_ms = f64::from(upstreams * SLOTS) * LOAD / f64::from(RUN_MS);
        for event in [Event::Tick, Event::Arrivals] {
            run.push(0, event);
        }
        let end = Duration::from_millis(u64::from(END_MS));
        while let Some(event) = run.timeline.next(&mut run.world, end) {
            let at = run.timeline.elapsed(&run.world).as_millis() as u32;
            for answer in run.handle(at, event, per_ms) {
                run.follow(at, answer);
            }
        }
        run
    }

    fn push(&mut self, delay_ms: u32, event: Event) {
        let delay = Duration::from_millis(u64::from(delay_ms));
        self.timeline.push(&self.world, delay, event);
    }

    fn handle(&mut self, at: u32, event: Event, per_ms: f64) -> Vec<Answer> {
        match event {
            Event::Tick => {
                self.push(TICK_MS, Event::Tick);
                self.world.dispatcher.tick(self.world.now)
            }
            Event::End(ticket, is_shed) => self.end(&ticket, is_shed),
            Event::Arrivals => {
                self.push(1, Event::Arrivals);
                self.owed += per_ms;
                let mut answers = Vec::new();
                while self.owed >= 1.0 {
                    self.owed -= 1.0;
                    answers.extend(self.send(at));
                }
                answers
            }
        }
    }

    fn end(&mut self, ticket: &Ticket, is_shed: bool) -> Vec<Answer> {
        let (outcome, took) = if is_shed {
            self.tally(ticket, |tally| tally.shed += 1);
            (Outcome::Shed, SHED_MS)
        } else {
            self.tally(ticket, |tally| tally.answered += 1);
            (Outcome::Answered, RUN_MS)
        };
        let before = self.world.dispatcher.steps();
        let took = Duration::from_millis(u64::from(took));
        let answers = self.world.release(ticket, outcome, took);
        let steps = self.world.dispatcher.steps() - before;
        self.most_steps = self.most_steps.max(steps);
        answers
    }

    fn send(&mut self, at: u32) -> Vec<Answer> {
        let route = if self.rng.random_bool(IDEMPOTENT_SHARE) {
            IDEMPOTENT
        } else {
            NON_IDEMPOTENT
        };
        let mut request = self.world.request(route);
        request.tenant = Some(format!("tenant-{}", self.rng.random_range(0..TENANTS)));
        request.zone = ZONES[self.rng.random_range(0..ZONES.len())].to_owned();
        self.sent_ms.push(at);
        self.tally(&request.ticket, |tally| tally.sent += 1);
        self.world.dispatcher.reserve(request, self.world.now)
    }

    fn follow(&mut self, at: u32, answer: Answer) {
        let Answer { ticket, decision } = answer;
        match decision {
            Decision::Granted { .. } => {
                let is_shed = SHEDDING_MS.contains(&at) && self.rng.random_bool(SHED_SHARE);
                let time = if is_shed { SHED_MS } else { RUN_MS };
                self.push(time, Event::End(ticket, is_shed));
            }
            Decision::Refused { .. } => {
                let waited = at - self.sent_ms[ticket.number as usize - 1];
                self.refused_after_ms.push(waited);
                self.tally(&ticket, |tally| tally.refused += 1);
            }
            Decision::Queued => {}
        }
    }

    fn tally<F: FnOnce(&mut Tally)>(&mut self, ticket: &Ticket, count: F) {
        let at = self.sent_ms[ticket.number as usize - 1];
        let complete = END_MS - 2 * RUN_MS;
        if at < SHEDDING_MS.start {
            count(&mut self.before);
        } else if SHEDDING_MS.contains(&at) {
            count(&mut self.shedding);
        } else if (SHEDDING_MS.end + RECOVERY_MS..complete).contains(&at) {
            count(&mut self.recovered);
        }
    }

    fn steps_per_request(&self) -> f64 {
        self.world.dispatcher.steps() as f64 / self.sent_ms.len() as f64
    }
}

/// A queue that was searched at every event took 67 ms for one millisecond of this load at 160
/// upstreams, and a second at 640: the leader lost its lease and all its hosts.
#[test]
fn the_work_for_a_request_does_not_grow_with_the_service() {
    for upstreams in [13, 160, 640] {
        let run = Run::play(upstreams);
        let steps = run.steps_per_request();
        let most = run.most_steps;
        println!("{upstreams} upstreams: {steps:.0} steps for a request, {most} for a release");
        assert!(steps < MAX_STEPS, "{upstreams} upstreams: {steps} steps");
        assert!(most < MAX_RELEASE_STEPS, "{upstreams} upstreams: {most}");
    }
}

/// Requests were refused as long as some upstreams, by chance, did not look grey: the others counted
/// neither as capacity nor as a way out, and 30 instead of 45 of 100 requests were answered.
#[test]
fn a_service_that_sheds_is_offered_all_that_it_still_takes() {
    for upstreams in [13, 160, 640] {
        let run = Run::play(upstreams);
        println!("{upstreams} upstreams: {:?}", run.shedding);
        let share = |tally: &Tally| f64::from(tally.answered) / f64::from(tally.sent);
        assert!(share(&run.before) > 0.999, "{:?}", run.before);
        let possible = 1.0 - SHED_SHARE;
        assert!(share(&run.shedding) > 0.9 * possible, "{:?}", run.shedding);
        assert!(share(&run.recovered) > 0.999, "{:?}", run.recovered);
    }
}

/// A request that is refused in the end has been kept waiting in vain.
#[test]
fn requests_are_refused_at_once_while_a_service_sheds() {
    let mut waited = Run::play(160).refused_after_ms;
    waited.sort_unstable();
    let objective_ms = 1_000;
    let last_in_100 = waited.get(waited.len() * 99 / 100).copied();
    assert!(last_in_100.unwrap_or_default() < objective_ms / 8);
}

/// Times of the decisions of a service with all slots in use and requests queued.
struct Timed {
    reserve: Vec<Duration>,
    release: Vec<Duration>,
    tick: Vec<Duration>,
    /// Requests and upstreams that were looked at for one request, and for the release that took most.
    steps: f64,
    most_steps: u64,
}

impl Timed {
    /// Plays `count` requests of which each takes the slot of one that has ended.
    fn play(upstreams: u32, queued: usize, is_shedding: bool, count: u32) -> Self {
        let zones: Vec<&str> = ZONES.into_iter().cycle().take(upstreams as usize).collect();
        let mut world = World::new(&zones);
        let mut held = VecDeque::new();
        let next = |world: &mut World| {
            let routes = [NON_IDEMPOTENT, IDEMPOTENT, LOW_PRIORITY];
            let mut request = world.request("");
            let number = request.ticket.number;
            request.route = routes[number as usize % routes.len()].to_owned();
            request.tenant = Some(format!("tenant-{}", number % TENANTS));
            request.zone = ZONES[number as usize % ZONES.len()].to_owned();
            request.ticket.host = format!("host-{}", number % HOSTS);
            request.deadline += Duration::from_secs(3_000);
            request
        };
        while world.dispatcher.queued(SERVICE) < queued {
            let request = next(&mut world);
            let answers = world.dispatcher.reserve(request, world.now);
            hold(&mut held, &answers);
        }
        let mut timed = Self {
            reserve: Vec::new(),
            release: Vec::new(),
            tick: Vec::new(),
            steps: 0.0,
            most_steps: 0,
        };
        let before = world.dispatcher.steps();
        let gap = Duration::from_millis(u64::from(RUN_MS)) / (upstreams * SLOTS);
        let mut next_tick = world.now;
        for number in 0..count {
            world.advance(gap);
            if world.now >= next_tick {
                next_tick += Duration::from_millis(50);
                let began = Instant::now();
                let answers = world.dispatcher.tick(world.now);
                timed.tick.push(began.elapsed());
                hold(&mut held, &answers);
            }
            let request = next(&mut world);
            let began = Instant::now();
            let answers = world.dispatcher.reserve(request, world.now);
            timed.reserve.push(began.elapsed());
            hold(&mut held, &answers);
            let Some(ticket) = held.pop_front() else {
                continue;
            };
            let outcome = if is_shedding && number % 2 == 0 {
                Outcome::Shed
            } else {
                Outcome::Answered
            };
            let end = Completion {
                outcome,
                latency: Duration::from_millis(u64::from(RUN_MS)),
                bytes: 5_000,
            };
            let steps = world.dispatcher.steps();
            let began = Instant::now();
            let answers = world.dispatcher.release(&ticket, &end, world.now);
            timed.release.push(began.elapsed());
            timed.most_steps = timed.most_steps.max(world.dispatcher.steps() - steps);
            hold(&mut held, &answers);
        }
        timed.steps = (world.dispatcher.steps() - before) as f64 / f64::from(count);
        timed
    }
}

/// Adds the tickets of granted requests to those that hold slots.
fn hold(held: &mut VecDeque<Ticket>, answers: &[Answer]) {
    let granted = answers
        .iter()
        .filter(|answer| matches!(answer.decision, Decision::Granted { .. }));
    held.extend(granted.map(|answer| answer.ticket.clone()));
}

fn p99_micros(mut times: Vec<Duration>) -> u128 {
    times.sort_unstable();
    let index = times.len() * 99 / 100;
    times.get(index).map_or(0, Duration::as_micros)
}

/// Times count in a release build only.
#[test]
fn the_size_of_a_service_and_its_queue_does_not_slow_down_decisions() {
    let count = if cfg!(debug_assertions) { 500 } else { 100_000 };
    for is_shedding in [false, true] {
        for upstreams in [36, 219, 432, 1_300] {
            for queued in [40, 4_000] {
                let timed = Timed::play(upstreams, queued, is_shedding, count);
                println!(
                    "{upstreams} upstreams, {queued} queued, shedding {is_shedding}: p99 of reserve {} us, \
                     release {} us, tick {} us; {:.0} steps, {} at most",
                    p99_micros(timed.reserve),
                    p99_micros(timed.release),
                    p99_micros(timed.tick),
                    timed.steps,
                    timed.most_steps,
                );
                assert!(timed.steps < MAX_STEPS, "{} steps", timed.steps);
            }
        }
    }
}
