//! Hosts that reconnect to a dispatcher while frames of the earlier connection still arrive.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::publication::Part;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Route;
use persimmonbend_core::publication::Service;
use persimmonbend_core::publication::Terms;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::FIRST_LEVEL;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::OWN_LEVEL;
use persimmonbend_wire::dispatch::Reserve;
use persimmonbend_wire::dispatch::Sender;

const HOST: &str = "host-1";

const OTHER_HOST: &str = "host-2";

const SERVICE: &str = "herd";

const ROUTE: &str = "filings";

fn hosts() -> Hosts {
    let mut dispatcher = Dispatcher::new(Policy {
        retries: Retries {
            ratio: 0.1,
            burst: 20.0,
        },
        max_silence: Duration::MAX,
        contact: Duration::from_secs(3),
        initial_balance: Balance::Share(1.0),
        is_first_dispatcher: true,
        floor: 0.7,
        hedge_share: None,
    });
    dispatcher.publish(Rc::new(Publication::default()), Instant::now());
    Hosts::new(dispatcher)
}

/// Returns a sender on a connection from which nobody reads.
async fn sender() -> Sender {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free address");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    dispatch::split(stream).0
}

#[compio::test]
async fn a_stop_on_an_earlier_connection_does_not_affect_the_later_one() {
    let mut hosts = hosts();
    let (early, late) = (sender().await, sender().await);
    let now = Instant::now();
    hosts.connect(HOST, "a".to_owned(), &early, now);
    hosts.connect(HOST, "a".to_owned(), &late, now);
    assert!(!early.is_open() && late.is_open());

    hosts.handle(HOST, &early, Frame::Stopping, now);
    assert!(!hosts.disconnect(HOST, &early, now));
    assert_eq!(hosts.len(), 1);
    assert!(hosts.is_current(HOST, &late) && late.is_open());

    hosts.handle(HOST, &late, Frame::Stopping, now);
    assert!(hosts.is_empty() && !late.is_open());
}

/// Adds a service with a limit on extra sends, one route, and one upstream with one slot.
fn add_upstream(hosts: &mut Hosts, now: Instant) {
    let route = Route {
        host: "farm.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        priority: 1,
        parts: vec![Part {
            service: SERVICE.to_owned(),
            weight: 1.0,
        }],
        attempts: 2,
        open: true,
    };
    let terms = Terms {
        hedge_share: Some(0.05),
        ..Terms::default()
    };
    let publication = Publication {
        version: Some(1),
        routes: BTreeMap::from([(ROUTE.to_owned(), route)]),
        services: BTreeMap::from([(SERVICE.to_owned(), Service::default())]),
        terms: BTreeMap::from([(SERVICE.to_owned(), terms)]),
        ..Publication::default()
    };
    let dispatcher = hosts.dispatcher_mut();
    dispatcher.publish(Rc::new(publication), now);
    dispatcher.update_upstream(&entry(1), now);
}

fn entry(number: u32) -> Entry {
    Entry {
        number,
        announcement: Announcement {
            id: format!("u{number}"),
            service: SERVICE.to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "a".to_owned(),
            slots: 1,
            incarnation: 1,
            sequence: 1,
            stage: Stage::Ready,
        },
    }
}

fn reserve(number: u32) -> Frame {
    Frame::Reserve(Reserve {
        number,
        route: ROUTE.to_owned(),
        service: SERVICE.to_owned(),
        tenant: None,
        waited_ms: 0,
        left_ms: 1_900,
        attempts: 0,
        is_retry: false,
        avoid: Vec::new(),
        is_hedge: false,
        body_bytes: 0,
    })
}

