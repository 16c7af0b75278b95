//! A simulated network of hosts with gossip, with message loss and one-way cuts.

#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::board::Board;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::host;
use persimmonbend_core::key::Digest;
use persimmonbend_core::membership::Envelope;
use persimmonbend_core::membership::Membership;
use persimmonbend_core::membership::Outcome;
use persimmonbend_core::membership::message::Message;
use persimmonbend_core::membership::schedule::TICK_INTERVAL;
use persimmonbend_core::upstream;
use persimmonbend_core::upstream::Stage;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time without contact after which a host counts as isolated.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Time between two renewals of an upstream.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bound on the round trips of one exchange.
const MAX_ROUND_TRIPS: usize = 8;

/// One host of the network.
pub struct Node {
    pub board: RefCell<Board>,
    pub membership: RefCell<Membership>,
    /// Withdrawals that the host has held at any time since its start.
    pub withdrawn: BTreeSet<Digest>,
    pub revision: u64,
    pub incarnation: u64,
}

/// An upstream that renews its announcement through hosts picked at random.
#[derive(Clone)]
pub struct Source {
    pub announcement: upstream::Announcement,
    pub silent: bool,
    next: Duration,
}

/// The hosts, the upstreams, and the loss and cuts of the network.
pub struct Network {
    pub clock: Rc<Manual>,
    pub nodes: BTreeMap<usize, Node>,
    pub sources: Vec<Source>,
    pub loss: f64,
    pub cuts: BTreeSet<(usize, usize)>,
    pub sent: usize,
    rng: ChaCha8Rng,
}

impl Network {
    /// Creates a network of hosts with the addresses of the first two.
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut network = Self {
            clock: Rc::new(Manual::new()),
            nodes: BTreeMap::new(),
            sources: Vec::new(),
            loss: 0.0,
            cuts: BTreeSet::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for host in 0..hosts {
            network.start(host, 1);
        }
        network
    }

    /// Starts a host with an empty board.
    pub fn start(&mut self, host: usize, incarnation: u64) {
        let clock: Rc<dyn Clock> = self.clock.clone();
        let mut board = Board::new(clock);
        let own = host::Announcement {
            id: name(host),
            zone: format!("zone-{}", host % 3),
            peers: address(host),
            incarnation,
            sequence: 0,
            stopping: false,
        };
        let contacts = [address(0), address(1)];
        let seed = self.rng.random();
        let membership = Membership::new(&mut board, own, &contacts, WINDOW, seed);
        let node = Node {
            board: RefCell::new(board),
            membership: RefCell::new(membership),
            withdrawn: BTreeSet::new(),
            revision: 0,
            incarnation,
        };
        self.nodes.insert(host, node);
    }

    /// Restarts a host, which loses its state.
    pub fn restart(&mut self, host: usize) {
        if let Some(node) = self.nodes.remove(&host) {
            self.start(host, node.incarnation + 1);
        }
    }

    /// Adds an upstream.
    pub fn add_source(&mut self, number: usize) {
        self.sources.push(Source {
            announcement: upstream::Announcement {
                id: format!("upstream-{number}"),
                service: format!("service-{}", number % 3),
                address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
                zone: "zone-0".to_owned(),
                slots: 3,
                incarnation: 1,
                sequence: 0,
                stage: Stage::Ready,
            },
            silent: false,
            next: Duration::ZERO,
        });
    }

    /// Sends an announcement of an upstream to one host and returns the outcome.
    pub fn announce(&mut self, source: usize, host: usize) -> Option<Outcome> {
        let source = &mut self.sources[source];
        source.announcement.sequence += 1;
        let node = self.nodes.get(&host)?;
        let announcement = source.announcement.clone();
        let mut membership = node.membership.borrow_mut();
        Some(membership.announce(&mut node.board.borrow_mut(), announcement))
    }

    /// Withdraws a key at one host.
    pub fn withdraw(&mut self, host: usize, digest: Digest) -> bool {
        let Some(node) = self.nodes.get(&host) else {
            return false;
        };
        let mut membership = node.membership.borrow_mut();
        membership.withdraw(&mut node.board.borrow_mut(), digest)
    }

    /// Puts a configuration revision in force at one host.
    pub fn configure(&mut self, host: usize, revision: u64) {
        if let Some(node) = self.nodes.get(&host) {
            node.board.borrow_mut().put_config(state(revision));
        }
    }

