//! The way of one request to an upstream and of the answer back.

use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compio::time::timeout;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use log::debug;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::key::Digest;
use persimmonbend_core::retry;
use persimmonbend_core::retry::Step;
use persimmonbend_core::route::Target;

use crate::node::Node;
use crate::pool::Connection;
use crate::slots::Ask;
use crate::slots::Report;
use crate::slots::Reservation;
use crate::trace::Trace;

/// Header that tells an upstream how many milliseconds are left.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Time that a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Age up to which an idle connection is used again.
const POOLED_LIFETIME: Duration = Duration::from_secs(20);

/// Age up to which an idle connection is trusted with a non-idempotent request.
const PROVEN_LIFETIME: Duration = Duration::from_secs(1);

/// A request that may be sent more than once.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where it goes.
    pub target: Target,
    /// Whom it is for, if a key came with it.
    pub tenant: Option<TenantId>,
    /// Digest of that key.
    pub key: Option<Digest>,
    /// Method, target and headers, without key and hop-by-hop headers.
    pub head: Rc<hyper::http::request::Parts>,
    /// The whole body.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: Instant,
    /// What is noted of the request.
    pub trace: Rc<Trace>,
}

impl Plan {
    /// Returns whether the key that came with the request may still be used; the request may have
    /// waited for a slot since it was checked.
    fn still_allowed(&self, node: &Node) -> Result<(), Kind> {
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
    /// What it says about the upstream.
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

/// Sends a request until it is answered, its attempts are used up or its deadline passes.
///
/// A request of a non-idempotent route is sent again only while no byte of it was written.
///
/// # Errors
///
/// Returns the kind of the last failure, or of the last one that may have run the request.
pub async fn send(node: &Rc<Node>, plan: &Plan) -> Result<Response<Body>, Kind> {
    let mut trail = Trail::default();
    node.board_mut()
        .retries_mut(&plan.target.service)
        .budget
        .earn();
    loop {
        let ask = Ask {
            service: &plan.target.service,
            tenant: plan.tenant.as_deref(),
            deadline: plan.deadline,
            avoid: &trail.avoid,
            idempotent: !plan.target.route.non_idempotent,
        };
        let reservation = match node.slots().reserve(node, &ask).await {
            Ok(reservation) => reservation,
            Err(kind) => return trail.end(kind),
        };
        if let Err(kind) = plan.still_allowed(node) {
            return trail.end(kind);
        }
        plan.trace.add_upstream(reservation.upstream());
        if let Some(response) = visit(node, plan, reservation, &mut trail).await {
            return response;
        }
    }
}

/// What became of the attempts so far.
#[derive(Default)]
struct Trail {
    attempts: u32,
    avoid: Vec<UpstreamId>,
    /// The last failure that may have run the request, or else the last one.
    failure: Option<Failure>,
    /// A whole answer that says that the upstream failed.
    answer: Option<Response<Body>>,
}

impl Trail {
    /// Notes a failure; one that may have run the request is never replaced by one that has not.
    fn note(&mut self, failure: Failure) {
        let earlier = self.failure.is_some_and(|earlier| earlier.written);
        if failure.written || !earlier {
            self.failure = Some(failure);
        }
    }

    /// Returns the best that came of the attempts, or `kind` where there were none.
    fn end(&mut self, kind: Kind) -> Result<Response<Body>, Kind> {
        match self.answer.take() {
            Some(answer) => Ok(answer),
            None => Err(self.failure.map_or(kind, |failure| failure.kind)),
        }
    }
}

/// Tries one upstream, over a second connection if the first may be at fault.
///
/// Returns `None` when the request is to be tried elsewhere.
async fn visit(
    node: &Rc<Node>,
    plan: &Plan,
    mut reservation: Reservation,
    trail: &mut Trail,
) -> Option<Result<Response<Body>, Kind>> {
    let mut fresh = false;
    loop {
        trail.attempts += 1;
        let opened = open(node, plan, &reservation, fresh).await;
        let reused = opened.as_ref().is_ok_and(|connection| connection.reused);
        let result = match opened {
            Ok(connection) => {
                attempt(node, plan, &mut reservation, connection, trail.attempts).await
            }
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(Answer::Partial(partial)) => return Some(Ok(partial.stream(reservation))),
            Ok(Answer::Whole(response)) => return Some(Ok(response)),
            Ok(Answer::Failed(response)) => {
                trail.answer = Some(response);
                Failure::written(Kind::UpstreamBroken, Outcome::Failed)
            }
            Err(failure) => failure,
        };
        let kind = failure.kind;
        debug!("forward: {} failed: {kind}", reservation.upstream());
        let outcome = failure.outcome;
        reservation.report(Report { outcome, reused });
        trail.note(failure);
        match step(node, plan, failure, reused, trail.attempts) {
            Step::GiveUp => return Some(trail.end(kind)),
            Step::Reconnect => {
                node.pool().close_idle(reservation.address());
                reservation.restart();
                fresh = true;
            }
            Step::Elsewhere => {
                trail.avoid.push(reservation.upstream().clone());
                return None;
            }
        }
    }
}

fn step(node: &Node, plan: &Plan, failure: Failure, reused: bool, attempts: u32) -> Step {
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

async fn open(
    node: &Node,
    plan: &Plan,
    reservation: &Reservation,
    fresh: bool,
) -> Result<Connection, Failure> {
    let address = reservation.address();
    let lifetime = if plan.target.route.non_idempotent {
        PROVEN_LIFETIME
    } else {
        POOLED_LIFETIME
    };
    if !fresh && let Some(connection) = node.pool().take_idle(address, lifetime, node.now()) {
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

async fn exchange(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: &mut Reservation,
    mut connection: Connection,
    left: Duration,
) -> Result<Answer, Failure> {
    let reused = connection.reused;
    let sent = connection.sender.try_send_request(plan.request(left)).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => Failure::unwritten(Kind::ConnectFailed, Outcome::Cancelled),
        None => Failure::written(Kind::UpstreamBroken, Outcome::Truncated),
    })?;
    if is_shed(&response) {
        return Err(Failure::unwritten(Kind::Shed, Outcome::Shed));
    }
    let outcome = if response.status().is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Answered
    };
    let (head, mut body) = response.into_parts();
    let held = hold_back(&mut body, node.settings().answer_hold_bytes).await;
    let (held, whole) =
        held.map_err(|_| Failure::written(Kind::UpstreamBroken, Outcome::Truncated))?;
    reservation.report(Report { outcome, reused });
    if whole {
        node.pool()
            .put_back(reservation.address(), connection, node.now());
        let response = Response::from_parts(head, http::full(held));
        return Ok(match outcome {
            Outcome::Failed => Answer::Failed(response),
            _ => Answer::Whole(response),
        });
    }
    Ok(Answer::Partial(Partial {
        head,
        held,
        body,
        connection,
    }))
}

/// Returns whether the upstream says that it did not run the request.
fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == 503
        && response
            .headers()
            .get("x-shed")
            .is_some_and(|value| value == "not-run")
}

async fn hold_back(body: &mut Incoming, limit: usize) -> Result<(Bytes, bool), hyper::Error> {
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() > limit {
            return Ok((held.freeze(), false));
        }
    }
    Ok((held.freeze(), true))
}

/// An answer from an upstream.
enum Answer {
    /// Known to be whole.
    Whole(Response<Body>),
    /// Known to be whole, and says that the upstream failed.
    Failed(Response<Body>),
    /// Larger than what is held back.
    Partial(Partial),
}

/// An answer whose rest is still to come.
struct Partial {
    head: hyper::http::response::Parts,
    held: Bytes,
    body: Incoming,
    connection: Connection,
}

impl Partial {
    /// Returns an answer that passes on the rest and aborts the caller's connection if it breaks.
    fn stream(self, reservation: Reservation) -> Response<Body> {
        let first = stream::iter([Ok(Frame::data(self.held))]);
        let connection = self.connection;
        let rest = self.body.into_data_stream().map(move |chunk| {
            let _keep = (&reservation, &connection);
            chunk.map(Frame::data).map_err(io::Error::other)
        });
        Response::from_parts(self.head, Box::pin(StreamBody::new(first.chain(rest))))
    }
}
