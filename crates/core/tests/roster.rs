//! The roster of upstreams: order of announcements, reused addresses and departures.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_check::properties;
use persimmonbend_core::roster::Effect;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Refusal;
use persimmonbend_core::roster::Roster;
use persimmonbend_core::roster::departures;
use persimmonbend_core::roster::departures::Departures;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

fn announcement(
    id: &str,
    port: u16,
    incarnation: u64,
    sequence: u64,
    stage: Stage,
) -> Announcement {
    Announcement {
        id: id.to_owned(),
        service: "herd".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".to_owned(),
        slots: 3,
        incarnation,
        sequence,
        stage,
    }
}

fn stage(roster: &Roster, id: &str) -> Option<Stage> {
    roster.get(id).map(|entry| entry.announcement.stage)
}

#[test]
fn a_renewal_changes_nothing_and_a_delayed_announcement_is_outdated() {
    let mut roster = Roster::default();
    let first = announcement("u", 1, 5, 10, Stage::Ready);
    assert_eq!(roster.evaluate(&first), Effect::New);
    assert_eq!(roster.apply(&first).len(), 1);
    let renewal = announcement("u", 1, 5, 11, Stage::Ready);
    assert_eq!(roster.evaluate(&renewal), Effect::Renewal);
    assert!(roster.apply(&renewal).is_empty());
    assert_eq!(
        roster.evaluate(&announcement("u", 1, 5, 9, Stage::Draining)),
        Effect::Outdated
    );
    assert_eq!(
        roster.evaluate(&announcement("u", 1, 4, 99, Stage::Ready)),
        Effect::Refused(Refusal::Replaced)
    );
    assert_eq!(
        roster.evaluate(&announcement("u", 1, 5, 12, Stage::Draining)),
        Effect::New
    );
}

#[test]
fn an_upstream_that_left_returns_only_with_a_new_incarnation() {
    let mut roster = Roster::default();
    roster.apply(&announcement("u", 1, 5, 1, Stage::Ready));
    let number = roster.get("u").unwrap().number;
    assert!(roster.deregister("u").is_some());
    assert!(roster.deregister("u").is_none());
    assert_eq!(
        roster.evaluate(&announcement("u", 1, 5, 7, Stage::Ready)),
        Effect::Refused(Refusal::Left)
    );
    assert_eq!(
        roster
            .apply(&announcement("u", 1, 6, 1, Stage::Ready))
            .len(),
        1
    );
    assert_eq!(stage(&roster, "u"), Some(Stage::Ready));
    assert_ne!(roster.get("u").unwrap().number, number);
    assert!(roster.deregister("nobody").is_none());
}

#[test]
fn the_latest_incarnation_holds_an_address() {
    let mut roster = Roster::default();
    roster.apply(&announcement("old", 1, 5, 1, Stage::Ready));
    let changed = roster.apply(&announcement("new", 1, 9, 1, Stage::Ready));
    let ids: Vec<&str> = changed
        .iter()
        .map(|one| one.announcement.id.as_str())
        .collect();
    assert_eq!(ids, ["old", "new"]);
    assert_eq!(stage(&roster, "old"), Some(Stage::Left));
    // Announcements of older incarnations that a partition delayed.
    assert_eq!(
        roster.evaluate(&announcement("older", 1, 4, 50, Stage::Ready)),
        Effect::Refused(Refusal::AddressHeld)
    );
    assert_eq!(
        roster.evaluate(&announcement("old", 1, 5, 50, Stage::Ready)),
        Effect::Refused(Refusal::Left)
    );
    assert_eq!(stage(&roster, "new"), Some(Stage::Ready));
}

#[test]
fn a_new_start_under_the_same_id_reports_the_earlier_one_as_left() {
    let mut roster = Roster::default();
    roster.apply(&announcement("u", 1, 5, 1, Stage::Ready));
    let earlier = roster.get("u").unwrap().number;
    let changed = roster.apply(&announcement("u", 2, 6, 1, Stage::Ready));
    let stages = changed
        .iter()
        .map(|one| (one.number, one.announcement.stage));
    let later = roster.get("u").unwrap().number;
    let expected = [(earlier, Stage::Left), (later, Stage::Ready)];
    assert_eq!(stages.collect::<Vec<_>>(), expected);
}

#[test]
fn the_number_of_departed_upstreams_is_bounded() {
    let mut roster = Roster::default();
    for number in 0..3_000_u64 {
        let id = format!("u{number}");
        roster.apply(&announcement(&id, 1, number, 1, Stage::Ready));
    }
    assert!(roster.entries().count() <= 1_025);
    assert_eq!(stage(&roster, "u2999"), Some(Stage::Ready));
}

