//! The replicated log of the control replicas: a Raft-like consensus state machine and its storage.
//!
//! [`replica::Replica`] takes ticks, messages and proposals, and returns messages to send,
//! committed entries and installed snapshots. The replica opens no sockets and reads time from a
//! clock that is passed in, so that a test can replay any schedule. [`storage::Storage`] is the
//! interface to its disk, and [`files::Files`] implements that on synced files with checksums.

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
