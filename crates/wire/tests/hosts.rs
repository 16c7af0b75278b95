//! Hosts that reconnect to a dispatcher while frames of the earlier connection still arrive.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::publication::Publication;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::Sender;

const HOST: &str = "host-1";

fn hosts() -> Hosts {
    let mut dispatcher = Dispatcher::new(Policy {
        retries: Retries {
            ratio: 0.1,
            burst: 1.0,
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
