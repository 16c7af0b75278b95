//! Messages between holders and the issuer.

use std::time::Duration;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Term;
use crate::quota::Account;
use crate::quota::Seat;

/// The time of a reply on the clock of its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Term of the issuer.
    pub term: Term,
    /// Time since the issuer started.
    pub since_start: Duration,
}

/// Tokens of one account that a holder requests, returns and still holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Account of the tokens.
    pub account: Account,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens requested for future requests.
    pub ahead: u32,
    /// Unspent tokens of the latest grant that are returned.
    pub returned: u32,
    /// Tokens that the holder keeps; granted tokens that are neither kept nor returned count as
    /// spent.
    pub held: u32,
}

/// A message from a holder with the demands of its accounts.
///
/// A batch is sent again unchanged until it is answered; only then does the sequence rise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Host of the holder.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Number of the batch, which rises by one.
    pub sequence: Sequence,
    /// Timestamp of the last reply that the holder received; acknowledges that reply.
    pub echo: Option<Timestamp>,
    /// Term of the issuer to which the demands list all held tokens; `None` for a partial list.
    pub complete_for: Option<Term>,
    /// At most one demand for each account.
    pub demands: Vec<Demand>,
}

/// The answer to one demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Grant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time until the next token is due if fewer were granted than requests wait, else zero.
    pub retry_after: Duration,
}

/// The answer to a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// When the reply was sent.
    pub timestamp: Timestamp,
    /// Seat of the host, if it has one.
    pub seat: Option<Seat>,
    /// Time until the issuer starts to grant; zero when it grants already.
    pub opens_in: Duration,
    /// One grant for each demand, in the same order.
    pub grants: Vec<Grant>,
}
