//! Tests of the exit codes of `pb-ctl` for command lines that need no fleet.

#![allow(clippy::unwrap_used)]

use std::process::Command;

#[test]
fn command_lines_without_a_fleet_end_with_their_exit_codes() {
    let cases: [(&[&str], i32); 10] = [
        (&["--help"], 0),
        (&["--version"], 0),
        (&["token", "--json"], 0),
        (&[], 2),
        (&["publish", "--nonsense", "folder"], 2),
        (&["explain", "placement"], 2),
        (
            &["explain", "placement", "--route", "r", "--body-bytes", "x"],
            2,
        ),
        (
            &[
                "--settings",
                "nothing.jsonc",
                "explain",
                "placement",
                "--route",
                "r",
            ],
            2,
        ),
        (&["check", "nothing.persimmonbend.jsonc"], 2),
        (&["--settings", "nothing.jsonc", "status"], 2),
    ];
    for (arguments, code) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_pb-ctl"))
            .args(arguments)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
    }
}
