//! The replicated log of control: a consensus state machine with its synced storage.
//!
//! [`replica::Replica`] takes ticks, messages and proposals and gives messages, committed entries
//! and installed snapshots. It opens no sockets and reads time from a passed-in clock, so that a
//! test replays any schedule. [`storage::Storage`] is its disk; [`files::Files`] keeps it on synced
//! files with checksums.

pub mod entry;
pub mod files;
pub mod id;
pub mod journal;
pub mod log;
pub mod members;
pub mod message;
pub mod replica;
pub mod settings;
pub mod storage;
