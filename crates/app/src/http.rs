//! An HTTP/1.1 server on compio and hyper, and functions that build answers.

pub mod answer;
pub mod pipeline;
pub mod read_ahead;
pub mod scanner;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::spawn;
use event_listener::Event;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::LocalBoxFuture;
use futures_util::future::select;
use futures_util::pin_mut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use log::warn;

use crate::http::pipeline::Pipeline;
use crate::http::read_ahead::Activity;
use crate::http::read_ahead::Stream;
use crate::stop::Stop;

/// A body of an answer; an error in it aborts the connection.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

/// Limits on connections and on what arrives over them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Size of the read buffer in bytes; hyper refuses a larger request head.
    pub head_buffer_bytes: usize,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Whether a running request is dropped once the client closes its side of the connection.
    pub close_cancels: bool,
    /// Largest number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Time after the stop during which connections are still accepted and idle ones still take
    /// requests.
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

/// Address of the client, stored as an extension of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin(pub SocketAddr);

/// Extension that marks a request with both `content-length` and `transfer-encoding`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AmbiguousLength;

/// Answers the requests that a [`Server`] reads.
pub trait Handler {
    /// Answers one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Starts to answer a request without a body before its turn on the connection has come, or returns `None` if it
    /// has to wait for its turn.
    ///
    /// Called for GET and HEAD only. The future is dropped if the client closes the connection.
    fn handle_ahead(
        self: Rc<Self>,
        _request: Request<()>,
    ) -> Option<LocalBoxFuture<'static, Response<Body>>> {
        None
    }

    /// Returns the limits for a new connection, or `None` for those of the server.
    ///
    /// For handlers whose limits change while the server runs.
    fn limits(&self) -> Option<Limits> {
        None
    }
}

/// A listening socket that serves HTTP.
#[derive(Debug)]
pub struct Server {
    socket: TcpListener,
    limits: Limits,
}

impl Server {
    /// Binds a socket to an address.
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

    /// Sets the limits.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system reports no address for the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until `stop` is requested, and returns once the last request has ended.
    ///
    /// The socket accepts connections and requests for another [`Limits::linger`] after the stop,
    /// so that requests of clients which have not noticed the stop yet are not lost. Then it is closed: a
    /// connection that the kernel accepts and nobody serves would be reset at the end of the process.
    pub async fn serve<H: Handler + 'static>(self, handler: Rc<H>, stop: Stop) {
        let open = Rc::new(OpenConnections::default());
        let lingered = linger(&stop, self.limits).boxed_local();
        let mut lingered = lingered.fuse();
        loop {
            // A connection that is accepted at the same time as the linger time ends is served.
            let accepted = futures_util::select_biased! {
                accepted = self.socket.accept().fuse() => accepted,
                () = lingered => break,
            };
            self.spawn_connection(accepted, &open, &handler, &stop)
                .await;
        }
        drop(self);
        open.wait_until_none().await;
    }

    /// Serves an accepted connection in a task of its own, unless too many are open.
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

/// Returns an answer with a status, a content type and a body.
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

/// Returns a body that consists of the given bytes.
pub fn full<B: Into<Bytes>>(body: B) -> Body {
    Box::pin(Full::new(body.into()).map_err(|never: Infallible| match never {}))
}

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves one connection until it is closed, or until the requests that run when `stop` is requested have
/// been answered.
pub async fn serve_connection<H: Handler + 'static>(
    stream: TcpStream,
    from: SocketAddr,
    limits: Limits,
    handler: Rc<H>,
    stop: Stop,
) {
    let _ = stream.set_nodelay(true);
    let limits = handler.limits().unwrap_or(limits);
    let head_bytes = limits.head_buffer_bytes;
    let pipeline = Rc::new(Pipeline::new(Rc::clone(&handler), from, head_bytes));
    let feed = Rc::clone(&pipeline);
    let socket = stream.clone();
    let (transport, activity) = Stream::new(stream, move |bytes| feed.feed(bytes));
    let closing = stop.clone();
    let running = Rc::clone(&activity);
    let answering = Rc::clone(&pipeline);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let pipeline = Rc::clone(&answering);
        let stop = closing.clone();
        let activity = Rc::clone(&running);
        let socket = (request.version() == Version::HTTP_10).then(|| socket.clone());
        request.extensions_mut().insert(Origin(from));
        if activity.start_request() {
            request.extensions_mut().insert(AmbiguousLength);
        }
        async move {
            let response = pipeline.answer(request).await;
            let socket = socket.filter(|_| is_open_ended(&response));
            let mut response = response.map(|body| Tracked::new(body, activity, socket).boxed());
            if pipeline.is_ahead() {
                // The answers of the requests that run already follow over the connection.
                response.headers_mut().remove(CONNECTION);
            } else if stop.is_asked() {
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
        linger(&stop, limits).await;
        pipeline.close().await;
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

/// Waits until connections and requests are no longer taken after a stop.
async fn linger(stop: &Stop, limits: Limits) {
    stop.asked().await;
    compio::time::sleep(limits.linger).await;
}

/// The body of an answer, whose connection is not idle while more of the body is awaited.
///
/// It is idle once a part is there for the client to take, so that one that takes nothing is given up.
struct Tracked {
    body: Body,
    activity: Rc<Activity>,
    /// Socket of a client for which only the end of the connection ends this body.
    socket: Option<TcpStream>,
}

impl Tracked {
    fn new(body: Body, activity: Rc<Activity>, socket: Option<TcpStream>) -> Self {
        activity.end_request(Instant::now());
        if let Some(socket) = &socket {
            set_resets_on_close(socket, true);
        }
        Self {
            body,
            activity,
            socket,
        }
    }

    fn boxed(self) -> Body {
        Box::pin(self)
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = self.body.as_mut().poll_frame(context);
        match frame {
            Poll::Pending => self.activity.await_answer(),
            Poll::Ready(_) => self.activity.end_request(Instant::now()),
        }
        if matches!(frame, Poll::Ready(None))
            && let Some(socket) = self.socket.take()
        {
            set_resets_on_close(&socket, false);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.activity.end_request(Instant::now());
    }
}

/// Returns whether an answer to a client that knows no chunks ends with the connection.
fn is_open_ended(response: &Response<Body>) -> bool {
    let has_length = response.headers().contains_key(CONTENT_LENGTH);
    !has_length && response.body().size_hint().exact().is_none()
}

/// Sets whether the connection is reset when it is closed, also by the end of the process, so that a body that breaks
/// off does not look whole.
fn set_resets_on_close(socket: &TcpStream, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    if let Err(error) = rustix::net::sockopt::set_socket_linger(socket, linger) {
        warn!("http: cannot set that a closed connection is reset: {error}");
    }
}

/// Waits until the head timeout or the idle timeout of the connection has passed.
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

/// Waits until the client has closed the connection, or forever unless
/// [`Limits::close_cancels`] is set.
async fn wait_for_close(activity: &Activity, limits: Limits) {
    if limits.close_cancels {
        activity.closed().await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Adds `connection: close` to an answer, which makes it the last one of its connection.
pub fn set_connection_close(response: &mut Response<Body>) {
    let value = hyper::header::HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, value);
}

/// Count of open connections, with an event at each close.
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

/// Counts one connection as open until the guard is dropped.
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
