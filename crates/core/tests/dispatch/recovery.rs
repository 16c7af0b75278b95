//! The first second after the loss of a dispatcher: urgent requests go first, and nothing counts twice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Placement;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::LOW_PRIORITY;
use crate::world::SERVICE;
use crate::world::World;
use crate::world::policy;

const UPSTREAMS: usize = 4;
const SLOTS: u32 = 3;
const RUN_TIME: Duration = Duration::from_millis(100);
const FIRST_SECOND: Duration = Duration::from_secs(1);

/// Share of the quotas that a deputy or a host on its own hands out.
const LOCAL_SHARE: f64 = 0.4;

/// Requests that a dispatcher has granted, in order, and those that run.
#[derive(Default)]
struct Book {
    granted: Vec<Ticket>,
    running: BTreeMap<Ticket, Number>,
    /// Requests of a host that is lost, whose slots stay in use until they are due.
    absent: BTreeMap<Ticket, Number>,
}

impl Book {
    fn note(&mut self, answers: &[Answer]) {
        for answer in answers {
            if let Decision::Granted { upstream, .. } = answer.decision {
                self.granted.push(answer.ticket.clone());
                self.running.insert(answer.ticket.clone(), upstream);
            }
        }
    }

    /// Ends the running requests every [`RUN_TIME`] for a second, and checks the count of slots in use.
    fn play(&mut self, world: &mut World) {
        let end = world.now + FIRST_SECOND;
        while world.now < end {
            world.advance(RUN_TIME);
            let tick = world.dispatcher.tick(world.now);
            self.note(&tick);
            let ended = std::mem::take(&mut self.running);
            for ticket in ended.into_keys() {
                let answers = world.release(&ticket, Outcome::Answered, RUN_TIME);
                self.note(&answers);
            }
            for number in 1..=UPSTREAMS as Number {
                let known = self.running.values().chain(self.absent.values());
                let known = known.filter(|one| **one == number).count();
                assert_eq!(world.dispatcher.running(number) as usize, known);
                assert!(known <= SLOTS as usize);
            }
        }
    }

    /// Checks that nothing was granted twice, and that of `requests` urgent ones were granted first, but for
    /// the first `unknown` grants, which found free slots.
    fn check(&self, requests: &[Request], unknown: usize) {
        let all: BTreeSet<&Ticket> = self.granted.iter().collect();
        assert_eq!(all.len(), self.granted.len(), "granted twice");
        let route = |ticket: &Ticket| {
            let known = requests.iter().find(|request| request.ticket == *ticket);
            known.map(|request| request.route.as_str())
        };
        let routes: Vec<_> = self.granted[unknown..].iter().filter_map(route).collect();
        let urgent = requests
            .iter()
            .filter(|request| request.route == IDEMPOTENT)
            .count();
        assert!(routes.len() > urgent, "{routes:?}");
        let first = &routes[..urgent];
        assert!(first.iter().all(|route| *route == IDEMPOTENT), "{routes:?}");
    }
}

/// Creates a dispatcher that hands out a share, as hosts do before they know upstreams.
fn world(policy: Policy, share: f64) -> World {
    let mut world = World::with(policy, &[]);
    world.dispatcher.set_share(share, world.now);
    for number in 1..=UPSTREAMS as Number {
        world.update_upstream(number, "a", Stage::Ready);
    }
    world
}

/// Returns requests of several hosts, the less urgent ones first.
fn requests(world: &mut World, low: usize, urgent: usize) -> Vec<Request> {
    let routes = std::iter::repeat_n(LOW_PRIORITY, low);
    let routes = routes.chain(std::iter::repeat_n(IDEMPOTENT, urgent));
    let each = routes.enumerate().map(|(index, route)| {
        let mut request = world.request(route);
        request.ticket.host = format!("host-{}", index % 3);
        request
    });
    each.collect()
}

fn ask(world: &mut World, book: &mut Book, requests: &[Request]) {
    for request in requests {
        let answers = world.dispatcher.reserve(request.clone(), world.now);
        book.note(&answers);
    }
}

/// Returns a book of running requests that use all slots.
fn fill(world: &mut World) -> Book {
    let mut book = Book::default();
    let running = requests(world, UPSTREAMS * SLOTS as usize, 0);
    ask(world, &mut book, &running);
    assert_eq!(book.running.len(), running.len());
    book
}

