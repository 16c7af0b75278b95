//! One attempt: a request goes to one upstream and its answer comes back.

use std::io;
use std::net::SocketAddr;
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
use hyper::http::response::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;

use crate::callers;
use crate::gateway::dialect::Attempt;
use crate::gateway::dialect::Metadata;
use crate::gateway::dialect::Verdict;
use crate::gateway::forward::Plan;
use crate::gateway::placement::Reservation;
use crate::gateway::state::State;
use crate::pool::Connection;

/// Time for a new connection; a round trip takes one or two milliseconds, and a host that cannot
/// reach one upstream is better off with another.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Age up to which an idle connection is used again; upstreams close theirs after ten seconds or
/// more. Only requests that may be repeated use one: it may be dead, or an answer too many may
/// wait on it.
const REUSE_AGE: Duration = Duration::from_secs(5);

/// Bytes of an answer that are held back until it is known to be whole.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// What came of an attempt.
pub enum Reply {
    /// An answer for the client.
    Answered(Response<Body>),
    /// A whole answer that says that the upstream failed.
    Failed(Response<Body>),
    /// No answer.
    Fault(Fault),
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The kind of error that the client hears if it is the last one.
    pub kind: Kind,
    /// What it says about the upstream.
    pub outcome: Outcome,
    /// Whether the upstream was handed the request.
    pub was_sent: bool,
    /// Whether the upstream may have run it.
    pub may_have_run: bool,
}

impl Fault {
    /// The request did not reach the upstream.
    const fn unsent(outcome: Outcome) -> Self {
        Self {
            kind: Kind::ConnectFailed,
            outcome,
            was_sent: false,
            may_have_run: false,
        }
    }

    /// The upstream stated that it did not run the request.
    const fn not_run(outcome: Outcome) -> Self {
        Self {
            kind: Kind::Shed,
            outcome,
            was_sent: true,
            may_have_run: false,
        }
    }

    /// The upstream may have run the request.
    const fn unknown(kind: Kind, outcome: Outcome) -> Self {
        Self {
            kind,
            outcome,
            was_sent: true,
            may_have_run: true,
        }
    }
}

impl Reply {
    /// Returns a stable word for logs and counters.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Fault(fault) => match fault.outcome {
                Outcome::Unreachable => "unreachable",
                Outcome::Shed => "shed",
                Outcome::Moved => "moved",
                Outcome::TimedOut => "timed_out",
                Outcome::Truncated => "broken",
                Outcome::Cancelled => "unsent",
                Outcome::Answered | Outcome::Failed => "failed",
            },
        }
    }
}

/// Sends a request to the upstream of a reservation.
pub async fn run(
    state: &Rc<State>,
    plan: &Plan,
    metadata: &Metadata,
    reservation: Reservation,
) -> Reply {
    let Some(address) = reservation.address() else {
        return Reply::Fault(Fault::unsent(Outcome::Cancelled));
    };
    let connection = match obtain_connection(state, plan, address).await {
        Ok(connection) => connection,
        Err(fault) => {
            reservation.end(fault.outcome, 0);
            return Reply::Fault(fault);
        }
    };
    let left = plan.deadline.saturating_duration_since(state.now());
    let sending = exchange(state, plan, metadata, &reservation, connection, left);
    let result = timeout(left, sending).await;
    let result = result.unwrap_or(Err(Fault::unknown(
        Kind::UpstreamTimeout,
        Outcome::TimedOut,
    )));
    match result {
        Ok(answer) => answer.finish(state, plan, address, reservation),
        Err(fault) => {
            reservation.end(fault.outcome, 0);
            Reply::Fault(fault)
        }
    }
}

async fn obtain_connection(
    state: &State,
    plan: &Plan,
    address: SocketAddr,
) -> Result<Connection, Fault> {
    let now = state.now();
    if plan.route.idempotent
        && let Some(connection) = state.pool().take(address, REUSE_AGE, now)
    {
        return Ok(connection);
    }
    let connected = state.pool().connect(address, CONNECT_TIMEOUT, now).await;
    connected.map_err(|_| Fault::unsent(Outcome::Unreachable))
}

