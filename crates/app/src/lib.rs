//! What the programs share: settings, logging, stopping, exit codes and HTTP helpers.
//!
//! Use [`settings::load`] to read a checked document, [`program::run`] to run a program to its
//! exit code, [`http::Server`] to serve HTTP and [`stop::Stop`] to end it all in order.

pub mod http;
pub mod logging;
pub mod meters;
pub mod metrics;
pub mod program;
pub mod secret;
pub mod settings;
pub mod stop;
pub mod token;
