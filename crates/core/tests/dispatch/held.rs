//! Large bodies beside small ones at upstreams that bear few bytes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::publication::Terms;
use persimmonbend_core::roster::Number;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

const BOUND: u64 = 1_000_000;
const ZONES: [&str; 8] = ["a"; 8];
const END_MS: u64 = 12_000;

/// Requests that come at fixed intervals; times in milliseconds.
struct Stream {
    tenant: &'static str,
    bytes: u32,
    every_ms: f64,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    refused: usize,
    waits_ms: Vec<u64>,
}

impl Tally {
    fn served_share(&self) -> f64 {
        self.waits_ms.len() as f64 / self.sent as f64
    }

    fn longest_wait_ms(&self) -> u64 {
        self.waits_ms.iter().max().copied().unwrap_or_default()
    }
}

fn world(zones: &[&str]) -> World {
    let mut world = World::new(zones);
    world.set_terms(Terms {
        max_held_bytes: Some(BOUND),
        ..Terms::default()
    });
    world
}

/// Reserves a slot for a request with a body.
fn place(world: &mut World, bytes: u32) -> (Ticket, Decision) {
    let mut request = world.request(IDEMPOTENT);
    request.body_bytes = bytes;
    (request.ticket.clone(), world.reserve(request))
}

/// Returns the bytes that each upstream holds.
fn held(world: &World) -> BTreeMap<Number, u64> {
    let dump = world.dispatcher.dump(world.now);
    dump.into_iter()
        .map(|load| (load.upstream, load.held_bytes))
        .collect()
}

/// Plays streams at eight upstreams of three slots; returns what became of each. No upstream may hold more
/// than its bound, but for a single request.
fn play(streams: &[Stream]) -> Vec<Tally> {
    let mut world = world(&ZONES);
    let mut tallies: Vec<Tally> = streams.iter().map(|_| Tally::default()).collect();
    let mut sent: BTreeMap<Ticket, (usize, u64)> = BTreeMap::new();
    let mut ends: BTreeSet<(u64, Ticket)> = BTreeSet::new();
    for now_ms in 0..END_MS {
        let mut answers: Vec<Answer> = Vec::new();
        while let Some((at, ticket)) = ends.first().cloned().filter(|(at, _)| *at <= now_ms) {
            ends.remove(&(at, ticket.clone()));
            let latency = Duration::from_millis(now_ms - sent[&ticket].1);
            answers.extend(world.release(&ticket, Outcome::Answered, latency));
        }
        for (index, stream) in streams.iter().enumerate() {
            let due = |ms: u64| (ms as f64 / stream.every_ms) as u64;
            for _ in due(now_ms)..due(now_ms + 1) {
                let route = [IDEMPOTENT, NON_IDEMPOTENT][tallies[index].sent % 2];
                let mut request = world.request(route);
                request.tenant = Some(stream.tenant.to_owned());
                request.body_bytes = stream.bytes;
                sent.insert(request.ticket.clone(), (index, now_ms));
                tallies[index].sent += 1;
                answers.extend(world.dispatcher.reserve(request, world.now));
            }
        }
        if now_ms % 50 == 0 {
            answers.extend(world.dispatcher.tick(world.now));
        }
        for answer in answers {
            let (index, at) = sent[&answer.ticket];
            match answer.decision {
                Decision::Granted { .. } => {
                    tallies[index].waits_ms.push(now_ms - at);
                    sent.insert(answer.ticket.clone(), (index, now_ms));
                    ends.insert((now_ms + streams[index].work_ms, answer.ticket));
                }
                Decision::Refused { .. } => tallies[index].refused += 1,
                Decision::Queued => {}
            }
        }
        for load in world.dispatcher.dump(world.now) {
            let is_alone = load.running <= 1;
            assert!(load.held_bytes <= BOUND || is_alone, "{now_ms}: {load:?}");
        }
        world.advance(Duration::from_millis(1));
    }
    tallies
}

/// Small bodies took each byte that became free, and large ones waited until their deadlines.
#[test]
fn large_bodies_are_not_starved_by_small_ones_and_do_not_block_them() {
    let small = |tenant, every_ms| Stream {
        tenant,
        bytes: 200_000,
        every_ms,
        work_ms: 100,
    };
    let large = Stream {
        tenant: "archive",
        bytes: 900_000,
        every_ms: 250.0,
        work_ms: 200,
    };
    let streams = [small("farm", 13.0), small("mill", 13.0), large];
    let tallies = play(&streams);
    for tally in &tallies {
        assert!(tally.served_share() > 0.97, "{tally:?}");
        assert!(tally.longest_wait_ms() < 1_000, "{tally:?}");
    }
}

