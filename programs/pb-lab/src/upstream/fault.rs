//! Faults that a stand-in upstream can be given while it runs.

use serde::Deserialize;
use serde::Serialize;

/// How an upstream misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault", deny_unknown_fields)]
pub enum Fault {
    /// The upstream works normally.
    #[default]
    None,
    /// Every request takes longer.
    Slow {
        /// Added time in milliseconds.
        by_ms: u64,
    },
    /// Requests are answered with an error at once.
    Error {
        /// Share of requests in percent.
        percent: u8,
    },
    /// Answers end before the announced content length.
    Truncated,
    /// Requests are executed and never answered.
    Silent,
    /// Requests are refused and marked as not run.
    Shed,
}
