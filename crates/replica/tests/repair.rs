//! Changes of members that a leader makes itself: joining replicas, lost disks, silent voters.

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
const BOOTSTRAP_HOSTS: [&str; 3] = ["a", "b", "c"];

/// Contents of a replica's disk, which outlive its process.
type SharedContents = Rc<RefCell<Contents>>;

#[derive(Debug)]
struct Disk(SharedContents);

impl Storage for Disk {
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.0.borrow_mut().records.extend_from_slice(records);
        Ok(())
    }

    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()> {
        let mut contents = self.0.borrow_mut();
        contents.snapshot = snapshot.clone();
        contents.records = records.to_vec();
        Ok(())
    }
}

/// Replicas on one clock, with a network that loses only messages to stopped replicas.
struct Cluster {
    clock: Rc<Manual>,
    running: BTreeMap<String, Replica>,
    disks: BTreeMap<String, SharedContents>,
    next_storage: u64,
}

impl Cluster {
    fn bootstrap() -> Self {
        Self::bootstrap_with(0)
    }

    /// Starts the hosts that bootstrap the log; their random numbers follow from `seed`.
    fn bootstrap_with(seed: u64) -> Self {
        let mut cluster = Self {
            clock: Rc::new(Manual::new()),
            running: BTreeMap::new(),
            disks: BTreeMap::new(),
            next_storage: seed,
        };
        for host in BOOTSTRAP_HOSTS {
            cluster.start(host, &BOOTSTRAP_HOSTS, true);
        }
        cluster
    }

    /// Starts a replica on the disk of its host, or on a new one if the host has none.
    fn start(&mut self, host: &str, seeds: &[&str], may_bootstrap: bool) {
        self.next_storage += 1;
        let storage = self.next_storage;
        let shared = self.disks.entry(host.to_owned()).or_insert_with(|| {
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
            may_bootstrap,
            voters: Some(5),
            limits: Limits::default(),
            seed: storage,
        };
        let contents = shared.borrow().clone();
        let disk = Box::new(Disk(Rc::clone(shared)));
        let clock: Rc<Manual> = Rc::clone(&self.clock);
        let replica = Replica::new(settings, contents, disk, clock).expect("the disk is undamaged");
        self.running.insert(host.to_owned(), replica);
    }

    fn stop(&mut self, host: &str) {
        self.running.remove(host);
    }

    fn wipe(&mut self, host: &str) {
        self.running.remove(host);
        self.disks.remove(host);
    }

    /// Advances the clock in steps; a leader proposes due changes of members in each, as the
    /// program does.
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
                messages.extend(replica.flush().expect("the disk is undamaged").messages);
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

    /// Returns the hosts of the voters and of the learners in the members that the leader committed.
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

/// Returns a cluster of five voters, of which three bootstrapped the log.
fn five_voters() -> Cluster {
    let mut cluster = Cluster::bootstrap();
    for host in ["d", "e"] {
        cluster.start(host, &BOOTSTRAP_HOSTS, false);
    }
    cluster.run(Duration::from_secs(3));
    cluster
}

#[test]
fn joining_replicas_become_voters() {
    let mut cluster = five_voters();
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "e"]);
    assert!(cluster.commit_one());
}

#[test]
fn a_replica_that_may_not_bootstrap_never_does_even_if_its_name_sorts_first() {
    let mut cluster = Cluster {
        clock: Rc::new(Manual::new()),
        running: BTreeMap::new(),
        disks: BTreeMap::new(),
        next_storage: 0,
    };
    cluster.start("0", &BOOTSTRAP_HOSTS, false);
    for host in BOOTSTRAP_HOSTS {
        cluster.start(host, &BOOTSTRAP_HOSTS, true);
    }
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.voters(), ["0", "a", "b", "c"]);
    let leaders = cluster.running.values().filter(|one| one.is_leading());
    assert_eq!(leaders.count(), 1);
}

#[test]
fn two_lost_disks_are_replaced_one_after_the_other() {
    let mut cluster = five_voters();
    let follower = |cluster: &Cluster| {
        let leader = cluster.leader().unwrap().id().host.clone();
        let mut others = cluster.voters().into_iter().filter(|host| *host != leader);
        (others.next().unwrap(), others.next().unwrap())
    };
    let (first, second) = follower(&cluster);
    let old = cluster.running[&first].id().clone();
    cluster.wipe(&first);
    cluster.wipe(&second);
    cluster.start(&first, &BOOTSTRAP_HOSTS, false);
    cluster.start(&second, &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "e"]);
    let leader = cluster.leader().unwrap();
    assert!(leader.log().members().get(&old).is_none());
    // The log survives the loss of two more voters.
    for host in [&first, &second] {
        cluster.stop(host);
    }
    cluster.run(Duration::from_secs(1));
    assert!(cluster.commit_one());
}

