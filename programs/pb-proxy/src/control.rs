//! The link to the leader of the control replicas.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use event_listener::Event;
use log::info;
use log::warn;
use persimmonbend_core::id::HostId;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;

use crate::settings::Settings;

/// Time within which a link must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after the loss of the link for which [`Control::wait_for_client`] waits for a new one.
const RECONNECT_WAIT: Duration = Duration::from_millis(700);

/// An open link to one replica.
struct Connection {
    address: SocketAddr,
    client: Client,
    _link: Link,
}

/// The link to the leader, which is replaced when it fails.
pub struct Control {
    host: HostId,
    secret: Secret,
    replicas: Vec<SocketAddr>,
    next_replica: Cell<usize>,
    leader_hint: Cell<Option<SocketAddr>>,
    candidate: RefCell<Option<Connection>>,
    current: RefCell<Option<Connection>>,
    lost_at: Cell<Option<Instant>>,
    connected: Event,
}

impl Control {
    /// Creates a control handle without a link.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            host: settings.host.clone(),
            secret: settings.secret.clone(),
            replicas: settings.control.clone(),
            next_replica: Cell::new(0),
            leader_hint: Cell::new(None),
            candidate: RefCell::new(None),
            current: RefCell::new(None),
            lost_at: Cell::new(None),
            connected: Event::new(),
        }
    }

    /// Returns the client of the leader if there is a link to it.
    #[must_use]
    pub fn client(&self) -> Option<Client> {
        let current = self.current.borrow();
        current.as_ref().map(|current| current.client.clone())
    }

    /// Returns the client of the leader, after a short wait if the link was just lost.
    pub async fn wait_for_client(&self, now: Instant) -> Option<Client> {
        let lost_at = self.lost_at.get()?;
        let remaining = (lost_at + RECONNECT_WAIT).saturating_duration_since(now);
        let connected = self.connected.listen();
        if self.client().is_none() && !remaining.is_zero() {
            let _ = timeout(remaining, connected).await;
        }
        self.client()
    }

    /// Opens a candidate link to the replica that was named as the leader, or to the next one.
    ///
    /// The candidate is not used until [`Control::promote_candidate`] is called.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt.
    pub async fn connect(&self) -> Result<Client, Error> {
        let address = self
            .leader_hint
            .take()
            .unwrap_or_else(|| self.next_address());
        let connecting = Link::connect(address, &self.host, &self.secret);
        let link = timeout(CONNECT_TIMEOUT, connecting).await;
        let link = link.map_err(|_| Error::Timeout)??;
        let client = link.control()?;
        let connection = Connection {
            address,
            client: client.clone(),
            _link: link,
        };
        *self.candidate.borrow_mut() = Some(connection);
        Ok(client)
    }

    /// Puts the candidate link in use, as its replica has answered as the leader.
    pub fn promote_candidate(&self) {
        let Some(candidate) = self.candidate.borrow_mut().take() else {
            return;
        };
        *self.current.borrow_mut() = Some(candidate);
        if self.lost_at.take().is_some() {
            info!("control: connected to the leader");
        }
        self.connected.notify(usize::MAX);
    }

    /// Closes the links after a failed call and remembers the leader that the error names.
    pub fn disconnect(&self, error: &Error, now: Instant) {
        if let Error::NotLeader(hint) = error {
            self.leader_hint.set(hint.parse().ok());
        }
        drop(self.candidate.borrow_mut().take());
        let Some(current) = self.current.borrow_mut().take() else {
            return;
        };
        if self.lost_at.get().is_none() {
            warn!(
                "control: lost the link to the leader at {}: {error}",
                current.address
            );
            self.lost_at.set(Some(now));
        }
    }

    fn next_address(&self) -> SocketAddr {
        let index = self.next_replica.get();
        self.next_replica.set(index.wrapping_add(1));
        self.replicas[index % self.replicas.len()]
    }
}

impl fmt::Debug for Control {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let current = self.current.borrow();
        let address = current.as_ref().map(|current| current.address);
        formatter
            .debug_struct("Control")
            .field("leader", &address)
            .finish_non_exhaustive()
    }
}
