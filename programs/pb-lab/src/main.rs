//! The program `pb-lab`.

use std::process::ExitCode;

use pb_lab::command;

fn main() -> ExitCode {
    command::run(command::arguments().run())
}