#[compio::test]
async fn the_slot_of_a_host_that_links_anew_is_not_given_away_before_it_reports() {
    let mut hosts = hosts();
    let (early, late, other) = (sender().await, sender().await, sender().await);
    let now = Instant::now();
    add_upstream(&mut hosts, now);
    hosts.connect(HOST, "a".to_owned(), &early, now);
    hosts.connect(OTHER_HOST, "a".to_owned(), &other, now);
    hosts.handle(HOST, &early, reserve(7), now);
    hosts.handle(OTHER_HOST, &other, reserve(7), now);
    assert_eq!(hosts.dispatcher().running(1), 1);
    assert_eq!(hosts.dispatcher().queued(SERVICE), 1);

    hosts.connect(HOST, "a".to_owned(), &late, now);
    let running = Frame::Running {
        number: 7,
        service: SERVICE.to_owned(),
        upstream: 1,
        route: ROUTE.to_owned(),
        body_bytes: 0,
    };
    for frame in [running, Frame::HostHeartbeat] {
        hosts.handle(HOST, &late, frame, now);
        hosts.tick(2, Some(1), 1, now);
        assert_eq!(hosts.dispatcher().queued(SERVICE), 1);
        assert_eq!(hosts.dispatcher().running(1), 1);
    }

    // A host whose process has restarted runs nothing, and uses the same numbers again.
    let restarted = sender().await;
    hosts.connect(HOST, "a".to_owned(), &restarted, now);
    hosts.handle(HOST, &restarted, reserve(7), now);
    assert_eq!(hosts.dispatcher().running(1), 1);
    assert_eq!(hosts.dispatcher().queued(SERVICE), 1);
}

/// A host of the first level marks no extra send, and sent as many as the retry budget allowed.
#[compio::test]
async fn extra_sends_that_an_older_host_does_not_mark_keep_to_the_limit() {
    let now = Instant::now();
    let release = Frame::Release {
        number: 1,
        outcome: dispatch::outcome_code(Outcome::Failed),
        latency_ms: 20,
        bytes: 0,
    };
    let retry = |hosts: &Hosts, number| {
        let first = u32::from(hosts.dispatcher().running(2) > 0) + 1;
        let Frame::Reserve(mut retry) = reserve(number) else {
            panic!("a reservation");
        };
        retry.is_retry = true;
        retry.attempts = 1;
        retry.avoid = vec![first];
        Frame::Reserve(retry)
    };
    let cases = [
        (FIRST_LEVEL, false, 1),
        (FIRST_LEVEL, true, 1),
        (OWN_LEVEL, false, 2),
    ];
    for (level, has_failed, expected) in cases {
        let mut hosts = hosts();
        let link = sender().await;
        link.set_level(level);
        add_upstream(&mut hosts, now);
        hosts.dispatcher_mut().update_upstream(&entry(2), now);
        hosts.connect(HOST, "a".to_owned(), &link, now);
        hosts.handle(HOST, &link, reserve(1), now);
        let second = retry(&hosts, 2);
        if has_failed {
            hosts.handle(HOST, &link, release.clone(), now);
        }
        hosts.handle(HOST, &link, second, now);
        let running = [1, 2].map(|one| hosts.dispatcher().running(one));
        assert_eq!(
            running.iter().sum::<u32>(),
            expected,
            "{level} {has_failed}"
        );
    }
}

/// One frame of each kind, as hexadecimal text.
const FRAMES: &str = include_str!("fixtures/frames-8b90ec0.txt");

persimmonbend_check::properties! {
    fn damaged_frames_of_one_host_end_nothing_and_the_next_one_is_served(
        damage: Vec<(usize, u8)>
    ) -> bool {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let mut hosts = hosts();
            let (damaged, sound) = (sender().await, sender().await);
            let now = Instant::now();
            add_upstream(&mut hosts, now);
            hosts.connect(HOST, "a".to_owned(), &damaged, now);
            hosts.connect(OTHER_HOST, "a".to_owned(), &sound, now);
            for line in FRAMES.lines() {
                let mut body = hex::decode(line).expect("a fixture");
                for (at, value) in damage.iter().take(3) {
                    let place = 1 + at % body.len();
                    if let Some(byte) = body.get_mut(place) {
                        *byte = *value;
                    }
                }
                if let Ok(frame) = postcard::from_bytes::<Frame>(&body) {
                    hosts.handle(HOST, &damaged, frame, now);
                }
            }
            hosts.tick(2, Some(1), 1, now);
            hosts.disconnect(HOST, &damaged, now);
            let later = now + Duration::from_secs(60);
            hosts.tick(2, Some(1), 1, later);
            hosts.handle(OTHER_HOST, &sound, reserve(1), later);
            hosts.dispatcher().running(1) == 1 || hosts.dispatcher().queued(SERVICE) == 1
        })
    }
}