    /// Runs the network for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.clock.elapsed() + time;
        while self.clock.elapsed() < end {
            self.clock.advance(TICK_INTERVAL);
            self.renew();
            let hosts: Vec<usize> = self.nodes.keys().copied().collect();
            for host in hosts {
                self.tick(host);
            }
            self.check_monotone();
        }
    }

    /// Returns whether every host holds the same view, withdrawals and revision.
    pub fn agrees(&self) -> bool {
        let mut seen = BTreeSet::new();
        for node in self.nodes.values() {
            let board = node.board.borrow();
            let root = node.membership.borrow_mut().root(&board);
            let withdrawn = board.withdrawn().clone();
            seen.insert((root, withdrawn, board.config().revision()));
        }
        seen.len() == 1
    }

    /// Returns the hosts that some host suspects although they run.
    pub fn wrongly_suspected(&self) -> Vec<(usize, String)> {
        let mut wrong = Vec::new();
        for (at, node) in &self.nodes {
            for (id, host) in node.board.borrow().hosts() {
                let runs = self.nodes.keys().any(|other| name(*other) == *id);
                if host.suspected && runs {
                    wrong.push((*at, id.clone()));
                }
            }
        }
        wrong
    }

    /// Returns the upstreams that some host holds as lapsed although they renew.
    pub fn wrongly_lapsed(&self) -> Vec<(usize, String)> {
        let mut wrong = Vec::new();
        for (at, node) in &self.nodes {
            for upstream in node.board.borrow().all_upstreams() {
                let id = &upstream.announcement.id;
                let source = self.sources.iter().find(|one| one.announcement.id == *id);
                if upstream.lapsed && source.is_some_and(|source| !source.silent) {
                    wrong.push((*at, id.clone()));
                }
            }
        }
        wrong
    }

    fn renew(&mut self) {
        let now = self.clock.elapsed();
        for at in 0..self.sources.len() {
            if self.sources[at].silent || now < self.sources[at].next {
                continue;
            }
            self.sources[at].next = now + RENEWAL_INTERVAL;
            let hosts: Vec<usize> = self.nodes.keys().copied().collect();
            let host = hosts[self.rng.random_range(0..hosts.len())];
            self.announce(at, host);
        }
    }

    fn tick(&mut self, host: usize) {
        let envelopes = {
            let node = &self.nodes[&host];
            let mut membership = node.membership.borrow_mut();
            membership.tick(&mut node.board.borrow_mut())
        };
        for envelope in envelopes {
            self.exchange(host, envelope);
        }
    }

    fn exchange(&mut self, from: usize, envelope: Envelope) {
        let to = usize::from(envelope.to.port());
        let mut next = Some(envelope.message);
        for _ in 0..MAX_ROUND_TRIPS {
            let Some(message) = next else {
                return;
            };
            self.sent += 1;
            if !self.is_delivered(from, to) {
                return;
            }
            let Some(answer) = self.answer(to, &message) else {
                return;
            };
            if !self.is_delivered(to, from) {
                return;
            }
            next = self.handle_answer(from, &answer);
        }
    }

    fn answer(&self, to: usize, message: &Message) -> Option<Message> {
        let node = self.nodes.get(&to)?;
        let mut membership = node.membership.borrow_mut();
        Some(membership.answer(&mut node.board.borrow_mut(), message))
    }

    fn handle_answer(&self, from: usize, answer: &Message) -> Option<Message> {
        let node = &self.nodes[&from];
        let mut board = node.board.borrow_mut();
        if answer.revision > board.config().revision() {
            board.put_config(state(answer.revision));
        }
        let mut membership = node.membership.borrow_mut();
        membership.handle_answer(&mut board, self.clock.now(), answer)
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        !lost && !self.cuts.contains(&(from, to))
    }

    fn check_monotone(&mut self) {
        for (host, node) in &mut self.nodes {
            let board = node.board.borrow();
            let now = board.withdrawn();
            assert!(
                node.withdrawn.is_subset(now),
                "host {host} lost a withdrawal"
            );
            node.withdrawn.clone_from(now);
            let revision = board.config().revision();
            assert!(
                revision >= node.revision,
                "host {host} went back to an older revision"
            );
            node.revision = revision;
        }
    }
}

/// Returns the name of a host.
pub fn name(host: usize) -> String {
    format!("host-{host}")
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16))
}

fn state(revision: u64) -> State {
    let mut state = State::default();
    for number in 1..=revision {
        let rate = Rate {
            per_second: 1.0,
            burst: 1,
        };
        let id = "farm".to_owned();
        let tenant = Tenant { id, rate };
        state.apply(&Entry {
            revision: number,
            submission: Submission {
                id: format!("change-{number}"),
                base: None,
                operator: "test".to_owned(),
                change: Change::SetTenant { tenant },
            },
        });
    }
    state
}
