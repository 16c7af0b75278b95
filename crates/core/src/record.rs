//! Records that make a non-idempotent request run at most once.
//!
//! A host claims the record of a request before it sends the first byte to an upstream, and reports
//! the outcome afterwards. The [`Table`] is part of the replicated state, so the order of the log
//! decides which of several claims for one [`Name`] is [`Verdict::Fresh`]; only the owner of that
//! claim runs the request.
//!
//! Commands carry the time, so all replicas decide alike.

mod answer;
mod claim;
mod latin1;
mod table;

use std::time::Duration;

pub use answer::Answer;
pub use answer::Header;
pub use claim::Claim;
pub use claim::Name;
pub use claim::Outcome;
pub use claim::Owner;
pub use claim::Verdict;
pub use table::Table;

/// Milliseconds since the Unix epoch, as carried in commands.
pub type Millis = u64;

/// Number of a group of control replicas that keeps a share of the records.
pub type Group = u32;

/// Number of groups that the records are spread over.
pub const GROUP_COUNT: Group = 1;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Maximum size of the body of a kept answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Time for which a record is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
