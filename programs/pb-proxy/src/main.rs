//! The program `pb-proxy`.

use std::process::ExitCode;

use bpaf::Bpaf;
use pb_proxy::settings::File;
use pb_proxy::settings::Settings;
use persimmonbend_app::program;
use persimmonbend_app::program::options;

/// Entry proxy of a persimmonbend fleet
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
        pb_proxy::run(settings, stop, |_| ()).await
    })
}
