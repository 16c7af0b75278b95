//! A fleet under load: a leader, hosts on their own, and the next leader.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

pub const STEP: Duration = Duration::from_millis(10);

/// Time for which an upstream runs a request.
pub const RUN_TIME: Duration = Duration::from_millis(240);

/// Requests that arrive in one [`STEP`] at all hosts together, unless a test sets another number.
const ARRIVALS_PER_STEP: f64 = 0.3;

/// Fraction of the quotas that hosts on their own use, as the proxy sets it.
pub const LOCAL_SHARE: f64 = 0.8;

/// An attempt that runs on an upstream.
struct Run {
    ends: Instant,
    host: usize,
    number: u32,
    upstream: Number,
}

/// Hosts with a local dispatcher each, and the leader's dispatcher while there is one.
pub struct Fleet {
    hosts: Vec<World>,
    leader: Option<World>,
    zones: Vec<&'static str>,
    /// Stages other than [`Stage::Ready`] that upstreams have announced.
    stages: BTreeMap<Number, Stage>,
    /// Terms of the service for cold upstreams.
    warmup: Option<(f64, Duration)>,
    /// Limits that the answers of upstreams state.
    pub limits: BTreeMap<Number, Limit>,
    /// Requests that arrive in one [`STEP`].
    pub arrivals_per_step: f64,
    runs: Vec<Run>,
    arrivals: BTreeMap<Number, Vec<Instant>>,
    /// When each request that waits for a decision came.
    waiting: BTreeMap<u32, Instant>,
    pub started: Instant,
    pub now: Instant,
    next: u32,
    pub served: usize,
    pub refused: usize,
    /// Longest wait of a request that was refused.
    pub longest_refused: Duration,
    rng: ChaCha8Rng,
}

impl Fleet {
    pub fn new(host_count: usize, zones: Vec<&'static str>, seed: u64) -> Self {
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
            stages: BTreeMap::new(),
            warmup: None,
            limits: BTreeMap::new(),
            arrivals_per_step: ARRIVALS_PER_STEP,
            runs: Vec::new(),
            arrivals: BTreeMap::new(),
            waiting: BTreeMap::new(),
            started: now,
            now,
            next: 0,
            served: 0,
            refused: 0,
            longest_refused: Duration::ZERO,
            rng,
        }
    }

    /// Sets the terms of the service for cold upstreams, on all dispatchers.
    pub fn set_warmup(&mut self, per_second: f64, duration: Duration) {
        self.warmup = Some((per_second, duration));
        let now = self.now;
        for world in self.hosts.iter_mut().chain(&mut self.leader) {
            world.now = now;
            world.set_warmup(per_second, duration);
        }
    }

    /// Lets the upstreams of a zone announce a stage, or an operator evacuate it.
    pub fn announce(&mut self, zone: &str, stage: Stage) {
        let mut answers = Vec::new();
        for number in self.upstreams(zone) {
            self.stages.insert(number, stage);
            for world in self.hosts.iter_mut().chain(&mut self.leader) {
                world.now = self.now;
                answers.extend(world.update_upstream(number, zone, stage));
            }
        }
        self.handle(answers);
    }

    /// Lets the upstreams of a zone announce once more what they had announced; only a leader hears that.
    pub fn renew(&mut self, zone: &str) {
        for number in self.upstreams(zone) {
            if let Some(leader) = &mut self.leader {
                leader.dispatcher.renew_upstream(number, self.now);
            }
        }
    }

    /// Returns the upstreams of a zone.
    pub fn upstreams(&self, zone: &str) -> Vec<Number> {
        let zones = (1..).zip(&self.zones);
        let own = zones.filter(|(_, one)| **one == zone);
        own.map(|(number, _)| number).collect()
    }

    /// Returns the dispatcher of the leader.
    pub const fn leader(&self) -> &Dispatcher {
        &self.leader.as_ref().expect("a leader").dispatcher
    }

    /// Lets the leader fail; every host decides on its own.
    pub fn lose_leader(&mut self) {
        self.leader = None;
    }

    /// Elects a leader, to which every host reports what it was told and which slots it uses.
    pub fn elect_leader(&mut self) {
        let mut leader = World::new(&self.zones);
        leader.now = self.now;
        if let Some((per_second, duration)) = self.warmup {
            leader.set_warmup(per_second, duration);
        }
        for (number, stage) in &self.stages {
            leader.update_upstream(*number, self.zones[*number as usize - 1], *stage);
        }
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

    pub fn run(&mut self, time: Duration) {
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
            let whole = self.arrivals_per_step.floor();
            let rest = self.rng.random_bool(self.arrivals_per_step - whole);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            for _ in 0..whole as u32 + u32::from(rest) {
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
        self.waiting.insert(self.next, self.now);
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
            if answer.decision == Decision::Queued {
                continue;
            }
            let came = self.waiting.remove(&answer.ticket.number);
            let waited = self.now - came.expect("a request that waits");
            match answer.decision {
                Decision::Queued => {}
                Decision::Refused { .. } => {
                    self.refused += 1;
                    self.longest_refused = self.longest_refused.max(waited);
                }
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
    pub fn most_in_a_window(&self, upstream: Number, window: Duration, from: Instant) -> usize {
        let arrivals = self.arrivals.get(&upstream);
        let checked: Vec<Instant> = arrivals
            .into_iter()
            .flatten()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let counts = checked.iter().enumerate().map(|(index, first)| {
            let within = |at: &&Instant| **at < *first + window;
            checked[index..].iter().take_while(within).count()
        });
        counts.max().unwrap_or_default()
    }

    /// Returns the requests that an upstream got from `from` on.
    pub fn count_since(&self, upstream: Number, from: Instant) -> usize {
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
        body_bytes: 0,
    }
}
