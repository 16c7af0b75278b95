//! Proposals that wait to be committed and applied.

use std::collections::BTreeMap;

use futures_channel::oneshot;
use persimmonbend_core::machine::Reply;
use persimmonbend_replica::id::Index;

use crate::error::Error;
use crate::leadership::Term;

/// Most proposals that may wait at a time.
const MAX_WAITING: usize = 4_096;

/// Result of a proposal.
pub type Result = std::result::Result<Reply, Error>;

/// Waiting proposals by their index in the log.
#[derive(Debug, Default)]
pub struct Proposals {
    waiting: BTreeMap<Index, Proposal>,
}

#[derive(Debug)]
struct Proposal {
    term: Term,
    sender: oneshot::Sender<Result>,
}

impl Proposals {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
        }
    }

    /// Returns whether the list has no room for another proposal.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Adds a proposal and returns the receiver of its result.
    pub fn add(&mut self, term: Term, index: Index) -> oneshot::Receiver<Result> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(index, Proposal { term, sender });
        receiver
    }

    /// Answers the proposal at `index` after the entry of that index was applied; an entry of
    /// another term has replaced the proposal, whose outcome is unknown.
    pub fn complete(&mut self, term: Term, index: Index, reply: Reply) {
        if let Some(proposal) = self.waiting.remove(&index) {
            let result = if proposal.term == term {
                Ok(reply)
            } else {
                Err(Error::Unknown)
            };
            let _ = proposal.sender.send(result);
        }
    }

    /// Answers all proposals with [`Error::Unknown`].
    pub fn fail_all(&mut self) {
        for (_, proposal) in std::mem::take(&mut self.waiting) {
            let _ = proposal.sender.send(Err(Error::Unknown));
        }
    }
}
