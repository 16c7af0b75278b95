//! Forwarding of one request to upstreams, with retries, and of the answer to the client.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compio::time::timeout;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyDataStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use log::debug;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::key::Digest;
use persimmonbend_core::retry;
use persimmonbend_core::retry::Step;
use persimmonbend_core::route::Target;

use crate::framing;
use crate::node::Node;
use crate::pool::Connection;
use crate::port;
use crate::slots::Criteria;
use crate::slots::Report;
use crate::slots::Reservation;
use crate::trace::Trace;

/// Header with the milliseconds until the deadline, for the upstream.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Time in which a new connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a reused connection may have been idle.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

/// Longest time that a connection reused for a non-idempotent request may have been idle; such a
/// request cannot be sent again once a byte of it was written.
const MAX_IDLE_AGE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// A request with all that its attempts need, as it may be sent more than once.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Service and route of the request.
    pub target: Target,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// Digest of the tenant's key, if one came with the request.
    pub key: Option<Digest>,
    /// Method, target and headers, without key and hop-by-hop headers.
    pub head: Rc<hyper::http::request::Parts>,
    /// The whole body of the request.
    pub body: Bytes,
    /// Time by which the answer to the client is due.
    pub deadline: Instant,
    /// Trace of the request, for its explanation and the counts.
    pub trace: Rc<Trace>,
}

