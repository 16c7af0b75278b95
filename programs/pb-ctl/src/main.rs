//! The program `pb-ctl`.

use std::process::ExitCode;

use pb_ctl::command;

fn main() -> ExitCode {
    command::run(&command::arguments().run())
}
