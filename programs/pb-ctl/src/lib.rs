//! What operators do to a fleet, as functions and as a command line.
//!
//! [`files`] reads service files, [`fleet::Fleet`] talks to control and to proxies, and
//! [`command`] is the command line over both. [`exit::Exit`] lists the exit codes.

pub mod command;
pub mod diff;
pub mod exit;
pub mod files;
pub mod fleet;
pub mod settings;
pub mod steering;
