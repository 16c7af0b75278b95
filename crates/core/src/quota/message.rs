//! Messages between holders and the issuer.

use std::time::Duration;

use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Sequence;
use crate::id::Term;
use crate::quota::Account;
use crate::quota::Seat;

/// When a reply was sent, on the clock of its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timestamp {
    /// Term of the issuer.
    pub term: Term,
    /// Time since the issuer started.
    pub since_start: Duration,
}

/// What a holder says about one account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The account.
    pub account: Account,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens wanted for requests to come.
    pub ahead: u32,
    /// Unspent tokens of the latest grant that are given back.
    pub returned: u32,
    /// Tokens that the holder still has after this; all other grants are settled.
    pub held: u32,
}

/// All that a holder has to say at a time.
///
/// A batch is sent again unchanged until it is answered; only then does the sequence rise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Host of the holder.
    pub host: HostId,
    /// Start of the holder that this is.
    pub incarnation: Incarnation,
    /// Number of the batch, rising by one.
    pub sequence: Sequence,
    /// Stamp of the last reply that reached the holder.
    pub echo: Option<Timestamp>,
    /// Term of the issuer to whom the asks list all that is held.
    pub complete_for: Option<Term>,
    /// One ask for each account.
    pub demands: Vec<Demand>,
}

/// The answer to one ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Grant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time until another token may be had, when fewer were granted than requests wait.
    pub retry_after: Duration,
}

/// The answer to a batch, with one grant for each ask in the same order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// When the reply was sent.
    pub timestamp: Timestamp,
    /// Seat of the host, if it has one.
    pub seat: Option<Seat>,
    /// Time until the issuer grants; zero when it does.
    pub opens_in: Duration,
    /// The grants.
    pub grants: Vec<Grant>,
}
