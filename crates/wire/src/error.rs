//! Errors of links between processes.

use std::fmt;
use std::io;

/// Failure of a link or of a call over it.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened or was lost.
    Io(io::Error),
    /// The other side did not prove that it knows the fleet secret.
    Unauthenticated,
    /// The connection or call took longer than its limit.
    Timeout,
    /// The other side does not serve the requested role.
    Role,
    /// The other side is not the leader; holds the address of the leader, or nothing if unknown.
    NotLeader(String),
    /// The call failed on the other side or in the RPC system.
    Remote(String),
    /// A message could not be read.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "link failed: {error}"),
            Self::Unauthenticated => {
                formatter.write_str("the other side does not know the fleet secret")
            }
            Self::Timeout => formatter.write_str("no answer in time"),
            Self::Role => formatter.write_str("the other side does not serve this role"),
            Self::NotLeader(hint) if hint.is_empty() => formatter.write_str("not the leader"),
            Self::NotLeader(hint) => write!(formatter, "not the leader, which is {hint}"),
            Self::Remote(text) => write!(formatter, "the call failed: {text}"),
            Self::Malformed(text) => write!(formatter, "malformed message: {text}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        if let Some(at) = error.extra.find(NOT_LEADER) {
            return Self::NotLeader(error.extra[at + NOT_LEADER.len()..].to_owned());
        }
        Self::Remote(error.to_string())
    }
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        match error {
            Error::NotLeader(hint) => Self::failed(format!("{NOT_LEADER}{hint}")),
            other => Self::failed(other.to_string()),
        }
    }
}

/// Prefix of the error text by which a follower refuses a call; the address of the leader follows.
const NOT_LEADER: &str = "not leader: ";
