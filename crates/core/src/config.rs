//! The configuration of the fleet, a deterministic state machine.
//!
//! Control appends a [`Submission`] to its log. Every process applies the resulting [`Entry`]s in
//! the same order with [`State::apply`], so a revision denotes the same configuration on every
//! host.

mod change;
mod file;
mod service;
mod state;

pub use change::Change;
pub use change::Entry;
pub use change::Order;
pub use change::Outcome;
pub use change::Submission;
pub use change::Summary;
pub use file::File;
pub use file::FileRoute;
pub use service::Rate;
pub use service::Route;
pub use service::Service;
pub use service::Tenant;
pub use state::Key;
pub use state::State;
