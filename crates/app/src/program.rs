//! Options, runtime, signals and exit codes that all programs share.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use log::LevelFilter;

use crate::logging;
use crate::settings;
use crate::signals::Signal;
use crate::signals::Signals;
use crate::stop::Stop;

/// Exit code of a program that failed.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for invalid settings or arguments.
pub const EXIT_USAGE: u8 = 2;

/// Signals that ask a program to stop.
pub const STOP_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];

/// Options of every long-running program.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Settings file, JSON with comments
    #[bpaf(long, short, argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings, report and exit
    #[bpaf(long)]
    pub check: bool,
    /// Logging options.
    #[bpaf(external(log))]
    pub log: Log,
}

/// Options for logging.
#[derive(Debug, Clone, Bpaf)]
pub struct Log {
    /// Log level: off, error, warn, info, debug or trace
    #[bpaf(long("log-level"), argument("LEVEL"), fallback(LevelFilter::Info))]
    pub level: LevelFilter,
    /// Log to this file instead of the standard error output
    #[bpaf(long("log-file"), argument("FILE"), optional)]
    pub file: Option<PathBuf>,
}

/// Parses the command line.
///
/// # Errors
///
/// Prints the help or an error message and returns the exit code: 0 for the help and the version,
/// [`EXIT_USAGE`] for invalid arguments.
pub fn parse<T>(options: &OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_COLUMNS);
        match failure {
            ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
        }
    })
}

/// Reads the settings, starts logging and runs `work` until it ends or a signal stops it.
///
/// Returns 0 if `work` ends without an error, [`EXIT_FAILURE`] if it ends with one, and
/// [`EXIT_USAGE`] for invalid settings or a log file that cannot be opened.
pub fn serve<R, C, F, W>(options: &Options, work: W) -> ExitCode
where
    R: serde::de::DeserializeOwned,
    C: TryFrom<R, Error = persimmonbend_core::fault::Faults>,
    F: Future<Output = anyhow::Result<()>>,
    W: FnOnce(C, Stop) -> F,
{
    let checked = match settings::load::<R, C>(&options.settings) {
        Ok(checked) => checked,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        println!("{}: the settings can be used", options.settings.display());
        return ExitCode::SUCCESS;
    }
    let signals = match Signals::start(&STOP_SIGNALS) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot take signals: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    if let Err(error) = logging::start(options.log.level, options.log.file.as_deref()) {
        eprintln!("{error:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    let stop = Stop::new();
    run(async {
        compio::runtime::spawn(watch_signals(signals, stop.clone())).detach();
        work(checked, stop).await
    })
}

/// Runs a future on a new runtime, prints its error if any and returns the exit code.
pub fn run<F: Future<Output = anyhow::Result<()>>>(future: F) -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    match runtime.block_on(future) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Requests the stop at the first of [`STOP_SIGNALS`]; later ones change nothing.
pub async fn watch_signals(signals: Signals, stop: Stop) {
    signals.wait_for(&STOP_SIGNALS).await;
    log::info!("program: stopping after SIGTERM or SIGINT");
    stop.ask();
}

/// Width of help texts in columns.
const HELP_COLUMNS: usize = 100;
