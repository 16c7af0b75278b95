//! The program `pb-ctl`.

use std::process::ExitCode;

use pb_ctl::command;
use persimmonbend_app::program;

fn main() -> ExitCode {
    match program::parse(&command::arguments()) {
        Ok(arguments) => command::run(&arguments),
        Err(code) => code,
    }
}
