//! Elections and commits of one replica; the tests send the messages of its two peers.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::clock::Manual;
use persimmonbend_replica::entry::Entry;
use persimmonbend_replica::entry::Payload;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::id::Index;
use persimmonbend_replica::id::Term;
use persimmonbend_replica::members::Member;
use persimmonbend_replica::members::Members;
use persimmonbend_replica::members::Role;
use persimmonbend_replica::message::Append;
use persimmonbend_replica::message::Body;
use persimmonbend_replica::message::Message;
use persimmonbend_replica::message::Position;
use persimmonbend_replica::message::Progress;
use persimmonbend_replica::replica::Replica;
use persimmonbend_replica::settings::Limits;
use persimmonbend_replica::settings::Settings;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Hard;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;

const STEP: Duration = Duration::from_millis(10);
const LEASE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Disk(Rc<RefCell<Contents>>);

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

fn id(host: &str) -> Id {
    Id {
        host: host.to_owned(),
        storage: 1,
    }
}

/// The replica `a` of the voters `a`, `b` and `c`, with its clock and disk.
struct Harness {
    clock: Rc<Manual>,
    disk: Rc<RefCell<Contents>>,
    replica: Replica,
}

impl Harness {
    /// Starts the replica with a log whose entries have these terms, in the last of these terms.
    fn with_terms(terms: &[Term]) -> Self {
        let member = |host: &&str| Member {
            id: id(host),
            address: (*host).to_owned(),
            role: Role::Voter,
        };
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            members: Members::new(["a", "b", "c"].iter().map(member).collect()),
            data: Vec::new(),
        };
        let entries = (2..).zip(terms).map(|(index, term)| entry(index, *term));
        let term = terms.last().copied().unwrap_or(1);
        let hard = Record::Hard(Hard { term, vote: None });
        let records = std::iter::once(hard).chain(entries.map(Record::Entry));
        let disk = Rc::new(RefCell::new(Contents {
            id: id("a"),
            snapshot,
            records: records.collect(),
        }));
        Self::start(disk, Rc::new(Manual::new()))
    }

    fn start(disk: Rc<RefCell<Contents>>, clock: Rc<Manual>) -> Self {
        let settings = Settings {
            address: "a".to_owned(),
            peers: Vec::new(),
            may_bootstrap: false,
            voters: None,
            limits: Limits {
                lease: LEASE,
                ..Limits::default()
            },
            seed: 7,
        };
        let contents = disk.borrow().clone();
        let storage = Box::new(Disk(Rc::clone(&disk)));
        let shared: Rc<Manual> = Rc::clone(&clock);
        let replica =
            Replica::new(settings, contents, storage, shared).expect("the disk is undamaged");
        Self {
            clock,
            disk,
            replica,
        }
    }

    /// Starts the replica again on the synced contents of its disk.
    fn restart(self) -> Self {
        Self::start(self.disk, self.clock)
    }

    fn receive(&mut self, from: &str, term: Term, body: Body) -> Vec<Body> {
        self.replica.receive(Message {
            from: id(from),
            to: "a".to_owned(),
            storage: Some(1),
            term,
            body,
        });
        self.flush()
    }

    fn flush(&mut self) -> Vec<Body> {
        let output = self.replica.flush().expect("the disk is undamaged");
        output.messages.into_iter().map(|one| one.body).collect()
    }

    fn advance(&mut self, time: Duration) -> Vec<Body> {
        let mut sent = Vec::new();
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.clock.advance(STEP);
            self.replica.tick();
            sent.extend(self.flush());
        }
        sent
    }

    /// Makes the replica win an election with the vote of `b`, and returns its term.
    fn become_leader(&mut self) -> Term {
        self.advance(Duration::from_secs(2));
        let term = self.replica.term() + 1;
        let granted = true;
        self.receive("b", term - 1, Body::PreVoteReply { term, granted });
        self.receive("b", term, Body::VoteReply { granted });
        term
    }
}

fn entry(index: Index, term: Term) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(format!("{term}/{index}").into_bytes()),
    }
}

fn heartbeat(previous: Position) -> Body {
    Body::Append(Append {
        round: 1,
        previous,
        entries: Vec::new(),
        commit: previous.index,
    })
}

const fn at(index: Index, term: Term) -> Position {
    Position { index, term }
}

fn grants(sent: &[Body]) -> bool {
    let granted = |body: &&Body| matches!(body, Body::VoteReply { granted: true });
    sent.iter().any(|body| granted(&body))
}

#[test]
fn a_replica_that_restarts_keeps_the_lease_that_it_granted() {
    let mut harness = Harness::with_terms(&[1]);
    harness.advance(Duration::from_secs(1));
    harness.receive("b", 2, heartbeat(at(2, 1)));
    let mut harness = harness.restart();
    assert!(!grants(&harness.receive("c", 3, Body::Vote(at(2, 1)))));
    let replies = harness.receive("c", 3, Body::PreVote(at(2, 1)));
    assert!(replies.contains(&Body::PreVoteReply {
        term: 4,
        granted: false
    }));
    harness.clock.advance(LEASE);
    assert!(grants(&harness.receive("c", 3, Body::Vote(at(2, 1)))));
}

