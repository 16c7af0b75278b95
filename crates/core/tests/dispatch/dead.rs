//! Dead upstreams and hosts that are cut off: what attempts without a listener cost, and whom they speak against.

use std::collections::BTreeSet;
use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::IDEMPOTENT;
use crate::world::NON_IDEMPOTENT;
use crate::world::World;
use crate::world::policy;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Time of a request on an upstream, in milliseconds.
const RUN_MILLIS: u32 = 100;

/// Most upstreams that a host tries for one request.
const MAX_TRIED: usize = 6;

/// When upstreams or paths are lost, and the end of a run.
const LOST_AT: u32 = 500;
const END: u32 = 3_000;

/// How an attempt ends that finds no listener: refused at once, or given up when a connect timeout passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sign {
    Refused,
    Silent,
}

impl Sign {
    const fn millis(self) -> u32 {
        match self {
            Self::Refused => 2,
            Self::Silent => 150,
        }
    }
}

/// What is lost.
#[derive(Debug, Clone, Copy)]
struct Loss {
    upstreams: u32,
    hosts: u32,
    /// Upstreams that have ended, the first ones.
    dead: u32,
    /// Hosts that are cut off from the first `cut_upstreams`, the first ones.
    cut_hosts: u32,
    cut_upstreams: u32,
    sign: Sign,
}

impl Loss {
    const fn is_lost(&self, host: u32, upstream: Number, at: u32) -> bool {
        let is_cut = host <= self.cut_hosts && upstream <= self.cut_upstreams;
        at >= LOST_AT && (upstream <= self.dead || is_cut)
    }
}

/// What became of the requests after the loss.
#[derive(Debug, Default)]
struct Tally {
    /// Attempts that found no listener.
    unreached: u32,
    /// Requests of hosts that are not cut off.
    sent: u32,
    /// Those of them that are answered.
    answered: u32,
    /// Most upstreams that were suspects at a time though they live.
    slandered: usize,
    /// Dead upstreams that are suspects in the end.
    known: usize,
}

struct Attempt {
    due: u32,
    host: u32,
    request: Request,
    upstream: Number,
    outcome: Outcome,
    millis: u32,
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(count.into())
}

fn host_of(ticket: &Ticket) -> u32 {
    let number = ticket.host.trim_start_matches("host-");
    number.parse().expect("a host of this test")
}

fn play(loss: Loss, seed: u64) -> Tally {
    let zones: Vec<&str> = (0..loss.upstreams as usize)
        .map(|number| ZONES[number % 3])
        .collect();
    let mut world = World::new(&zones);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_second = f64::from(loss.upstreams) * 3.0 * 0.3 * 1_000.0 / f64::from(RUN_MILLIS);
    let mut waiting: Vec<Request> = Vec::new();
    let mut running: Vec<Attempt> = Vec::new();
    let mut tally = Tally::default();
    // What has just arrived at the end is not answered yet.
    let counted = world.now + millis(LOST_AT + 1)..world.now + millis(END - 1_000);
    for at in 0..END {
        world.advance(Duration::from_millis(1));
        let mut answers = Vec::new();
        if at % 50 == 0 {
            answers.extend(world.dispatcher.tick(world.now));
        }
        let (due, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|one| one.due <= at);
        running = left;
        let mut placed = Vec::new();
        for mut one in due {
            let is_unreached = one.outcome == Outcome::Unreachable;
            let is_answered = one.outcome == Outcome::Answered;
            tally.unreached += u32::from(is_unreached);
            let is_counted = one.host > loss.cut_hosts && counted.contains(&one.request.arrived);
            tally.answered += u32::from(is_counted && is_answered);
            let ticket = one.request.ticket.clone();
            answers.extend(world.release(&ticket, one.outcome, millis(one.millis)));
            if is_unreached && one.request.avoid.len() + 1 < MAX_TRIED {
                one.request.avoid.push(one.upstream);
                one.request.ticket.number = world.request(IDEMPOTENT).ticket.number;
                placed.push(one.request);
            }
        }
        if at == LOST_AT {
            // What runs at an upstream that ends is broken off, or hangs.
            for one in running.iter_mut().filter(|one| one.upstream <= loss.dead) {
                (one.outcome, one.millis) = match loss.sign {
                    Sign::Refused => (Outcome::Truncated, 0),
                    Sign::Silent => (Outcome::TimedOut, 1_000),
                };
                one.due = at + one.millis;
            }
        }
        let arrivals = per_second / 1_000.0;
        for _ in 0..arrivals.ceil() as u32 {
            if !rng.random_bool(arrivals / arrivals.ceil()) {
                continue;
            }
            let route = [IDEMPOTENT, NON_IDEMPOTENT][rng.random_range(0..2)];
            let host = rng.random_range(1..=loss.hosts);
            let mut request = world.request(route);
            request.ticket.host = format!("host-{host}");
            request.zone = ZONES[host as usize % 3].to_owned();
            let is_counted = counted.contains(&request.arrived);
            tally.sent += u32::from(is_counted && host > loss.cut_hosts);
            placed.push(request);
        }
        for request in placed {
            waiting.push(request.clone());
            answers.extend(world.dispatcher.reserve(request, world.now));
        }
        for answer in answers {
            let is_own = |request: &Request| request.ticket == answer.ticket;
            let position = waiting.iter().position(is_own).expect("a waiting request");
            match answer.decision {
                Decision::Granted { upstream, .. } => {
                    let request = waiting.swap_remove(position);
                    let host = host_of(&request.ticket);
                    let (outcome, millis) = if loss.is_lost(host, upstream, at) {
                        (Outcome::Unreachable, loss.sign.millis())
                    } else {
                        (Outcome::Answered, RUN_MILLIS)
                    };
                    running.push(Attempt {
                        due: at + millis,
                        host,
                        request,
                        upstream,
                        outcome,
                        millis,
                    });
                }
                Decision::Queued => {}
                Decision::Refused { .. } => _ = waiting.swap_remove(position),
            }
        }
        if at % 20 != 0 {
            continue;
        }
        let suspects = world.dispatcher.suspects(world.now);
        let dead: BTreeSet<Number> = (1..=loss.dead).collect();
        tally.slandered = tally.slandered.max(suspects.difference(&dead).count());
        tally.known = suspects.intersection(&dead).count();
    }
    tally
}

