//! Answers to the first frame of a host while the replicas have no leader.
//!
//! An answer that comes too early makes hosts send hello after hello; one that comes too late delays
//! them when a leader is elected.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use pb_control::settings::Replica;
use pb_control::settings::Settings;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::roster::admission::Bounds;
use persimmonbend_replica::settings::Limits;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link;

const HOSTS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Shortest time for which the answer is held back while no leader is known.
const MIN_WAIT: Duration = Duration::from_millis(200);

/// Time after which hosts stop waiting for an answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time from the first answer of a new leader to the answer that a waiting host gets.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(100);

fn sockets() -> Vec<TcpListener> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a free port");
    HOSTS.iter().map(bind).collect()
}

fn folder(host: &str, test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pb-greeting-{}-{test}", std::process::id()));
    folder.join(host)
}

fn start(at: usize, addresses: &[SocketAddr], socket: TcpListener, test: &str, stop: &Stop) {
    let replicas = HOSTS.iter().zip(addresses).map(|(host, address)| Replica {
        host: (*host).to_owned(),
        address: *address,
    });
    let settings = Settings {
        host: HOSTS[at].to_owned(),
        zone: None,
        listen: addresses[at],
        data: folder(HOSTS[at], test),
        secret: Secret::open(),
        seats: 1,
        replicas: replicas.collect(),
        may_bootstrap: true,
        voters: None,
        policy: Policy {
            retries: Retries {
                ratio: 0.1,
                burst: 1.0,
            },
            max_silence: Duration::from_secs(6),
            contact: Duration::from_secs(3),
            initial_balance: Balance::Share(1.0),
            is_first_dispatcher: true,
            floor: 0.7,
            hedge_share: None,
        },
        announcements: Bounds::default(),
        zones: BTreeSet::new(),
        limits: Limits::default(),
    };
    let stop = stop.clone();
    spawn(async move {
        pb_control::run_on(socket, settings, stop, |_| ())
            .await
            .expect("the replica runs until it is stopped");
    })
    .detach();
}

async fn send_hello(host: &str, address: SocketAddr) -> (Frame, Duration) {
    let stream = link::dial(address, &Secret::open(), Purpose::Dispatch)
        .await
        .expect("the replica accepts connections");
    let (sender, writer, mut receiver) = dispatch::split(stream);
    let _writing = spawn(writer.run());
    let started = Instant::now();
    sender.send(Frame::Hello {
        host: host.to_owned(),
        zone: "east".to_owned(),
        version: 0,
        relay: None,
        deputy: false,
        build: dispatch::OWN_LEVEL,
        is_published: false,
    });
    let frames = receiver.next().await.expect("the replica answers");
    (
        frames.into_iter().next().expect("at least one frame"),
        started.elapsed(),
    )
}

#[compio::test]
async fn a_hello_is_answered_late_while_no_leader_is_known() {
    let mut sockets = sockets();
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("a bound socket"))
        .collect();
    let stop = Stop::new();
    start(0, &addresses, sockets.remove(0), "alone", &stop);
    compio::time::sleep(Duration::from_millis(50)).await;
    let (frame, waited) = send_hello("proxy-1", addresses[0]).await;
    assert!(
        matches!(frame, Frame::NotLeader { leader: None, .. }),
        "{frame:?}"
    );
    assert!(waited > MIN_WAIT, "answered after {waited:?}");
    assert!(waited < HELLO_TIMEOUT, "answered after {waited:?}");
    stop.ask();
}

#[compio::test]
async fn a_waiting_host_is_told_of_a_new_leader_at_once() {
    let sockets = sockets();
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("a bound socket"))
        .collect();
    let stop = Stop::new();
    for (at, socket) in sockets.into_iter().enumerate() {
        start(at, &addresses, socket, "all", &stop);
    }
    let leader_since = Rc::new(std::cell::Cell::new(None));
    let watcher = {
        let leader_since = Rc::clone(&leader_since);
        let addresses = addresses.clone();
        spawn(async move {
            let deadline = Instant::now() + Duration::from_secs(10);
            while Instant::now() < deadline {
                for address in &addresses {
                    if let (Frame::Welcome { .. }, _) = send_hello("watcher", *address).await {
                        leader_since.set(Some(Instant::now()));
                        return;
                    }
                }
            }
        })
    };
    // Calls one replica only, as a host that knows no other.
    let notified_at = loop {
        match send_hello("proxy-1", addresses[0]).await.0 {
            Frame::Welcome { .. }
            | Frame::NotLeader {
                leader: Some(_), ..
            } => break Instant::now(),
            _ => {}
        }
    };
    watcher.await.expect("the watcher does not panic");
    let leader_since = leader_since.get().expect("a leader within ten seconds");
    assert!(
        notified_at < leader_since + MAX_NOTICE_DELAY,
        "told {:?} after",
        notified_at - leader_since
    );
    stop.ask();
}
