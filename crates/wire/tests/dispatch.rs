//! Size, validation and slow transmission of frames between hosts and the dispatcher.

use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::spawn;
use persimmonbend_core::publication::Delta;
use persimmonbend_core::publication::Part;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Route;
use persimmonbend_core::publication::Service;
use persimmonbend_core::publication::Terms;
use persimmonbend_wire::channel::Decode;
use persimmonbend_wire::channel::Encode;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Codec;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Packed;
use persimmonbend_wire::dispatch::Reserve;

/// Number of routes in a large change.
const ROUTE_COUNT: usize = 1_500;

fn large_publication() -> Publication {
    let mut publication = Publication {
        version: Some(9),
        ..Publication::default()
    };
    for number in 0..ROUTE_COUNT {
        let route = Route {
            host: "farm.example".to_owned(),
            prefix: format!("/r{:07x}/", number * 7_919),
            idempotent: true,
            timeout: Duration::from_millis(2_500),
            objective: Duration::from_secs(1),
            priority: 2,
            parts: vec![Part {
                service: "herd".to_owned(),
                weight: 1.0,
            }],
            attempts: 2,
            open: false,
        };
        publication.routes.insert(format!("r-{number:07x}"), route);
    }
    publication
}

#[test]
fn a_large_change_takes_few_bytes_per_route() {
    let publication = large_publication();
    let delta = Delta::between(&Publication::default(), &publication).expect("a change");
    let packed = Packed::new(&delta).expect("the test set-up works");
    let mut bytes = Vec::new();
    Codec::default()
        .encode(&Frame::Published(packed), &mut bytes)
        .expect("the test set-up works");
    assert!(bytes.len() < ROUTE_COUNT * 24, "{} bytes", bytes.len());
    let frames = Codec::default()
        .feed(&bytes)
        .expect("the test set-up works");
    let [Frame::Published(packed)] = frames.as_slice() else {
        panic!("{frames:?}");
    };
    assert_eq!(packed.open().expect("the test set-up works"), delta);
}

#[test]
fn contents_that_are_not_a_change_are_malformed() {
    let packed =
        Packed::new(&"neither routes nor services".to_owned()).expect("the test set-up works");
    let bytes = postcard::to_stdvec(&packed).expect("the test set-up works");
    let packed: Packed<Delta> = postcard::from_bytes(&bytes).expect("the test set-up works");
    assert!(packed.open().is_err());
}

/// Size in bytes of a frame that exceeds the socket buffers of both ends.
const LARGE_FRAME_BYTES: usize = 24 * 1024 * 1024;

#[compio::test]
async fn a_large_frame_may_take_seconds_over_a_slow_link() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the test set-up works");
    let address = listener.local_addr().expect("the test set-up works");
    let reader = spawn(async move {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the test set-up works");
        let mut total = 0;
        while total < LARGE_FRAME_BYTES {
            let BufResult(result, _) = stream.read(Vec::with_capacity(1024 * 1024)).await;
            let length = result.expect("the test set-up works");
            if length == 0 {
                break;
            }
            total += length;
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        total
    });
    let (stream, _) = listener.accept().await.expect("the test set-up works");
    let (sender, writer, _receiver) = dispatch::split(stream);
    let _writing = spawn(writer.run());
    sender.send(Frame::Hello {
        host: "h".repeat(LARGE_FRAME_BYTES),
        zone: "z".to_owned(),
        version: 0,
        relay: None,
        deputy: false,
        build: dispatch::OWN_LEVEL,
        is_published: false,
    });
    let total = reader.await.expect("the test set-up works");
    assert!(
        total >= LARGE_FRAME_BYTES,
        "the link ended after {total} bytes"
    );
}

/// The fields of a reservation before any was appended.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct FirstReserve {
    number: u32,
    route: String,
    service: String,
    tenant: Option<String>,
    waited_ms: u32,
    left_ms: u32,
    attempts: u8,
    is_retry: bool,
    avoid: Vec<u32>,
}

#[test]
fn appended_fields_do_not_change_what_an_older_build_reads() {
    let reserve = Reserve {
        number: 7,
        route: "r-1".to_owned(),
        service: "herd".to_owned(),
        tenant: None,
        waited_ms: 1,
        left_ms: 900,
        attempts: 1,
        is_retry: true,
        avoid: vec![3],
        is_hedge: true,
        body_bytes: 12_000,
    };
    let bytes = postcard::to_stdvec(&reserve).expect("the test set-up works");
    let older: FirstReserve = postcard::from_bytes(&bytes).expect("an older build reads it");
    assert_eq!((older.number, &older.avoid), (7, &vec![3]));
    let bytes = postcard::to_stdvec(&older).expect("the test set-up works");
    let read: Reserve = postcard::from_bytes(&bytes).expect("this build reads an older one");
    let expected = Reserve {
        is_hedge: false,
        body_bytes: 0,
        ..reserve
    };
    assert_eq!(read, expected);
}

#[test]
fn a_slot_in_use_is_reported_with_its_bytes_and_read_without_them() {
    let running = |body_bytes| Frame::Running {
        number: 7,
        service: "herd".to_owned(),
        upstream: 3,
        route: "r-1".to_owned(),
        body_bytes,
    };
    let bytes = postcard::to_stdvec(&running(12_000)).expect("the test set-up works");
    let read: Frame = postcard::from_bytes(&bytes).expect("this build reads it");
    assert_eq!(read, running(12_000));
    let without = &bytes[..bytes.len() - 2];
    let read: Frame = postcard::from_bytes(without).expect("this build reads an older one");
    assert_eq!(read, running(0));
}

#[test]
fn terms_of_services_reach_hosts_and_a_delta_without_them_has_none() {
    let mut publication = Publication {
        version: Some(2),
        ..Publication::default()
    };
    publication
        .services
        .insert("herd".to_owned(), Service::default());
    let terms = Terms {
        hedge_share: Some(0.05),
        ..Terms::default()
    };
    publication.terms.insert("herd".to_owned(), terms);
    let delta = Delta::between(&Publication::default(), &publication).expect("a change");
    let packed = Packed::new(&delta).expect("the test set-up works");
    let read = packed.open().expect("this build reads it");
    assert_eq!(read.apply(&Publication::default()), Some(publication));
    let bytes = postcard::to_stdvec(&delta).expect("the test set-up works");
    let text = bytes.windows(9).position(|part| part == br#"{"herd":{"#);
    let terms_start = text.expect("the terms are text") - 1;
    let read: Delta = postcard::from_bytes(&bytes[..terms_start]).expect("an older delta is read");
    let publication = read.apply(&Publication::default()).expect("a change");
    assert!(publication.terms.is_empty());
}
