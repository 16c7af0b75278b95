//! The command line `pb-ctl` for operators.

use std::process::ExitCode;

use pb_ctl::command;
use persimmonbend_app::program;

fn main() -> ExitCode {
    match program::parse(&command::arguments()) {
        Ok(arguments) => command::run(&arguments),
        Err(code) => code,
    }
}
