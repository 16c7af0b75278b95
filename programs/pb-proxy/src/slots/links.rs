//! Links to the stewards on other hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use futures_util::future::select;
use futures_util::pin_mut;
use log::debug;
use log::info;
use persimmonbend_core::id::HostId;
use persimmonbend_core::steward::Decision;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::link;
use persimmonbend_wire::slots::Frame;
use persimmonbend_wire::slots::channel;
use persimmonbend_wire::slots::channel::Receiver;
use persimmonbend_wire::slots::channel::Sender;

use crate::node::Node;

/// Time between two checks of a link, and between two heartbeats while a slot request waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any frame after a heartbeat after which a link is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two heartbeats while a steward counts reservations of this host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any frame after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after the end of a link until the next connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Late answers in a row after which the steward gets no slot requests for a while.
const LATE_ANSWER_LIMIT: u32 = 3;

/// Backoff at the limit of late answers; doubles with each further late answer.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Longest backoff after late answers.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Doublings after which late answers are no longer counted.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Links to stewards by host.
#[derive(Debug, Default)]
pub struct Links {
    hosts: RefCell<BTreeMap<HostId, Link>>,
    bytes_closed: Cell<u64>,
}

#[derive(Debug, Default)]
struct Link {
    sender: Option<Sender>,
    connecting: bool,
    retry_at: Option<Instant>,
    paused_until: Option<Instant>,
    late_answers: u32,
}

impl Links {
    /// Returns the bytes written to stewards.
    #[must_use]
    pub fn bytes_written(&self) -> u64 {
        let hosts = self.hosts.borrow();
        let senders = hosts.values().filter_map(|link| link.sender.as_ref());
        senders.map(Sender::written).sum::<u64>() + self.bytes_closed.get()
    }

    /// Returns whether a slot request can be sent to a steward now; starts to connect where there
    /// is no open link.
    pub fn ensure_ready(&self, node: &Rc<Node>, host: &HostId) -> bool {
        let now = node.now();
        let is_ready = |link: &Link| link.paused_until.is_none_or(|until| now >= until);
        let hosts = self.hosts.borrow();
        let link = hosts.get(host).filter(|link| link.is_open());
        let is_ready = link.map(is_ready);
        drop(hosts);
        is_ready.unwrap_or_else(|| {
            self.connect(node, host);
            false
        })
    }

    /// Starts to connect to a steward, unless a link is open or the last one ended just now.
    pub fn connect(&self, node: &Rc<Node>, host: &HostId) {
        let now = node.now();
        let mut hosts = self.hosts.borrow_mut();
        let link = hosts.entry(host.clone()).or_default();
        if link.is_open() {
            return;
        }
        if !link.connecting && link.retry_at.is_none_or(|at| now >= at) {
            link.connecting = true;
            spawn(run(Rc::clone(node), host.clone())).detach();
        }
    }

    /// Queues a frame and returns whether the link is open.
    pub fn send(&self, host: &str, frame: Frame) -> bool {
        let hosts = self.hosts.borrow();
        let sender = hosts.get(host).and_then(|link| link.sender.as_ref());
        let Some(sender) = sender.filter(|sender| sender.is_open()) else {
            return false;
        };
        sender.send(frame);
        true
    }

    /// Counts a late answer of a steward; after several in a row, the steward gets no slot requests
    /// for a while.
    pub fn record_late_answer(&self, node: &Node, host: &str) {
        if let Some(link) = self.hosts.borrow_mut().get_mut(host) {
            link.late_answers =
                (link.late_answers + 1).min(LATE_ANSWER_LIMIT + MAX_BACKOFF_DOUBLINGS);
            if let Some(doublings) = link.late_answers.checked_sub(LATE_ANSWER_LIMIT) {
                let backoff = MIN_BACKOFF * 2_u32.saturating_pow(doublings);
                link.paused_until = Some(node.now() + backoff.min(MAX_BACKOFF));
            }
        }
    }

    /// Returns whether the last answer of a steward was late.
    #[must_use]
    pub fn was_late(&self, host: &str) -> bool {
        let hosts = self.hosts.borrow();
        hosts.get(host).is_some_and(|link| link.late_answers > 0)
    }

    /// Resets the count of late answers of a steward.
    pub fn record_timely_answer(&self, host: &str) {
        if let Some(link) = self.hosts.borrow_mut().get_mut(host) {
            link.late_answers = 0;
        }
    }

    fn mark_open(&self, host: &HostId, sender: Sender) {
        let mut hosts = self.hosts.borrow_mut();
        let link = hosts.entry(host.clone()).or_default();
        link.connecting = false;
        link.sender = Some(sender);
    }

