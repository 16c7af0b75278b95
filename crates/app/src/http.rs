//! A small HTTP/1.1 server over the runtime, and helpers for answers.

pub mod read_ahead;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use event_listener::Event;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::pin_mut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::http::read_ahead::Activity;
use crate::http::read_ahead::Stream;
use crate::stop::Stop;

/// A body whose failure aborts the connection.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

/// Bounds on what a connection may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a request head that are buffered before hyper itself refuses.
    pub head_buffer_bytes: usize,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
    /// Whether a client that closes its side of the connection gives up what it has asked for.
    pub close_cancels: bool,
    /// Connections open at a time.
    pub connections: usize,
    /// Time after a stop in which connections that were made before it are still accepted and
    /// idle ones still take a request.
    pub linger: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_buffer_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            close_cancels: false,
            connections: 10_000,
            linger: Duration::from_millis(500),
        }
    }
}

/// Address that a request came from, among its extensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin(pub SocketAddr);

/// Marks a request whose head states the length of its body in two ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AmbiguousLength;

/// Answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns the bounds in force where they change while the server runs.
    fn limits(&self) -> Option<Limits> {
        None
    }
}

/// Serves HTTP on one port.
#[derive(Debug)]
pub struct Server {
    socket: TcpListener,
    limits: Limits,
}

impl Server {
    /// Binds a port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: TcpListener::bind(address).await?,
            limits: Limits::default(),
        })
    }

    /// Sets the bounds.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket has none.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` is asked for, then lets every running request end.
    ///
    /// After the stop the port still takes what reaches it within [`Limits::linger`], so that
    /// nothing is lost that was sent before the stop was known; the future ends with the last
    /// request.
    pub async fn serve<H: Handler + 'static>(self, handler: Rc<H>, stop: Stop) {
        let open = Rc::new(OpenConnections::default());
        while let Some(accepted) = stop.until(self.socket.accept()).await {
            self.spawn_connection(accepted, &open, &handler, &stop)
                .await;
        }
        let accept_late = async {
            loop {
                let accepted = self.socket.accept().await;
                self.spawn_connection(accepted, &open, &handler, &stop)
                    .await;
            }
        };
        let _ = timeout(self.limits.linger, accept_late).await;
        open.wait_until_none().await;
    }

    async fn spawn_connection<H: Handler + 'static>(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        open: &Rc<OpenConnections>,
        handler: &Rc<H>,
        stop: &Stop,
    ) {
        let Ok((stream, from)) = accepted else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return;
        };
        if open.count.get() >= self.limits.connections {
            return;
        }
        let guard = Guard::new(open);
        let handler = Rc::clone(handler);
        let stop = stop.clone();
        let limits = self.limits;
        spawn(async move {
            serve_connection(stream, from, limits, handler, stop).await;
            drop(guard);
        })
        .detach();
    }
}

/// Returns an answer with a whole body.
#[must_use]
pub fn answer<B: Into<Bytes>>(status: u16, content_type: &'static str, body: B) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Returns an answer with a JSON body.
#[must_use]
pub fn json(status: u16, value: &serde_json::Value) -> Response<Body> {
    answer(status, "application/json", value.to_string())
}

/// Returns a whole body.
pub fn full<B: Into<Bytes>>(body: B) -> Body {
    Box::pin(Full::new(body.into()).map_err(|never: Infallible| match never {}))
}

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

async fn serve_connection<H: Handler + 'static>(
    stream: TcpStream,
    from: SocketAddr,
    limits: Limits,
    handler: Rc<H>,
    stop: Stop,
) {
    let _ = stream.set_nodelay(true);
    let limits = handler.limits().unwrap_or(limits);
    let (transport, activity) = Stream::new(stream);
    let closing = stop.clone();
    let running = Rc::clone(&activity);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        let stop = closing.clone();
        let activity = Rc::clone(&running);
        request.extensions_mut().insert(Origin(from));
        if activity.start_request() {
            request.extensions_mut().insert(AmbiguousLength);
        }
        async move {
            let mut response = handler.handle(request).await;
            activity.end_request(Instant::now());
            if stop.is_asked() {
                set_connection_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_buffer_bytes)
        .serve_connection(transport, service);
    let ending = async {
        let overdue = wait_for_timeout(&activity, limits).fuse();
        let closed = wait_for_close(&activity, limits).fuse();
        pin_mut!(overdue, closed);
        futures_util::select! {
            () = overdue => {},
            () = closed => {},
        }
    };
    let lingered = async {
        stop.asked().await;
        compio::time::sleep(limits.linger).await;
    };
    pin_mut!(connection, ending);
    let stopped = {
        let event = select(lingered.boxed_local(), ending.as_mut());
        match select(connection.as_mut(), event).await {
            Either::Left(_) => return,
            Either::Right((Either::Left(_), _)) => true,
            Either::Right((Either::Right(_), _)) => false,
        }
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        let _ = select(connection, ending).await;
    }
}

/// Waits until a request head takes too long or the connection has been idle for too long.
async fn wait_for_timeout(activity: &Activity, limits: Limits) {
    let interval = limits.head_timeout.min(limits.idle_timeout);
    loop {
        compio::time::sleep(interval).await;
        let is_exceeded =
            |since: Option<Instant>, limit| since.is_some_and(|since| since.elapsed() >= limit);
        if is_exceeded(activity.head_since(), limits.head_timeout)
            || is_exceeded(activity.idle_since(), limits.idle_timeout)
        {
            return;
        }
    }
}

/// Waits until the client has closed the connection, where that gives up what it has asked for.
async fn wait_for_close(activity: &Activity, limits: Limits) {
    if limits.close_cancels {
        activity.closed().await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Marks an answer as the last one of its connection.
pub fn set_connection_close(response: &mut Response<Body>) {
    let value = hyper::header::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(hyper::header::CONNECTION, value);
}

#[derive(Debug, Default)]
struct OpenConnections {
    count: Cell<usize>,
    event: Event,
}

impl OpenConnections {
    async fn wait_until_none(&self) {
        while self.count.get() > 0 {
            let listener = self.event.listen();
            if self.count.get() > 0 {
                listener.await;
            }
        }
    }
}

struct Guard {
    open: Rc<OpenConnections>,
}

impl Guard {
    fn new(open: &Rc<OpenConnections>) -> Self {
        open.count.set(open.count.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.open.count.set(self.open.count.get() - 1);
        self.open.event.notify(usize::MAX);
    }
}
