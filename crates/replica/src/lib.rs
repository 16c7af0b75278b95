//! The replicated log of control, with its storage.
//!
//! [`journal::Journal`] keeps records on synced files with checksums and finds a torn or corrupt
//! tail when it is opened.

pub mod journal;
