//! Messages of calls and first bytes of connections that are damaged or of any content.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::runtime::spawn;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Digest;
use persimmonbend_core::quota::Account;
use persimmonbend_core::quota::Batch;
use persimmonbend_core::quota::Demand;
use persimmonbend_core::quota::Grant;
use persimmonbend_core::quota::Issuer;
use persimmonbend_core::quota::Reply;
use persimmonbend_core::quota::Seats;
use persimmonbend_core::quota::Timestamp;
use persimmonbend_core::record::Answer;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Table;
use persimmonbend_core::record::Verdict;
use persimmonbend_wire::fleet_capnp;
use persimmonbend_wire::handshake::CLIENT_HELLO_BYTES;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::quota;
use persimmonbend_wire::record;
use persimmonbend_wire::update::Update;

/// How bytes are damaged: a flipped bit, and the number of bytes that are missing at the end.
type Damage = (usize, u8, u8);

fn damage(bytes: &mut Vec<u8>, (at, bit, cut): Damage) {
    let at = at % bytes.len();
    bytes[at] ^= 1 << (bit % 8);
    bytes.truncate(bytes.len() - usize::from(cut % 4) * 3);
}

/// Writes a message, damages it, and calls `read` if its form is still sound.
fn with_damaged<W, R>(how: Damage, write: W, read: R)
where
    W: FnOnce(&mut Builder<capnp::message::HeapAllocator>),
    R: FnOnce(&capnp::message::Reader<capnp::serialize::OwnedSegments>),
{
    let mut message = Builder::new_default();
    write(&mut message);
    let mut bytes = serialize::write_message_to_words(&message);
    damage(&mut bytes, how);
    if let Ok(message) = serialize::read_message(&*bytes, ReaderOptions::new()) {
        read(&message);
    }
}

/// Returns a configuration with the tenant of the tests.
fn config() -> State {
    let tenant = Tenant {
        id: "farm".to_owned(),
        rate: Rate {
            per_second: 20.0,
            burst: 40,
        },
    };
    let mut state = State::default();
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

fn batch(number: u64, tokens: u32) -> Batch {
    let demand = Demand {
        account: Account {
            tenant: "farm".to_owned(),
            service: None,
        },
        waiting: tokens,
        ahead: tokens,
        returned: tokens,
        held: tokens,
    };
    Batch {
        host: "host-1".to_owned(),
        incarnation: number,
        sequence: number,
        echo: Some(Timestamp {
            term: 1,
            since_start: Duration::from_micros(number),
        }),
        complete_for: Some(1),
        demands: vec![demand; 3],
    }
}

fn reply(number: u64, tokens: u32) -> Reply {
    Reply {
        timestamp: Timestamp {
            term: number,
            since_start: Duration::from_micros(number),
        },
        seat: None,
        opens_in: Duration::from_micros(number),
        grants: vec![
            Grant {
                tokens,
                retry_after: Duration::from_micros(number),
            };
            3
        ],
    }
}

fn claim(attempt: u64) -> Claim {
    Claim {
        name: Name {
            tenant: "farm".to_owned(),
            route: "herd/filings".to_owned(),
            key: "k".to_owned(),
        },
        request: Digest::of("body"),
        owner: Owner {
            host: "host-1".to_owned(),
            attempt,
        },
        execution_timeout: Duration::from_millis(attempt),
    }
}

persimmonbend_check::properties! {
    fn damaged_batches_and_replies_never_panic(how: Damage, number: u64, tokens: u32) -> bool {
        let numbers = [number, u64::MAX, 0];
        for (number, tokens) in numbers.into_iter().zip([tokens, u32::MAX, u32::MAX / 2]) {
            let write = |message: &mut Builder<_>| {
                quota::write_batch(&batch(number, tokens), message.init_root());
            };
            with_damaged(how, write, |message| {
                let root = message.get_root::<fleet_capnp::batch::Reader<'_>>();
                let Ok(Ok(batch)) = root.map(quota::read_batch) else {
                    return;
                };
                let now = Instant::now();
                let mut seats = Seats::default();
                for host in ["host-1", "host-2"] {
                    seats.take(host, 8);
                }
                let mut issuer = Issuer::new(1, seats, now);
                let config = config();
                let other = Batch {
                    host: "host-2".to_owned(),
                    ..batch.clone()
                };
                issuer.answer(&other, &config, now);
                issuer.answer(&batch, &config, now);
                issuer.answer(&batch, &config, now + Duration::from_secs(9));
            });
            let write = |message: &mut Builder<_>| {
                quota::write_reply(&reply(number, tokens), message.init_root());
            };
            with_damaged(how, write, |message| {
                let root = message.get_root::<fleet_capnp::grants::Reader<'_>>();
                let _ = root.map(quota::read_reply);
            });
        }
        true
    }

    fn damaged_claims_and_verdicts_never_panic(how: Damage, attempt: u64) -> bool {
        let write = |message: &mut Builder<_>| {
            record::write_claim(&claim(attempt), message.init_root());
        };
        with_damaged(how, write, |message| {
            let root = message.get_root::<fleet_capnp::claim::Reader<'_>>();
            let Ok(Ok(claim)) = root.map(record::read_claim) else {
                return;
            };
            let mut table = Table::default();
            table.claim(&claim, u64::MAX);
            table.claim(&claim, 0);
        });
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![7; 20],
        };
        let write = |message: &mut Builder<_>| {
            let written = record::write_verdict(&Verdict::Done(answer), message.init_root());
            written.expect("a small answer");
        };
        with_damaged(how, write, |message| {
            let root = message.get_root::<fleet_capnp::verdict::Reader<'_>>();
            let _ = root.map(record::read_verdict);
        });
        true
    }

    fn damaged_updates_never_panic(how: Damage, is_snapshot: bool) -> bool {
        let update = if is_snapshot {
            Update::Snapshot(Box::default())
        } else {
            Update::Changes(Vec::new())
        };
        let write = |message: &mut Builder<_>| {
            update.write(7, message.init_root()).expect("a small update");
        };
        with_damaged(how, write, |message| {
            let root = message.get_root::<fleet_capnp::update::Reader<'_>>();
            let _ = root.map(Update::try_from);
        });
        true
    }
}

/// Opens connections that begin with any bytes, or break off within the handshake; the next host is served.
#[compio::test]
async fn a_connection_with_a_malformed_start_ends_alone() {
    let secret = Secret::from("the secret of the tests".to_owned());
    let served = Rc::new(Cell::new(0));
    let counter = Rc::clone(&served);
    let handler = Rc::new(move |_, _| counter.set(counter.get() + 1));
    let address = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(address, secret.clone()).await;
    let listener = listener.expect("a port").dispatch(handler);
    let address = listener.address().expect("an address");
    spawn(listener.serve()).detach();
    let mut open = Vec::new();
    for number in 0..40_u8 {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let length = usize::from(number) * 3;
        let mut bytes = b"pbend/1".to_vec();
        bytes.extend((0..length).map(|at| number.wrapping_mul(31).wrapping_add(at as u8)));
        bytes.truncate(CLIENT_HELLO_BYTES * 2);
        if number % 2 == 0 {
            bytes[0] = number;
        }
        let BufResult(_, _) = stream.write_all(bytes).await;
        if number % 4 < 2 {
            open.push(stream);
        }
    }
    let dialing = link::dial(address, &secret, Purpose::Dispatch);
    let limit = Duration::from_secs(1);
    let dialed = compio::time::timeout(limit, dialing).await;
    assert!(matches!(dialed, Ok(Ok(_))), "{dialed:?}");
    compio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(served.get(), 1);
}
