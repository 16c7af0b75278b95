//! Simulated fleet of holders and an issuer, with a network that loses, delays and repeats messages.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::quota::Account;
use persimmonbend_core::quota::Admission;
use persimmonbend_core::quota::Batch;
use persimmonbend_core::quota::Holder;
use persimmonbend_core::quota::Issuer;
use persimmonbend_core::quota::Reply;
use persimmonbend_core::quota::Seats;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(2);
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Faults and load changes of the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The link of one host is cut, or restored.
    Cut(usize),
    /// Replies to one host are lost, or are delivered again.
    CutReplies(usize),
    /// Control becomes unreachable for all hosts, or reachable again.
    CutAll,
    /// Another leader is elected.
    NewLeader,
    /// A host restarts.
    Restart(usize),
    /// All load goes to one host.
    Skew(usize),
    /// No fault; the load is spread over all hosts again.
    None,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % 6;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Self::Cut(host),
            2 => Self::CutReplies(host),
            3 => Self::CutAll,
            4 => Self::NewLeader,
            5 => Self::Restart(host),
            6 => Self::Skew(host),
            _ => Self::None,
        }
    }
}

/// Size, rate and load of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub seats: u32,
    pub per_second: f64,
    pub burst: u32,
    pub demand: f64,
    pub loss: f64,
}

#[derive(Debug)]
struct Host {
    holder: Holder,
    incarnation: u64,
    cut: bool,
    cut_replies: bool,
    sent: Option<(u64, Duration)>,
    waiting: Vec<Duration>,
}

#[derive(Debug)]
enum Message {
    Batch(Batch),
    Reply(usize, u64, u64, Reply),
}

