//! Tests of slot requests between hosts and stewards: normal operation, and stewards that are
//! unreachable, silent, late, duplicated, or lost while a slot request is queued.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use futures_util::future::join_all;
use pb_proxy::node::Node;
use pb_proxy::settings::Routing;
use pb_proxy::settings::Settings;
use pb_proxy::slots;
use pb_proxy::slots::Criteria;
use pb_proxy::slots::Report;
use pb_proxy::slots::Reservation;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::host;
use persimmonbend_core::rendezvous;
use persimmonbend_core::steward::RESERVATION_TIMEOUT;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::slots::Frame;
use persimmonbend_wire::slots::channel;

const SERVICE: &str = "herd";
const SLOTS: u32 = 3;

/// Limit of each wait for a condition, and the deadline of each slot request.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Steward timeout of tests in which no answer may count as late.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// Steward timeout of tests with late answers.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn secret() -> Secret {
    Secret::from("the secret of the tests".to_owned())
}

fn node(host: &str, steward_timeout: Duration) -> Rc<Node> {
    let settings = Settings {
        host: host.to_owned(),
        zone: "a".to_owned(),
        callers: loopback(),
        platform: loopback(),
        peers: loopback(),
        control: Vec::new(),
        seeds: Vec::new(),
        advertise_peers: None,
        isolation: LONG_TIMEOUT,
        secret: secret(),
        body_max_bytes: 1024,
        answer_hold_bytes: 1024,
        stop_notice: Duration::ZERO,
        connections_max: 7,
        routing: Routing::Steward,
        steward_timeout,
        metrics: None,
    };
    let node = Rc::new(Node::new(settings, Rc::new(System), Stop::new()));
    spawn(slots::run(Rc::clone(&node))).detach();
    node
}

fn announce_upstreams(node: &Node, count: usize) {
    for number in 0..count {
        node.board_mut().announce(Announcement {
            id: format!("u{number}"),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "a".to_owned(),
            slots: SLOTS,
            incarnation: 1,
            sequence: 1,
            stage: Stage::Ready,
        });
    }
}

fn announce_host(node: &Node, id: &str, peers: SocketAddr) {
    node.board_mut().announce_host(host::Announcement {
        id: id.to_owned(),
        zone: "a".to_owned(),
        peers,
        incarnation: 1,
        sequence: 1,
        stopping: false,
    });
}

async fn listen(node: &Rc<Node>) -> SocketAddr {
    let listener = Listener::bind(loopback(), secret()).await.unwrap();
    let address = listener.address().unwrap();
    let handler = slots::handler(Rc::clone(node));
    spawn(listener.slots(handler).serve()).detach();
    address
}

/// Starts `count` hosts that have each other and `upstreams` upstreams on their boards.
async fn start_hosts(count: usize, upstreams: usize) -> Vec<Rc<Node>> {
    let mut nodes = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..count {
        let node = node(&format!("host-{number}"), LONG_TIMEOUT);
        addresses.push(listen(&node).await);
        announce_upstreams(&node, upstreams);
        nodes.push(node);
    }
    for node in &nodes {
        for (number, address) in addresses.iter().enumerate() {
            announce_host(node, &format!("host-{number}"), *address);
        }
    }
    nodes
}

/// Returns a host name that ranks before `other` for the service, so that it is the steward.
fn name_ranked_before(other: &str) -> String {
    let names = (0..).map(|number| format!("host-{number}"));
    let mut first =
        names.filter(|name| rendezvous::first(SERVICE, [name.as_str(), other]) != Some(other));
    first.next().unwrap()
}

/// Starts a host whose steward is `fake`, which gets each connection of the host.
async fn start_with_fake_steward<F>(steward_timeout: Duration, fake: F) -> Rc<Node>
where
    F: Fn(TcpStream) -> JoinHandle<()> + 'static,
{
    let listener = Listener::bind(loopback(), secret()).await.unwrap();
    let address = listener.address().unwrap();
    let handler = Rc::new(move |stream, _| fake(stream).detach());
    spawn(listener.slots(handler).serve()).detach();
    let node = node("host", steward_timeout);
    announce_upstreams(&node, 1);
    announce_host(&node, &name_ranked_before("host"), address);
    node
}

async fn reserve(node: &Rc<Node>) -> Result<Reservation, Kind> {
    let criteria = Criteria {
        service: SERVICE,
        tenant: Some("farm"),
        deadline: node.now() + TEST_TIMEOUT,
        avoid: &[],
        idempotent: true,
    };
    node.slots().reserve(node, &criteria).await
}