    fn mark_closed(&self, host: &HostId, now: Instant) {
        let mut hosts = self.hosts.borrow_mut();
        let link = hosts.entry(host.clone()).or_default();
        link.connecting = false;
        link.retry_at = Some(now + RECONNECT_DELAY);
        if let Some(sender) = link.sender.take() {
            self.bytes_closed
                .set(self.bytes_closed.get() + sender.written());
        }
    }
}

impl Link {
    fn is_open(&self) -> bool {
        self.sender.as_ref().is_some_and(Sender::is_open)
    }
}

/// Connects to a steward and serves the link until it ends.
async fn run(node: Rc<Node>, host: HostId) {
    let result = serve(&node, &host).await;
    if let Err(error) = result {
        debug!("slots: link to steward {host} ended: {error}");
    }
    let slots = node.slots();
    slots.links.mark_closed(&host, node.now());
    slots.running.mark_unreported(&host);
    slots.pending.cancel_all(&host);
}

async fn serve(node: &Rc<Node>, host: &HostId) -> Result<(), Error> {
    let address = address_of(node, host).ok_or(Error::Role)?;
    let stream = link::dial(address, &node.settings().secret, Purpose::Slots).await?;
    let (sender, writer, receiver) = channel::split(stream);
    sender.send(Frame::Hello {
        host: node.settings().host.clone(),
        zone: node.settings().zone.clone(),
    });
    let last_heard = Rc::new(Cell::new(node.now()));
    let slots = node.slots();
    slots.links.mark_open(host, sender.clone());
    slots.running.mark_unreported(host);
    slots.report_all(node);
    info!("slots: connected to steward {host}");
    let writing = spawn(writer.run());
    let watching = spawn(keep_alive(
        Rc::clone(node),
        host.clone(),
        sender.clone(),
        Rc::clone(&last_heard),
    ));
    let reading = read_frames(node, host, receiver, &last_heard);
    let closed = sender.closed();
    pin_mut!(reading, closed);
    select(reading, closed).await;
    sender.close();
    drop((writing, watching));
    Ok(())
}

async fn read_frames(
    node: &Rc<Node>,
    host: &HostId,
    mut receiver: Receiver,
    last_heard: &Cell<Instant>,
) -> Result<(), Error> {
    let pending = &node.slots().pending;
    loop {
        let frames = receiver.next().await?;
        last_heard.set(node.now());
        for frame in frames {
            match frame {
                Frame::Granted { number, upstream } => {
                    pending.decide(host, number, Decision::Granted { upstream });
                }
                Frame::Queued { number } => pending.decide(host, number, Decision::Queued),
                Frame::Refused { number, kind } => {
                    pending.decide(host, number, Decision::Refused(kind));
                }
                Frame::Advice {
                    service,
                    upstream,
                    verdict,
                } => {
                    let detectors = node.slots().detectors();
                    detectors.apply_advice(&node.board(), &service, &upstream, verdict);
                }
                Frame::Pong { .. } => {}
                other => return Err(Error::Malformed(format!("unexpected {other:?}"))),
            }
        }
    }
}

/// Sends heartbeats over a link in use, and closes the link when it stays silent or unused.
async fn keep_alive(node: Rc<Node>, host: HostId, sender: Sender, last_heard: Rc<Cell<Instant>>) {
    let mut number = 0;
    let mut last = node.now();
    let mut unanswered_since: Option<Instant> = None;
    while sender.is_open() {
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = node.now();
        unanswered_since = unanswered_since.filter(|since| last_heard.get() < *since);
        if unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SILENCE_TIMEOUT)
        {
            sender.close();
            return;
        }
        let silence = now.saturating_duration_since(last_heard.get());
        let slots = node.slots();
        let is_waiting = slots.pending.any_sent_to(&host) || slots.links.was_late(&host);
        let is_used = is_waiting || slots.running.any_reported_to(&host);
        let is_due = now.saturating_duration_since(last) >= HEARTBEAT_INTERVAL;
        if is_waiting || (is_used && is_due) {
            number += 1;
            last = now;
            unanswered_since = unanswered_since.or(Some(now));
            sender.send(Frame::Ping { number });
        } else if !is_used && silence >= IDLE_TIMEOUT {
            sender.close();
        }
    }
}

fn address_of(node: &Node, host: &str) -> Option<SocketAddr> {
    let board = node.board();
    board
        .hosts()
        .get(host)
        .map(|entry| entry.announcement.peers)
}
