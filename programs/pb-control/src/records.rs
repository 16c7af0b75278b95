//! Claims of idempotency records, which the leader decides through the replicated log.

use std::rc::Rc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use compio::time::timeout;
use event_listener::Event;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::Millis;
use persimmonbend_core::record::Outcome;
use persimmonbend_core::record::Verdict;
use serde_json::json;

use crate::error::Error;
use crate::node::Node;

/// Longest time that a claim waits while another owner executes the request.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(2);

/// The leader's answers to claims, and outcomes of executions.
#[derive(Debug)]
pub struct Records {
    node: Rc<Node>,
    clock: Rc<dyn Clock>,
    completed: Event,
}

impl Records {
    /// Creates the handler of claims and outcomes at a replica.
    #[must_use]
    pub const fn new(node: Rc<Node>, clock: Rc<dyn Clock>) -> Self {
        Self {
            node,
            clock,
            completed: Event::new(),
        }
    }

    /// Decides a claim and waits at most `wait` while another owner executes the request.
    ///
    /// Only a claim that changes a record goes through the log; all other verdicts are read from the
    /// committed state.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or cannot commit the claim.
    pub async fn claim(&self, claim: &Claim, wait: Duration) -> Result<Verdict, Error> {
        let deadline = self.clock.now() + wait.min(MAX_CLAIM_WAIT);
        loop {
            self.node.require_leader()?;
            let completed = self.completed.listen();
            let verdict = match self.peek(claim) {
                Some(verdict) => verdict,
                None => self.propose(claim).await?,
            };
            let remaining = deadline.saturating_duration_since(self.clock.now());
            if verdict != Verdict::Running || remaining.is_zero() {
                return Ok(verdict);
            }
            let _ = timeout(remaining, completed).await;
        }
    }

    /// Records the outcome of an execution.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or cannot commit the outcome.
    pub async fn complete(&self, claim: Claim, outcome: Outcome) -> Result<(), Error> {
        let command = Command::Complete {
            name: claim.name,
            owner: claim.owner,
            outcome,
            at: self.wall_millis(),
        };
        self.node.propose(command).await?;
        self.completed.notify(usize::MAX);
        Ok(())
    }

    /// Returns the number of records and their stored bytes as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        self.node.read(|machine| {
            json!({
                "count": machine.records().len(),
                "stored_bytes": machine.records().stored_bytes(),
            })
        })
    }

    fn peek(&self, claim: &Claim) -> Option<Verdict> {
        let at = self.wall_millis();
        self.node.read(|machine| machine.records().peek(claim, at))
    }

    async fn propose(&self, claim: &Claim) -> Result<Verdict, Error> {
        let command = Command::Claim {
            claim: claim.clone(),
            at: self.wall_millis(),
        };
        match self.node.propose(command).await? {
            Reply::Claim { verdict } => Ok(verdict),
            _ => Err(Error::Unknown),
        }
    }

    fn wall_millis(&self) -> Millis {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        Millis::try_from(since.unwrap_or_default().as_millis()).unwrap_or(Millis::MAX)
    }
}
