//! Tests of gossip over a network with loss, one-way cuts and restarts.
//!
//! Each run prints its seed.

#![allow(clippy::unwrap_used)]

mod network;

use std::collections::BTreeMap;
use std::time::Duration;

use persimmonbend_check::tester;
use persimmonbend_core::key::Digest;
use persimmonbend_core::membership::Outcome;
use persimmonbend_core::upstream::Stage;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
use quickcheck::Testable;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::Network;
use crate::network::WINDOW;
use crate::network::name;

const HOSTS: usize = 8;
const UPSTREAMS: usize = 12;
const RUNS: u64 = 12;

/// Time within which the hosts of a healed network must converge.
const CONVERGENCE_TIME: Duration = Duration::from_secs(40);

fn network(hosts: usize, upstreams: usize, seed: u64) -> Network {
    let mut network = Network::new(hosts, seed);
    for number in 0..upstreams {
        network.add_source(number);
    }
    network.run(Duration::from_secs(10));
    network
}

fn check(property: fn(u64)) {
    struct Property(fn(u64));
    impl Testable for Property {
        fn result(&self, generator: &mut Gen) -> TestResult {
            let seed = u64::arbitrary(generator);
            println!("seed {seed}");
            (self.0)(seed);
            TestResult::passed()
        }
    }
    tester("membership")
        .tests(RUNS)
        .quickcheck(Property(property));
}

#[test]
fn hosts_converge_to_the_same_view() {
    fn property(seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut network = network(HOSTS, UPSTREAMS, seed);
        let mut revision = 0;
        let mut stages = BTreeMap::new();
        network.loss = 0.2;
        for step in 0..60_u8 {
            let host = rng.random_range(0..HOSTS);
            let source = rng.random_range(0..UPSTREAMS);
            match rng.random_range(0..7) {
                0 => {
                    let other = rng.random_range(0..HOSTS);
                    network.cuts.insert((host, other));
                }
                1 => network.cuts.clear(),
                2 => network.restart(host),
                3 => {
                    network.withdraw(host, Digest::from([step; 32]));
                }
                4 => {
                    revision += 1;
                    network.configure(host, revision);
                }
                _ => {
                    let possible_stages = [Stage::Starting, Stage::Ready, Stage::Draining];
                    let stage = possible_stages[rng.random_range(0..3)];
                    network.sources[source].announcement.stage = stage;
                    stages.insert(source, stage);
                }
            }
            network.run(Duration::from_millis(rng.random_range(0..2_000)));
        }
        network.cuts.clear();
        network.loss = 0.0;
        let mut withdrawn = Vec::new();
        let mut highest = 0;
        for node in network.nodes.values() {
            let board = node.board.borrow();
            withdrawn.extend(board.withdrawn().iter().copied());
            highest = highest.max(board.config().revision());
        }
        network.run(CONVERGENCE_TIME);
        assert!(network.agrees(), "seed {seed}: the hosts differ");
        for (host, node) in &network.nodes {
            let board = node.board.borrow();
            assert_eq!(board.config().revision(), highest, "seed {seed}");
            for digest in &withdrawn {
                assert!(board.is_withdrawn(digest), "seed {seed}: host {host}");
            }
            assert_eq!(board.live_hosts().count(), HOSTS, "seed {seed}: {host}");
            for source in &network.sources {
                let one = &source.announcement;
                let held = board.upstream(&one.service, &one.id);
                let held = held.map(|held| (held.announcement.stage, held.lapsed));
                assert_eq!(held, Some((one.stage, false)), "seed {seed}: {}", one.id);
            }
        }
    }
    check(property);
}

#[test]
fn a_one_way_cut_makes_no_host_suspected() {
    fn property(seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut network = network(HOSTS, UPSTREAMS, seed);
        for _ in 0..4 {
            let from = rng.random_range(0..HOSTS);
            let to = (from + rng.random_range(1..HOSTS)) % HOSTS;
            network.cuts.clear();
            network.cuts.insert((from, to));
            network.run(Duration::from_secs(20));
            let suspected = network.wrongly_suspected();
            assert!(suspected.is_empty(), "seed {seed}: {suspected:?}");
            let lapsed = network.wrongly_lapsed();
            assert!(lapsed.is_empty(), "seed {seed}: {lapsed:?}");
        }
    }
    check(property);
}

#[test]
fn a_host_that_can_only_receive_is_isolated_and_keeps_its_view() {
    fn property(seed: u64) {
        let mut network = network(HOSTS, UPSTREAMS, seed);
        let cut = usize::try_from(seed % HOSTS as u64).unwrap();
        for other in 0..HOSTS {
            network.cuts.insert((cut, other));
        }
        network.run(WINDOW * 6);
        for (host, node) in &network.nodes {
            let board = node.board.borrow();
            let isolated = node.membership.borrow_mut().is_isolated(&board);
            assert_eq!(isolated, *host == cut, "seed {seed}: host {host}");
            assert_eq!(board.all_upstreams().count(), UPSTREAMS, "seed {seed}");
        }
        let own = network.nodes[&cut].board.borrow();
        assert!(own.all_upstreams().all(|one| !one.lapsed), "seed {seed}");
        assert_eq!(own.live_hosts().count(), HOSTS, "seed {seed}");
    }
    check(property);
}

