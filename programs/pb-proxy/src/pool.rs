//! Connections to upstreams, each carrying one request at a time.
//!
//! A connection returns to the pool only after a whole answer; after a timeout, a cancel or a
//! broken answer it is closed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;

/// Time after which an idle connection is closed.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// An open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request was answered over it.
    pub reused: bool,
    idle_since: Instant,
    _place: Place,
}

/// Open connections by upstream address.
type Open = Rc<RefCell<BTreeMap<SocketAddr, u32>>>;

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct Place {
    open: Open,
    address: SocketAddr,
}

impl Place {
    fn new(open: &Open, address: SocketAddr) -> Self {
        *open.borrow_mut().entry(address).or_default() += 1;
        Self {
            open: Rc::clone(open),
            address,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        let Some(count) = open.get_mut(&self.address) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            open.remove(&self.address);
        }
    }
}

/// Idle connections by upstream address, and the count of those in use.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    open: Open,
    max: u32,
}

impl Pool {
    /// Creates a pool that closes idle connections beyond `max` open ones to one upstream.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            idle: RefCell::new(BTreeMap::new()),
            open: Open::default(),
            max,
        }
    }

    /// Returns the connections to an upstream, idle ones and those in use.
    #[must_use]
    pub fn open(&self, address: SocketAddr) -> u32 {
        self.open.borrow().get(&address).copied().unwrap_or(0)
    }

    /// Returns an idle connection that was used within `age` before `now`, the latest first.
    #[must_use]
    pub fn take(&self, address: SocketAddr, age: Duration, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        loop {
            let latest = connections.last()?;
            if now.saturating_duration_since(latest.idle_since) > age {
                return None;
            }
            let connection = connections.pop()?;
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
    }

    /// Makes a new connection, in place of an idle one where there would be too many.
    ///
    /// # Errors
    ///
    /// Returns an error when the upstream does not accept within `limit`.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> std::io::Result<Connection> {
        self.make_room(address);
        let place = Place::new(&self.open, address);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(HyperStream::new_plain(stream)).await;
        let (sender, driver) = shaken.map_err(std::io::Error::other)?;
        spawn(async move {
            let _ = driver.await;
        })
        .detach();
        Ok(Connection {
            sender,
            reused: false,
            idle_since: now,
            _place: place,
        })
    }

    /// Takes back a connection whose answer was whole.
    pub fn put(&self, address: SocketAddr, mut connection: Connection, now: Instant) {
        connection.reused = true;
        connection.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.push(connection);
    }

    /// Closes the idle connections to one upstream.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for long.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|one| now.duration_since(one.idle_since) < IDLE_LIFETIME);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn make_room(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else {
            return;
        };
        while self.open(address) >= self.max && !connections.is_empty() {
            connections.remove(0);
        }
    }
}
