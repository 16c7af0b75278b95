//! The loop that drives the replica: clock ticks, syncs to disk and messages.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::id::HostId;
use persimmonbend_replica::message::Message;
use tracing::error;
use tracing::info;
use tracing::warn;

use crate::links::Links;
use crate::node::Halt;
use crate::node::Node;

/// Longest time between two steps of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time between two reports of hosts to one other replica.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a stopping replica keeps running after it transferred leadership: the new leader
/// needs its vote.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Time between two attempts to open storage that failed; a full or faulty disk lasts for seconds.
pub(crate) const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Time between two log lines of a replica that waits for a build which reads its log.
const UPGRADE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The driver of a replica and its exchange of messages with the others.
pub struct Replication {
    node: Rc<Node>,
    links: Rc<Links>,
    last_reports: RefCell<BTreeMap<HostId, Instant>>,
}

impl Replication {
    /// Creates the driver of a replica.
    #[must_use]
    pub const fn new(node: Rc<Node>, links: Rc<Links>) -> Self {
        Self {
            node,
            links,
            last_reports: RefCell::new(BTreeMap::new()),
        }
    }

    /// Drives the replica until the future is dropped. A replica whose storage failed or that was
    /// removed is opened again. One that cannot read a committed command or snapshot, which a newer build
    /// has written, waits to be replaced by such a build.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage is damaged or may not be used.
    pub async fn run(&self) -> anyhow::Result<()> {
        loop {
            self.node.propose_due_member_change();
            if let Err(halt) = self.step() {
                self.recover(halt).await?;
            }
            let _ = compio::time::timeout(TICK_INTERVAL, self.node.wait_for_work()).await;
        }
    }

    /// Transfers leadership before a planned stop, so that the next leader need not wait until the
    /// lease expires.
    pub async fn transfer_leadership(&self) {
        if !self.node.transfer_leadership() {
            return;
        }
        let steps = TRANSFER_TIME.as_millis() / TICK_INTERVAL.as_millis();
        for _ in 0..steps {
            if let Err(halt) = self.step() {
                warn!(reason = %halt, "hand_over_failed");
                return;
            }
            compio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Advances the replica and sends its messages.
    fn step(&self) -> Result<(), Halt> {
        for message in self.node.advance()? {
            self.links.send(message);
        }
        Ok(())
    }

    /// Tries to reopen the replica until it succeeds or cannot recover.
    async fn recover(&self, mut halt: Halt) -> anyhow::Result<()> {
        if let Halt::Unreadable(_) = halt {
            wait_for_upgrade(&halt).await;
        }
        warn!(reason = %halt, "storage_lost");
        while halt.is_recoverable() {
            compio::time::sleep(REOPEN_PAUSE).await;
            match self.node.reopen() {
                Ok(()) => {
                    info!(revision = self.node.revision(), "storage_regained");
                    return Ok(());
                }
                Err(next) => halt = next,
            }
        }
        Err(halt.into())
    }

    /// Delivers a batch of messages of another replica; returns an encoded report of hosts when
    /// one is due, or else no bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the batch cannot be decoded or the report cannot be encoded.
    pub fn receive(&self, batch: &[u8]) -> Result<Vec<u8>, postcard::Error> {
        let (messages, rest): (Vec<Message>, _) = postcard::take_from_bytes(batch)?;
        let caller = messages.first().map(|first| first.from.host.clone());
        if let Some(caller) = &caller {
            // An older build sends nothing behind its messages.
            self.node
                .note_build(caller, postcard::from_bytes(rest).ok());
        }
        for message in &messages {
            self.links.record_addresses(message);
        }
        self.node.receive(messages);
        if caller.is_some_and(|caller| self.is_report_due(caller)) {
            return postcard::to_stdvec(&(self.node.reports(), self.node.words()));
        }
        Ok(Vec::new())
    }

    fn is_report_due(&self, caller: HostId) -> bool {
        let now = self.node.now();
        let mut last_reports = self.last_reports.borrow_mut();
        let last = last_reports.get(&caller).copied();
        let is_due = last.is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if is_due {
            last_reports.insert(caller, now);
        }
        is_due
    }
}

/// Waits until the process is stopped, and logs at times why.
pub(crate) async fn wait_for_upgrade(halt: &Halt) -> Infallible {
    loop {
        error!(reason = %halt, "log_unreadable");
        compio::time::sleep(UPGRADE_LOG_INTERVAL).await;
    }
}