#[test]
fn only_the_majority_side_of_a_partition_serves() {
    let mut network = network(HOSTS, UPSTREAMS, 1);
    for small in 0..3 {
        for large in 3..HOSTS {
            network.cuts.insert((small, large));
            network.cuts.insert((large, small));
        }
    }
    network.run(WINDOW * 2);
    for (host, node) in &network.nodes {
        let board = node.board.borrow();
        let isolated = node.membership.borrow_mut().is_isolated(&board);
        assert_eq!(isolated, *host < 3, "host {host}");
    }
    network.cuts.clear();
    network.run(CONVERGENCE_TIME);
    assert!(network.agrees());
    assert_eq!(network.wrongly_suspected(), Vec::new());
}

#[test]
fn a_single_host_or_one_that_reaches_control_is_not_isolated() {
    let mut single = Network::new(1, 1);
    single.run(WINDOW * 4);
    let isolated = |network: &Network, host: usize| {
        let node = &network.nodes[&host];
        let board = node.board.borrow();
        node.membership.borrow_mut().is_isolated(&board)
    };
    assert!(!isolated(&single, 0));
    let mut pair = Network::new(2, 1);
    pair.run(WINDOW);
    assert!(!isolated(&pair, 0));
    pair.cuts.insert((0, 1));
    pair.run(WINDOW * 2);
    assert!(isolated(&pair, 0));
    let now = pair.nodes[&0].board.borrow().now();
    pair.nodes[&0]
        .membership
        .borrow_mut()
        .record_control_contact(now);
    assert!(!isolated(&pair, 0));
}

#[test]
fn an_upstream_that_stops_renewing_lapses_everywhere_and_comes_back() {
    fn property(seed: u64) {
        let mut network = network(HOSTS, UPSTREAMS, seed);
        let silent = usize::try_from(seed % UPSTREAMS as u64).unwrap();
        network.sources[silent].silent = true;
        network.run(Duration::from_secs(16));
        let source = network.sources[silent].announcement.clone();
        let takes = |network: &Network, host: usize| {
            let board = network.nodes[&host].board.borrow();
            let upstream = board.upstream(&source.service, &source.id);
            upstream.is_some_and(|upstream| board.takes_requests(upstream))
        };
        assert!((0..HOSTS).all(|host| !takes(&network, host)), "seed {seed}");
        assert_eq!(network.wrongly_lapsed(), Vec::new(), "seed {seed}");
        network.sources[silent].silent = false;
        network.run(Duration::from_secs(5));
        assert!((0..HOSTS).all(|host| takes(&network, host)), "seed {seed}");
    }
    check(property);
}

#[test]
fn upstreams_that_all_fall_silent_at_once_are_kept() {
    fn property(seed: u64) {
        let mut network = network(HOSTS, 40, seed);
        for source in &mut network.sources {
            source.silent = true;
        }
        network.run(Duration::from_secs(60));
        for node in network.nodes.values() {
            let board = node.board.borrow();
            let lapsed = board.all_upstreams().filter(|one| one.lapsed);
            assert_eq!(lapsed.count(), 0, "seed {seed}");
        }
    }
    check(property);
}

#[test]
fn a_host_that_dies_is_suspected_and_one_that_stops_is_not_live_at_once() {
    let mut network = network(HOSTS, UPSTREAMS, 1);
    let live = |network: &Network| -> Vec<usize> {
        let boards = network.nodes.values().map(|node| node.board.borrow());
        boards.map(|board| board.live_hosts().count()).collect()
    };
    network.nodes.remove(&7);
    network.run(Duration::from_secs(15));
    assert_eq!(live(&network), vec![HOSTS - 1; HOSTS - 1]);
    let node = &network.nodes[&6];
    let mut board = node.board.borrow_mut();
    node.membership.borrow_mut().stop(&mut board);
    drop(board);
    network.run(Duration::from_secs(2));
    assert_eq!(live(&network), vec![HOSTS - 2; HOSTS - 1]);
}

#[test]
fn draining_reaches_48_hosts_within_two_seconds() {
    let mut network = network(48, 20, 1);
    network.run(Duration::from_secs(10));
    assert!(network.agrees());
    network.sources[3].announcement.stage = Stage::Draining;
    assert_eq!(network.announce(3, 17), Some(Outcome::New));
    network.run(Duration::from_secs(2));
    let source = &network.sources[3].announcement;
    for (host, node) in &network.nodes {
        let board = node.board.borrow();
        let held = board.upstream(&source.service, &source.id).unwrap();
        assert!(!board.takes_requests(held), "host {}", name(*host));
    }
}

#[test]
fn many_renewals_do_not_delay_a_change() {
    let mut network = network(6, 600, 1);
    network.run(Duration::from_secs(60));
    assert!(network.agrees());
    network.sources[3].announcement.stage = Stage::Draining;
    assert_eq!(network.announce(3, 2), Some(Outcome::New));
    network.run(Duration::from_secs(2));
    let source = &network.sources[3].announcement;
    for (host, node) in &network.nodes {
        let board = node.board.borrow();
        let held = board.upstream(&source.service, &source.id).unwrap();
        assert!(!board.takes_requests(held), "host {}", name(*host));
    }
    assert_eq!(network.wrongly_lapsed(), Vec::new());
}

#[test]
fn a_service_whose_announcements_all_stop_is_still_used() {
    let mut network = network(24, 9, 1);
    network.run(Duration::from_secs(10));
    for source in &mut network.sources {
        source.silent = true;
    }
    network.run(Duration::from_secs(150));
    for node in network.nodes.values() {
        let mut board = node.board.borrow_mut();
        board.remove_expired();
        let taking = board
            .all_upstreams()
            .filter(|one| board.takes_requests(one));
        assert_eq!(taking.count(), 9);
    }
}
