//! The log between replicas of two builds.

mod disk;

use std::rc::Rc;
use std::time::Duration;

use pb_control::node::Commands;
use pb_control::node::Halt;
use pb_control::node::Node;
use pb_control::node::Report;
use pb_control::node::Word;
use pb_control::node::record;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::FIRST_COMMANDS;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::OWN_COMMANDS;
use persimmonbend_replica::entry::Entry;
use persimmonbend_replica::entry::Payload;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::members::Change;
use persimmonbend_replica::members::Member;
use persimmonbend_replica::members::Members;
use persimmonbend_replica::members::Role;
use persimmonbend_replica::message::Append;
use persimmonbend_replica::message::Body;
use persimmonbend_replica::message::Message;
use persimmonbend_replica::message::Position;
use persimmonbend_replica::storage::Snapshot;

use crate::disk::Disk;

/// Records, a snapshot and messages, as hexadecimal text, that a build without levels has written.
const FIRST_LOG: &str = include_str!("fixtures/log-8b90ec0.txt");

/// Time in which a single replica begins to lead.
const ELECTION: Duration = Duration::from_secs(3);

fn first(name: &str) -> Vec<Vec<u8>> {
    let lines = FIRST_LOG.lines().filter_map(|line| line.split_once(' '));
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16);
    lines
        .filter(|(known, _)| *known == name)
        .map(|(_, hex)| {
            let pairs = hex.as_bytes().chunks(2);
            pairs.map(|pair| byte(pair).expect("a byte")).collect()
        })
        .collect()
}

fn open(disk: &Disk) -> (Node, Rc<Manual>) {
    let clock = Rc::new(Manual::new());
    let shared: Rc<dyn Clock> = Rc::clone(&clock) as Rc<dyn Clock>;
    let node = Node::open_with(Box::new(disk.clone()), &disk::settings(), shared);
    (node.expect("the storage works"), clock)
}

/// Opens a replica whose log has three members.
fn open_with_three_members() -> (Node, Rc<Manual>) {
    let disk = Disk::new();
    let hosts = ["control-1", "control-2", "control-3"];
    let members = hosts.into_iter().zip(7..).map(|(host, storage)| Member {
        id: Id {
            host: host.to_owned(),
            storage,
        },
        address: "127.0.0.1:1".to_owned(),
        role: Role::Voter,
    });
    disk.contents.borrow_mut().snapshot.members = Members::new(members.collect());
    open(&disk)
}

#[test]
fn records_and_snapshots_of_builds_without_levels_are_read() {
    let mut machine = Machine::default();
    let records = first("record");
    assert_eq!(records.len(), 6);
    for record in records {
        let command = record::read(&record).expect("a command");
        assert_eq!(command.level(), FIRST_COMMANDS);
        assert_eq!(record::write(&command).expect("a record"), record);
        machine.apply(&command);
    }
    let snapshot = first("snapshot").remove(0);
    let read: Machine = serde_json::from_slice(&snapshot).expect("a snapshot");
    assert_eq!(read, machine);
    assert_eq!(serde_json::to_vec(&read).expect("a snapshot"), snapshot);
}

#[test]
fn messages_and_reports_with_levels_behind_them_are_read_by_builds_without() {
    let batch = first("batch").remove(0);
    let messages: Vec<Message> = postcard::from_bytes(&batch).expect("messages");
    let sent = postcard::to_stdvec(&(&messages, OWN_COMMANDS)).expect("a batch");
    assert!(sent.starts_with(&batch));
    let read: Vec<Message> = postcard::from_bytes(&sent).expect("an older build reads it");
    assert_eq!(read, messages);
    let reply = first("reports").remove(0);
    let reports: Vec<Report> = postcard::from_bytes(&reply).expect("reports");
    let sent = postcard::to_stdvec(&(&reports, word("control-1", 2, 0))).expect("a reply");
    let read: Vec<Report> = postcard::from_bytes(&sent).expect("an older build reads it");
    assert_eq!(read, reports);
}

fn word(host: &str, commands: Commands, age_ms: u64) -> Vec<Word> {
    vec![Word {
        host: host.to_owned(),
        commands,
        age_ms,
    }]
}

#[test]
fn a_command_is_not_proposed_before_every_member_has_named_its_level() {
    let (node, clock) = open_with_three_members();
    assert!(node.all_members_apply(FIRST_COMMANDS));
    assert!(!node.all_members_apply(OWN_COMMANDS));
    node.note_build("control-2", Some(OWN_COMMANDS));
    node.note_build("control-3", None);
    assert!(!node.all_members_apply(OWN_COMMANDS), "one is older");
    node.note_build("control-3", Some(OWN_COMMANDS));
    assert!(node.all_members_apply(OWN_COMMANDS));
    assert!(!node.all_members_apply(OWN_COMMANDS + 1));
    node.note_build("control-2", None);
    assert!(!node.all_members_apply(OWN_COMMANDS), "one went back");
    node.note_build("control-2", Some(OWN_COMMANDS));
    clock.advance(Duration::from_secs(3_600));
    assert!(!node.all_members_apply(OWN_COMMANDS), "none was heard of");
}