/// Reserves and releases on each host until its steward has granted a slot, so that the link to the
/// steward is open.
async fn wait_for_grants(nodes: &[Rc<Node>]) {
    for node in nodes {
        wait_until(|| async {
            drop(reserve(node).await);
            node.slots().counts().granted.get() > 0
        })
        .await;
    }
}

async fn wait_until<F, T>(mut holds: F)
where
    F: FnMut() -> T,
    T: Future<Output = bool>,
{
    let polling = async {
        while !holds().await {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    compio::time::timeout(TEST_TIMEOUT, polling).await.unwrap();
}

fn run<F: Future<Output = ()>>(test: F) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

#[test]
fn hosts_never_overbook_and_every_slot_request_is_granted() {
    run(async {
        let nodes = start_hosts(3, 1).await;
        wait_for_grants(&nodes).await;
        let running = Cell::new(0_u32);
        let max_running = Cell::new(0_u32);
        let work = |node: Rc<Node>| {
            let (running, max_running) = (&running, &max_running);
            async move {
                let mut reservation = reserve(&node).await.unwrap();
                running.set(running.get() + 1);
                max_running.set(max_running.get().max(running.get()));
                compio::time::sleep(Duration::from_millis(2)).await;
                running.set(running.get() - 1);
                reservation.report(Report {
                    outcome: Outcome::Answered,
                    reused: false,
                });
            }
        };
        let requests = (0..60).map(|number| work(Rc::clone(&nodes[number % 3])));
        join_all(requests).await;
        assert!(
            max_running.get() <= SLOTS,
            "{} ran at a time",
            max_running.get()
        );
        let queued = nodes.iter().map(|node| node.slots().counts().queued.get());
        assert!(queued.sum::<u64>() > 0);
    });
}

#[test]
fn a_cancelled_slot_request_leaves_no_slot_in_use() {
    run(async {
        let nodes = start_hosts(2, 1).await;
        wait_for_grants(&nodes).await;
        let held = join_all((0..SLOTS).map(|_| reserve(&nodes[0]))).await;
        for node in &nodes {
            let waiting = reserve(node);
            let given_up = compio::time::timeout(Duration::from_millis(30), waiting).await;
            assert!(given_up.is_err(), "a slot was granted beyond the last");
        }
        drop(held);
        let again = join_all((0..SLOTS).map(|_| reserve(&nodes[1]))).await;
        assert!(again.iter().all(Result::is_ok));
    });
}

#[test]
fn a_host_chooses_locally_when_the_steward_is_unreachable() {
    run(async {
        let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        drop(socket);
        let node = node("host", LONG_TIMEOUT);
        announce_upstreams(&node, 1);
        announce_host(&node, &name_ranked_before("host"), address);
        for _ in 0..5 {
            assert!(reserve(&node).await.is_ok());
        }
        assert_eq!(node.slots().counts().chosen.get(), 5);
        assert_eq!(node.slots().counts().late.get(), 0);
    });
}

#[test]
fn a_host_chooses_locally_when_the_steward_never_answers() {
    run(async {
        let fake = |stream| {
            let (sender, writer, mut receiver) = channel::split(stream);
            spawn(async move {
                let _open = (sender, writer);
                while receiver.next().await.is_ok() {}
            })
        };
        let node = start_with_fake_steward(SHORT_TIMEOUT, fake).await;
        let counts = node.slots().counts();
        wait_until(|| async {
            assert!(reserve(&node).await.is_ok());
            counts.late.get() > 0
        })
        .await;
        assert!(reserve(&node).await.is_ok());
        assert_eq!(counts.granted.get(), 0);
    });
}

#[test]
fn a_late_grant_is_released() {
    run(async {
        let released = Rc::new(RefCell::new(Vec::new()));
        let seen = Rc::clone(&released);
        let fake = move |stream| {
            let (sender, writer, mut receiver) = channel::split(stream);
            spawn(writer.run()).detach();
            let seen = Rc::clone(&seen);
            spawn(async move {
                while let Ok(frames) = receiver.next().await {
                    for frame in frames {
                        match frame {
                            Frame::Reserve { number, .. } => {
                                compio::time::sleep(SHORT_TIMEOUT * 3).await;
                                let upstream = "u0".to_owned();
                                sender.send(Frame::Granted { number, upstream });
                            }
                            Frame::Release {
                                number, outcome, ..
                            } => {
                                seen.borrow_mut().push((number, outcome));
                            }
                            _ => {}
                        }
                    }
                }
            })
        };
        let node = start_with_fake_steward(SHORT_TIMEOUT, fake).await;
        wait_until(|| async {
            drop(reserve(&node).await);
            node.slots().counts().late.get() > 0
        })
        .await;
        wait_until(|| async {
            let released = released.borrow();
            released
                .iter()
                .any(|(_, outcome)| *outcome == Outcome::Cancelled)
        })
        .await;
        assert_eq!(node.slots().counts().granted.get(), 0);
    });
}

#[test]
fn a_queued_slot_request_falls_back_to_a_local_choice_when_the_steward_disconnects() {
    run(async {
        let fake = |stream| {
            let (sender, writer, mut receiver) = channel::split(stream);
            spawn(writer.run()).detach();
            spawn(async move {
                while let Ok(frames) = receiver.next().await {
                    for frame in frames {
                        if let Frame::Reserve { number, .. } = frame {
                            sender.send(Frame::Queued { number });
                            compio::time::sleep(SHORT_TIMEOUT).await;
                            sender.close();
                            return;
                        }
                    }
                }
            })
        };
        let node = start_with_fake_steward(LONG_TIMEOUT, fake).await;
        let counts = node.slots().counts();
        wait_until(|| async {
            assert!(reserve(&node).await.is_ok());
            counts.queued.get() > 0
        })
        .await;
        assert_eq!(counts.granted.get(), 0);
    });
}

#[test]
fn locally_chosen_slots_are_reported_to_the_steward() {
    run(async {
        let holds = Rc::new(Cell::new(0));
        let seen = Rc::clone(&holds);
        let fake = move |stream| {
            let (sender, writer, mut receiver) = channel::split(stream);
            spawn(writer.run()).detach();
            let seen = Rc::clone(&seen);
            spawn(async move {
                let _open = sender;
                while let Ok(frames) = receiver.next().await {
                    let held = |frame: &&Frame| matches!(frame, Frame::Hold { .. });
                    seen.set(seen.get() + frames.iter().filter(held).count());
                }
            })
        };
        let node = start_with_fake_steward(SHORT_TIMEOUT, fake).await;
        let first = reserve(&node).await.unwrap();
        let second = reserve(&node).await.unwrap();
        wait_until(|| async { holds.get() == 2 }).await;
        drop((first, second));
    });
}

/// The steward forgot what a host ran that was silent for three seconds, and the host never learned of it.
#[test]
fn a_host_that_was_silent_with_a_slot_in_use_has_to_link_anew() {
    run(async {
        let node = node("host", LONG_TIMEOUT);
        announce_upstreams(&node, 1);
        let steward = listen(&node).await;
        let stream = link::dial(steward, &secret(), Purpose::Slots).await;
        let stream = stream.unwrap();
        let (sender, writer, mut receiver) = channel::split(stream);
        spawn(writer.run()).detach();
        sender.send(Frame::Hello {
            host: "silent".to_owned(),
            zone: "a".to_owned(),
        });
        sender.send(Frame::Hold {
            number: 1,
            service: SERVICE.to_owned(),
            tenant: None,
            upstream: "u0".to_owned(),
        });
        let ended = async { while receiver.next().await.is_ok() {} };
        let limit = RESERVATION_TIMEOUT + Duration::from_secs(1);
        compio::time::timeout(limit, ended).await.unwrap();
    });
}

#[test]
fn two_concurrent_stewards_overbook_at_worst() {
    run(async {
        let nodes = start_hosts(2, 1).await;
        let live = ["host-0", "host-1"];
        let first = rendezvous::first(SERVICE, live).unwrap();
        let other = usize::from(first == "host-0");
        nodes[other].board_mut().suspect(first, true);
        let steward = &nodes[1 - other];
        let own = join_all((0..SLOTS).map(|_| reserve(steward))).await;
        let others = join_all((0..SLOTS).map(|_| reserve(&nodes[other]))).await;
        assert!(own.iter().chain(&others).all(Result::is_ok));
        nodes[other].board_mut().suspect(first, false);
        drop(own);
        wait_until(|| async {
            let more = compio::time::timeout(Duration::from_millis(30), reserve(steward)).await;
            more.is_err()
        })
        .await;
        drop(others);
        assert!(reserve(steward).await.is_ok());
    });
}