/// Two dead upstreams in a row looked to each host like its own loss of the way, so that the same ones were granted
/// again and again until requests had tried six of them.
#[test]
fn dead_upstreams_are_not_granted_again_and_again() {
    for sign in [Sign::Refused, Sign::Silent] {
        for (upstreams, dead) in [(6, 1), (6, 3), (36, 1), (36, 18), (60, 24), (183, 91)] {
            let loss = Loss {
                upstreams,
                hosts: 24,
                dead,
                cut_hosts: 0,
                cut_upstreams: 0,
                sign,
            };
            let tally = play(loss, 5);
            println!("{loss:?}: {tally:?}");
            // A few attempts learn it; then one at a time finds out whether the upstream is back.
            assert!(tally.unreached <= 8 * dead + 4, "{loss:?}: {tally:?}");
            let answered = f64::from(tally.answered) / f64::from(tally.sent);
            assert!(answered > 0.98, "{loss:?}: {tally:?}");
        }
    }
}

#[test]
fn what_little_of_a_service_lives_is_used_while_the_rest_is_dead() {
    for sign in [Sign::Refused, Sign::Silent] {
        let loss = Loss {
            upstreams: 36,
            hosts: 24,
            dead: 35,
            cut_hosts: 0,
            cut_upstreams: 0,
            sign,
        };
        let tally = play(loss, 6);
        println!("{loss:?}: {tally:?}");
        // Three slots can answer 75 requests in the two and a half seconds after the loss.
        assert!(tally.answered >= 60, "{loss:?}: {tally:?}");
    }
}

#[test]
fn upstreams_that_other_hosts_reach_are_not_blamed_for_a_lost_way() {
    for sign in [Sign::Refused, Sign::Silent] {
        for (upstreams, cut_upstreams) in
            [(6, 1), (6, 6), (36, 18), (36, 36), (183, 91), (183, 183)]
        {
            for cut_hosts in [1, 8] {
                let loss = Loss {
                    upstreams,
                    hosts: 24,
                    dead: 0,
                    cut_hosts,
                    cut_upstreams,
                    sign,
                };
                let tally = play(loss, 7);
                println!("{loss:?}: {tally:?}");
                let answered = f64::from(tally.answered) / f64::from(tally.sent);
                assert!(answered > 0.98, "{loss:?}: {tally:?}");
                let most = 1 + upstreams as usize / 10;
                assert!(tally.slandered <= most, "{loss:?}: {tally:?}");
            }
        }
    }
}

/// An upstream that has come back announces itself; it got no requests before while it counted as dead.
#[test]
fn an_upstream_that_announces_itself_after_its_end_is_used_again() {
    let mut world = World::new(&["a", "b"]);
    for host in 1..=4 {
        let mut request = world.request(NON_IDEMPOTENT);
        request.ticket.host = format!("host-{host}");
        request.zone = ZONES[host % 3].to_owned();
        let ticket = request.ticket.clone();
        if let Decision::Granted { upstream: 1, .. } = world.reserve(request) {
            world.release(&ticket, Outcome::Unreachable, Duration::from_millis(1));
        }
    }
    let (ticket, _) = world.place(IDEMPOTENT).expect("a slot");
    world.release(&ticket, Outcome::Answered, Duration::from_millis(20));
    world.advance(Duration::from_secs(1));
    world.update_upstream(1, "a", Stage::Ready);
    world.dispatcher.touch_upstream(1, world.now);
    assert_eq!(world.dispatcher.dead_upstreams(world.now), 0);
    let used: BTreeSet<Number> = (0..6)
        .filter_map(|_| Some(world.place(IDEMPOTENT)?.1))
        .collect();
    assert!(used.contains(&1), "{used:?}");
}

#[test]
fn the_time_for_which_hosts_are_witnesses_follows_the_time_of_contact() {
    let is_dead = |contact, gap| {
        let policy = Policy {
            contact: Duration::from_secs(contact),
            ..policy()
        };
        let mut world = World::with(policy, &ZONES);
        for (host, zone) in [("host-1", "a"), ("host-2", "b")] {
            world.advance(gap);
            let mut request = world.request(IDEMPOTENT);
            (request.ticket.host, request.zone) = (host.to_owned(), zone.to_owned());
            request.avoid = vec![2, 3];
            let ticket = request.ticket.clone();
            let decision = world.reserve(request);
            assert!(matches!(decision, Decision::Granted { upstream: 1, .. }));
            world.release(&ticket, Outcome::Unreachable, millis(2));
        }
        world.dispatcher.dead_upstreams(world.now) == 1
    };
    assert!(is_dead(3, millis(2_000)));
    assert!(!is_dead(1, millis(2_000)));
    assert!(is_dead(1, millis(500)));
}
