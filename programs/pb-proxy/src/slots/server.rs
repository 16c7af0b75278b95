//! Server side of the slot protocol, for other hosts whose stewards run on this host.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::future::select;
use futures_util::pin_mut;
use log::info;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::steward::Hold;
use persimmonbend_core::steward::Release;
use persimmonbend_core::steward::Request;
use persimmonbend_core::steward::Ticket;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::listener::Handler;
use persimmonbend_wire::slots::Frame;
use persimmonbend_wire::slots::channel;
use persimmonbend_wire::slots::channel::Receiver;
use persimmonbend_wire::slots::channel::Sender;

use crate::node::Node;

/// Time limit for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time between two renewals of the reservations of a host.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any frame after which a connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks whether a connection is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time until its deadline that a slot request may have; longer times are shortened.
const MAX_TIME_LEFT: Duration = Duration::from_secs(600);

/// Returns the handler of slot connections.
#[must_use]
pub fn handler(node: Rc<Node>) -> Handler {
    Rc::new(move |stream, from| {
        spawn(serve(Rc::clone(&node), stream, from)).detach();
    })
}

/// A slot connection of one host, after its hello.
struct Session {
    node: Rc<Node>,
    host: HostId,
    zone: Zone,
    sender: Sender,
    last_heard: Rc<Cell<Instant>>,
    /// When the reservations of the host were last renewed.
    renewed_at: Instant,
}

async fn serve(node: Rc<Node>, stream: TcpStream, from: SocketAddr) {
    let (sender, writer, receiver) = channel::split(stream);
    let writing = spawn(writer.run());
    let last_heard = Rc::new(Cell::new(node.now()));
    let watching = spawn(close_when_silent(
        Rc::clone(&node),
        sender.clone(),
        Rc::clone(&last_heard),
    ));
    let reading = read_frames(node, receiver, sender.clone(), last_heard);
    let closed = sender.closed();
    pin_mut!(reading, closed);
    if let futures_util::future::Either::Left((Err(error), _)) = select(reading, closed).await {
        info!("slots: connection from {from} ended: {error}");
    }
    sender.close();
    drop((writing, watching));
}

/// Closes a connection after a long silence.
async fn close_when_silent(node: Rc<Node>, sender: Sender, last_heard: Rc<Cell<Instant>>) {
    while node.now().saturating_duration_since(last_heard.get()) < SILENCE_TIMEOUT {
        compio::time::sleep(SILENCE_CHECK_INTERVAL).await;
    }
    sender.close();
}

async fn read_frames(
    node: Rc<Node>,
    mut receiver: Receiver,
    sender: Sender,
    last_heard: Rc<Cell<Instant>>,
) -> Result<(), Error> {
    let first = timeout(HELLO_TIMEOUT, receiver.next()).await;
    let mut frames = first.map_err(|_| Error::Timeout)??.into_iter();
    let Some(Frame::Hello { host, zone }) = frames.next() else {
        return Err(Error::Malformed(
            "the first frame is not a hello".to_owned(),
        ));
    };
    let mut session = Session {
        renewed_at: node.now(),
        last_heard,
        node,
        host,
        zone,
        sender,
    };
    let stewards = &session.node.slots().stewards;
    stewards.open(&session.node, &session.host, session.sender.clone());
    let mut frames: Vec<Frame> = frames.collect();
    let error = loop {
        if let Err(error) = session.handle_all(frames) {
            break error;
        }
        match receiver.next().await {
            Ok(next) => frames = next,
            Err(error) => break error,
        }
    };
    Err(error)
}

impl Session {
    /// Renews the reservations of the host from time to time, and handles each frame.
    fn handle_all(&mut self, frames: Vec<Frame>) -> Result<(), Error> {
        let now = self.node.now();
        let stewards = &self.node.slots().stewards;
        self.last_heard.set(now);
        if now.saturating_duration_since(self.renewed_at) >= RENEW_INTERVAL {
            self.renewed_at = now;
            stewards.renew(&self.node, &self.host);
        }
        for frame in frames {
            self.handle(frame, now)?;
        }
        Ok(())
    }

    fn handle(&self, frame: Frame, now: Instant) -> Result<(), Error> {
        let stewards = &self.node.slots().stewards;
        match frame {
            Frame::Reserve {
                number,
                service,
                tenant,
                left,
                avoid,
                idempotent,
            } => {
                let request = Request {
                    ticket: self.ticket(number),
                    zone: self.zone.clone(),
                    tenant,
                    deadline: now + left.min(MAX_TIME_LEFT),
                    avoid,
                    idempotent,
                };
                stewards.reserve(&self.node, &service, request);
            }
            Frame::Hold {
                number,
                service,
                tenant,
                upstream,
            } => {
                let hold = Hold {
                    zone: self.zone.clone(),
                    tenant,
                    upstream,
                };
                stewards.hold(&self.node, &service, self.ticket(number), hold);
            }
            Frame::Release {
                number,
                service,
                outcome,
                latency,
                reused,
            } => {
                let release = Release {
                    ticket: self.ticket(number),
                    outcome,
                    latency,
                    reused,
                };
                stewards.release(&self.node, &service, &release);
            }
            Frame::Ping { number } => self.sender.send(Frame::Pong { number }),
            other => return Err(Error::Malformed(format!("unexpected {other:?}"))),
        }
        Ok(())
    }

    fn ticket(&self, number: u32) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number,
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let stewards = &self.node.slots().stewards;
        stewards.close(&self.host, &self.sender);
    }
}
