//! Sends requests of other hosts to upstreams.
//!
//! This host obeys what upstreams have stated to it, and notes what they state in these answers: they see the
//! requests come from it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyDataStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Limits;
use persimmonbend_app::http::Origin;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::listener;
use tracing::info;

use crate::callers;
use crate::framing;
use crate::gateway::detour::FAULT;
use crate::gateway::detour::Fault;
use crate::gateway::detour::REUSE;
use crate::gateway::detour::REUSE_AGE;
use crate::gateway::detour::UPSTREAM;
use crate::gateway::dialect::Verdict;
use crate::gateway::end_check;
use crate::gateway::exchange;
use crate::gateway::memory::Hold;
use crate::gateway::paths;
use crate::gateway::state::State;
use crate::pool::Connection;
use crate::port;

/// Most connections of other hosts that are served at a time.
const MAX_CONNECTIONS: usize = 512;

/// Largest request body that is taken over, that of the client port.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for an answer to a request that states no deadline.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(60);

/// Limits on a connection of another host. It closes the connection when its client leaves.
const LIMITS: Limits = Limits {
    head_buffer_bytes: 128 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(10),
    close_cancels: true,
    connections: MAX_CONNECTIONS,
    linger: Duration::from_millis(200),
};

/// Returns the handler of connections by which other hosts send requests through this one.
pub fn handler(state: &Rc<State>) -> listener::Handler {
    let state = Rc::clone(state);
    let endpoint = Rc::new(Endpoint {
        state: Rc::clone(&state),
    });
    Rc::new(move |stream, from| {
        let stop = state.stop();
        // `endpoint` is shared by all connections, which each hold a reference.
        if stop.is_asked() || Rc::strong_count(&endpoint) > MAX_CONNECTIONS {
            return;
        }
        let (endpoint, stop) = (Rc::clone(&endpoint), stop.clone());
        spawn(http::serve_connection(stream, from, LIMITS, endpoint, stop)).detach();
    })
}

/// Handles the requests of other hosts.
#[derive(Debug)]
struct Endpoint {
    state: Rc<State>,
}

/// A request of another host for one upstream.
struct Forwarded {
    entry: Entry,
    may_reuse: bool,
    head: Parts,
    body: Bytes,
    /// What the body takes of the memory of this host.
    hold: Hold,
}

impl Handler for Endpoint {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let from = request.extensions().get::<Origin>().copied();
        let admission = self.state.detours().admission();
        // A host that is not known yet has to learn that its request was not sent.
        let is_admitted = match from {
            Some(Origin(from)) => admission.admits(&self.state, from.ip()).await,
            None => false,
        };
        if !is_admitted {
            return refusal(Fault::Blocked);
        }
        let running = Running::new(&self.state);
        let id = self.state.dialect().read(request.headers()).id;
        match self.forward(request, running).await {
            Ok(response) => response,
            Err(fault) => {
                info!(request = id, fault = fault.name(), "detour_failed");
                refusal(fault)
            }
        }
    }
}

impl Endpoint {
    async fn forward(
        &self,
        request: Request<Incoming>,
        running: Running,
    ) -> Result<Response<Body>, Fault> {
        let forwarded = self.read(request).await?;
        let connection = self.connect(&forwarded).await?;
        let metadata = self.state.dialect().read(&forwarded.head.headers);
        let limit = metadata.timeout.unwrap_or(MAX_ANSWER_TIME);
        let sending = self.send(forwarded, connection, running);
        timeout(limit, sending).await.unwrap_or(Err(Fault::Broken))
    }