impl Plan {
    /// Checks again that the key of the request may be used, since the request may have waited for
    /// a slot after the first check.
    fn check_key(&self, node: &Node) -> Result<(), Kind> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        if node.board().is_withdrawn(key) {
            return Err(Kind::KeyWithdrawn);
        }
        if node.is_isolated() {
            return Err(Kind::Isolated);
        }
        Ok(())
    }

    /// Returns the request for an attempt with `left` until the deadline.
    fn request(&self, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        request
            .headers_mut()
            .insert(DEADLINE_HEADER, HeaderValue::from(left));
        request
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
struct Failure {
    kind: Kind,
    /// Outcome of the attempt as evidence on the upstream.
    outcome: Outcome,
    /// Whether a byte of the request may have reached the upstream.
    written: bool,
}

impl Failure {
    const fn unwritten(kind: Kind, outcome: Outcome) -> Self {
        Self {
            kind,
            outcome,
            written: false,
        }
    }

    const fn written(kind: Kind, outcome: Outcome) -> Self {
        Self {
            kind,
            outcome,
            written: true,
        }
    }
}

/// Sends a request, with retries until it is answered, has no attempts left or is past its
/// deadline.
///
/// A request of a non-idempotent route is sent again only while no byte of it was written.
///
/// # Errors
///
/// Returns the kind of the last failure that may have run the request, or else of the last
/// failure.
pub async fn send(node: &Rc<Node>, plan: &Plan) -> Result<Response<Body>, Kind> {
    let mut history = History::default();
    node.board_mut()
        .retries_mut(&plan.target.service)
        .budget
        .earn();
    loop {
        let criteria = Criteria {
            service: &plan.target.service,
            tenant: plan.tenant.as_deref(),
            deadline: plan.deadline,
            avoid: &history.avoid,
            idempotent: !plan.target.route.non_idempotent,
        };
        let reservation = match node.slots().reserve(node, &criteria).await {
            Ok(reservation) => reservation,
            Err(kind) => return history.finish(kind),
        };
        if let Err(kind) = plan.check_key(node) {
            return history.finish(kind);
        }
        plan.trace.add_upstream(reservation.upstream());
        if let Some(response) = try_upstream(node, plan, reservation, &mut history).await {
            return response;
        }
    }
}

/// Results of the attempts at a request so far.
#[derive(Default)]
struct History {
    attempts: u32,
    avoid: Vec<UpstreamId>,
    /// The last failure that may have run the request, or else the last one.
    failure: Option<Failure>,
    /// The last complete answer with a server error.
    answer: Option<Response<Body>>,
}

impl History {
    /// Records a failure, unless it did not run the request and an earlier one may have.
    fn add_failure(&mut self, failure: Failure) {
        let earlier = self.failure.is_some_and(|earlier| earlier.written);
        if failure.written || !earlier {
            self.failure = Some(failure);
        }
    }

    /// Returns the answer with a server error, or else the recorded failure, or else `kind`.
    fn finish(&mut self, kind: Kind) -> Result<Response<Body>, Kind> {
        match self.answer.take() {
            Some(answer) => Ok(answer),
            None => Err(self.failure.map_or(kind, |failure| failure.kind)),
        }
    }
}

/// Sends the request to one upstream, again over a new connection if the first may be at fault.
///
/// Returns `None` when the request is to be sent to another upstream.
async fn try_upstream(
    node: &Rc<Node>,
    plan: &Plan,
    mut reservation: Reservation,
    history: &mut History,
) -> Option<Result<Response<Body>, Kind>> {
    let mut bypass_pool = false;
    loop {
        history.attempts += 1;
        let opened = obtain_connection(node, plan, &reservation, bypass_pool).await;
        let reused = opened.as_ref().is_ok_and(|connection| connection.reused);
        let result = match opened {
            Ok(connection) => {
                attempt(node, plan, &mut reservation, connection, history.attempts).await
            }
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(Answer::Partial(partial)) => return Some(Ok(partial.stream(reservation))),
            Ok(Answer::Whole(response)) => return Some(Ok(response)),
            Ok(Answer::Failed(response)) => {
                history.answer = Some(response);
                Failure::written(Kind::UpstreamBroken, Outcome::Failed)
            }
            Err(failure) => failure,
        };
        let kind = failure.kind;
        debug!("forward: {} failed: {kind}", reservation.upstream());
        let outcome = failure.outcome;
        reservation.report(Report { outcome, reused });
        history.add_failure(failure);
        match next_step(node, plan, failure, reused, history.attempts) {
            Step::GiveUp => return Some(history.finish(kind)),
            Step::Reconnect => {
                node.pool().close_idle(reservation.address());
                reservation.restart();
                bypass_pool = true;
            }
            Step::Elsewhere => {
                history.avoid.push(reservation.upstream().clone());
                return None;
            }
        }
    }
}

/// Returns what follows a failed attempt, and charges a retry to the budget of the service.
fn next_step(node: &Node, plan: &Plan, failure: Failure, reused: bool, attempts: u32) -> Step {
    let mut board = node.board_mut();
    let budget = &mut board.retries_mut(&plan.target.service).budget;
    let failed = retry::Failure {
        written: failure.written,
        stale: reused && failure.outcome != Outcome::Failed && failure.outcome != Outcome::Shed,
        refused: failure.outcome == Outcome::Shed,
    };
    let idempotent = !plan.target.route.non_idempotent;
    let step = retry::next(failed, idempotent, attempts, budget.is_affordable());
    if step != Step::GiveUp {
        budget.spend();
    }
    step
}

/// Returns an idle connection to the upstream, unless `bypass_pool`, or else a new one.
async fn obtain_connection(
    node: &Node,
    plan: &Plan,
    reservation: &Reservation,
    bypass_pool: bool,
) -> Result<Connection, Failure> {
    let address = reservation.address();
    let max_idle_age = if plan.target.route.non_idempotent {
        MAX_IDLE_AGE_NON_IDEMPOTENT
    } else {
        MAX_IDLE_AGE
    };
    if !bypass_pool
        && let Some(connection) = node.pool().take_idle(address, max_idle_age, node.now())
    {
        return Ok(connection);
    }
    let connected = node
        .pool()
        .connect(address, CONNECT_TIMEOUT, node.now())
        .await;
    connected.map_err(|error| {
        debug!(
            "forward: cannot connect to {}: {error}",
            reservation.upstream()
        );
        Failure::unwritten(Kind::ConnectFailed, Outcome::Unreachable)
    })
}

/// Sends the request over a connection, with the time limit of the attempt.
async fn attempt(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: &mut Reservation,
    connection: Connection,
    attempts: u32,
) -> Result<Answer, Failure> {
    let left = plan.deadline.saturating_duration_since(node.now());
    if left.is_zero() {
        return Err(Failure::unwritten(
            Kind::DeadlineBeforeSend,
            Outcome::Cancelled,
        ));
    }
    let service = &plan.target.service;
    let idempotent = !plan.target.route.non_idempotent;
    let limit = node
        .board_mut()
        .retries_mut(service)
        .attempt_timeout(left, idempotent, attempts);
    let started = node.now();
    let exchange = exchange(node, plan, reservation, connection, left);
    let result = timeout(limit, exchange).await;
    let took = node.now().saturating_duration_since(started);
    if matches!(result, Err(_) | Ok(Ok(Answer::Whole(_)))) {
        node.board_mut().retries_mut(service).observe(took);
    }
    result.unwrap_or(Err(Failure::written(
        Kind::UpstreamTimeout,
        Outcome::TimedOut,
    )))
}

/// Sends the request and reads the answer as far as it is buffered.
async fn exchange(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: &mut Reservation,
    mut connection: Connection,
    left: Duration,
) -> Result<Answer, Failure> {
    let reused = connection.reused;
    let origin = Origin::new(node, plan, reservation);
    let sent = connection.send(plan.request(left)).await;
    let response = sent.map_err(|lost| {
        debug!(
            "forward: {} gave no answer: {}",
            reservation.upstream(),
            lost.error
        );
        if lost.was_sent {
            Failure::written(Kind::UpstreamBroken, Outcome::Truncated)
        } else {
            Failure::unwritten(Kind::ConnectFailed, Outcome::Cancelled)
        }
    })?;
    if is_shed(&response) {
        return Err(Failure::unwritten(Kind::Shed, Outcome::Shed));
    }
    let outcome = if response.status().is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Answered
    };
    let (mut head, mut body) = response.into_parts();
    let buffered = buffer_body(&mut body, node.settings().answer_hold_bytes).await;
    let broken = Failure::written(Kind::UpstreamBroken, Outcome::Truncated);
    let (buffered, is_complete) = buffered.map_err(|error| {
        debug!("forward: {} broke off: {error}", reservation.upstream());
        broken
    })?;
    let origin = connection.is_open_ended().then_some(origin);
    if is_complete
        && let Some(origin) = &origin
        && !origin.is_alive(node).await
    {
        return Err(broken);
    }
    reservation.report(Report { outcome, reused });
    let rest_bytes = if is_complete {
        Some(0)
    } else {
        body.size_hint().exact()
    };
    let length = rest_bytes.map(|rest| rest + buffered.len() as u64);
    framing::set_length(&mut head.headers, &plan.head.method, length);
    if is_complete {
        node.pool()
            .put_back(reservation.address(), connection, node.now());
        let response = Response::from_parts(head, http::full(buffered));
        return Ok(match outcome {
            Outcome::Failed => Answer::Failed(response),
            _ => Answer::Whole(response),
        });
    }
    Ok(Answer::Partial(Box::new(Partial {
        head,
        buffered,
        rest: Rest {
            node: Rc::clone(node),
            body: body.into_data_stream(),
            _connection: connection,
            origin,
        },
    })))
}

