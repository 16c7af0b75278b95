//! The link to the replica of control that leads.

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

/// Time to make a link.
const LINK_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a link that was just lost is waited for.
const RELINK_WAIT: Duration = Duration::from_millis(700);

/// A link in use.
struct Current {
    address: SocketAddr,
    client: Client,
    _link: Link,
}

/// The link to the leader, replaced when it fails.
pub struct Control {
    host: HostId,
    secret: Secret,
    replicas: Vec<SocketAddr>,
    next: Cell<usize>,
    hint: Cell<Option<SocketAddr>>,
    candidate: RefCell<Option<Current>>,
    current: RefCell<Option<Current>>,
    lost: Cell<Option<Instant>>,
    linked: Event,
}

impl Control {
    /// Creates a control without a link.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            host: settings.host.clone(),
            secret: settings.secret.clone(),
            replicas: settings.control.clone(),
            next: Cell::new(0),
            hint: Cell::new(None),
            candidate: RefCell::new(None),
            current: RefCell::new(None),
            lost: Cell::new(None),
            linked: Event::new(),
        }
    }

    /// Returns the replica that leads if there is a link to it.
    #[must_use]
    pub fn client(&self) -> Option<Client> {
        let current = self.current.borrow();
        current.as_ref().map(|current| current.client.clone())
    }

    /// Returns the replica that leads, and waits shortly for it if the link was just lost.
    pub async fn wait_for_client(&self, now: Instant) -> Option<Client> {
        let lost = self.lost.get()?;
        let left = (lost + RELINK_WAIT).saturating_duration_since(now);
        let linked = self.linked.listen();
        if self.client().is_none() && !left.is_zero() {
            let _ = timeout(left, linked).await;
        }
        self.client()
    }

    /// Makes a link to the next replica, or to the one that was named as the leader.
    ///
    /// The link is in use once [`Control::confirm`] was called.
    ///
    /// # Errors
    ///
    /// Returns the failure of the link.
    pub async fn connect(&self) -> Result<Client, Error> {
        let address = self.hint.take().unwrap_or_else(|| self.turn());
        let connecting = Link::connect(address, &self.host, &self.secret);
        let link = timeout(LINK_TIMEOUT, connecting).await;
        let link = link.map_err(|_| Error::Timeout)??;
        let client = link.control()?;
        let current = Current {
            address,
            client: client.clone(),
            _link: link,
        };
        *self.candidate.borrow_mut() = Some(current);
        Ok(client)
    }

    /// Notes that the replica on the link answered as the leader.
    pub fn confirm(&self) {
        let Some(candidate) = self.candidate.borrow_mut().take() else {
            return;
        };
        *self.current.borrow_mut() = Some(candidate);
        if self.lost.take().is_some() {
            info!("control: linked to the leader");
        }
        self.linked.notify(usize::MAX);
    }

    /// Gives up the link after a failed call.
    pub fn lose(&self, error: &Error, now: Instant) {
        if let Error::NotLeader(hint) = error {
            self.hint.set(hint.parse().ok());
        }
        drop(self.candidate.borrow_mut().take());
        let Some(current) = self.current.borrow_mut().take() else {
            return;
        };
        if self.lost.get().is_none() {
            warn!("control: lost the leader at {}: {error}", current.address);
            self.lost.set(Some(now));
        }
    }

    fn turn(&self) -> SocketAddr {
        let turn = self.next.get();
        self.next.set(turn.wrapping_add(1));
        self.replicas[turn % self.replicas.len()]
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