/// A body above the bound never found an idle upstream under a steady load.
#[test]
fn a_body_above_the_bound_gets_an_upstream_of_its_own() {
    let small = Stream {
        tenant: "farm",
        bytes: 0,
        every_ms: 6.0,
        work_ms: 100,
    };
    let huge = Stream {
        tenant: "archive",
        bytes: 3_000_000,
        every_ms: 700.0,
        work_ms: 200,
    };
    let tallies = play(&[small, huge]);
    for tally in &tallies {
        assert!(tally.served_share() > 0.9, "{tally:?}");
        assert!(tally.longest_wait_ms() < 1_000, "{tally:?}");
    }
    assert_eq!(tallies[0].refused, 0, "{:?}", tallies[0]);
}

/// The small requests of a tenant were hidden behind more large ones than are looked at.
#[test]
fn many_large_bodies_of_a_tenant_hide_none_of_its_small_ones() {
    let of_farm = |bytes, every_ms| Stream {
        tenant: "farm",
        bytes,
        every_ms,
        work_ms: 200,
    };
    let tallies = play(&[of_farm(900_000, 15.0), of_farm(1_000, 40.0)]);
    let (large, small) = (&tallies[0], &tallies[1]);
    assert!(small.served_share() > 0.97, "{small:?}");
    assert!(small.longest_wait_ms() < 1_000, "{small:?}");
    // Eight upstreams serve 40 of the 67 large bodies of each second.
    assert!(
        large.waits_ms.len() as u64 > 30 * END_MS / 1_000,
        "{large:?}"
    );
}

#[test]
fn each_way_to_an_upstream_counts_its_bytes() {
    let mut world = world(&["a", "a"]);
    let (first, granted) = place(&mut world, 800_000);
    let Decision::Granted { upstream, .. } = granted else {
        panic!("{granted:?}");
    };
    let other = 3 - upstream;
    // A slot that another dispatcher granted.
    let told = Placement {
        ticket: Ticket {
            host: "host-2".to_owned(),
            number: 1,
        },
        service: SERVICE.to_owned(),
        upstream: other,
        route: IDEMPOTENT.to_owned(),
        body_bytes: 500_000,
    };
    world.dispatcher.record_running(told.clone(), world.now);
    assert_eq!(
        held(&world),
        BTreeMap::from([(upstream, 800_000), (other, 500_000)])
    );
    // A retry and an extra send.
    for is_hedge in [false, true] {
        let mut request = world.request(IDEMPOTENT);
        request.body_bytes = 600_000;
        (request.is_retry, request.is_hedge) = (true, is_hedge);
        (request.attempts, request.avoid) = (1, vec![upstream]);
        let ticket = request.ticket.clone();
        let decision = world.reserve(request);
        assert!(
            !matches!(decision, Decision::Granted { .. }),
            "{decision:?}"
        );
        world.release(&ticket, Outcome::Cancelled, Duration::ZERO);
    }
    let (second, decision) = place(&mut world, 400_000);
    assert!(matches!(decision, Decision::Granted { upstream, .. } if upstream == other));
    for ticket in [&first, &second, &told.ticket] {
        world.release(ticket, Outcome::Answered, Duration::from_millis(10));
    }
    assert!(held(&world).values().all(|bytes| *bytes == 0));
}

#[test]
fn an_upstream_holds_the_requests_of_a_lost_host_until_they_are_due() {
    let mut world = world(&["a"]);
    world.dispatcher.connect_host("host-1", world.now);
    place(&mut world, 800_000);
    world.dispatcher.disconnect_host("host-1", world.now);
    assert_eq!(held(&world)[&1], 800_000);
    world.advance(Duration::from_secs(40));
    world.dispatcher.tick(world.now);
    assert_eq!(held(&world)[&1], 0);
}

/// An upstream stayed earmarked for a request that had left.
#[test]
fn an_upstream_is_no_longer_earmarked_for_a_request_that_has_left() {
    let mut world = world(&["a"]);
    place(&mut world, 500_000);
    let (large, decision) = place(&mut world, 900_000);
    assert_eq!(decision, Decision::Queued);
    assert!(world.dispatcher.dump(world.now)[0].is_earmarked);
    world.release(&large, Outcome::Cancelled, Duration::ZERO);
    world.dispatcher.tick(world.now);
    assert!(!world.dispatcher.dump(world.now)[0].is_earmarked);
    let (_, decision) = place(&mut world, 400_000);
    assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
}