/// Returns whether the upstream says that it did not run the request.
fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == 503
        && response
            .headers()
            .get("x-shed")
            .is_some_and(|value| value == "not-run")
}

/// Reads a body until it ends or exceeds `limit` bytes; returns the bytes and whether it ended.
async fn buffer_body(body: &mut Incoming, limit: usize) -> Result<(Bytes, bool), hyper::Error> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > limit {
            return Ok((buffered.freeze(), false));
        }
    }
    Ok((buffered.freeze(), true))
}

/// An answer from an upstream.
enum Answer {
    /// Complete.
    Whole(Response<Body>),
    /// Complete, with a server error.
    Failed(Response<Body>),
    /// Larger than the buffer; the rest is streamed.
    Partial(Box<Partial>),
}

/// The buffered start of an answer, and the rest that is still to be read.
struct Partial {
    head: hyper::http::response::Parts,
    buffered: Bytes,
    rest: Rest,
}

impl Partial {
    /// Returns a response that streams the answer and aborts the client's connection if the answer
    /// breaks off.
    fn stream(self, reservation: Reservation) -> Response<Body> {
        let first = stream::iter([Ok(Frame::data(self.buffered))]);
        let rest = self.rest.into_stream().map(move |frame| {
            let _keep = &reservation;
            frame
        });
        Response::from_parts(self.head, Box::pin(StreamBody::new(first.chain(rest))))
    }
}

/// The rest of an answer that exceeds the buffer.
struct Rest {
    node: Rc<Node>,
    body: BodyDataStream<Incoming>,
    _connection: Connection,
    /// Where the answer comes from, if only the end of the connection ends it.
    origin: Option<Origin>,
}

impl Rest {
    /// Returns the frames of the body; one that is cut off ends with an error.
    fn into_stream(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        stream::unfold(Some(self), |rest| async move { rest?.next().await })
    }

    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        match self.body.next().await {
            Some(Ok(data)) => Some((Ok(Frame::data(data)), Some(self))),
            Some(Err(error)) => Some((Err(io::Error::other(error)), None)),
            None if self.is_whole().await => None,
            None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        }
    }

    async fn is_whole(&self) -> bool {
        match &self.origin {
            Some(origin) => origin.is_alive(&self.node).await,
            None => true,
        }
    }
}

/// The start of an upstream that a request is sent to.
#[derive(Debug)]
struct Origin {
    service: ServiceId,
    upstream: UpstreamId,
    address: SocketAddr,
    /// Incarnation at the time of the request, unless the upstream had left by then.
    incarnation: Option<Incarnation>,
}

impl Origin {
    fn new(node: &Node, plan: &Plan, reservation: &Reservation) -> Self {
        let (service, upstream) = (plan.target.service.clone(), reservation.upstream().clone());
        Self {
            incarnation: incarnation(node, &service, &upstream),
            address: reservation.address(),
            service,
            upstream,
        }
    }

    /// Returns whether the upstream accepts connections and has not started again.
    async fn is_alive(&self, node: &Node) -> bool {
        port::accepts(self.address).await
            && incarnation(node, &self.service, &self.upstream) == self.incarnation
    }
}

/// Returns the incarnation of an upstream that the host knows.
fn incarnation(node: &Node, service: &str, upstream: &str) -> Option<Incarnation> {
    let board = node.board();
    let known = board.upstream(service, upstream);
    known.map(|known| known.announcement.incarnation)
}
