//! A service under the load of several kinds of requests and tenants, and what its clients get.

use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::key::Digest;
use persimmonbend_core::publication::Part;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Route;
use persimmonbend_core::publication::Service;
use persimmonbend_core::publication::Tenant;
use persimmonbend_core::steward::Ticket;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::timeline::Timeline;
use crate::world::SERVICE;
use crate::world::World;

const TICK: Duration = Duration::from_millis(50);

/// Time between two rounds of arrivals.
const STEP: Duration = Duration::from_millis(1);

/// Time that an upstream takes to refuse a request.
const SHED_MS: u64 = 2;

/// A kind of request; times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub work_ms: u64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub per_second: f64,
    /// Times of the usual rate in the span of the burst.
    pub burst: f64,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Load {
    /// Upstreams of three slots.
    pub upstreams: u32,
    pub kinds: Vec<Kind>,
    /// Weights of the tenants among the requests, and times of their usual rate in the burst.
    pub tenants: Vec<(&'static str, f64, f64)>,
    /// Keys of each tenant, which send in turn.
    pub keys: usize,
    pub burst_ms: Range<u64>,
    pub end_ms: u64,
    /// Times that a client repeats a refused request at once.
    pub repeats: u32,
    /// Shares of the attempts in the span of the burst that upstreams refuse, by turns of their numbers.
    pub shed: &'static [f64],
    pub policy: Policy,
}

/// What became of the requests of one kind and tenant that were sent in the burst.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub sent: u32,
    pub answered: u32,
    pub timely: u32,
    /// Waits for a slot, and for a refusal as parts of the objective.
    pub waits_ms: Vec<u64>,
    pub retries: u32,
    pub refused_after: Vec<f64>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    /// An attempt ends, refused or answered.
    End(Ticket, bool),
    Arrivals,
}

#[derive(Debug, Clone)]
struct Sent {
    kind: usize,
    tenant: usize,
    at: u64,
    repeats: u32,
    granted_at: u64,
    request: Request,
}

pub struct Run {
    pub world: World,
    load: Load,
    tenants: BTreeMap<Digest, TenantId>,
    rng: ChaCha8Rng,
    now_ms: u64,
    owed: Vec<f64>,
    sent: BTreeMap<u32, Sent>,
    timeline: Timeline<Event>,
    tallies: BTreeMap<(&'static str, &'static str), Tally>,
}

impl Tally {
    pub fn timely_share(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.sent.max(1))
    }

    pub fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.sent.max(1))
    }

    /// Returns the wait for a slot at a rank in `0..1`.
    pub fn wait_ms(&self, rank: f64) -> u64 {
        let mut waits = self.waits_ms.clone();
        waits.sort_unstable();
        let index = (waits.len() as f64 * rank) as usize;
        waits.get(index).copied().unwrap_or_default()
    }

    /// Returns the share of the requests that were refused after an eighth of their objective.
    pub fn late_refusals(&self) -> f64 {
        let late = self.refused_after.iter().filter(|part| **part > 0.125);
        late.count() as f64 / f64::from(self.sent.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.timely += other.timely;
        self.waits_ms.extend(&other.waits_ms);
        self.refused_after.extend(&other.refused_after);
        self.retries += other.retries;
    }
}

impl Run {
    /// Plays a load and returns what became of it.
    pub fn play(load: Load) -> Self {
        let zones: Vec<&str> = ["a", "b", "c"]
            .into_iter()
            .cycle()
            .take(load.upstreams as usize)
            .collect();
        let mut world = World::with(load.policy, &zones);
        let now = world.now;
        let publication = publication(&load);
        let tenants = publication.keys();
        world.dispatcher.publish(Rc::new(publication), now);
        let mut run = Self {
            world,
            tenants,
            rng: ChaCha8Rng::seed_from_u64(11),
            now_ms: 0,
            owed: vec![0.0; load.kinds.len() * load.tenants.len()],
            sent: BTreeMap::new(),
            timeline: Timeline::new(now),
            tallies: BTreeMap::new(),
            load,
        };
        for event in [Event::Tick, Event::Arrivals] {
            run.push(Duration::ZERO, event);
        }
        let end = Duration::from_millis(run.load.end_ms);
        while let Some(event) = run.timeline.next(&mut run.world, end) {
            run.now_ms = run.timeline.elapsed(&run.world).as_millis() as u64;
            let mut answers = run.handle(event);
            while !answers.is_empty() {
                for answer in std::mem::take(&mut answers) {
                    answers.extend(run.follow(answer));
                }
            }
        }
        run
    }