/// A rollout replaced more upstreams than the roster keeps, and a resent registration brought one back.
#[test]
fn a_departed_upstream_is_refused_for_its_time_however_many_leave_after_it() {
    let mut roster = Roster::default();
    let mut departures = Departures::default();
    let start = Instant::now();
    let resent = announcement("u0", 1, 1, 1, Stage::Ready);
    for number in 0..3_000_u64 {
        let id = format!("u{number}");
        let changed = roster.apply(&announcement(&id, 1, 1 + number, 1, Stage::Ready));
        for entry in &changed {
            departures.note(entry, start);
        }
    }
    assert!(roster.deregister("u2999").is_some());
    assert_eq!(roster.evaluate(&resent), Effect::New);
    let just_before = start + departures::MEMORY - Duration::from_millis(1);
    departures.expire(just_before);
    assert!(departures.refuses(&resent));
    assert!(!departures.refuses(&announcement("u0", 1, 4_000, 1, Stage::Ready)));
    departures.expire(start + departures::MEMORY);
    assert!(!departures.refuses(&resent));
}

#[test]
fn a_later_departure_of_an_upstream_outlasts_the_memory_of_an_earlier_one() {
    let mut departures = Departures::default();
    let start = Instant::now();
    let left = |incarnation| Entry {
        number: 1,
        announcement: announcement("u", 1, incarnation, 1, Stage::Left),
    };
    departures.note(&left(5), start);
    departures.note(&left(6), start + departures::MEMORY / 2);
    departures.note(&left(5), start + departures::MEMORY / 2);
    departures.expire(start + departures::MEMORY);
    assert!(departures.refuses(&announcement("u", 1, 6, 9, Stage::Ready)));
    assert!(!departures.refuses(&announcement("u", 1, 7, 1, Stage::Ready)));
}

properties! {
    fn the_order_of_arrival_in_one_incarnation_is_ignored(sequences: Vec<u8>, drains: u8) -> bool {
        // From the sequence `drains` on, the upstream announces that it drains.
        let announce = |sequence: u8| {
            let stage = if sequence >= drains { Stage::Draining } else { Stage::Ready };
            announcement("u", 1, 1, u64::from(sequence), stage)
        };
        let mut roster = Roster::default();
        for sequence in &sequences {
            roster.apply(&announce(*sequence));
        }
        let expected = sequences.iter().max().map(|last| announce(*last).stage);
        stage(&roster, "u") == expected
    }

    fn no_order_and_no_restart_brings_a_departed_start_back(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut roster = Roster::default();
        let mut departed: BTreeSet<(String, u64)> = BTreeSet::new();
        for (id, incarnation, action) in steps {
            let id = format!("u{}", id % 3);
            let port = 1 + u16::from(id.as_bytes()[1]);
            match action % 4 {
                0 => {
                    let left = roster.deregister(&id);
                    departed.extend(left.map(|one| (id, one.announcement.incarnation)));
                }
                1 => {
                    let snapshot = serde_json::to_vec(&roster).unwrap();
                    roster = serde_json::from_slice(&snapshot).unwrap();
                }
                _ => {
                    let incarnation = u64::from(incarnation % 4);
                    let sequence = u64::from(action);
                    roster.apply(&announcement(&id, port, incarnation, sequence, Stage::Ready));
                }
            }
            let mut present = roster.entries().filter(|one| one.announcement.stage != Stage::Left);
            let has_left = |one: Entry| {
                departed.contains(&(one.announcement.id, one.announcement.incarnation))
            };
            if present.any(has_left) {
                return false;
            }
        }
        true
    }

    fn numbers_are_never_given_twice(starts: Vec<(u8, u8)>) -> bool {
        let mut roster = Roster::default();
        let mut given: BTreeMap<u32, (String, u64)> = BTreeMap::new();
        for (id, incarnation) in starts {
            let id = format!("u{}", id % 5);
            let incarnation = u64::from(incarnation);
            let port = 1 + u16::from(id.as_bytes()[1]);
            for entry in roster.apply(&announcement(&id, port, incarnation, 1, Stage::Ready)) {
                let holder = (entry.announcement.id.clone(), entry.announcement.incarnation);
                if given.insert(entry.number, holder.clone()).is_some_and(|one| one != holder) {
                    return false;
                }
            }
        }
        true
    }
}
