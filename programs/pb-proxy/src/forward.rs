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
use persimmonbend_core::health::Sign;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::route::Target;

use crate::node::Node;
use crate::pool::Connection;
use crate::slots::Ask;
use crate::slots::Report;
use crate::slots::Reservation;
use crate::trace::Trace;

/// Header that tells an upstream how many milliseconds are left.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Attempts at most for one request.
const MAX_ATTEMPTS: usize = 3;

/// Age up to which an idle connection is used again.
const POOLED_LIFETIME: Duration = Duration::from_secs(20);

/// Share of the remaining time that an attempt over a reused connection may take.
const REUSED_SHARE: u32 = 3;

/// A request that may be sent more than once.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where it goes.
    pub target: Target,
    /// Whom it is for, if a key came with it.
    pub tenant: Option<TenantId>,
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
    sign: Sign,
    /// Whether a byte of the request may have reached the upstream.
    written: bool,
}

impl Failure {
    const fn unwritten(kind: Kind, sign: Sign) -> Self {
        Self {
            kind,
            sign,
            written: false,
        }
    }

    const fn written(kind: Kind, sign: Sign) -> Self {
        Self {
            kind,
            sign,
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
/// Returns the kind of the last failure.
pub async fn send(node: &Rc<Node>, plan: &Plan) -> Result<Response<Body>, Kind> {
    let mut avoid: Vec<UpstreamId> = Vec::new();
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let ask = Ask {
            service: &plan.target.service,
            tenant: plan.tenant.as_deref(),
            deadline: plan.deadline,
            avoid: &avoid,
        };
        let mut reservation = match (node.slots().reserve(node, &ask).await, last) {
            (Ok(reservation), _) => reservation,
            (Err(_), Some(earlier)) => return Err(earlier),
            (Err(kind), None) => return Err(kind),
        };
        plan.trace.attempt(reservation.upstream());
        let connection = match open(node, plan, &reservation).await {
            Ok(connection) => connection,
            Err(failure) => {
                avoid.push(fail(reservation, failure, false));
                last = Some(failure.kind);
                continue;
            }
        };
        let reused = connection.reused;
        let failure = match attempt(node, plan, &mut reservation, connection).await {
            Ok(Answer::Whole(response)) => return Ok(response),
            Ok(Answer::Partial(partial)) => return Ok(partial.stream(reservation)),
            Err(failure) => failure,
        };
        let upstream = fail(reservation, failure, reused);
        if failure.written && plan.target.route.non_idempotent {
            return Err(failure.kind);
        }
        if !reused {
            avoid.push(upstream);
        }
        last = Some(failure.kind);
    }
    Err(last.unwrap_or(Kind::NoUpstream))
}

/// Reports a failed attempt and returns the upstream that it was made at.
fn fail(mut reservation: Reservation, failure: Failure, reused: bool) -> UpstreamId {
    debug!(
        "forward: {} failed: {}",
        reservation.upstream(),
        failure.kind
    );
    reservation.report(Report {
        sign: failure.sign,
        reused,
    });
    reservation.upstream().clone()
}

async fn open(node: &Node, plan: &Plan, reservation: &Reservation) -> Result<Connection, Failure> {
    let address = reservation.address();
    if !plan.target.route.non_idempotent
        && let Some(connection) = node.pool().take(address, node.now() - POOLED_LIFETIME)
    {
        return Ok(connection);
    }
    let connected = node.pool().connect(address, node.now()).await;
    connected.map_err(|error| {
        debug!(
            "forward: cannot connect to {}: {error}",
            reservation.upstream()
        );
        Failure::unwritten(Kind::ConnectFailed, Sign::Unreachable)
    })
}

async fn attempt(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: &mut Reservation,
    connection: Connection,
) -> Result<Answer, Failure> {
    let left = plan.deadline.saturating_duration_since(node.now());
    if left.is_zero() {
        return Err(Failure::unwritten(
            Kind::DeadlineBeforeSend,
            Sign::Cancelled,
        ));
    }
    let reused = connection.reused;
    let limit = if reused { left / REUSED_SHARE } else { left };
    let exchange = exchange(node, plan, reservation, connection, left);
    match timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => {
            if reused {
                node.pool().forget(reservation.address());
            }
            Err(Failure::written(Kind::UpstreamTimeout, Sign::TimedOut))
        }
    }
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
        Some(_) => Failure::unwritten(Kind::ConnectFailed, Sign::Cancelled),
        None => Failure::written(Kind::UpstreamBroken, Sign::Truncated),
    })?;
    if is_shed(&response) {
        return Err(Failure::unwritten(Kind::Shed, Sign::Shed));
    }
    let sign = if response.status().is_server_error() {
        Sign::Failed
    } else {
        Sign::Answered
    };
    let (head, mut body) = response.into_parts();
    let held = hold_back(&mut body, node.settings().answer_hold_bytes).await;
    let (held, whole) =
        held.map_err(|_| Failure::written(Kind::UpstreamBroken, Sign::Truncated))?;
    reservation.report(Report { sign, reused });
    if whole {
        node.pool()
            .put(reservation.address(), connection, node.now());
        return Ok(Answer::Whole(Response::from_parts(head, http::full(held))));
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
