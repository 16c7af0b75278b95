//! Records that make a non-idempotent request run at most once.
//!
//! A host claims the record of a request before the first byte goes to an upstream and tells the
//! outcome afterwards. The [`Table`] is part of the replicated state, so of all claims for one
//! [`Name`] the log decides which one is [`Verdict::Fresh`]; only its owner runs the request.
//!
//! Times are carried in the commands, so every replica judges them alike.

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

/// Number of a group of control replicas that keeps a part of the records.
pub type Group = u32;

/// Groups among which records are spread.
pub const GROUPS: Group = 1;

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest answer that is kept, in bytes of its body.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Time for which a record is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
