//! Limits that upstreams state, over a whole fleet: a leader, hosts on their own, and the next leader.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::steward::Ticket;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

const STEP: Duration = Duration::from_millis(10);

/// Time for which an upstream runs a request.
const RUN_TIME: Duration = Duration::from_millis(240);

/// Requests that arrive in one [`STEP`] at all hosts together, a third of what the upstreams can run.
const ARRIVALS_PER_STEP: f64 = 0.3;

/// Fraction of the quotas that hosts on their own use, as the proxy sets it.
const LOCAL_SHARE: f64 = 0.8;

/// Time after the first statement from which on the limit is checked, and the length of the window.
const GRACE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// An attempt that runs on an upstream.
struct Run {
    ends: Instant,
    host: usize,
    number: u32,
    upstream: Number,
}

/// Hosts with a local dispatcher each, and the leader's dispatcher while there is one.
struct Fleet {
    hosts: Vec<World>,
    leader: Option<World>,
    zones: Vec<&'static str>,
    limits: BTreeMap<Number, Limit>,
    runs: Vec<Run>,
    arrivals: BTreeMap<Number, Vec<Instant>>,
    started: Instant,
    now: Instant,
    next: u32,
    served: usize,
    refused: usize,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(host_count: usize, zones: Vec<&'static str>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts: Vec<World> = (0..host_count)
            .map(|_| {
                let mut host = World::new(&zones);
                let now = host.now;
                host.dispatcher
                    .set_share(LOCAL_SHARE / host_count as f64, now);
                host.dispatcher.set_first_permit(rng.random());
                host
            })
            .collect();
        let now = hosts.last().expect("a host").now;
        Self {
            leader: Some(World::new(&zones)),
            hosts,
            zones,
            limits: BTreeMap::new(),
            runs: Vec::new(),
            arrivals: BTreeMap::new(),
            started: now,
            now,
            next: 0,
            served: 0,
            refused: 0,
            rng,
        }
    }

    /// Lets the leader fail; every host decides on its own.
    fn lose_leader(&mut self) {
        self.leader = None;
    }

    /// Elects a leader, to which every host reports what it was told and which slots it uses.
    fn elect_leader(&mut self) {
        let mut leader = World::new(&self.zones);
        for (number, host) in self.hosts.iter().enumerate() {
            let name = number.to_string();
            for (upstream, statement) in host.dispatcher.ledger().statements(&name, self.now) {
                leader
                    .dispatcher
                    .note_statement(&name, upstream, &statement, self.now);
            }
        }
        for run in &self.runs {
            let placement = placement(run);
            leader.dispatcher.record_running(placement, self.now);
        }
        self.leader = Some(leader);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut step = 0_u32;
        while self.now < end {
            self.now += STEP;
            step += 1;
            self.complete();
            // Hosts run their timers with every heartbeat while they have a leader.
            let steps = if self.leader.is_some() { 40 } else { 5 };
            if step.is_multiple_of(steps) {
                self.tick_hosts();
            }
            if step.is_multiple_of(5) {
                self.tick_leader();
            }
            if self.rng.random_bool(ARRIVALS_PER_STEP) {
                self.send();
            }
        }
    }

    fn send(&mut self) {
        self.next += 1;
        let host = self.rng.random_range(0..self.hosts.len());
        let placing = self.leader.as_mut().unwrap_or(&mut self.hosts[host]);
        placing.now = self.now;
        let mut request = placing.request([IDEMPOTENT, NON_IDEMPOTENT][host % 2]);
        request.ticket = Ticket {
            host: host.to_string(),
            number: self.next,
        };
        let answers = placing.dispatcher.reserve(request, self.now);
        self.handle(answers);
    }

    fn tick_leader(&mut self) {
        if let Some(leader) = &mut self.leader {
            let answers = leader.dispatcher.tick(self.now);
            self.handle(answers);
        }
    }

    /// Runs the timers of the hosts and, where there is a leader, tells them of its limits.
    fn tick_hosts(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for host in &mut self.hosts {
            let local = &mut host.dispatcher;
            answers.extend(local.tick(now));
            let Some(leader) = &self.leader else {
                continue;
            };
            let ledger = leader.dispatcher.ledger();
            let known: Vec<(Number, Limit)> = local.ledger().limits().collect();
            for (number, _) in known {
                if ledger.limit(number).is_none() {
                    local.remove_limit(number, now);
                }
            }
            for (upstream, statement) in ledger.statements("", now) {
                local.note_statement("", upstream, &statement, now);
            }
        }
        self.handle(answers);
    }