async fn exchange(
    state: &State,
    plan: &Plan,
    metadata: &Metadata,
    reservation: &Reservation,
    mut connection: Connection,
    left: Duration,
) -> Result<Answer, Fault> {
    let request = request(state, plan, reservation, left);
    let sent = connection.sender.try_send_request(request).await;
    let broken = Fault::unknown(Kind::UpstreamBroken, Outcome::Truncated);
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => Fault::unsent(Outcome::Unreachable),
        None => broken,
    })?;
    let (head, mut body) = response.into_parts();
    match state.dialect().classify(metadata, &head) {
        Verdict::Answered => {}
        Verdict::NotRun => return Err(Fault::not_run(Outcome::Shed)),
        Verdict::Moved => return Err(Fault::not_run(Outcome::Moved)),
        Verdict::Unverified => return Err(broken),
    }
    let buffered = buffer_body(&mut body).await;
    let (buffered, is_complete) = buffered.map_err(|_| broken)?;
    Ok(Answer {
        head,
        buffered,
        rest: (!is_complete).then_some(body),
        connection,
    })
}

fn request(
    state: &State,
    plan: &Plan,
    reservation: &Reservation,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(plan.body.clone()));
    *request.method_mut() = plan.head.method.clone();
    *request.uri_mut() = callers::origin_form(&plan.head.uri);
    *request.headers_mut() = plan.head.headers.clone();
    let attempt = Attempt {
        remaining: left,
        upstream: &reservation.id(),
        tenant: plan.tenant.as_ref(),
    };
    state.dialect().rewrite(request.headers_mut(), &attempt);
    request
}

async fn buffer_body(body: &mut Incoming) -> Result<(Bytes, bool), hyper::Error> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            return Ok((buffered.freeze(), false));
        }
    }
    Ok((buffered.freeze(), true))
}

/// An answer of an upstream to the request that it was sent.
struct Answer {
    head: Parts,
    buffered: Bytes,
    /// What is still to come of it, if it is larger than what is held back.
    rest: Option<Incoming>,
    connection: Connection,
}

impl Answer {
    fn finish(
        mut self,
        state: &State,
        plan: &Plan,
        address: SocketAddr,
        reservation: Reservation,
    ) -> Reply {
        let failed = self.head.status.is_server_error();
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        reservation.end(outcome, plan.body.len() + self.buffered.len());
        callers::strip_hop_by_hop(&mut self.head.headers);
        if let Some(rest) = self.rest.take() {
            return Reply::Answered(self.stream(rest, plan.deadline, reservation));
        }
        if failed {
            let response = Response::from_parts(self.head, http::full(self.buffered));
            return Reply::Failed(response);
        }
        state.pool().put(address, self.connection, state.now());
        Reply::Answered(Response::from_parts(self.head, http::full(self.buffered)))
    }

    /// Returns an answer that passes on the rest, and aborts the client's connection if the rest
    /// breaks off or does not come in time.
    fn stream(self, rest: Incoming, deadline: Instant, reservation: Reservation) -> Response<Body> {
        let first = stream::iter([Ok(Frame::data(self.buffered))]);
        let state = (rest.into_data_stream(), self.connection, reservation);
        let rest = stream::unfold(
            state,
            move |(mut rest, connection, reservation)| async move {
                let left = deadline.saturating_duration_since(Instant::now());
                let next = match timeout(left, rest.next()).await {
                    Ok(next) => next?.map(Frame::data).map_err(io::Error::other),
                    Err(_) => Err(io::ErrorKind::TimedOut.into()),
                };
                Some((next, (rest, connection, reservation)))
            },
        );
        Response::from_parts(self.head, Box::pin(StreamBody::new(first.chain(rest))))
    }
}
