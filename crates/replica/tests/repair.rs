//! Members that a leader keeps up by itself: newcomers, lost disks, voters gone for good.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::clock::Manual;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::message::Message;
use persimmonbend_replica::replica::Replica;
use persimmonbend_replica::settings::Limits;
use persimmonbend_replica::settings::Peer;
use persimmonbend_replica::settings::Settings;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;

const STEP: Duration = Duration::from_millis(10);
const FOUNDERS: [&str; 3] = ["a", "b", "c"];

/// What lasts of a replica.
type Kept = Rc<RefCell<Contents>>;

#[derive(Debug)]
struct Memory(Kept);

impl Storage for Memory {
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.0.borrow_mut().records.extend_from_slice(records);
        Ok(())
    }

    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()> {
        let mut kept = self.0.borrow_mut();
        kept.snapshot = snapshot.clone();
        kept.records = records.to_vec();
        Ok(())
    }
}

/// Replicas on one clock, with a network that loses nothing but what is cut off.
struct Fleet {
    clock: Rc<Manual>,
    running: BTreeMap<String, Replica>,
    kept: BTreeMap<String, Kept>,
    next_storage: u64,
}

impl Fleet {
    fn found() -> Self {
        Self::found_with(0)
    }

    /// Founds a log with replicas whose random numbers follow from `seed`.
    fn found_with(seed: u64) -> Self {
        let mut fleet = Self {
            clock: Rc::new(Manual::new()),
            running: BTreeMap::new(),
            kept: BTreeMap::new(),
            next_storage: seed,
        };
        for host in FOUNDERS {
            fleet.start(host, &FOUNDERS, true);
        }
        fleet
    }

    /// Starts a replica on the disk that its host has, or on a new one.
    fn start(&mut self, host: &str, seeds: &[&str], founder: bool) {
        self.next_storage += 1;
        let storage = self.next_storage;
        let kept = self.kept.entry(host.to_owned()).or_insert_with(|| {
            Rc::new(RefCell::new(Contents {
                id: Id {
                    host: host.to_owned(),
                    storage,
                },
                snapshot: Snapshot::default(),
                records: Vec::new(),
            }))
        });
        let peers = seeds.iter().filter(|seed| **seed != host);
        let settings = Settings {
            address: host.to_owned(),
            peers: peers
                .map(|seed| Peer {
                    host: (*seed).to_owned(),
                    address: (*seed).to_owned(),
                })
                .collect(),
            may_bootstrap: founder,
            voters: Some(5),
            limits: Limits::default(),
            seed: storage,
        };
        let contents = kept.borrow().clone();
        let memory = Box::new(Memory(Rc::clone(kept)));
        let clock: Rc<Manual> = Rc::clone(&self.clock);
        let replica = Replica::new(settings, contents, memory, clock).expect("a sound disk");
        self.running.insert(host.to_owned(), replica);
    }

    fn stop(&mut self, host: &str) {
        self.running.remove(host);
    }

    fn wipe(&mut self, host: &str) {
        self.running.remove(host);
        self.kept.remove(host);
    }

    /// Lets time pass; a leader tends its members, as the program does.
    fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.clock.advance(STEP);
            let mut messages: Vec<Message> = Vec::new();
            for replica in self.running.values_mut() {
                if let Some(change) = replica.due_member_change() {
                    let _ = replica.propose_member_change(&change);
                }
                replica.tick();
                messages.extend(replica.flush().expect("a sound disk").messages);
            }
            for message in messages {
                if let Some(replica) = self.running.get_mut(&message.to) {
                    replica.receive(message);
                }
            }
        }
    }

    fn leader(&self) -> Option<&Replica> {
        self.running.values().find(|replica| replica.is_leading())
    }

    /// Returns the hosts of the voters and of the other members, as the leader has committed them.
    fn members(&self) -> (BTreeSet<String>, BTreeSet<String>) {
        let leader = self.leader().expect("somebody leads");
        let members = leader.log().members_at(leader.commit());
        let voters: BTreeSet<String> = members.voters().map(|id| id.host.clone()).collect();
        let all = members.list().iter().map(|member| member.id.host.clone());
        let others = all.filter(|host| !voters.contains(host)).collect();
        (voters, others)
    }

    fn voters(&self) -> Vec<String> {
        self.members().0.into_iter().collect()
    }

    fn commit_one(&mut self) -> bool {
        let leader = self.running.values_mut().find(|one| one.is_leading());
        let Some((_, index)) = leader.and_then(|leader| leader.propose(b"command".to_vec())) else {
            return false;
        };
        self.run(Duration::from_millis(300));
        self.leader().is_some_and(|leader| leader.commit() >= index)
    }
}

/// Returns a fleet of five voters, of which three founded the log.
fn five() -> Fleet {
    let mut fleet = Fleet::found();
    for host in ["d", "e"] {
        fleet.start(host, &FOUNDERS, false);
    }
    fleet.run(Duration::from_secs(3));
    fleet
}

#[test]
fn newcomers_that_know_the_founders_become_voters() {
    let mut fleet = five();
    assert_eq!(fleet.voters(), ["a", "b", "c", "d", "e"]);
    assert!(fleet.commit_one());
}

