//! The program `pb-console`.

use std::process::ExitCode;

use bpaf::Bpaf;
use pb_console::settings::File;
use pb_console::settings::Settings;
use persimmonbend_app::program;
use persimmonbend_app::program::options;

/// Operators' page of a persimmonbend fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    #[bpaf(external(options))]
    options: program::Options,
}

fn main() -> ExitCode {
    let arguments = match program::parse(&arguments()) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    program::serve::<File, Settings, _, _>(&arguments.options, |settings, stop| async move {
        pb_console::run(settings, stop, |_| ()).await
    })
}
