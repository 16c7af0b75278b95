//! Exit codes of the program itself for a command line that cannot be used.

#![allow(clippy::unwrap_used)]

use std::process::Command;

#[test]
fn exit_codes_of_the_command_line() {
    let cases: [(&[&str], i32); 7] = [
        (&["--help"], 0),
        (&["--version"], 0),
        (&["token", "--json"], 0),
        (&[], 2),
        (&["publish", "--nonsense", "folder"], 2),
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
