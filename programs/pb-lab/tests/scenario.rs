//! The parser of scenario files, and the files in scenarios/.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use pb_lab::scenario::Action;
use pb_lab::scenario::Scenario;
use pb_lab::upstream::Fault;
use persimmonbend_check::properties;

/// Lines that a scenario needs before its events.
const VALID_HEAD: &str =
    "hosts 2 in 1 zones\nservice herd upstreams 2 slots 3 work 20ms floor 70%\nrun 1s\n";

/// Guards against events that run in the order of the file instead of by time.
#[test]
fn events_are_read_and_ordered_by_time() {
    let text = format!(
        "{VALID_HEAD}at 2s heal herd-0\nat 500ms slow herd-0 by 300ms # grey\nat 1s race\n"
    );
    let scenario = Scenario::try_from(text.as_str()).unwrap();
    let slow = Action::Fault("herd-0".to_owned(), Fault::Slow { by_ms: 300 });
    let heal = Action::Fault("herd-0".to_owned(), Fault::None);
    let expected = [(500, slow), (1_000, Action::Race), (2_000, heal)];
    for (event, (at, action)) in scenario.events.iter().zip(expected) {
        assert_eq!(event.at, Duration::from_millis(at));
        assert_eq!(event.action, action);
    }
}

/// Guards against errors without the line that has to be mended; line 0 stands for the whole file.
#[test]
fn errors_name_their_line() {
    let cases = [
        ("at 1s explode herd-0", 4),
        ("at soon kill host-1", 4),
        ("expect beauty >= 1", 4),
        ("at 1s slow herd-0 by 300", 4),
        ("at -1s kill host-1", 4),
        ("tenant a rate 1/s burst 1 sends 1/s to nowhere", 0),
    ];
    for (line, number) in cases {
        let error = Scenario::try_from(format!("{VALID_HEAD}{line}").as_str()).unwrap_err();
        assert_eq!(error.line, number, "{line}: {error}");
    }
}

/// Guards against a change of the language that the scenario files did not follow.
#[test]
fn the_scenarios_of_the_repository_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut read = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let scenario = Scenario::try_from(std::fs::read_to_string(&path).unwrap().as_str());
        assert!(scenario.is_ok(), "{}: {scenario:?}", path.display());
        read += 1;
    }
    assert!(read > 0, "the folder holds no scenarios");
}

properties! {
    /// Guards against a panic of the parser on any text.
    fn any_text_is_parsed_or_refused_without_a_panic(text: String) -> bool {
        let _ = Scenario::try_from(text.as_str());
        let _ = Scenario::try_from(format!("{VALID_HEAD}at {text}").as_str());
        true
    }
}