    fn handle(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            match answer.decision {
                Decision::Queued => {}
                Decision::Refused { .. } => self.refused += 1,
                Decision::Granted { upstream, .. } => {
                    self.arrivals.entry(upstream).or_default().push(self.now);
                    let run = Run {
                        ends: self.now + RUN_TIME,
                        host: answer.ticket.host.parse().expect("a number"),
                        number: answer.ticket.number,
                        upstream,
                    };
                    if self.leader.is_some() {
                        let local = &mut self.hosts[run.host].dispatcher;
                        local.record_running(placement(&run), self.now);
                    }
                    self.runs.push(run);
                }
            }
        }
    }

    /// Ends the attempts that are due, with answers that state the limits in force.
    fn complete(&mut self) {
        let now = self.now;
        let due: Vec<Run> = self.runs.extract_if(.., |run| run.ends <= now).collect();
        for run in due {
            self.served += 1;
            let statement = Statement {
                limit: self.limits.get(&run.upstream).copied(),
                ..Statement::default()
            };
            let completion = Completion {
                outcome: Outcome::Answered,
                latency: RUN_TIME,
                bytes: 1_000,
            };
            let ticket = placement(&run).ticket;
            let mut answers = Vec::new();
            let local = &mut self.hosts[run.host];
            for world in [Some(local), self.leader.as_mut()].into_iter().flatten() {
                if statement.limit.is_some() {
                    world
                        .dispatcher
                        .note_statement(&ticket.host, run.upstream, &statement, now);
                }
                answers.extend(world.dispatcher.release(&ticket, &completion, now));
            }
            self.handle(answers);
        }
    }

    /// Returns the most requests that an upstream got in one window later than `from`.
    fn most_in_a_window(&self, upstream: Number, from: Instant) -> usize {
        let arrivals = self.arrivals.get(&upstream);
        let checked: Vec<Instant> = arrivals
            .into_iter()
            .flatten()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let counts = checked.iter().enumerate().map(|(index, first)| {
            let within = |at: &&Instant| **at < *first + WINDOW;
            checked[index..].iter().take_while(within).count()
        });
        counts.max().unwrap_or_default()
    }

    /// Returns the requests that an upstream got from `from` on.
    fn count_since(&self, upstream: Number, from: Instant) -> usize {
        let arrivals = self.arrivals.get(&upstream);
        let arrivals = arrivals.into_iter().flatten();
        arrivals.filter(|at| **at >= from).count()
    }
}

fn placement(run: &Run) -> Placement {
    Placement {
        ticket: Ticket {
            host: run.host.to_string(),
            number: run.number,
        },
        service: SERVICE.to_owned(),
        upstream: run.upstream,
        route: IDEMPOTENT.to_owned(),
    }
}

/// Returns the requests that are allowed in a window.
fn allowed(per_second: f64) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = (1.5 * per_second * WINDOW.as_secs_f64()) as usize;
    allowed + 5
}

/// Plays a leader, hosts on their own and the next leader while half of the upstreams state limits.
fn play(host_count: usize, per_second: f64) -> Fleet {
    let mut fleet = Fleet::new(host_count, vec!["a", "b", "a", "b", "a", "b", "a", "b"], 7);
    let limit = Limit::try_from(per_second).expect("a limit");
    fleet.run(Duration::from_secs(5));
    fleet
        .limits
        .extend((1..=4).map(|upstream| (upstream, limit)));
    fleet.run(Duration::from_secs(20));
    fleet.lose_leader();
    fleet.run(Duration::from_secs(8));
    fleet.elect_leader();
    fleet.run(Duration::from_secs(12));
    fleet
}

#[test]
fn hosts_together_keep_to_a_limit_with_and_without_a_leader() {
    for host_count in [3, 48, 442] {
        for per_second in [0.0, 1.0, 1.3, 6.0] {
            let fleet = play(host_count, per_second);
            let from = fleet.started + Duration::from_secs(5) + GRACE_TIME;
            for upstream in 1..=4 {
                let most = fleet.most_in_a_window(upstream, from);
                let allowed = allowed(per_second);
                assert!(most <= allowed, "{host_count} hosts, {per_second}: {most}");
            }
            // The other upstreams can run all requests, in three quarters of their slots.
            assert_eq!(fleet.refused, 0, "{host_count} hosts, {per_second}");
        }
    }
}

#[test]
fn an_upstream_gets_most_of_the_limit_that_it_stated() {
    let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
    fleet
        .limits
        .insert(1, Limit::try_from(4.0).expect("a limit"));
    fleet.run(Duration::from_secs(8));
    let from = fleet.now;
    fleet.run(Duration::from_secs(10));
    let count = fleet.count_since(1, from);
    assert!((36..=44).contains(&count), "{count}");
}

#[test]
fn a_limit_ends_with_an_answer_to_a_later_request_that_does_not_state_it() {
    for per_second in [0.0, 1.0] {
        let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
        let limit = Limit::try_from(per_second).expect("a limit");
        fleet.limits.insert(1, limit);
        fleet.run(Duration::from_secs(8));
        fleet.limits.clear();
        fleet.run(Duration::from_secs(6));
        let from = fleet.now;
        fleet.run(Duration::from_secs(4));
        let count = fleet.count_since(1, from);
        assert!(count > 30, "{per_second}: {count}");
    }
}

#[test]
fn requests_wait_no_longer_than_their_deadlines_for_upstreams_that_state_limits() {
    let mut fleet = Fleet::new(48, vec!["a", "b"], 7);
    let limit = Limit::try_from(2.0).expect("a limit");
    fleet.limits.extend([(1, limit), (2, limit)]);
    fleet.run(Duration::from_secs(5));
    let (served, refused) = (fleet.served, fleet.refused);
    fleet.run(Duration::from_secs(10));
    let (served, refused) = (fleet.served - served, fleet.refused - refused);
    let queued = fleet
        .leader
        .as_ref()
        .expect("a leader")
        .dispatcher
        .queued(SERVICE);
    assert!(
        (36..=44).contains(&served),
        "{served} served, {refused} refused"
    );
    assert!(queued < 10, "{queued} wait for four requests a second");
}

#[test]
fn a_request_waits_for_a_limited_upstream_whose_first_answer_has_just_been_timed() {
    let mut world = World::new(&["a"]);
    world.dispatcher.set_share(LOCAL_SHARE, world.now);
    let (ticket, upstream) = world.place(IDEMPOTENT).expect("a slot");
    let statement = Statement {
        limit: Limit::try_from(4.0).ok(),
        ..Statement::default()
    };
    world
        .dispatcher
        .note_statement("host-1", upstream, &statement, world.now);
    world.advance(STEP);
    world.release(&ticket, Outcome::Answered, Duration::from_millis(5));
    let request = world.request(IDEMPOTENT);
    assert_eq!(world.reserve(request), Decision::Queued);
}
