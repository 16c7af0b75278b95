//! Slot requests of this host that a steward has not decided yet.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::steward::Decision;

use crate::node::Node;

/// Pending slot requests by their number.
#[derive(Debug, Default)]
pub struct Pending {
    requests: RefCell<BTreeMap<u32, Entry>>,
}

#[derive(Debug)]
struct Entry {
    steward: HostId,
    decisions: UnboundedSender<Decision>,
}

impl Pending {
    /// Delivers a decision to its slot request if the request still waits for this steward.
    pub fn decide(&self, steward: &str, number: u32, decision: Decision) {
        let requests = self.requests.borrow();
        let entry = requests
            .get(&number)
            .filter(|entry| entry.steward == steward);
        if let Some(entry) = entry {
            let _ = entry.decisions.unbounded_send(decision);
        }
    }

    /// Returns whether any slot request waits for a steward.
    #[must_use]
    pub fn any_sent_to(&self, steward: &str) -> bool {
        let requests = self.requests.borrow();
        requests.values().any(|entry| entry.steward == steward)
    }

    /// Ends the wait of every slot request sent to a steward.
    pub fn cancel_all(&self, steward: &HostId) {
        let mut requests = self.requests.borrow_mut();
        requests.retain(|_, entry| entry.steward != *steward);
    }
}

/// A slot request that waits for a decision; withdrawn when dropped unless its grant is kept.
#[derive(Debug)]
pub struct Waiting {
    node: Rc<Node>,
    number: u32,
    steward: HostId,
    service: ServiceId,
    decisions: UnboundedReceiver<Decision>,
    is_kept: bool,
}

impl Waiting {
    /// Adds a slot request to the pending ones of `node`.
    #[must_use]
    pub fn new(node: &Rc<Node>, number: u32, steward: &HostId, service: &str) -> Self {
        let (sender, decisions) = mpsc::unbounded();
        let entry = Entry {
            steward: steward.clone(),
            decisions: sender,
        };
        let pending = &node.slots().pending;
        pending.requests.borrow_mut().insert(number, entry);
        Self {
            node: Rc::clone(node),
            number,
            steward: steward.clone(),
            service: service.to_owned(),
            decisions,
            is_kept: false,
        }
    }

    /// Returns the number of the slot request.
    #[must_use]
    pub const fn number(&self) -> u32 {
        self.number
    }

    /// Waits for the next decision; returns `None` when the link to the steward is lost.
    pub async fn next(&mut self) -> Option<Decision> {
        self.decisions.next().await
    }

    /// Keeps the grant when the slot request is dropped.
    pub fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let slots = self.node.slots();
        slots.pending.requests.borrow_mut().remove(&self.number);
        if !self.is_kept {
            slots.withdraw(&self.node, &self.steward, &self.service, self.number);
        }
    }
}
