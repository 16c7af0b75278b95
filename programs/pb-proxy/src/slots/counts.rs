//! Counts of how reservations came about.

use std::cell::Cell;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counts {
    /// Slots granted by a steward.
    pub granted: Cell<u64>,
    /// Asks that had to wait for a slot.
    pub queued: Cell<u64>,
    /// Asks refused by a steward.
    pub refused: Cell<u64>,
    /// Asks without an answer in time.
    pub late: Cell<u64>,
    /// Upstreams chosen by this host on its own.
    pub chosen: Cell<u64>,
}
