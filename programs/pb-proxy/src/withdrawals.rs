//! Withdrawals of keys that control has not confirmed yet, passed on to it.

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

/// Time that a proxy leaves to each one that ranks before it for a key.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// Withdrawals passed on at a time.
const MAX_BATCH: usize = 32;

/// What is known of withdrawals that wait.
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

    /// Notes which operator handed a withdrawal to this proxy.
    pub fn note(&self, digest: Digest, operator: &str, now: Instant) {
        let waiting = Entry {
            since: now,
            operator: Some(operator.to_owned()),
            refused: false,
        };
        self.waiting.borrow_mut().insert(digest, waiting);
    }

    /// Returns the withdrawals that this proxy passes on now, with the operator to name.
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

    fn refuse(&self, digest: &Digest) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(digest) {
            waiting.refused = true;
        }
    }
}

/// Passes on to control what it has not confirmed yet.
///
/// # Errors
///
/// Returns the error of the call; what was not passed on stays waiting.
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
                info!("keys: control took the withdrawal of key {short} as revision {revision}");
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