    /// Returns what became of the requests of a kind that were sent in the burst.
    pub fn kind(&self, kind: &str) -> Tally {
        self.sum(|name, _| name == kind)
    }

    /// Returns what became of the requests of a tenant that were sent in the burst.
    pub fn tenant(&self, tenant: &str) -> Tally {
        self.sum(|_, name| name == tenant)
    }

    /// Prints what became of the requests.
    pub fn print(&self) {
        for kind in &self.load.kinds {
            let tally = self.kind(kind.name);
            println!("{}: {}", kind.name, line(&tally));
        }
        for (tenant, ..) in &self.load.tenants {
            println!("{tenant}: {}", line(&self.tenant(tenant)));
        }
    }

    fn sum<F: Fn(&str, &str) -> bool>(&self, is_counted: F) -> Tally {
        let mut sum = Tally::default();
        let tallies = self.tallies.iter();
        for ((kind, tenant), tally) in tallies {
            if is_counted(kind, tenant) {
                sum.add(tally);
            }
        }
        sum
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.timeline.push(&self.world, delay, event);
    }

    fn handle(&mut self, event: Event) -> Vec<Answer> {
        match event {
            Event::Tick => {
                self.push(TICK, Event::Tick);
                self.world.dispatcher.tick(self.world.now)
            }
            Event::End(ticket, true) => self.retry(&ticket),
            Event::End(ticket, false) => self.end(&ticket),
            Event::Arrivals => {
                self.push(STEP, Event::Arrivals);
                self.send_arrivals()
            }
        }
    }

    fn send_arrivals(&mut self) -> Vec<Answer> {
        let mut answers = Vec::new();
        let is_burst = self.load.burst_ms.contains(&self.now_ms);
        let total: f64 = self.load.tenants.iter().map(|(_, weight, _)| weight).sum();
        for kind in 0..self.load.kinds.len() {
            for tenant in 0..self.load.tenants.len() {
                let known = self.load.kinds[kind];
                let (_, weight, times) = self.load.tenants[tenant];
                let times = if is_burst { times * known.burst } else { 1.0 };
                let index = kind * self.load.tenants.len() + tenant;
                self.owed[index] += known.per_second * weight / total * times / 1_000.0
                    * self.rng.random_range(0.0..2.0);
                while self.owed[index] >= 1.0 {
                    self.owed[index] -= 1.0;
                    answers.extend(self.send(kind, tenant, 0));
                }
            }
        }
        answers
    }

    fn send(&mut self, kind: usize, tenant: usize, repeats: u32) -> Vec<Answer> {
        let known = self.load.kinds[kind];
        let mut request: Request = self.world.request(known.name);
        let number = request.ticket.number as usize % self.load.keys;
        let key = key(self.load.tenants[tenant].0, number);
        request.tenant = self.tenants.get(&key).cloned();
        request.deadline = self.world.now + Duration::from_millis(known.deadline_ms);
        let sent = Sent {
            kind,
            tenant,
            at: self.now_ms,
            repeats,
            granted_at: 0,
            request: request.clone(),
        };
        if repeats == 0 {
            self.tally(&sent, |tally| tally.sent += 1);
        }
        self.sent.insert(request.ticket.number, sent);
        self.world.dispatcher.reserve(request, self.world.now)
    }

    fn end(&mut self, ticket: &Ticket) -> Vec<Answer> {
        let sent = self.sent.remove(&ticket.number).expect("a sent request");
        let known = self.load.kinds[sent.kind];
        let is_timely = self.now_ms <= sent.at + known.objective_ms;
        let is_answered = self.now_ms <= sent.at + known.deadline_ms;
        let wait = sent.granted_at - sent.at;
        self.tally(&sent, |tally| {
            tally.answered += u32::from(is_answered);
            tally.timely += u32::from(is_timely);
            tally.waits_ms.push(wait);
        });
        let took = Duration::from_millis(self.now_ms - sent.granted_at);
        self.world.release(ticket, Outcome::Answered, took)
    }

