//! Messages of any content, and what is left of damaged ones: a replica drops or answers them and goes on.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::clock::Manual;
use persimmonbend_replica::entry::Entry;
use persimmonbend_replica::entry::Payload;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::members::Member;
use persimmonbend_replica::members::Members;
use persimmonbend_replica::members::Role;
use persimmonbend_replica::message::Append;
use persimmonbend_replica::message::Body;
use persimmonbend_replica::message::Install;
use persimmonbend_replica::message::Message;
use persimmonbend_replica::message::Position;
use persimmonbend_replica::message::Progress;
use persimmonbend_replica::replica::Replica;
use persimmonbend_replica::settings::Limits;
use persimmonbend_replica::settings::Settings;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;

/// Numbers at which arithmetic goes wrong.
const NUMBERS: [u64; 8] = [0, 1, 2, 3, 1 << 32, u64::MAX / 2, u64::MAX - 1, u64::MAX];

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

fn members() -> Members {
    let member = |host: &str| Member {
        id: id(host),
        address: host.to_owned(),
        role: Role::Voter,
    };
    Members::new(["a", "b", "c"].map(member).into())
}

/// Starts the replica `a` of the voters `a`, `b` and `c` without entries.
fn start(clock: &Rc<Manual>) -> Replica {
    let contents = Contents {
        id: id("a"),
        snapshot: Snapshot {
            members: members(),
            ..Snapshot::default()
        },
        records: Vec::new(),
    };
    let settings = Settings {
        address: "a".to_owned(),
        peers: Vec::new(),
        may_bootstrap: false,
        voters: None,
        limits: Limits::default(),
        seed: 7,
    };
    let disk = Disk(Rc::new(RefCell::new(contents.clone())));
    let clock: Rc<Manual> = Rc::clone(clock);
    Replica::new(settings, contents, Box::new(disk), clock).expect("the disk is undamaged")
}

/// Returns a message of the voter `b` with numbers that the bytes of `seed` choose.
fn message(seed: [u8; 8]) -> Message {
    let number = |place: usize| NUMBERS[usize::from(seed[place]) % NUMBERS.len()];
    let position = Position {
        term: number(2),
        index: number(3),
    };
    let entry = Entry {
        term: number(4),
        index: number(5),
        payload: Payload::Command(Vec::new()),
    };
    let entries = vec![entry; usize::from(seed[6] % 3)];
    let body = match seed[0] % 10 {
        0 => Body::PreVote(position),
        1 => Body::Vote(position),
        2 => Body::TransferVote(position),
        3 | 4 => Body::Append(Append {
            round: number(7),
            previous: position,
            entries,
            commit: number(6),
        }),
        5 => Body::Install(Install {
            round: number(7),
            last: position,
            members: members(),
            total: number(4),
            offset: number(5),
            chunk: vec![7; usize::from(seed[6])],
        }),
        6 => Body::PreVoteReply {
            term: number(2),
            granted: true,
        },
        7 => Body::VoteReply { granted: true },
        8 => Body::Reply {
            round: number(7),
            progress: match seed[6] % 4 {
                0 => Progress::Matched(number(2)),
                1 => Progress::Mismatched(number(2)),
                2 => Progress::NeedsSnapshot,
                _ => Progress::Received {
                    index: number(2),
                    bytes: number(3),
                },
            },
        },
        _ => Body::TransferLeadership,
    };
    Message {
        from: id("b"),
        to: "a".to_owned(),
        storage: None,
        term: number(1),
        body,
    }
}

fn array(seed: (u32, u32)) -> [u8; 8] {
    (u64::from(seed.0) << 32 | u64::from(seed.1)).to_le_bytes()
}

/// Delivers messages to a replica over some time, in which it also campaigns.
fn deliver(messages: impl Iterator<Item = Message>) -> Replica {
    let clock = Rc::new(Manual::new());
    let mut replica = start(&clock);
    for message in messages {
        replica.receive(message);
        for _ in 0..4 {
            clock.advance(Duration::from_millis(200));
            replica.tick();
            let _ = replica.flush();
        }
    }
    replica
}

persimmonbend_check::properties! {
    fn messages_with_any_numbers_never_panic(seeds: Vec<(u32, u32)>) -> bool {
        deliver(seeds.into_iter().map(|seed| message(array(seed))));
        true
    }

    fn damaged_batches_never_panic(seeds: Vec<(u32, u32)>, at: usize, bit: u8, cut: usize) -> bool {
        let batch: Vec<Message> = seeds.into_iter().map(|seed| message(array(seed))).collect();
        let mut bytes = postcard::to_stdvec(&batch).expect("a batch");
        let place = at % bytes.len();
        bytes[place] ^= 1 << (bit % 8);
        bytes.truncate(bytes.len() - cut % bytes.len());
        if let Ok(read) = postcard::from_bytes::<Vec<Message>>(&bytes) {
            deliver(read.into_iter());
        }
        let _ = postcard::from_bytes::<Vec<Message>>(&bytes[1..]);
        true
    }
}

/// A term that cannot be counted on was synced, and the replica ended at each election after it.
#[test]
fn a_term_beyond_counting_is_dropped_and_the_next_message_is_answered() {
    let clock = Rc::new(Manual::new());
    let mut replica = start(&clock);
    let append = |term| Message {
        from: id("b"),
        to: "a".to_owned(),
        storage: None,
        term,
        body: Body::Append(Append {
            round: 1,
            previous: Position { term: 0, index: 0 },
            entries: Vec::new(),
            commit: 0,
        }),
    };
    replica.receive(append(u64::MAX));
    assert_eq!(replica.term(), 0);
    replica.receive(append(2));
    let sent = replica.flush().expect("the disk is undamaged").messages;
    let matched = |one: &Message| {
        let progress = Progress::Matched(0);
        one.body == Body::Reply { round: 1, progress }
    };
    assert!(sent.iter().any(matched), "{sent:?}");
}