#[test]
fn a_candidate_whose_log_is_behind_gets_no_vote() {
    let behind = [at(2, 2), at(3, 1), at(9, 1), at(1, 1)];
    for last in behind {
        let mut harness = Harness::with_terms(&[1, 2]);
        harness.clock.advance(LEASE * 2);
        assert!(
            !grants(&harness.receive("b", 5, Body::Vote(last))),
            "{last:?}"
        );
    }
    for last in [at(3, 2), at(4, 2), at(2, 3)] {
        let mut harness = Harness::with_terms(&[1, 2]);
        harness.clock.advance(LEASE * 2);
        assert!(
            grants(&harness.receive("b", 5, Body::Vote(last))),
            "{last:?}"
        );
    }
}

#[test]
fn a_granted_vote_survives_a_restart() {
    let mut harness = Harness::with_terms(&[1]);
    harness.clock.advance(LEASE * 2);
    assert!(grants(&harness.receive("b", 4, Body::Vote(at(2, 1)))));
    let mut harness = harness.restart();
    harness.clock.advance(LEASE * 2);
    assert!(!grants(&harness.receive("c", 4, Body::Vote(at(2, 1)))));
    assert!(grants(&harness.receive("b", 4, Body::Vote(at(2, 1)))));
    assert!(grants(&harness.receive("c", 5, Body::Vote(at(2, 1)))));
}

#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_current_term() {
    let mut harness = Harness::with_terms(&[1, 2]);
    let term = harness.become_leader();
    assert!(term > 2);
    let reply = |index| Body::Reply {
        round: 0,
        progress: Progress::Matched(index),
    };
    // A majority holds the entry of term 2, but a leader of term 3 could still replace it.
    harness.receive("b", term, reply(3));
    assert!(harness.replica.commit() < 3);
    harness.receive("b", term, reply(4));
    assert_eq!(harness.replica.commit(), 4);
}

#[test]
fn a_leader_that_stops_transfers_leadership_to_the_voter_with_the_longest_log() {
    let mut harness = Harness::with_terms(&[1]);
    let term = harness.become_leader();
    let reply = |index| Body::Reply {
        round: 0,
        progress: Progress::Matched(index),
    };
    harness.receive("c", term, reply(3));
    assert!(harness.replica.is_leading());
    assert!(harness.replica.transfer_leadership());
    assert!(!harness.replica.is_leading());
    assert!(harness.flush().contains(&Body::TransferLeadership));
    // The old leader grants the new candidate its vote at once.
    assert!(grants(&harness.receive(
        "c",
        term + 1,
        Body::TransferVote(at(3, term))
    )));
}

#[test]
fn a_transfer_target_campaigns_at_once_and_wins_votes_despite_the_lease() {
    let mut harness = Harness::with_terms(&[1]);
    harness.advance(Duration::from_secs(1));
    harness.receive("b", 2, heartbeat(at(2, 1)));
    let sent = harness.receive("b", 2, Body::TransferLeadership);
    assert!(sent.contains(&Body::TransferVote(at(2, 1))), "{sent:?}");
    assert_eq!(harness.replica.term(), 3);

    let mut other = Harness::with_terms(&[1]);
    other.advance(Duration::from_secs(1));
    other.receive("b", 2, heartbeat(at(2, 1)));
    assert!(!grants(&other.receive("c", 3, Body::Vote(at(2, 1)))));
    // A candidate whose log is behind gets no vote even after a transfer.
    assert!(!grants(&other.receive(
        "c",
        4,
        Body::TransferVote(at(1, 1))
    )));
    assert!(grants(&other.receive("c", 5, Body::TransferVote(at(2, 1)))));
}

#[test]
fn only_the_followed_leader_can_transfer_leadership() {
    let mut harness = Harness::with_terms(&[1]);
    harness.advance(Duration::from_secs(1));
    harness.receive("b", 2, heartbeat(at(2, 1)));
    let sent = harness.receive("c", 2, Body::TransferLeadership);
    assert!(sent.is_empty(), "{sent:?}");
    assert_eq!(harness.replica.term(), 2);
}

/// After the loss of power of all replicas the next leader does not know how much of its log was
/// committed, and tells its followers of less; what they have applied by then may be outdated.
#[test]
fn a_follower_is_current_only_once_its_leader_has_committed_an_entry_of_its_term() {
    let mut harness = Harness::with_terms(&[1, 1]);
    let known_commit = Body::Append(Append {
        round: 1,
        previous: at(3, 1),
        entries: Vec::new(),
        commit: 2,
    });
    harness.receive("b", 2, known_commit);
    assert!(!harness.replica.is_current(LEASE));
    let opening = Body::Append(Append {
        round: 2,
        previous: at(3, 1),
        entries: vec![entry(4, 2)],
        commit: 3,
    });
    harness.receive("b", 2, opening);
    assert!(!harness.replica.is_current(LEASE));
    harness.receive("b", 2, heartbeat(at(4, 2)));
    assert!(harness.replica.is_current(LEASE));
}
