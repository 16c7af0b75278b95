//! Drives the replica: time, syncs and messages.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::id::HostId;
use persimmonbend_replica::message::Message;

use crate::links::Links;
use crate::node::Node;

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(20);

/// Time between two reports of hosts to one caller.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Moves messages between the replica and the others.
pub struct Replication {
    node: Rc<Node>,
    links: Rc<Links>,
    reported: RefCell<BTreeMap<HostId, Instant>>,
}

impl Replication {
    /// Creates the driver of a replica.
    #[must_use]
    pub const fn new(node: Rc<Node>, links: Rc<Links>) -> Self {
        Self {
            node,
            links,
            reported: RefCell::new(BTreeMap::new()),
        }
    }

    /// Runs until the disk fails or the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    pub async fn run(&self) -> anyhow::Result<()> {
        loop {
            self.node.tend_members();
            for message in self.node.advance()? {
                self.links.send(message);
            }
            let _ = compio::time::timeout(TICK, self.node.worked()).await;
        }
    }

    /// Takes in a batch of another replica and returns a report of hosts now and then.
    ///
    /// # Errors
    ///
    /// Returns an error when the batch or the report has no sound form.
    pub fn receive(&self, batch: &[u8]) -> Result<Vec<u8>, postcard::Error> {
        let messages: Vec<Message> = postcard::from_bytes(batch)?;
        let caller = messages.first().map(|first| first.from.host.clone());
        for message in &messages {
            self.links.learn(message);
        }
        self.node.receive(messages);
        if caller.is_some_and(|caller| self.is_report_due(caller)) {
            return postcard::to_stdvec(&self.node.report());
        }
        Ok(Vec::new())
    }

    fn is_report_due(&self, caller: HostId) -> bool {
        let now = self.node.now();
        let mut reported = self.reported.borrow_mut();
        let last = reported.get(&caller).copied();
        let due = last.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if due {
            reported.insert(caller, now);
        }
        due
    }
}