    /// Reads a request whole, unless its upstream takes none from this host.
    async fn read(&self, request: Request<Incoming>) -> Result<Forwarded, Fault> {
        let (mut head, body) = request.into_parts();
        let number = head.headers.remove(UPSTREAM);
        let number = number.and_then(|number| number.to_str().ok()?.parse().ok());
        let may_reuse = head.headers.remove(REUSE).is_some();
        let entry = number.and_then(|number| self.state.upstream(number));
        let entry = entry.ok_or(Fault::Unwilling)?;
        let service = &entry.announcement.service;
        let is_blocked = self.state.paths().is_blocked(service, entry.number);
        if is_blocked || paths::is_suspected(&self.state, service) {
            return Err(Fault::Blocked);
        }
        // The requests of other hosts count as those of one tenant. Hosts state the length of each body.
        let hold = self.state.memory().hold(None);
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if let Err(bound) = hold.take_body(stated) {
            self.state.meters().count_refused_body(bound);
            return Err(Fault::Blocked);
        }
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| Fault::Unwilling)?.to_bytes();
        Ok(Forwarded {
            entry,
            may_reuse,
            head,
            body,
            hold,
        })
    }

    /// Connects to the upstream, unless it wants no request from this host any more.
    async fn connect(&self, forwarded: &Forwarded) -> Result<Connection, Fault> {
        let state = &self.state;
        let announcement = &forwarded.entry.announcement;
        let (service, number) = (&announcement.service, forwarded.entry.number);
        let idle = forwarded.may_reuse.then(|| {
            let pool = state.pool();
            pool.take_idle(announcement.address, REUSE_AGE, state.now())
        });
        if let Some(connection) = idle.flatten() {
            return if state.upstream(number).is_some() {
                Ok(connection)
            } else {
                Err(Fault::Unwilling)
            };
        }
        let connecting =
            state
                .pool()
                .connect(announcement.address, port::CONNECT_TIMEOUT, state.now());
        let Ok(connection) = connecting.await else {
            state.paths().note_failure(service, number, state.now());
            let is_suspected = paths::is_suspected(state, service);
            return Err(if is_suspected {
                Fault::Blocked
            } else {
                Fault::Unreachable
            });
        };
        state.paths().note_opened(service, number);
        if state.upstream(number).is_none() {
            return Err(Fault::Unwilling);
        }
        Ok(connection)
    }

    /// Returns what is behind the loss of a connection to an upstream.
    async fn fault(&self, was_sent: bool, service: &str, address: SocketAddr) -> Fault {
        if !was_sent {
            Fault::Unreachable
        } else if end_check::has_ended(&self.state, service, address).await {
            Fault::Ended
        } else {
            Fault::Broken
        }
    }

    /// Sends a request and returns the head of its answer, with the body as it arrives.
    async fn send(
        &self,
        forwarded: Forwarded,
        mut connection: Connection,
        running: Running,
    ) -> Result<Response<Body>, Fault> {
        let dialect = self.state.dialect();
        let metadata = dialect.read(&forwarded.head.headers);
        let number = forwarded.entry.number;
        let announcement = &forwarded.entry.announcement;
        let (service, address) = (announcement.service.clone(), announcement.address);
        let was_used = connection.reused;
        let method = forwarded.head.method.clone();
        let _hold = forwarded.hold;
        let request = Request::from_parts(forwarded.head, Full::new(forwarded.body));
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(lost) => {
                exchange::log_malformed(metadata.id.as_deref(), address, &lost.error);
                return Err(self.fault(lost.was_sent, &service, address).await);
            }
        };
        let (mut head, body) = response.into_parts();
        let verdict = dialect.classify(&metadata, &head);
        let is_surplus =
            was_used && verdict == Verdict::Answered && !dialect.is_named(&metadata, &head);
        if is_surplus {
            return Err(Fault::Broken);
        }
        if verdict.is_of_upstream() {
            let statement = dialect.statement(&head);
            self.state.note_statement(number, statement);
        }
        let is_open_ended = connection.is_open_ended();
        callers::strip_hop_by_hop(&mut head.headers);
        head.headers.remove(FAULT);
        framing::set_length(&mut head.headers, &method, body.size_hint().exact());
        let answer = Answer {
            state: Rc::clone(&self.state),
            body: body.into_data_stream(),
            connection,
            upstream: number,
            address,
            is_open_ended,
            _running: running,
        };
        let body: Body = Box::pin(StreamBody::new(answer.into_stream()));
        Ok(Response::from_parts(head, body))
    }
}

/// The body of an answer, which is read from the upstream only as fast as the other host takes it.
struct Answer {
    state: Rc<State>,
    body: BodyDataStream<Incoming>,
    connection: Connection,
    upstream: Number,
    address: SocketAddr,
    /// Whether only the end of the connection ends the body.
    is_open_ended: bool,
    _running: Running,
}

impl Answer {
    /// Returns the frames of the body; one that is cut off ends with an error.
    fn into_stream(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        stream::unfold(Some(self), |answer| async move { answer?.next().await })
    }

    /// Returns whether a body is whole that has come to its end.
    async fn is_whole(&self) -> bool {
        !self.is_open_ended || end_check::is_alive(&self.state, self.upstream, self.address).await
    }

    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        match self.body.next().await {
            Some(Ok(data)) => Some((Ok(Frame::data(data)), Some(self))),
            Some(Err(error)) => {
                exchange::log_malformed(None, self.address, &error);
                Some((Err(io::Error::other(error)), None))
            }
            None if !self.is_whole().await => {
                Some((Err(io::ErrorKind::UnexpectedEof.into()), None))
            }
            None => {
                let now = self.state.now();
                let pool = self.state.pool();
                pool.put_back(self.address, self.connection, now);
                None
            }
        }
    }
}

/// Counts a request of another host as running until it is dropped, so that a planned stop waits for it.
struct Running {
    state: Rc<State>,
}

impl Running {
    fn new(state: &Rc<State>) -> Self {
        state.running().set(state.running().get() + 1);
        Self {
            state: Rc::clone(state),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let running = self.state.running();
        running.set(running.get().saturating_sub(1));
    }
}

/// Returns the answer that states a fault.
fn refusal(fault: Fault) -> Response<Body> {
    let mut response = http::answer(502, "text/plain", fault.name());
    let value = hyper::header::HeaderValue::from_static(fault.name());
    response.headers_mut().insert(FAULT, value);
    response
}
