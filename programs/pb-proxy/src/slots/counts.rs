//! Counts of how reservations came about.

use std::cell::Cell;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counts {
    /// Slots granted by a steward.
    pub granted: Cell<u64>,
    /// Slot requests that had to wait for a slot.
    pub queued: Cell<u64>,
    /// Slot requests refused by a steward.
    pub refused: Cell<u64>,
    /// Slot requests without a first answer within the steward timeout.
    pub late: Cell<u64>,
    /// Upstreams chosen by this host without a grant of a steward.
    pub chosen: Cell<u64>,
}
