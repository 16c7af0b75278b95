//! Code that the programs share: settings, logging, metrics, orderly stop, exit codes and HTTP.
//!
//! [`settings::load`] reads and checks a settings file, [`program::run`] runs a future and returns
//! the exit code, [`http::Server`] serves HTTP and [`stop::Stop`] tells all tasks to stop.

pub mod http;
pub mod logging;
pub mod meters;
pub mod metrics;
pub mod program;
pub mod secret;
pub mod settings;
pub mod signals;
pub mod stop;
pub mod token;