/// The fleet, with one naive token bucket as the reference for what may be admitted.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    clock: Manual,
    rng: ChaCha8Rng,
    config: State,
    account: Account,
    rate: Rate,
    seats: Seats,
    issuer: Issuer,
    hosts: Vec<Host>,
    network: BTreeMap<(Duration, u64), Message>,
    messages: u64,
    cut_all: bool,
    skew: Option<usize>,
    reference_level: f64,
    admitted: u64,
    asked: u64,
    wrongly_refused: u64,
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let clock = Manual::new();
        let rate = Rate {
            per_second: plan.per_second,
            burst: plan.burst,
        };
        let seats = Seats::default();
        let issuer = Issuer::new(1, seats.clone(), clock.now());
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            config: config(rate),
            account: Account {
                tenant: "farm".to_owned(),
                service: None,
            },
            reference_level: f64::from(plan.burst),
            hosts: Vec::new(),
            network: BTreeMap::new(),
            messages: 0,
            cut_all: false,
            skew: None,
            admitted: 0,
            asked: 0,
            wrongly_refused: 0,
            plan,
            clock,
            rate,
            seats,
            issuer,
        };
        for number in 0..plan.hosts {
            let host = fleet.start(number, 1);
            fleet.hosts.push(host);
        }
        fleet
    }

    pub fn inject(&mut self, fault: Fault) {
        let hosts = self.hosts.len();
        match fault {
            Fault::Cut(host) => self.hosts[host % hosts].cut ^= true,
            Fault::CutReplies(host) => self.hosts[host % hosts].cut_replies ^= true,
            Fault::CutAll => self.cut_all ^= true,
            Fault::NewLeader => {
                let term = self.issuer.term() + 1;
                self.issuer = Issuer::new(term, self.seats.clone(), self.clock.now());
            }
            Fault::Restart(host) => {
                let number = host % hosts;
                let incarnation = self.hosts[number].incarnation + 1;
                let cut = self.hosts[number].cut;
                self.hosts[number] = self.start(number, incarnation);
                self.hosts[number].cut = cut;
            }
            Fault::Skew(host) => self.skew = Some(host % hosts),
            Fault::None => self.skew = None,
        }
    }

    /// Runs for `time` and returns an error when more requests are admitted than the rate allows.
    pub fn run(&mut self, time: Duration) -> Result<(), String> {
        let end = self.clock.elapsed() + time;
        while self.clock.elapsed() < end {
            self.clock.advance(STEP);
            let flow = self.rate.per_second * STEP.as_secs_f64();
            self.reference_level = (self.reference_level + flow).min(f64::from(self.rate.burst));
            self.deliver();
            self.arrive()?;
            for host in 0..self.hosts.len() {
                self.serve_waiting(host)?;
                self.send(host);
            }
        }
        Ok(())
    }

    pub fn set_demand(&mut self, per_second: f64) {
        self.plan.demand = per_second;
    }

    pub fn reset_counts(&mut self) {
        self.asked = 0;
        self.wrongly_refused = 0;
    }

    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    pub fn asked(&self) -> u64 {
        self.asked
    }

    pub fn wrongly_refused(&self) -> u64 {
        self.wrongly_refused
    }

    pub fn active_accounts(&self) -> usize {
        self.issuer.active_accounts()
    }

    fn start(&self, number: usize, incarnation: u64) -> Host {
        Host {
            holder: Holder::new(format!("host-{number}"), incarnation, self.clock.now()),
            incarnation,
            cut: false,
            cut_replies: false,
            sent: None,
            waiting: Vec::new(),
        }
    }

    fn arrive(&mut self) -> Result<(), String> {
        let expected = self.plan.demand * STEP.as_secs_f64();
        let mut arrivals = expected.floor();
        if self.rng.random_range(0.0..1.0) < expected.fract() {
            arrivals += 1.0;
        }
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let any = self.rng.random_range(0..self.hosts.len());
            let host = self.skew.unwrap_or(any);
            self.asked += 1;
            let now = self.clock.now();
            let holder = &mut self.hosts[host].holder;
            match holder.admit(&self.account, self.rate, now) {
                Admission::Admitted => self.admit()?,
                Admission::Wait => self.hosts[host].waiting.push(self.clock.elapsed()),
                Admission::Exceeded(_) | Admission::Unavailable(_) => self.refuse(),
            }
        }
        Ok(())
    }

    fn serve_waiting(&mut self, host: usize) -> Result<(), String> {
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        for since in waiting {
            let now = self.clock.now();
            let holder = &mut self.hosts[host].holder;
            let admission = holder.retry(&self.account, self.rate, now);
            let over = self.clock.elapsed() >= since + REQUEST_TIMEOUT;
            let keeps_waiting = match admission {
                Admission::Admitted | Admission::Exceeded(_) => false,
                Admission::Wait | Admission::Unavailable(_) => !over,
            };
            if keeps_waiting {
                self.hosts[host].waiting.push(since);
                continue;
            }
            holder.stop_waiting(&self.account);
            if admission == Admission::Admitted {
                self.admit()?;
            } else {
                self.refuse();
            }
        }
        Ok(())
    }

    fn admit(&mut self) -> Result<(), String> {
        self.admitted += 1;
        self.reference_level -= 1.0;
        if self.reference_level < -1e-6 {
            let at = self.clock.elapsed();
            return Err(format!(
                "{:.3} tokens too many at {at:?}",
                -self.reference_level
            ));
        }
        Ok(())
    }

    fn refuse(&mut self) {
        if self.reference_level >= 1.0 {
            self.wrongly_refused += 1;
        }
    }

    fn send(&mut self, number: usize) {
        let at = self.clock.elapsed();
        let now = self.clock.now();
        let host = &mut self.hosts[number];
        if let Some((_, sent)) = host.sent
            && at >= sent + REPLY_TIMEOUT
        {
            host.sent = None;
            host.holder.mark_failed();
        }
        let Some(batch) = host.holder.batch(now) else {
            return;
        };
        host.sent = Some((batch.sequence, at));
        if self.cut_all || self.hosts[number].cut {
            return;
        }
        self.post(Message::Batch(batch.clone()));
        if self.rng.random_range(0.0..1.0) < self.plan.loss {
            self.post(Message::Batch(batch));
        }
    }

    fn post(&mut self, message: Message) {
        if self.rng.random_range(0.0..1.0) < self.plan.loss {
            return;
        }
        let slow = self.rng.random_range(0.0..1.0) < self.plan.loss / 4.0;
        let longest = if slow { 6_000 } else { 3 };
        let delay = Duration::from_millis(self.rng.random_range(1..longest));
        self.messages += 1;
        let due = self.clock.elapsed() + delay;
        self.network.insert((due, self.messages), message);
    }

    fn deliver(&mut self) {
        let now = self.clock.elapsed();
        while let Some(first) = self.network.first_entry() {
            if first.key().0 > now {
                return;
            }
            match first.remove() {
                Message::Batch(batch) => self.answer(&batch),
                Message::Reply(host, incarnation, sequence, reply) => {
                    self.settle(host, incarnation, sequence, &reply);
                }
            }
        }
    }

    fn answer(&mut self, batch: &Batch) {
        let now = self.clock.now();
        self.seats.take(&batch.host, self.plan.seats);
        self.issuer.set_seats(&self.seats, &self.config, now);
        let reply = self.issuer.answer(batch, &self.config, now);
        let number: usize = batch.host.trim_start_matches("host-").parse().unwrap();
        let host = &self.hosts[number];
        if !self.cut_all && !host.cut && !host.cut_replies {
            let message = Message::Reply(number, batch.incarnation, batch.sequence, reply);
            self.post(message);
        }
    }

    fn settle(&mut self, host: usize, incarnation: u64, sequence: u64, reply: &Reply) {
        let now = self.clock.now();
        let host = &mut self.hosts[host];
        let awaited = host.sent.is_some_and(|(number, _)| number == sequence);
        if host.incarnation == incarnation && awaited {
            host.sent = None;
            host.holder.settle(sequence, reply, now);
        }
    }
}

fn config(rate: Rate) -> State {
    let mut state = State::default();
    let tenant = Tenant {
        id: "farm".to_owned(),
        rate,
    };
    state.apply(&Entry {
        revision: 1,
        submission: Submission {
            id: "1".to_owned(),
            base: None,
            operator: "test".to_owned(),
            change: Change::SetTenant { tenant },
        },
    });
    state
}