#[test]
fn one_that_is_no_founder_never_founds_though_its_name_comes_first() {
    let mut fleet = Fleet {
        clock: Rc::new(Manual::new()),
        running: BTreeMap::new(),
        kept: BTreeMap::new(),
        next_storage: 0,
    };
    fleet.start("0", &FOUNDERS, false);
    for host in FOUNDERS {
        fleet.start(host, &FOUNDERS, true);
    }
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.voters(), ["0", "a", "b", "c"]);
    let leaders = fleet.running.values().filter(|one| one.is_leading());
    assert_eq!(leaders.count(), 1);
}

#[test]
fn two_lost_disks_are_replaced_one_after_the_other() {
    let mut fleet = five();
    let follower = |fleet: &Fleet| {
        let leader = fleet.leader().unwrap().id().host.clone();
        let mut others = fleet.voters().into_iter().filter(|host| *host != leader);
        (others.next().unwrap(), others.next().unwrap())
    };
    let (first, second) = follower(&fleet);
    let old = fleet.running[&first].id().clone();
    fleet.wipe(&first);
    fleet.wipe(&second);
    fleet.start(&first, &FOUNDERS, false);
    fleet.start(&second, &FOUNDERS, false);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.voters(), ["a", "b", "c", "d", "e"]);
    let leader = fleet.leader().unwrap();
    assert!(leader.log().members().get(&old).is_none());
    // The log bears the loss of two more.
    for host in [&first, &second] {
        fleet.stop(host);
    }
    fleet.run(Duration::from_secs(1));
    assert!(fleet.commit_one());
}

#[test]
fn a_voter_that_is_gone_gives_its_place_to_a_newcomer() {
    let mut fleet = five();
    fleet.stop("e");
    fleet.run(Duration::from_secs(1));
    fleet.start("f", &["b", "c", "e"], false);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.voters(), ["a", "b", "c", "d", "f"]);
}

#[test]
fn a_short_silence_costs_no_voter_its_place() {
    let mut fleet = five();
    fleet.stop("e");
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.voters(), ["a", "b", "c", "d", "e"]);
    fleet.start("e", &FOUNDERS, false);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.commit_one());
}

#[test]
fn a_newcomer_finds_the_leader_through_a_member_that_follows() {
    let mut fleet = five();
    let leader = fleet.leader().unwrap().id().host.clone();
    let follower = fleet
        .voters()
        .into_iter()
        .find(|host| *host != leader)
        .unwrap();
    let other = fleet
        .voters()
        .into_iter()
        .find(|host| *host != leader && *host != follower)
        .unwrap();
    fleet.stop(&other);
    fleet.run(Duration::from_secs(1));
    fleet.start("f", &[&follower], false);
    fleet.run(Duration::from_secs(5));
    assert!(
        fleet.voters().contains(&"f".to_owned()),
        "{:?}",
        fleet.members()
    );
}

#[test]
fn one_that_was_replaced_while_away_learns_of_it() {
    let mut fleet = five();
    fleet.stop("e");
    fleet.run(Duration::from_secs(1));
    fleet.start("f", &FOUNDERS, false);
    fleet.run(Duration::from_secs(4));
    assert!(!fleet.voters().contains(&"e".to_owned()));
    fleet.start("e", &FOUNDERS, false);
    fleet.run(Duration::from_secs(3));
    assert!(fleet.running["e"].is_removed());
    assert!(
        fleet
            .running
            .iter()
            .all(|(host, one)| host == "e" || !one.is_removed())
    );
    // With an empty disk it waits as a learner for the next place.
    fleet.wipe("e");
    fleet.start("e", &FOUNDERS, false);
    fleet.run(Duration::from_secs(2));
    let (voters, others) = fleet.members();
    assert_eq!(voters.len(), 5);
    assert_eq!(others, BTreeSet::from(["e".to_owned()]));
}

#[test]
fn a_member_that_is_behind_calls_nobody_removed() {
    let mut fleet = five();
    let leader = fleet.leader().unwrap().id().host.clone();
    let gone = fleet
        .voters()
        .into_iter()
        .find(|host| *host != leader)
        .unwrap();
    let behind = fleet
        .voters()
        .into_iter()
        .find(|host| *host != leader && *host != gone)
        .unwrap();
    // One member misses that another was replaced; the first silent one is.
    fleet.stop(&behind);
    fleet.stop(&gone);
    fleet.run(Duration::from_secs(1));
    fleet.start("f", &FOUNDERS, false);
    fleet.run(Duration::from_secs(4));
    fleet.start(&behind, &FOUNDERS, false);
    fleet.run(Duration::from_secs(3));
    assert!(!fleet.voters().contains(&gone));
    assert!(fleet.running.values().all(|one| !one.is_removed()));
    assert!(fleet.commit_one());
}

#[test]
fn members_are_left_to_operators_unless_a_number_of_voters_is_set() {
    let mut fleet = Fleet::found();
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.voters(), FOUNDERS);
    let leader = fleet.leader().unwrap();
    assert!(leader.due_member_change().is_none());
}

#[test]
fn replicas_that_all_restart_lead_again_soon_after_the_lease() {
    for seed in (0..4_000).step_by(100) {
        let mut fleet = Fleet::found_with(seed);
        fleet.run(Duration::from_secs(3));
        assert!(fleet.commit_one());
        for host in FOUNDERS {
            fleet.stop(host);
        }
        for host in FOUNDERS {
            fleet.start(host, &FOUNDERS, false);
            fleet.run(Duration::from_millis(120));
        }
        // The second one waits out a lease of 500 ms until 620 ms; one poll and one vote follow.
        fleet.run(Duration::from_millis(480));
        assert!(fleet.leader().is_some(), "seed {seed}");
    }
}
