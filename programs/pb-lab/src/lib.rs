//! The developers' bench: a stand-in upstream, a load generator and a one-process demo.
//!
//! Everything runs on loopback with ports from the kernel. Nothing here is shipped to hosts.

pub mod answer;
pub mod capacity;
pub mod claims;
pub mod command;
pub mod demo;
pub mod ejection;
pub mod fleet;
pub mod load;
pub mod report;
pub mod routing;
pub mod run;
pub mod scenario;
pub mod upstream;