/// An upstream that was earmarked took no requests without a body either, until the large one had come.
#[test]
fn requests_without_a_body_pass_a_large_one_that_waits() {
    let mut world = world(&["a"]);
    place(&mut world, 800_000);
    let (_, decision) = place(&mut world, 900_000);
    assert_eq!(decision, Decision::Queued);
    let (_, decision) = place(&mut world, 0);
    assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
    // The last slot is that of the large one.
    let (_, decision) = place(&mut world, 0);
    assert_eq!(decision, Decision::Queued);
}

#[test]
fn an_earmarked_upstream_that_drains_is_exchanged_for_another() {
    let mut world = world(&["a", "a"]);
    let (_, first) = place(&mut world, 500_000);
    let (_, second) = place(&mut world, 600_000);
    assert!(
        [first, second]
            .iter()
            .all(|decision| matches!(decision, Decision::Granted { .. }))
    );
    let (large, _) = place(&mut world, 900_000);
    let earmarked = |world: &World| {
        let dump = world.dispatcher.dump(world.now);
        let held = dump.into_iter().filter(|load| load.is_earmarked);
        held.map(|load| load.upstream).collect::<Vec<_>>()
    };
    let before = earmarked(&world);
    assert_eq!(before.len(), 1);
    world.update_upstream(before[0], "a", Stage::Draining);
    world.dispatcher.tick(world.now);
    assert_eq!(earmarked(&world), [3 - before[0]], "{large:?}");
}

/// Requests waited until their deadlines for bytes that could not become free before.
/// The only upstream with room wanted nothing from the host, so small requests took each byte of the other one.
#[test]
fn a_large_body_is_not_starved_while_the_upstream_with_room_pauses_its_host() {
    let mut world = world(&["a", "a"]);
    let statement = Statement {
        pause: Some(Duration::from_secs(3)),
        ..Statement::default()
    };
    world
        .dispatcher
        .note_statement("large", 1, &statement, world.now);
    let small = |world: &mut World, upstream: Number| {
        let mut request = world.request(IDEMPOTENT);
        (request.avoid, request.body_bytes) = (vec![3 - upstream], 300_000);
        request.ticket.host = "small".to_owned();
        let ticket = request.ticket.clone();
        (ticket, world.reserve(request))
    };
    small(&mut world, 1);
    let mut running = VecDeque::from([small(&mut world, 2).0, small(&mut world, 2).0]);
    let mut request = world.request(IDEMPOTENT);
    request.body_bytes = 600_000;
    request.ticket.host = "large".to_owned();
    let large = request.ticket.clone();
    assert_eq!(world.reserve(request), Decision::Queued);
    let is_granted = |answers: &[Answer]| answers.iter().any(|answer| answer.ticket == large);
    let served = (0..10).any(|_| {
        world.advance(Duration::from_millis(10));
        running.push_back(small(&mut world, 2).0);
        let ticket = running.pop_front().expect("a running request");
        let answers = world.release(&ticket, Outcome::Answered, Duration::from_millis(10));
        is_granted(&answers)
    });
    assert!(served);
}

#[test]
fn a_body_that_can_not_be_served_in_time_is_refused_at_once() {
    let mut world = world(&["a"]);
    let work = Duration::from_millis(400);
    for _ in 0..30 {
        let (ticket, _) = place(&mut world, 900_000);
        world.advance(work);
        world.release(&ticket, Outcome::Answered, work);
    }
    let decisions: Vec<Decision> = (0..20).map(|_| place(&mut world, 900_000).1).collect();
    let waiting = decisions
        .iter()
        .filter(|decision| **decision == Decision::Queued);
    // One at a time, five are answered within the two seconds that each has.
    assert!((2..=5).contains(&waiting.count()), "{decisions:?}");
    for decision in &decisions[6..] {
        let Decision::Refused { kind, retry_after } = decision else {
            panic!("{decisions:?}");
        };
        assert!(*kind == Kind::Overloaded && !retry_after.is_zero());
    }
}

/// Without the term, sizes change nothing.
#[test]
fn without_a_bound_upstreams_hold_whatever_their_slots_take() {
    let mut world = World::new(&["a"]);
    for _ in 0..3 {
        let (_, decision) = place(&mut world, 900_000_000);
        assert!(matches!(decision, Decision::Granted { .. }), "{decision:?}");
    }
}
