//! Logging with `simplelog`; the command line sets the level and the file.
//!
//! Each part of a program starts its lines with a fixed prefix, such as `control:` or `route:`.

pub mod lines;

use std::fs::OpenOptions;
use std::path::Path;

use anyhow::Context;
use log::LevelFilter;
use simplelog::ColorChoice;
use simplelog::Config;
use simplelog::ConfigBuilder;
use simplelog::TermLogger;
use simplelog::TerminalMode;
use simplelog::WriteLogger;

/// Starts logging to `file`, or to the standard error output if it is `None`.
///
/// # Errors
///
/// Returns an error when the file cannot be opened or logging has been started already.
pub fn start(level: LevelFilter, file: Option<&Path>) -> anyhow::Result<()> {
    match file {
        Some(path) => {
            let opened = OpenOptions::new().create(true).append(true).open(path);
            let file =
                opened.with_context(|| format!("cannot open the log file {}", path.display()))?;
            WriteLogger::init(level, config(), file)?;
        }
        None => TermLogger::init(level, config(), TerminalMode::Stderr, ColorChoice::Never)?,
    }
    Ok(())
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("persimmonbend")
        .add_filter_allow_str("pb_")
        .build()
}