/// A replica that is lost with its zone must not keep a new leader from moving requests out of the zone.
#[test]
fn a_new_leader_knows_the_level_of_a_lost_member_from_the_others() {
    let (node, _) = open_with_three_members();
    node.note_build("control-2", Some(OWN_COMMANDS));
    node.merge_words(word("control-3", OWN_COMMANDS, 30_000));
    assert!(node.all_members_apply(OWN_COMMANDS));
    node.note_build("control-3", None);
    node.merge_words(word("control-3", OWN_COMMANDS, 20_000));
    assert!(!node.all_members_apply(OWN_COMMANDS), "its own word counts");
    assert!(
        node.words()
            .contains(&word("control-1", OWN_COMMANDS, 0)[0])
    );
}

fn advance(node: &Node, clock: &Manual, time: Duration) -> Result<(), Halt> {
    let step = Duration::from_millis(20);
    for _ in 0..time.as_millis() / step.as_millis() {
        clock.advance(step);
        node.advance()?;
    }
    Ok(())
}

/// Returns the message of a leader that has committed two commands.
fn append(commands: [&[u8]; 2]) -> Message {
    let entries = commands.into_iter().zip(1..).map(|(command, index)| Entry {
        term: 1,
        index,
        payload: Payload::Command(command.to_vec()),
    });
    Message {
        from: Id {
            host: "control-2".to_owned(),
            storage: 8,
        },
        to: "control-1".to_owned(),
        storage: None,
        term: 1,
        body: Body::Append(Append {
            round: 1,
            previous: Position { term: 0, index: 0 },
            entries: entries.collect(),
            commit: 2,
        }),
    }
}

#[test]
fn a_replica_that_cannot_read_a_command_neither_leads_nor_serves() {
    let (node, clock) = open_with_three_members();
    let publication = first("record").remove(0);
    node.receive(vec![append([
        br#"{"command":"of_a_newer_build","what":1}"#,
        &publication,
    ])]);
    let halt = node.advance().expect_err("an unreadable command");
    assert!(matches!(halt, Halt::Unreadable(_)), "{halt}");
    assert!(!node.is_current() && node.leader_within(ELECTION).is_none());
    let version = node.read(|machine| machine.published().publication.version);
    assert_eq!(version, None, "what comes behind is not applied");
    clock.advance(ELECTION);
    node.receive(vec![append([&publication, &publication])]);
    assert!(node.advance().is_err(), "it stays out of the log");
}

/// Returns storage with a snapshot of a log with one member that holds commands of a level.
fn disk_with_commands(commands: Commands) -> Disk {
    let mut machine = serde_json::to_value(Machine::default()).expect("a snapshot");
    machine["commands"] = commands.into();
    let disk = Disk::new();
    let id = disk.contents.borrow().id.clone();
    let member = Member {
        id,
        address: "127.0.0.1:1".to_owned(),
        role: Role::Voter,
    };
    disk.contents.borrow_mut().snapshot = Snapshot {
        index: 4,
        term: 1,
        members: Members::new(vec![member]),
        data: serde_json::to_vec(&machine).expect("a snapshot"),
    };
    disk
}

#[test]
fn a_snapshot_with_commands_of_a_newer_build_is_not_taken_for_an_older_one() {
    let disk = disk_with_commands(OWN_COMMANDS + 1);
    let clock: Rc<dyn Clock> = Rc::new(Manual::new());
    let opened = Node::open_with(Box::new(disk), &disk::settings(), clock);
    let halt = opened.expect_err("a newer snapshot");
    assert!(matches!(halt, Halt::Unreadable(_)), "{halt}");
    assert!(halt.to_string().contains("level"), "{halt}");
}

#[compio::test]
async fn a_replica_of_an_older_build_is_not_added_to_a_log_with_newer_commands() {
    let disk = disk_with_commands(OWN_COMMANDS);
    let (node, clock) = open(&disk);
    advance(&node, &clock, ELECTION).expect("the storage works");
    assert!(node.all_members_apply(OWN_COMMANDS));
    let add = Change::Add {
        host: "control-9".to_owned(),
    };
    node.note_build("control-9", None);
    let refused = node.change_members(&add).await.expect_err("an older build");
    assert!(
        refused
            .to_string()
            .contains(&format!("level {OWN_COMMANDS}")),
        "{refused}"
    );
    node.note_build("control-9", Some(OWN_COMMANDS));
    let refused = node.change_members(&add).await.expect_err("it did not ask");
    assert!(!refused.to_string().contains("level"), "{refused}");
}

#[test]
fn every_command_has_a_level_that_this_build_applies() {
    let commands = first("record").into_iter().map(|one| record::read(&one));
    let commands: Vec<Command> = commands.map(|one| one.expect("a command")).collect();
    assert!(commands.iter().all(|one| one.level() <= OWN_COMMANDS));
}
