//! Encoding of commands as records of the log.

use std::rc::Rc;

use pb_control::node::record;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Published;
use persimmonbend_core::publication::Publication;

fn publish(document: &str) -> Command {
    let publication = Publication {
        version: Some(7),
        ..Publication::default()
    };
    Command::Publish {
        published: Rc::new(Published {
            publication: Rc::new(publication),
            document: document.to_owned(),
        }),
    }
}

#[test]
fn small_and_large_commands_survive_a_round_trip() {
    let large = r#"{"name":"r-1","spec":{"hostname":"farm.example"}}"#.repeat(500);
    for document in ["{}", &large] {
        let command = publish(document);
        let written = record::write(&command).unwrap();
        assert_eq!(record::read(&written).unwrap(), command);
    }
    let written = record::write(&publish(&large)).unwrap();
    assert!(
        written.len() * 10 < large.len(),
        "{} of {}",
        written.len(),
        large.len()
    );
}

#[test]
fn a_damaged_record_is_rejected() {
    let mut written = record::write(&publish(&"x".repeat(5_000))).unwrap();
    written.truncate(written.len() / 2);
    assert!(record::read(&written).is_err());
    assert!(record::read(b"").is_err());
    assert!(record::read(b"{").is_err());
}