/// Adds running requests that hosts name to a dispatcher which did not place them.
fn resume(world: &mut World, running: &BTreeMap<Ticket, Number>) {
    for (ticket, upstream) in running {
        let placement = Placement {
            ticket: ticket.clone(),
            service: SERVICE.to_owned(),
            upstream: *upstream,
            route: LOW_PRIORITY.to_owned(),
            body_bytes: 0,
        };
        world.dispatcher.record_running(placement, world.now);
    }
}

#[test]
fn after_the_loss_of_the_leader_urgent_requests_go_first_and_slots_count_once() {
    let mut lost = world(policy(), 1.0);
    let running = fill(&mut lost).running;
    let queued = requests(&mut lost, 20, 10);
    ask(&mut lost, &mut Book::default(), &queued);
    let mut next = world(policy(), 1.0);
    resume(&mut next, &running);
    // Hosts that join twice name their running requests again.
    resume(&mut next, &running);
    let mut book = Book {
        running,
        ..Book::default()
    };
    ask(&mut next, &mut book, &queued);
    assert!(book.granted.is_empty());
    book.play(&mut next);
    book.check(&queued, 0);
    assert_eq!(next.dispatcher.queued(SERVICE), 0);
}

#[test]
fn after_all_were_killed_urgent_requests_go_first_once_slots_are_in_use() {
    let mut next = world(policy(), 1.0);
    let asked = requests(&mut next, 30, 10);
    let mut book = Book::default();
    ask(&mut next, &mut book, &asked);
    let slots = UPSTREAMS * SLOTS as usize;
    assert_eq!(book.granted.len(), slots);
    book.play(&mut next);
    book.check(&asked, slots);
}

#[test]
fn after_the_loss_of_a_deputy_its_queue_counts_at_the_next_one_only() {
    let mut deputy = world(policy(), LOCAL_SHARE);
    let now = deputy.now;
    let running = fill(&mut deputy).running;
    let queued = requests(&mut deputy, 20, 10);
    let mut own = Book::default();
    ask(&mut deputy, &mut own, &queued);
    // One host loses the deputy, which serves the others.
    let (moved, kept): (Vec<_>, Vec<_>) = queued
        .into_iter()
        .partition(|request| request.ticket.host == "host-1");
    let (moved_running, kept_running): (BTreeMap<_, _>, _) = running
        .into_iter()
        .partition(|(ticket, _)| ticket.host == "host-1");
    deputy.dispatcher.disconnect_host("host-1", now);
    own.running = kept_running;
    own.absent = moved_running.clone();
    own.play(&mut deputy);
    own.check(&kept, 0);
    let mut next = world(policy(), LOCAL_SHARE);
    resume(&mut next, &moved_running);
    let mut book = Book {
        running: moved_running,
        ..Book::default()
    };
    ask(&mut next, &mut book, &moved);
    book.play(&mut next);
    let both = own.granted.iter().chain(&book.granted);
    let distinct: BTreeSet<&Ticket> = both.clone().collect();
    assert_eq!(distinct.len(), both.count());
}

/// Every dispatcher starts with a budget of its own.
#[test]
fn retries_of_dispatchers_that_follow_one_another_stay_within_one_budget() {
    let retries = Retries {
        ratio: 0.2,
        burst: 64.0,
    };
    let first = Policy {
        retries,
        is_first_dispatcher: true,
        ..policy()
    };
    let later = Policy {
        is_first_dispatcher: false,
        ..first
    };
    let mut granted = 0;
    // The first leader, two deputies at once, and two further leaders within one window.
    for (policy, share) in [
        (first, 1.0),
        (later, LOCAL_SHARE),
        (later, LOCAL_SHARE),
        (later, 1.0),
        (later, 1.0),
    ] {
        let mut world = world(policy, share);
        for _ in 0..100 {
            let mut request = world.request(IDEMPOTENT);
            (request.is_retry, request.attempts) = (true, 1);
            let ticket = request.ticket.clone();
            let decision = world.reserve(request);
            granted += u32::from(matches!(decision, Decision::Granted { .. }));
            world.release(&ticket, Outcome::Answered, RUN_TIME);
        }
    }
    assert!(f64::from(granted) <= retries.burst, "{granted}");
}
