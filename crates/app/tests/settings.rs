//! Faults in settings are reported with their line and field.

use persimmonbend_app::settings;
use persimmonbend_app::settings::Located;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Service;

fn parse(text: &str) -> Result<Service, Vec<Located>> {
    settings::parse::<File, Service>(text)
}

#[test]
fn faults_have_a_line_and_a_field() {
    let cases = [
        (
            "{\n \"service\": \"a\",\n \"ownr\": 1\n}",
            3,
            "ownr",
            "did you mean owner?",
        ),
        ("{\n \"service\": \"a\",\n}}", 3, "file", ""),
        (
            "{\n \"service\": \"a\",\n \"service\": \"b\"\n}",
            3,
            "service",
            "twice",
        ),
        (
            "{\"service\": \"a\", \"owner\": \"o\",\n// a comment\n\"floor\": 1.5,\n\"routes\": [{\"id\": \"r\", \"prefix\": \"/\"}]}",
            3,
            "floor",
            "from 0 to 1",
        ),
        (
            "{\"service\": \"a\", \"owner\": \"o\", \"routes\": [\n{\"id\": \"r\", \"prefix\": \"/\"},\n{\"id\": \"r\", \"prefix\": \"/b\"}]}",
            3,
            "routes[1].id",
            "duplicate",
        ),
        (
            "{\"service\": \"a\", \"owner\": \"o\", \"routes\": [\n{\"id\": \"r\",\n\"prefix\": \"/\", \"methods\": [\"FETCH\"]}]}",
            3,
            "routes[0].methods[0]",
            "unknown method",
        ),
    ];
    for (text, line, field, reason) in cases {
        let faults = parse(text).unwrap_err();
        assert_eq!(faults[0].line, line, "{text}: {faults:?}");
        assert_eq!(faults[0].fault.field, field, "{text}: {faults:?}");
        assert!(
            faults[0].fault.reason.contains(reason),
            "{text}: {faults:?}"
        );
    }
}

#[test]
fn every_misspelt_field_is_reported_at_once() {
    let text = "{\"service\": \"a\", \"ownr\": \"o\",\n\"flor\": 1,\n\"routes\": [{\"id\": \"r\", \"prefx\": \"/\"}]}";
    let faults = parse(text).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|one| one.fault.field.as_str()).collect();
    assert_eq!(fields, ["ownr", "flor", "routes[0].prefx"], "{faults:?}");
    let text = "{\"service\": \"a\", \"owner\": \"o\", \"flor\": 1, \"floor\": 2,\n\"routes\": [{\"id\": \"r\", \"prefix\": \"/\"}]}";
    assert_eq!(parse(text).unwrap_err().len(), 2);
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = "{\"service\": \"\", \"owner\": \"\", \"floor\": 2, \"routes\": []}";
    assert_eq!(parse(text).unwrap_err().len(), 4);
}
