//! Explanations of placements: they agree with what the dispatcher does next, and change nothing.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::dispatch::explain::Branch;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::dispatch::explain::Reason;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::roster::evacuation::Evacuations;
use persimmonbend_core::statement::Limit;
use persimmonbend_core::statement::Statement;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Stage;

use crate::world::IDEMPOTENT;
use crate::world::LOW_PRIORITY;
use crate::world::NON_IDEMPOTENT;
use crate::world::SERVICE;
use crate::world::World;

const ROUTES: [&str; 3] = [NON_IDEMPOTENT, IDEMPOTENT, LOW_PRIORITY];
const ZONES: [&str; 3] = ["a", "b", "c"];
const OUTCOMES: [Outcome; 6] = [
    Outcome::Answered,
    Outcome::Answered,
    Outcome::Answered,
    Outcome::Failed,
    Outcome::Unreachable,
    Outcome::Shed,
];

/// Requests that are placed alike by a dispatcher that was asked and by one that was not.
const CHECKED_AFTERWARDS: usize = 12;

/// What the property met so far, by the name of a decision or reason.
static SEEN: Mutex<BTreeMap<String, usize>> = Mutex::new(BTreeMap::new());

/// Returns a request whose kind, host and history follow from a number.
fn request(world: &mut World, choice: u8) -> Request {
    let mut request = world.request(ROUTES[usize::from(choice) % 3]);
    request.ticket.host = format!("host-{}", choice / 3 % 3);
    request.zone = ZONES[usize::from(choice / 9) % 3].to_owned();
    let tenants = [Some("farm"), Some("mill"), None];
    request.tenant = tenants[usize::from(choice / 7) % 3].map(str::to_owned);
    if (choice / 27).is_multiple_of(5) {
        request.attempts = 1;
        request.is_retry = true;
        request.avoid = vec![u32::from(choice % 4) + 1];
    }
    request
}

/// Plays one event of a day: mostly arrivals, and ends of running requests.
fn play(world: &mut World, running: &mut Vec<Ticket>, (event, choice): (u8, u8)) {
    let upstream = u32::from(choice) % 40 + 1;
    match event % 16 {
        0..8 => {
            for offset in 0..5 {
                let request = request(world, choice.wrapping_add(offset * 7));
                running.push(request.ticket.clone());
                world.reserve(request);
            }
        }
        8..12 if !running.is_empty() => {
            let ticket = running.remove(usize::from(choice) % running.len());
            let latency = Duration::from_millis(20 + u64::from(choice));
            world.release(&ticket, OUTCOMES[usize::from(choice) % 6], latency);
        }
        12 => {
            let statement = Statement {
                is_draining: choice.is_multiple_of(5),
                limit: Limit::try_from(f64::from(choice % 4))
                    .ok()
                    .filter(|_| choice < 64),
                pause: (choice % 3 == 1).then_some(Duration::from_secs(1)),
            };
            let host = format!("host-{}", choice % 3);
            let now = world.now;
            world
                .dispatcher
                .note_statement(&host, upstream, &statement, now);
        }
        13 => {
            let stage = [Stage::Ready, Stage::Draining, Stage::Starting][usize::from(choice) % 3];
            world.update_upstream(upstream, ZONES[upstream as usize % 3], stage);
        }
        _ => {
            world.advance(Duration::from_millis(u64::from(choice)));
            world.dispatcher.tick(world.now);
        }
    }
}

fn note(name: String) {
    let mut seen = SEEN.lock().expect("the counts");
    *seen.entry(name).or_default() += 1;
}

fn own_decision(dispatcher: &mut Dispatcher, request: &Request, world: &World) -> Decision {
    let answers = dispatcher.reserve(request.clone(), world.now);
    let own = answers.iter().find(|one| one.ticket == request.ticket);
    own.expect("an answer").decision
}

/// Returns whether each upstream but the chosen one has a reason that fits the decision.
fn is_complete(branch: &Branch, dispatcher: &Dispatcher, world: &World) -> bool {
    let granted = match branch.decision {
        Decision::Granted { upstream, .. } => Some(upstream),
        _ => None,
    };
    let each = branch.candidates.iter().all(|one| match one.left_out {
        None => granted == Some(one.upstream),
        Some(reason) => {
            note(format!("{reason:?}"));
            let is_outbid = matches!(
                reason,
                Reason::Costlier | Reason::OtherOnTrial | Reason::LeftToRepeatable
            );
            granted != Some(one.upstream) && (!is_outbid || granted.is_some())
        }
    });
    each && branch.candidates.len() == dispatcher.dump(world.now).len()
}

