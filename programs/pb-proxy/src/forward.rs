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
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::route::Target;

use crate::node::Node;
use crate::pool::Connection;
use crate::slots::Reservation;

/// Header that tells an upstream how many milliseconds are left.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Attempts at most for one request.
const MAX_ATTEMPTS: usize = 3;

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
    /// Whether a byte of the request may have reached the upstream.
    written: bool,
    /// Whether the connection was used before.
    reused: bool,
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
        let reserved = node.slots().reserve(node, &plan.target.service, &avoid);
        let reservation = match (reserved, last) {
            (Ok(reservation), _) => reservation,
            (Err(_), Some(earlier)) => return Err(earlier),
            (Err(kind), None) => return Err(kind),
        };
        let upstream = reservation.upstream().clone();
        let failure = match attempt(node, plan, reservation).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        debug!("forward: {upstream} failed: {}", failure.kind);
        if failure.written && plan.target.route.non_idempotent {
            return Err(failure.kind);
        }
        if !failure.reused {
            avoid.push(upstream);
        }
        last = Some(failure.kind);
    }
    Err(last.unwrap_or(Kind::NoUpstream))
}

async fn attempt(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: Reservation,
) -> Result<Response<Body>, Failure> {
    let left = plan.deadline.saturating_duration_since(node.now());
    if left.is_zero() {
        return Err(Failure {
            kind: Kind::DeadlineBeforeSend,
            written: false,
            reused: false,
        });
    }
    let connection = open(node, plan, &reservation).await?;
    let reused = connection.reused;
    let limit = if reused { left / REUSED_SHARE } else { left };
    match timeout(limit, exchange(node, plan, reservation, connection, left)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(failure)) => Err(Failure { reused, ..failure }),
        Err(_) => Err(Failure {
            kind: Kind::UpstreamTimeout,
            written: true,
            reused,
        }),
    }
}

async fn open(node: &Node, plan: &Plan, reservation: &Reservation) -> Result<Connection, Failure> {
    let address = reservation.address();
    if !plan.target.route.non_idempotent
        && let Some(connection) = node
            .pool()
            .take(address, node.now() - Duration::from_secs(20))
    {
        return Ok(connection);
    }
    let connected = node.pool().connect(address, node.now()).await;
    connected.map_err(|error| {
        debug!(
            "forward: cannot connect to {}: {error}",
            reservation.upstream()
        );
        Failure {
            kind: Kind::ConnectFailed,
            written: false,
            reused: false,
        }
    })
}

async fn exchange(
    node: &Rc<Node>,
    plan: &Plan,
    reservation: Reservation,
    mut connection: Connection,
    left: Duration,
) -> Result<Response<Body>, Failure> {
    let sent = connection.sender.try_send_request(plan.request(left)).await;
    let response = sent.map_err(|mut error| Failure {
        kind: Kind::UpstreamBroken,
        written: error.take_message().is_none(),
        reused: false,
    })?;
    if is_shed(&response) {
        return Err(Failure {
            kind: Kind::Shed,
            written: false,
            reused: false,
        });
    }
    let hold = node.settings().answer_hold_bytes;
    let (head, mut body) = response.into_parts();
    let (held, whole) = hold_back(&mut body, hold).await.map_err(|_| Failure {
        kind: Kind::UpstreamBroken,
        written: true,
        reused: false,
    })?;
    if whole {
        node.pool()
            .put(reservation.address(), connection, node.now());
        return Ok(Response::from_parts(head, http::full(held)));
    }
    Ok(Response::from_parts(
        head,
        stream_rest(held, body, reservation, connection),
    ))
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

fn stream_rest(
    held: Bytes,
    body: Incoming,
    reservation: Reservation,
    connection: Connection,
) -> Body {
    let first = stream::iter([Ok(Frame::data(held))]);
    let rest = body.into_data_stream().map(move |chunk| {
        let _keep = (&reservation, &connection);
        chunk.map(Frame::data).map_err(io::Error::other)
    });
    Box::pin(StreamBody::new(first.chain(rest)))
}
