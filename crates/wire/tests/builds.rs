//! Frames between builds of two versions.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::spawn;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::publication::Delta;
use persimmonbend_wire::channel::Decode;
use persimmonbend_wire::channel::Encode;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Codec;
use persimmonbend_wire::dispatch::FIRST_LEVEL;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Hosts;
use persimmonbend_wire::dispatch::OWN_LEVEL;
use persimmonbend_wire::dispatch::Packed;
use serde::Deserialize;
use serde::Serialize;

/// One frame of each kind, as hexadecimal text, that a build of the first level has written.
const FIRST_FRAMES: &str = include_str!("fixtures/frames-8b90ec0.txt");

/// Number of variants of a frame in the builds of the first level.
const FIRST_VARIANTS: u8 = 24;

fn bytes(line: &str) -> Vec<u8> {
    let pairs = line.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16);
    pairs.map(|pair| byte(pair).expect("a byte")).collect()
}

fn first_frames() -> Vec<Vec<u8>> {
    FIRST_FRAMES.lines().map(bytes).collect()
}

/// Returns the body of a frame as it is sent, with its length before it.
fn framed(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("a short frame");
    let mut all = length.to_le_bytes().to_vec();
    all.extend_from_slice(body);
    all
}

fn encoded(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    let written = Codec::default().encode(frame, &mut bytes);
    written.expect("the frame is short");
    bytes
}

#[test]
fn every_frame_of_the_first_level_is_read_and_written_back_with_fields_behind_it() {
    let first = first_frames();
    let variants: Vec<u8> = first.iter().map(|body| body[0]).collect();
    assert_eq!(variants, (0..FIRST_VARIANTS).collect::<Vec<_>>());
    for body in first {
        let frames = Codec::default().feed(&framed(&body)).expect("frames");
        let [frame] = frames.as_slice() else {
            panic!("{frames:?} of {body:?}");
        };
        let sent = frame.clone().for_level(FIRST_LEVEL).expect("an old frame");
        assert_eq!(&sent, frame);
        let sent = postcard::to_stdvec(&sent).expect("a frame");
        assert!(sent.starts_with(&body), "{sent:?} in place of {body:?}");
    }
}

#[test]
fn contents_that_the_first_level_has_packed_are_opened() {
    let mut opened = 0;
    for body in first_frames() {
        match postcard::from_bytes(&body).expect("a frame") {
            Frame::Published(delta) => {
                let publication = delta.open().expect("a change").apply(&<_>::default());
                assert_eq!(publication.expect("it applies").routes.len(), 1);
                opened += 1;
            }
            Frame::Upstreams { entries, .. } => {
                assert_eq!(entries.open().expect("a roster").len(), 1);
                opened += 1;
            }
            _ => {}
        }
    }
    assert_eq!(opened, 2);
}

/// The first frame of a host in the builds of the first level.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FirstFrame {
    Hello {
        host: HostId,
        zone: Zone,
        version: u64,
        relay: Option<std::net::SocketAddr>,
        deputy: bool,
    },
}

#[test]
fn the_first_level_reads_a_hello_that_names_a_level() {
    let hello = Frame::Hello {
        host: "host-1".to_owned(),
        zone: "a".to_owned(),
        version: 7,
        relay: None,
        deputy: true,
        build: OWN_LEVEL,
        is_published: true,
    };
    let sent = postcard::to_stdvec(&hello).expect("a frame");
    let FirstFrame::Hello {
        version, deputy, ..
    } = postcard::from_bytes(&sent).expect("an older build reads it");
    assert!(version == 7 && deputy);
}

#[test]
fn a_frame_of_an_unknown_kind_is_skipped_and_the_next_one_is_read() {
    let mut received = framed(&[200, 1, 2, 3]);
    received.extend(framed(&[]));
    received.extend(encoded(&Frame::HostHeartbeat));
    let mut codec = Codec::default();
    let mut frames = Vec::new();
    for byte in received {
        frames.extend(codec.feed(&[byte]).expect("the link stays"));
    }
    assert_eq!(frames, [Frame::HostHeartbeat]);
}

#[test]
fn a_frame_that_is_too_long_ends_the_link() {
    let mut received = u32::MAX.to_le_bytes().to_vec();
    received.extend([0; 64]);
    assert!(Codec::default().feed(&received).is_err());
}

#[test]
fn an_older_build_gets_no_code_that_it_does_not_know() {
    let refused = |kind| Frame::Refused {
        number: 1,
        kind,
        after_ms: 5,
    };
    let newest = u8::try_from(Kind::ALL.len()).expect("few kinds");
    let sent = refused(newest).for_level(FIRST_LEVEL).expect("a frame");
    assert_eq!(sent, refused(dispatch::kind_code(Kind::Overloaded)));
    let sent = refused(newest).for_level(OWN_LEVEL);
    assert_eq!(sent, Some(refused(newest)));
    assert_eq!(dispatch::kind(u8::MAX), Kind::Overloaded);
    assert_eq!(dispatch::outcome(u8::MAX), Outcome::Cancelled);
}

/// A leader that closes the link for an unknown outcome loses every slot of the host with it.
#[compio::test]
async fn an_unknown_outcome_of_a_newer_host_keeps_its_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let dialing = spawn(async move { TcpStream::connect(address).await.expect("a connection") });
    let (stream, _) = listener.accept().await.expect("a connection");
    let _other = dialing.await.expect("a connection");
    let (sender, _writer, _receiver) = dispatch::split(stream);
    let mut hosts = Hosts::new(Dispatcher::new(Policy {
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
    }));
    let now = Instant::now();
    hosts.connect("host-1", "a".to_owned(), &sender, now);
    let release = Frame::Release {
        number: 1,
        outcome: 99,
        latency_ms: 1,
        bytes: 1,
    };
    hosts.handle("host-1", &sender, release, now);
    assert!(sender.is_open() && hosts.is_current("host-1", &sender));
}

persimmonbend_check::properties! {
    fn arbitrary_bytes_never_panic(received: Vec<Vec<u8>>) -> bool {
        let mut codec = Codec::default();
        received.iter().all(|part| {
            let _ = codec.feed(&framed(part));
            let _ = postcard::from_bytes::<Packed<Delta>>(part).map(|packed| packed.open());
            true
        })
    }

    fn damaged_frames_never_panic(at: usize, value: u8, cut: usize) -> bool {
        first_frames().into_iter().all(|mut body| {
            let place = at % body.len();
            body[place] = value;
            body.truncate(body.len() - cut % body.len());
            let frames = Codec::default().feed(&framed(&body));
            frames.into_iter().flatten().for_each(|frame| {
                let frame = Rc::new(frame);
                if let Frame::Published(delta) = &*frame {
                    let _ = delta.open().map(|delta| delta.apply(&<_>::default()));
                }
            });
            true
        })
    }
}