fn explanations_agree(upstreams: u8, setting: u8, events: Vec<(u8, u8)>, choice: u8) -> bool {
    let zones: Vec<&str> = (0..=usize::from(upstreams) % 40)
        .map(|one| ZONES[(one + 1) % 3])
        .collect();
    let mut world = World::new(&zones);
    match setting % 4 {
        0 => world.set_quota(1.0, 4.0),
        1 => world.set_warmup(2.0, Duration::from_secs(5)),
        2 => world.set_hedge_share(0.1),
        _ => {}
    }
    let mut running = Vec::new();
    for event in events {
        play(&mut world, &mut running, event);
    }
    let (mut asked, mut other) = (world.dispatcher.clone(), world.dispatcher.clone());
    for offset in 0..CHECKED_AFTERWARDS {
        let offset = u8::try_from(offset).expect("a small number");
        let request = request(&mut world, choice.wrapping_add(offset * 5));
        let branch = asked.explain_request(&request, &Evacuations::default(), world.now);
        let branch = branch.expect("the route is known");
        let decision = own_decision(&mut asked, &request, &world);
        match decision {
            Decision::Refused { kind, .. } => note(kind.to_string()),
            Decision::Queued => note("queued".to_owned()),
            Decision::Granted { .. } => note("granted".to_owned()),
        }
        let is_unchanged = decision == own_decision(&mut other, &request, &world);
        if branch.decision != decision || !is_unchanged || !is_complete(&branch, &asked, &world) {
            println!("{decision:?} {branch:?}");
            return false;
        }
    }
    true
}

#[test]
fn an_explanation_agrees_with_the_next_placement_and_changes_nothing() {
    type Property = fn(u8, u8, Vec<(u8, u8)>, u8) -> bool;
    persimmonbend_check::run("an_explanation_agrees", explanations_agree as Property);
    let seen = SEEN.lock().expect("the counts").clone();
    println!("{seen:?}");
    for name in ["granted", "queued", "overloaded", "rate_exceeded"] {
        assert!(seen.contains_key(name), "{name} was never met: {seen:?}");
    }
}

#[test]
fn a_refusal_is_explained_as_it_is_made_while_all_zones_are_evacuated() {
    let mut world = World::new(&["a"]);
    world.update_upstream(1, "a", Stage::Draining);
    let request = world.request(IDEMPOTENT);
    let mut evacuations = Evacuations::default();
    evacuations.set("a", true);
    let now = world.now;
    let branch = world
        .dispatcher
        .explain_request(&request, &evacuations, now);
    let branch = branch.expect("the route is known");
    assert_eq!(branch.candidates[0].left_out, Some(Reason::Evacuated));
    let decision = own_decision(&mut world.dispatcher.clone(), &request, &world);
    assert_eq!(branch.decision, decision);
    let code = Kind::NoUpstream;
    assert!(matches!(decision, Decision::Refused { kind, .. } if kind == code));
}

/// Returns the reason why the next request of a route does not go to an upstream.
fn reason(world: &mut World, route: &str, evacuated: &str, upstream: u32) -> Option<Reason> {
    let request = world.request(route);
    let mut evacuations = Evacuations::default();
    evacuations.set(evacuated, true);
    let branch = world
        .dispatcher
        .explain_request(&request, &evacuations, world.now);
    let branch = branch.expect("the route is known");
    let found = branch
        .candidates
        .iter()
        .find(|one| one.upstream == upstream);
    found.expect("the upstream").left_out
}

#[test]
fn each_statement_stage_and_order_is_named_as_the_reason() {
    let state = |is_draining, limit: Option<f64>, pause| Statement {
        is_draining,
        limit: limit.and_then(|limit| Limit::try_from(limit).ok()),
        pause,
    };
    let cases = [
        (state(true, None, None), Reason::StatesDraining),
        (state(false, Some(0.0), None), Reason::StatedLimit),
        (
            state(false, None, Some(Duration::from_secs(5))),
            Reason::Paused,
        ),
    ];
    for (statement, expected) in cases {
        let mut world = World::new(&["a", "b"]);
        let now = world.now;
        world
            .dispatcher
            .note_statement("host-1", 1, &statement, now);
        // The first permit of a limit is there at once.
        let _ = world.place(IDEMPOTENT);
        let _ = world.place(IDEMPOTENT);
        assert_eq!(reason(&mut world, IDEMPOTENT, "c", 1), Some(expected));
    }
    let mut world = World::new(&["a", "b"]);
    world.update_upstream(1, "a", Stage::Draining);
    assert_eq!(
        reason(&mut world, IDEMPOTENT, "c", 1),
        Some(Reason::Draining)
    );
    assert_eq!(
        reason(&mut world, IDEMPOTENT, "a", 1),
        Some(Reason::Evacuated)
    );
    world.set_warmup(1.0, Duration::from_secs(5));
    world.update_upstream(1, "a", Stage::Starting);
    for _ in 0..3 {
        let _ = world.place(IDEMPOTENT);
    }
    assert_eq!(
        reason(&mut world, IDEMPOTENT, "c", 1),
        Some(Reason::ColdLimit)
    );
}

