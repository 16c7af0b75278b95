//! Why a replica does not answer a call.

use std::fmt;

use persimmonbend_wire::error::Error as Link;

/// Failure of a proposal or of a call that only the leader answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// This replica is not the leader; the text is the leader's address, or empty if unknown. The
    /// command was not proposed.
    NotLeader(String),
    /// Leadership was lost or the deadline passed before the command was committed, so it may or may
    /// not take effect.
    Unknown,
    /// The replica stopped. The command was not proposed.
    Stopped(String),
    /// The queue of proposals is full. The command was not proposed.
    Busy,
    /// A member of the log does not apply such a command yet. The command was not proposed.
    Unsupported,
    /// The command cannot be encoded, or the change of members is refused. Nothing was proposed.
    Invalid(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(hint) if hint.is_empty() => formatter.write_str("not the leader"),
            Self::NotLeader(hint) => write!(formatter, "not the leader, which is {hint}"),
            Self::Unknown => formatter.write_str("the outcome is unknown"),
            Self::Stopped(reason) => write!(formatter, "the replica stopped: {reason}"),
            Self::Unsupported => formatter.write_str("a member does not apply the command yet"),
            Self::Busy => formatter.write_str("too many proposals are waiting"),
            Self::Invalid(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        match error {
            Error::NotLeader(hint) => Link::NotLeader(hint).into(),
            other => Self::failed(other.to_string()),
        }
    }
}
