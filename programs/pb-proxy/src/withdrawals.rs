//! Submission to control of withdrawn keys that it has not acknowledged yet.
//!
//! Withdrawals spread between proxies by gossip. The proxy that an operator called submits a
//! withdrawal at once; others do so after a delay that grows with their rank for the key.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Submission;
use persimmonbend_core::key::Digest;
use persimmonbend_core::rendezvous;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;

use crate::node::Node;

/// Delay of a submission for each live proxy that ranks before this one for the key.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// Most withdrawals that are submitted at a time.
const MAX_BATCH: usize = 32;

/// Withdrawals that wait for an acknowledgement of control.
#[derive(Debug, Default)]
pub struct Withdrawals {
    waiting: RefCell<BTreeMap<Digest, Entry>>,
}

#[derive(Debug)]
struct Entry {
    since: Instant,
    operator: Option<String>,
    refused: bool,
}

impl Withdrawals {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an operator called this proxy to withdraw a key.
    pub fn note(&self, digest: Digest, operator: &str, now: Instant) {
        let waiting = Entry {
            since: now,
            operator: Some(operator.to_owned()),
            refused: false,
        };
        self.waiting.borrow_mut().insert(digest, waiting);
    }

    /// Returns the withdrawals to submit now, each with its operator, or this host if another proxy
    /// was called.
    fn due(&self, node: &Node) -> Vec<(Digest, String)> {
        let board = node.board();
        let now = node.now();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|digest, _| board.withdrawn().contains(digest));
        let mut due = Vec::new();
        for digest in board.withdrawn() {
            let entry = waiting.entry(*digest).or_insert_with(|| Entry {
                since: now,
                operator: None,
                refused: false,
            });
            let ranked = rendezvous::rank(&digest.to_string(), board.live_hosts());
            let own = &node.settings().host;
            let rank = ranked.iter().position(|host| host == own).unwrap_or(0);
            let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
            let is_due = entry.operator.is_some() || now.duration_since(entry.since) >= delay;
            if is_due && !entry.refused && due.len() < MAX_BATCH {
                let operator = entry.operator.clone();
                due.push((*digest, operator.unwrap_or_else(|| own.clone())));
            }
        }
        due
    }

    /// Marks a withdrawal as refused by control, so that it is not submitted again.
    fn refuse(&self, digest: &Digest) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(digest) {
            waiting.refused = true;
        }
    }
}

/// Submits the withdrawals that are due to control.
///
/// # Errors
///
/// Returns the error of the call; withdrawals that were not submitted keep waiting.
pub async fn submit_due(node: &Rc<Node>, control: &Client) -> Result<(), Error> {
    for (digest, operator) in node.withdrawals().due(node) {
        let submission = Submission {
            id: format!("withdraw-{digest}"),
            base: None,
            operator,
            change: Change::WithdrawKey { digest },
        };
        let short = digest.short();
        match control.submit(&submission).await? {
            Outcome::Accepted { revision } => {
                info!(
                    "keys: control accepted the withdrawal of key {short} as revision {revision}"
                );
            }
            Outcome::Conflict { .. } => {}
            Outcome::Invalid { reason } => {
                warn!("keys: control refused the withdrawal of key {short}: {reason}");
                node.withdrawals().refuse(&digest);
            }
        }
    }
    Ok(())
}
