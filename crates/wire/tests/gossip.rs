//! Encoding of gossip: every message decodes to itself, and invalid bytes never cause a panic.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::board::Board;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::host;
use persimmonbend_core::key::Digest;
use persimmonbend_core::membership::Membership;
use persimmonbend_core::membership::message::Mark;
use persimmonbend_core::membership::message::Message;
use persimmonbend_core::membership::message::Observation;
use persimmonbend_core::membership::message::Record;
use persimmonbend_core::membership::message::Subject;
use persimmonbend_core::membership::message::Summary;
use persimmonbend_core::membership::message::Version;
use persimmonbend_core::upstream;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::gossip;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn host(rng: &mut ChaCha8Rng) -> host::Announcement {
    host::Announcement {
        id: format!("host-{}", rng.random::<u16>()),
        zone: "a".to_owned(),
        peers: SocketAddr::from(([10, 0, 0, rng.random()], rng.random())),
        incarnation: rng.random(),
        sequence: rng.random(),
        stopping: rng.random(),
    }
}

fn upstream(rng: &mut ChaCha8Rng) -> upstream::Announcement {
    let stages = [Stage::Starting, Stage::Ready, Stage::Draining, Stage::Left];
    upstream::Announcement {
        id: format!("upstream-{}", rng.random::<u16>()),
        service: "herd".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], rng.random_range(1..u16::MAX))),
        zone: "b".to_owned(),
        slots: rng.random_range(1..100),
        incarnation: rng.random(),
        sequence: rng.random(),
        stage: stages[rng.random_range(0..stages.len())],
    }
}

fn marks(rng: &mut ChaCha8Rng) -> Vec<Mark> {
    let mark = |rng: &mut ChaCha8Rng| Mark {
        key: rng.random(),
        version: Version {
            incarnation: rng.random(),
            sequence: rng.random(),
            lapsed: rng.random(),
        },
    };
    (0..rng.random_range(0..5)).map(|_| mark(rng)).collect()
}

fn message(rng: &mut ChaCha8Rng) -> Message {
    let mut message = Message::new(host(rng), rng.random());
    message.summary = rng.random::<bool>().then(|| Summary {
        view: rng.random(),
        withdrawals: rng.random(),
    });
    message.buckets = (0..rng.random_range(0..256)).collect();
    message.compared = (0..rng.random_range(0..8)).collect();
    message.requested = (0..rng.random_range(0..8)).collect();
    message.marks = marks(rng);
    message.renewals = marks(rng);
    message.overdue = marks(rng);
    let hosts = rng.random_range(0..3);
    for _ in 0..hosts {
        let subject = Subject::Host(host(rng));
        let lapsed = rng.random();
        message.records.push(Record { subject, lapsed });
    }
    for _ in 0..rng.random_range(0..3) {
        let subject = Subject::Upstream(upstream(rng));
        let lapsed = rng.random();
        message.records.push(Record { subject, lapsed });
    }
    message.withdrawn = vec![Digest::from(rng.random::<[u8; 32]>())];
    message.withdrawals_complete = rng.random();
    message.observations = vec![Observation {
        key: rng.random(),
        age: Duration::from_millis(rng.random_range(0..10_000)),
    }];
    message
}

properties! {
    fn encoded_messages_decode_to_the_original(seed: u64) -> bool {
        let message = message(&mut ChaCha8Rng::seed_from_u64(seed));
        let bytes = gossip::encode(&message).unwrap();
        gossip::decode(&bytes).unwrap() == message
    }

    fn decoding_random_bytes_never_panics(bytes: Vec<u8>) -> bool {
        let _ = gossip::decode(&bytes);
        true
    }

    fn messages_with_any_numbers_are_answered(seeds: Vec<u64>) -> bool {
        let clock = Rc::new(Manual::new());
        let mut board = Board::new(clock);
        let own = host(&mut ChaCha8Rng::seed_from_u64(7));
        let window = Duration::from_secs(5);
        let mut membership = Membership::new(&mut board, own.clone(), &[], window, 7);
        for seed in seeds {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut received = message(&mut rng);
            if rng.random() {
                received.from = host::Announcement {
                    incarnation: u64::MAX,
                    sequence: u64::MAX - rng.random_range(0..2),
                    ..own.clone()
                };
            }
            let sent = board.now();
            membership.answer(&mut board, &received);
            membership.handle_answer(&mut board, sent, &received);
            let answer = membership.answer(&mut board, &message(&mut rng));
            gossip::encode(&answer).unwrap();
        }
        true
    }

    fn decoding_a_damaged_message_never_panics(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = gossip::encode(&message(&mut rng)).unwrap();
        for _ in 0..4 {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        let _ = gossip::decode(&bytes);
        true
    }
}

#[test]
fn messages_over_the_size_limit_are_refused() {
    assert!(gossip::decode(&vec![0; gossip::MAX_BYTES + 1]).is_err());
}
