//! Developer tools: a stand-in upstream, a load generator, a scenario runner and a demo.
//!
//! Everything runs on loopback. Nothing here is shipped to hosts.

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