    /// Sends a request that an upstream refused to another one.
    fn retry(&mut self, ticket: &Ticket) -> Vec<Answer> {
        let sent = self.sent.remove(&ticket.number).expect("a sent request");
        let took = Duration::from_millis(SHED_MS);
        let mut answers = self.world.release(ticket, Outcome::Shed, took);
        let request = Request {
            ticket: self.world.request(SERVICE).ticket,
            is_retry: true,
            ..sent.request.clone()
        };
        self.sent.insert(
            request.ticket.number,
            Sent {
                request: request.clone(),
                ..sent
            },
        );
        answers.extend(self.world.dispatcher.reserve(request, self.world.now));
        answers
    }

    fn follow(&mut self, answer: Answer) -> Vec<Answer> {
        let Answer { ticket, decision } = answer;
        match decision {
            Decision::Granted { upstream, .. } => {
                let now = self.now_ms;
                let sent = self.sent.get_mut(&ticket.number).expect("a sent request");
                sent.granted_at = now;
                sent.request.avoid.push(upstream);
                let sent = sent.clone();
                let shares = self.load.shed;
                let is_shed = !shares.is_empty()
                    && self.load.burst_ms.contains(&now)
                    && self
                        .rng
                        .random_bool(shares[upstream as usize % shares.len()]);
                let mean = self.load.kinds[sent.kind].work_ms;
                let work = if is_shed {
                    SHED_MS
                } else {
                    self.rng.random_range(mean / 2..=mean * 3 / 2)
                };
                self.push(Duration::from_millis(work), Event::End(ticket, is_shed));
                if sent.request.is_retry {
                    self.tally(&sent, |tally| tally.retries += 1);
                }
                Vec::new()
            }
            Decision::Refused { .. } => {
                let sent = self.sent.remove(&ticket.number).expect("a sent request");
                let objective = self.load.kinds[sent.kind].objective_ms as f64;
                let part = (self.now_ms - sent.at) as f64 / objective;
                if sent.repeats < self.load.repeats {
                    return self.send(sent.kind, sent.tenant, sent.repeats + 1);
                }
                self.tally(&sent, |tally| tally.refused_after.push(part));
                Vec::new()
            }
            Decision::Queued => Vec::new(),
        }
    }

    fn tally<F: FnOnce(&mut Tally)>(&mut self, sent: &Sent, count: F) {
        if self.load.burst_ms.contains(&sent.at) {
            let kind = self.load.kinds[sent.kind].name;
            let tenant = self.load.tenants[sent.tenant].0;
            count(self.tallies.entry((kind, tenant)).or_default());
        }
    }
}

fn line(tally: &Tally) -> String {
    format!(
        "{} sent, {:.3} answered, {:.3} in time, wait p50 {} ms, p99 {} ms, refused late {:.3}, {} retries",
        tally.sent,
        tally.answered_share(),
        tally.timely_share(),
        tally.wait_ms(0.5),
        tally.wait_ms(0.99),
        tally.late_refusals(),
        tally.retries,
    )
}

fn key(tenant: &str, number: usize) -> Digest {
    Digest::of(&format!("{tenant}-{number}"))
}

fn publication(load: &Load) -> Publication {
    let route = |kind: &Kind| Route {
        host: "farm.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: kind.priority == 0,
        timeout: Duration::from_millis(kind.deadline_ms),
        objective: Duration::from_millis(kind.objective_ms),
        priority: kind.priority,
        parts: vec![Part {
            service: SERVICE.to_owned(),
            weight: 1.0,
        }],
        attempts: 2,
        open: false,
    };
    let kinds = load.kinds.iter();
    let tenants = load.tenants.iter();
    Publication {
        version: Some(1),
        routes: kinds
            .map(|kind| (kind.name.to_owned(), route(kind)))
            .collect(),
        services: BTreeMap::from([(SERVICE.to_owned(), Service::default())]),
        tenants: tenants
            .map(|(name, ..)| {
                let tenant = Tenant {
                    keys: (0..load.keys).map(|number| key(name, number)).collect(),
                    ..Tenant::default()
                };
                ((*name).to_owned(), tenant)
            })
            .collect(),
        ..Publication::default()
    }
}
