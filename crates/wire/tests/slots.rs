//! Codec of the slot protocol: round trips, invalid bytes and sizes of frames.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use persimmonbend_check::properties;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::health::Verdict;
use persimmonbend_wire::slots::Decoder;
use persimmonbend_wire::slots::Encoder;
use persimmonbend_wire::slots::Frame;
use quickcheck::Arbitrary;
use quickcheck::Gen;

#[derive(Debug, Clone)]
struct Any(Frame);

fn name(g: &mut Gen) -> String {
    format!("name-{}", u8::arbitrary(g))
}

fn tenant(g: &mut Gen) -> Option<String> {
    bool::arbitrary(g).then(|| name(g))
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u32::arbitrary(g);
        let outcomes = [
            Outcome::Answered,
            Outcome::Failed,
            Outcome::TimedOut,
            Outcome::Cancelled,
        ];
        let verdicts = [
            Verdict::Use { weight: 0.25 },
            Verdict::Trial,
            Verdict::Ejected,
        ];
        Self(match u8::arbitrary(g) % 10 {
            0 => Frame::Hello {
                host: name(g),
                zone: name(g),
            },
            1 => Frame::Reserve {
                number,
                service: name(g),
                tenant: tenant(g),
                left: Duration::from_millis(u64::from(u16::arbitrary(g))),
                avoid: (0..u8::arbitrary(g) % 3).map(|_| name(g)).collect(),
                idempotent: bool::arbitrary(g),
            },
            2 => Frame::Granted {
                number,
                upstream: name(g),
            },
            3 => Frame::Queued { number },
            4 => Frame::Refused {
                number,
                kind: *g.choose(&[Kind::NoUpstream, Kind::Overloaded]).unwrap(),
            },
            5 => Frame::Hold {
                number,
                service: name(g),
                tenant: tenant(g),
                upstream: name(g),
            },
            6 => Frame::Release {
                number,
                service: name(g),
                outcome: *g.choose(&outcomes).unwrap(),
                latency: Duration::from_micros(u64::from(u32::arbitrary(g))),
                reused: bool::arbitrary(g),
            },
            7 => Frame::Ping { number },
            8 => Frame::Pong { number },
            _ => Frame::Advice {
                service: name(g),
                upstream: name(g),
                verdict: *g.choose(&verdicts).unwrap(),
            },
        })
    }
}

properties! {
    fn frames_decode_to_the_original_for_any_split_of_the_bytes(frames: Vec<Any>, cut: u8) -> bool {
        let frames: Vec<Frame> = frames.into_iter().map(|any| any.0).collect();
        let mut encoder = Encoder::new();
        let mut bytes = Vec::new();
        for frame in &frames {
            encoder.encode(frame, &mut bytes).unwrap();
        }
        let mut decoder = Decoder::new();
        let mut decoded = Vec::new();
        for piece in bytes.chunks(usize::from(cut) + 1) {
            decoded.extend(decoder.feed(piece).unwrap());
        }
        decoded == frames
    }

    fn decoding_random_bytes_never_panics(garbage: Vec<u8>) -> bool {
        let _ = Decoder::new().feed(&garbage);
        true
    }

    fn decoding_damaged_frames_never_panics(frames: Vec<Any>, at: usize, to: u8) -> bool {
        let mut encoder = Encoder::new();
        let mut bytes = Vec::new();
        for frame in &frames {
            encoder.encode(&frame.0, &mut bytes).unwrap();
        }
        if !bytes.is_empty() {
            let at = at % bytes.len();
            bytes[at] = to;
        }
        let _ = Decoder::new().feed(&bytes);
        true
    }
}

#[test]
fn frames_of_a_request_are_small_once_the_names_are_sent() {
    let number = 70_000;
    let frames = [
        Frame::Reserve {
            number,
            service: "herd".to_owned(),
            tenant: Some("clinic-etna".to_owned()),
            left: Duration::from_millis(1_500),
            avoid: Vec::new(),
            idempotent: true,
        },
        Frame::Granted {
            number,
            upstream: "upstream-7".to_owned(),
        },
        Frame::Release {
            number,
            service: "herd".to_owned(),
            outcome: Outcome::Answered,
            latency: Duration::from_micros(21_337),
            reused: true,
        },
    ];
    let mut encoder = Encoder::new();
    let mut sizes = Vec::new();
    for _ in 0..2 {
        sizes.clear();
        for frame in &frames {
            let mut bytes = Vec::new();
            encoder.encode(frame, &mut bytes).unwrap();
            sizes.push(bytes.len());
        }
    }
    println!("reserve, granted, release: {sizes:?} bytes");
    assert!(sizes.iter().all(|size| *size <= 30), "{sizes:?}");
}

#[test]
fn names_beyond_the_limit_are_numbered_anew() {
    let mut encoder = Encoder::new();
    let mut decoder = Decoder::new();
    for number in 0..40_000 {
        let frame = Frame::Granted {
            number,
            upstream: format!("upstream-{number}"),
        };
        let mut bytes = Vec::new();
        encoder.encode(&frame, &mut bytes).unwrap();
        assert_eq!(decoder.feed(&bytes).unwrap(), [frame]);
    }
}