#[test]
fn a_question_is_answered_for_its_zone_and_tenant_in_few_lines_or_names_what_is_unknown() {
    let zones: Vec<&str> = (0..442).map(|number| ZONES[number % 3]).collect();
    let mut world = World::new(&zones);
    // The size of an answer makes upstreams of the own zone cheaper.
    let (ticket, _) = world.place(IDEMPOTENT).expect("a slot");
    world.release(&ticket, Outcome::Answered, Duration::from_millis(20));
    let question = Question {
        route: IDEMPOTENT.to_owned(),
        tenant: Some("farm".to_owned()),
        zone: Some("b".to_owned()),
        ..Question::default()
    };
    let ask = |question: &Question| {
        let evacuations = Evacuations::default();
        world.dispatcher.explain(question, &evacuations, world.now)
    };
    let explanation = ask(&question).expect("an explanation");
    let branch = &explanation.branches[0];
    assert_eq!(branch.candidates.len(), 442);
    assert_eq!(
        (branch.candidates[0].zone.as_str(), branch.share),
        ("b", 1.0)
    );
    let lines = explanation.lines();
    assert!(
        lines.len() < 20 && lines[0].contains(IDEMPOTENT),
        "{lines:#?}"
    );
    assert!(
        lines.iter().any(|line| line.contains(SERVICE)),
        "{lines:#?}"
    );
    let route = Question {
        route: "nowhere".to_owned(),
        ..question.clone()
    };
    let text = ask(&route).expect_err("an unknown route").to_string();
    assert_eq!(
        text,
        "route nowhere is unknown; expected one of: again, later, once"
    );
    let tenant = Question {
        tenant: Some("nobody".to_owned()),
        ..question
    };
    let text = ask(&tenant).expect_err("an unknown tenant").to_string();
    assert_eq!(text, "tenant nobody is unknown; expected one of: farm");
}

/// Returns the reason why a request does not go to the upstream 1, if the dispatcher decides as explained.
fn agreed_reason(world: &mut World, route: &str) -> Option<Reason> {
    let request = world.request(route);
    let now = world.now;
    let branch = world
        .dispatcher
        .explain_request(&request, &Evacuations::default(), now);
    let branch = branch.expect("the route is known");
    let decision = own_decision(&mut world.dispatcher.clone(), &request, world);
    assert_eq!(branch.decision, decision);
    let found = branch.candidates.iter().find(|one| one.upstream == 1);
    found.expect("the upstream").left_out
}

#[test]
fn slots_that_are_kept_for_urgent_requests_are_named_as_the_reason() {
    let mut world = World::new(&["a"]);
    let mut seen = Vec::new();
    for _ in 0..10 {
        let slow: Vec<_> = (0..2).filter_map(|_| world.place(LOW_PRIORITY)).collect();
        for _ in 0..10 {
            // While none of the urgent requests runs, the slots that they will need are free.
            seen.extend(agreed_reason(&mut world, LOW_PRIORITY));
            let urgent = world.place(IDEMPOTENT);
            world.advance(Duration::from_millis(100));
            if let Some((ticket, _)) = urgent {
                world.release(&ticket, Outcome::Answered, Duration::from_millis(100));
            }
        }
        for (ticket, _) in slow {
            world.release(&ticket, Outcome::Answered, Duration::from_secs(1));
        }
    }
    assert!(seen.contains(&Reason::KeptForUrgent), "{seen:?}");
}

#[test]
fn a_free_suspect_is_named_as_such_while_a_request_waits_for_a_healthy_upstream() {
    let mut world = World::new(&["a", "a"]);
    world.update_upstream(2, "a", Stage::Draining);
    let (ticket, _) = world.place(IDEMPOTENT).expect("a slot");
    world.release(&ticket, Outcome::Failed, Duration::from_millis(50));
    world.update_upstream(2, "a", Stage::Ready);
    for _ in 0..3 {
        let (_, upstream) = world.place(NON_IDEMPOTENT).expect("a slot");
        assert_eq!(upstream, 2);
    }
    assert_eq!(
        agreed_reason(&mut world, NON_IDEMPOTENT),
        Some(Reason::Suspect)
    );
}