#[test]
fn a_silent_voter_is_replaced_by_a_joining_replica() {
    let mut cluster = five_voters();
    cluster.stop("e");
    cluster.run(Duration::from_secs(1));
    cluster.start("f", &["b", "c", "e"], false);
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "f"]);
}

#[test]
fn a_silent_voter_stays_while_no_learner_can_replace_it() {
    let mut cluster = five_voters();
    cluster.stop("e");
    cluster.run(Duration::from_secs(8));
    assert_eq!(cluster.voters(), ["a", "b", "c", "d", "e"]);
    cluster.start("e", &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(2));
    assert!(cluster.commit_one());
}

#[test]
fn a_joining_replica_finds_the_leader_through_a_follower() {
    let mut cluster = five_voters();
    let leader = cluster.leader().unwrap().id().host.clone();
    let follower = cluster
        .voters()
        .into_iter()
        .find(|host| *host != leader)
        .unwrap();
    let other = cluster
        .voters()
        .into_iter()
        .find(|host| *host != leader && *host != follower)
        .unwrap();
    cluster.stop(&other);
    cluster.run(Duration::from_secs(1));
    cluster.start("f", &[&follower], false);
    cluster.run(Duration::from_secs(5));
    assert!(
        cluster.voters().contains(&"f".to_owned()),
        "{:?}",
        cluster.members()
    );
}

#[test]
fn a_replaced_voter_learns_of_its_removal_when_it_returns() {
    let mut cluster = five_voters();
    cluster.stop("e");
    cluster.run(Duration::from_secs(1));
    cluster.start("f", &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(4));
    assert!(!cluster.voters().contains(&"e".to_owned()));
    cluster.start("e", &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(3));
    assert!(cluster.running["e"].is_removed());
    assert!(
        cluster
            .running
            .iter()
            .all(|(host, one)| host == "e" || !one.is_removed())
    );
    // With an empty disk the host joins again, as a learner until a voter is missing.
    cluster.wipe("e");
    cluster.start("e", &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(2));
    let (voters, learners) = cluster.members();
    assert_eq!(voters.len(), 5);
    assert_eq!(learners, BTreeSet::from(["e".to_owned()]));
}

#[test]
fn a_member_that_is_behind_reports_no_member_as_removed() {
    let mut cluster = five_voters();
    let leader = cluster.leader().unwrap().id().host.clone();
    let gone = cluster
        .voters()
        .into_iter()
        .find(|host| *host != leader)
        .unwrap();
    let behind = cluster
        .voters()
        .into_iter()
        .find(|host| *host != leader && *host != gone)
        .unwrap();
    // The member `behind` is stopped while another one is replaced: the first silent voter found.
    cluster.stop(&behind);
    cluster.stop(&gone);
    cluster.run(Duration::from_secs(1));
    cluster.start("f", &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(4));
    cluster.start(&behind, &BOOTSTRAP_HOSTS, false);
    cluster.run(Duration::from_secs(3));
    assert!(!cluster.voters().contains(&gone));
    assert!(cluster.running.values().all(|one| !one.is_removed()));
    assert!(cluster.commit_one());
}

#[test]
fn no_member_change_is_due_while_no_replica_joins() {
    let mut cluster = Cluster::bootstrap();
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.voters(), BOOTSTRAP_HOSTS);
    let leader = cluster.leader().unwrap();
    assert!(leader.due_member_change().is_none());
}

#[test]
fn a_leader_is_elected_soon_after_the_lease_when_all_replicas_restart() {
    for seed in (0..4_000).step_by(100) {
        let mut cluster = Cluster::bootstrap_with(seed);
        cluster.run(Duration::from_secs(3));
        assert!(cluster.commit_one());
        for host in BOOTSTRAP_HOSTS {
            cluster.stop(host);
        }
        for host in BOOTSTRAP_HOSTS {
            cluster.start(host, &BOOTSTRAP_HOSTS, false);
            cluster.run(Duration::from_millis(120));
        }
        // The second replica grants no vote for a lease of 500 ms, until 620 ms; one pre-vote and one
        // vote follow.
        cluster.run(Duration::from_millis(480));
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}
