//! A pool of connections to upstreams, each of which carries one request at a time.
//!
//! A connection returns to the pool only after a complete response. After a timeout, a cancelled
//! request or a truncated response it is closed.

mod transport;

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
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;

use crate::pool::transport::Exchange;
use crate::pool::transport::Transport;

/// Time after which an idle connection is closed.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// An open connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    exchange: Rc<Exchange>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    idle_since: Instant,
    _guard: Guard,
}

/// A request that got no answer.
#[derive(Debug)]
pub struct Lost {
    /// Whether a part of the request may have been sent.
    pub was_sent: bool,
    /// Why there is no answer.
    pub error: hyper::Error,
}

impl Connection {
    /// Sends a request and returns the head of its answer, which is valid; the body ends with an error unless it is
    /// whole.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection ends before the answer or the upstream sends something else.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Lost> {
        self.exchange.begin(request.method());
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| Lost {
            was_sent: error.take_message().is_none(),
            error: error.into_error(),
        })
    }

    /// Returns whether only the end of the connection ends the answer to the last request. An upstream that ends in
    /// the middle of such an answer leaves no other trace.
    #[must_use]
    pub fn is_open_ended(&self) -> bool {
        self.exchange.is_open_ended()
    }
}

/// Number of open connections by upstream address.
type OpenCounts = Rc<RefCell<BTreeMap<SocketAddr, u32>>>;

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct Guard {
    open: OpenCounts,
    address: SocketAddr,
}

impl Guard {
    fn new(open: &OpenCounts, address: SocketAddr) -> Self {
        *open.borrow_mut().entry(address).or_default() += 1;
        Self {
            open: Rc::clone(open),
            address,
        }
    }
}

impl Drop for Guard {
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

/// Idle connections and the number of open ones, by upstream address.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    open: OpenCounts,
    max_connections: u32,
}

impl Pool {
    /// Creates a pool that makes room for a new connection by closing idle ones once
    /// `max_connections` to one upstream are open.
    #[must_use]
    pub fn new(max_connections: u32) -> Self {
        Self {
            idle: RefCell::new(BTreeMap::new()),
            open: OpenCounts::default(),
            max_connections,
        }
    }

    /// Returns the number of connections to an upstream, idle ones and those in use.
    #[must_use]
    pub fn open_count(&self, address: SocketAddr) -> u32 {
        self.open.borrow().get(&address).copied().unwrap_or(0)
    }

    /// Returns the idle connection that was used last, if that was within `max_idle` before `now`.
    #[must_use]
    pub fn take_idle(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        now: Instant,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        loop {
            let latest = connections.last()?;
            if now.saturating_duration_since(latest.idle_since) > max_idle {
                return None;
            }
            let connection = connections.pop()?;
            if !connection.sender.is_closed() && connection.sender.is_ready() {
                return Some(connection);
            }
        }
    }

    /// Opens a new connection and closes idle ones where the upstream would have too many.
    ///
    /// # Errors
    ///
    /// Returns an error when the upstream does not accept the connection within `limit`.
    pub async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Instant,
    ) -> std::io::Result<Connection> {
        self.close_surplus_idle(address);
        let guard = Guard::new(&self.open, address);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        let _ = stream.set_nodelay(true);
        open(guard, stream, now).await
    }

    /// Uses an open stream to `address` for requests.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream cannot be used.
    pub async fn adopt(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        now: Instant,
    ) -> std::io::Result<Connection> {
        self.close_surplus_idle(address);
        open(Guard::new(&self.open, address), stream, now).await
    }

    /// Returns a connection to the pool after a complete response, unless it cannot carry another request.
    pub fn put_back(&self, address: SocketAddr, mut connection: Connection, now: Instant) {
        if !connection.exchange.is_reusable() {
            return;
        }
        connection.reused = true;
        connection.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.push(connection);
    }

    /// Closes the idle connections to one upstream.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|connection| now.duration_since(connection.idle_since) < IDLE_LIFETIME);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn close_surplus_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get_mut(&address) else {
            return;
        };
        while self.open_count(address) >= self.max_connections && !connections.is_empty() {
            connections.remove(0);
        }
    }
}

async fn open(guard: Guard, stream: TcpStream, now: Instant) -> std::io::Result<Connection> {
    let exchange = Rc::new(Exchange::default());
    let transport = Transport::new(stream, Rc::clone(&exchange));
    let handshake = http1::handshake(transport).await;
    let (sender, driver) = handshake.map_err(std::io::Error::other)?;
    spawn(async move {
        let _ = driver.await;
    })
    .detach();
    Ok(Connection {
        sender,
        exchange,
        reused: false,
        idle_since: now,
        _guard: guard,
    })
}
