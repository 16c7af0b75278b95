//! Commands that operators run on a fleet, as functions and as the command line `pb-ctl`.
//!
//! [`files`] reads service files, [`fleet::Fleet`] calls control and the proxies, and [`command`]
//! parses and runs the command line. [`exit::Exit`] lists the exit codes.

pub mod command;
pub mod diff;
pub mod exit;
pub mod files;
pub mod fleet;
pub mod settings;
pub mod steering;
