//! Tests that `docs/errors.md` matches the table of error kinds.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::path::Path;

use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;

fn row(kind: Kind) -> String {
    let answer = kind.answer();
    let ran = match answer.ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    };
    let retry = answer.retry_after;
    let retry = retry.map_or("-".to_owned(), |after| format!("{} s", after.as_secs()));
    let (code, status, text) = (answer.code, answer.status, answer.text);
    format!("| `{code}` | {status} | {ran} | {retry} | {text} |")
}

#[test]
fn the_page_lists_each_kind_as_in_the_table() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/errors.md");
    let page = std::fs::read_to_string(file).unwrap();
    let found: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = Kind::ALL.iter().map(|kind| row(*kind)).collect();
    assert_eq!(found, expected, "expected:\n{}", expected.join("\n"));
}

#[test]
fn codes_are_unique_and_statuses_are_errors() {
    let codes: BTreeSet<&str> = Kind::ALL.iter().map(|kind| kind.answer().code).collect();
    assert_eq!(codes.len(), Kind::ALL.len());
    assert!(Kind::ALL.iter().all(|kind| kind.answer().status >= 400));
}
