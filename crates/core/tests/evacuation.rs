//! Evacuations of zones in the roster and in the replicated state.

use std::collections::BTreeMap;

use persimmonbend_check::properties;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::roster::Effect;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::roster::Roster;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

const ZONES: [&str; 2] = ["a", "b"];

const STAGES: [Stage; 3] = [Stage::Starting, Stage::Ready, Stage::Draining];

fn announcement(id: u8, zone: &str, sequence: u64, stage: Stage) -> Announcement {
    Announcement {
        id: id.to_string(),
        service: "herd".to_owned(),
        address: ([10, 0, 0, id], 1).into(),
        zone: zone.to_owned(),
        slots: 3,
        incarnation: 1,
        sequence,
        stage,
    }
}

fn stages(roster: &Roster) -> Vec<Stage> {
    let entries = roster.entries();
    entries.map(|entry| entry.announcement.stage).collect()
}

// An order that changed what was announced would turn each renewal into a change of the roster, and lose
// that an upstream drains of itself.
#[test]
fn an_evacuation_shows_upstreams_as_draining_and_its_withdrawal_shows_what_they_say() {
    let mut roster = Roster::default();
    for (id, stage) in (1..).zip([Stage::Ready, Stage::Draining]) {
        roster.apply(&announcement(id, "a", 1, stage));
    }
    assert_eq!(roster.set_evacuated("a", true).len(), 1);
    assert!(roster.set_evacuated("a", true).is_empty());
    assert_eq!(stages(&roster), [Stage::Draining; 2]);
    let renewal = announcement(1, "a", 2, Stage::Ready);
    assert_eq!(roster.evaluate(&renewal), Effect::Renewal);
    let changed = roster.apply(&announcement(3, "a", 1, Stage::Ready));
    assert_eq!(changed[0].announcement.stage, Stage::Draining);
    roster.apply(&announcement(1, "a", 3, Stage::Starting));
    assert_eq!(roster.set_evacuated("a", false).len(), 2);
    let expected = [Stage::Starting, Stage::Draining, Stage::Ready];
    assert_eq!(stages(&roster), expected);
}

#[test]
fn snapshots_keep_evacuations_and_those_of_earlier_builds_have_none() {
    let mut machine = Machine::default();
    machine.apply(&Command::Announce {
        announcement: announcement(1, "a", 1, Stage::Ready),
    });
    let earlier = serde_json::to_string(&machine).unwrap();
    assert!(!earlier.contains("evacuations"), "{earlier}");
    assert_eq!(serde_json::from_str::<Machine>(&earlier).unwrap(), machine);
    let zone = "a".to_owned();
    let reply = machine.apply(&Command::Evacuate { zone: zone.clone() });
    assert!(matches!(reply, Reply::Evacuation { changed, .. } if changed.len() == 1));
    let text = serde_json::to_string(&machine).unwrap();
    let mut restored: Machine = serde_json::from_str(&text).unwrap();
    assert_eq!(restored, machine);
    assert_eq!(stages(restored.roster()), [Stage::Draining]);
    restored.apply(&Command::Readmit { zone });
    assert_eq!(stages(restored.roster()), [Stage::Ready]);
}

#[test]
fn commands_that_earlier_builds_cannot_read_have_a_higher_level() {
    let zone = || "a".to_owned();
    assert_eq!(Command::Evacuate { zone: zone() }.level(), 2);
    assert_eq!(Command::Readmit { zone: zone() }.level(), 2);
    assert_eq!(Command::Deregister { id: zone() }.level(), 1);
}

fn shown(roster: &Roster) -> BTreeMap<Number, Entry> {
    let entries = roster.entries();
    entries.map(|entry| (entry.number, entry)).collect()
}

properties! {
    // A host that applies the changed entries only must end with the entries of the roster, and a change
    // without a new revision would never reach a host that missed it.
    fn changed_entries_and_revisions_tell_all_that_an_order_changes(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut roster = Roster::default();
        let mut host = BTreeMap::new();
        (1..).zip(steps).all(|(sequence, (kind, id, value))| {
            let zone = ZONES[usize::from(id % 2)];
            let before = roster.revision();
            let changed = match kind % 3 {
                0 => roster.set_evacuated(zone, value % 2 == 0),
                _ => {
                    let stage = STAGES[usize::from(value % 3)];
                    roster.apply(&announcement(id % 6, zone, sequence, stage))
                }
            };
            let is_told = changed.is_empty() || roster.revision() > before;
            host.extend(changed.into_iter().map(|entry| (entry.number, entry)));
            let is_obeyed = roster.entries().all(|entry| {
                let is_evacuated = roster.evacuations().contains(&entry.announcement.zone);
                !(is_evacuated && entry.announcement.stage.takes_requests())
            });
            is_told && is_obeyed && host == shown(&roster)
        })
    }
}
