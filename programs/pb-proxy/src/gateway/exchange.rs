//! One attempt: sends a request to one upstream and receives its answer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compio::runtime::spawn;
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
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::poison::Standing;
use tracing::info;

use crate::callers;
use crate::gateway::dialect::Attempt;
use crate::gateway::dialect::Metadata;
use crate::gateway::dialect::Verdict;
use crate::gateway::end_check;
use crate::gateway::end_check::Interruption;
use crate::gateway::forward::Plan;
use crate::gateway::placement::Reservation;
use crate::gateway::state::State;
use crate::pool::Connection;

/// Time limit for a new connection to an upstream. A round trip takes one or two milliseconds; an
/// upstream that does not accept in time is given up for another one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest idle time after which a connection is used again; upstreams close idle connections after
/// ten seconds or more.
///
/// Only idempotent requests use an idle connection: it may be dead, or an unsolicited answer may be
/// waiting on it.
const REUSE_AGE: Duration = Duration::from_secs(5);

/// Largest answer that is buffered whole before the client receives its head.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The result of an attempt.
pub enum Reply {
    /// An answer to pass to the client.
    Answered(Response<Body>),
    /// A complete answer with a 5xx status.
    Failed(Response<Body>),
    /// No usable answer.
    Fault(Fault),
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// The error that the client receives if no later attempt succeeds.
    pub kind: Kind,
    /// The outcome that is reported for the upstream.
    pub outcome: Outcome,
    /// Whether the request was sent to the upstream.
    pub was_sent: bool,
    /// Whether the upstream may have run the request.
    pub may_have_run: bool,
}

impl Fault {
    /// Creates the fault of a request that was not sent.
    const fn unsent(outcome: Outcome) -> Self {
        Self {
            kind: Kind::ConnectFailed,
            outcome,
            was_sent: false,
            may_have_run: false,
        }
    }

    /// Creates the fault of a request that is not sent since upstreams ended under its content.
    const fn barred() -> Self {
        Self {
            kind: Kind::EndsUpstreams,
            ..Self::unsent(Outcome::Cancelled)
        }
    }

    /// Creates the fault of a request that the upstream states it did not run.
    const fn not_run(outcome: Outcome) -> Self {
        Self {
            kind: Kind::Shed,
            outcome,
            was_sent: true,
            may_have_run: false,
        }
    }

    /// Creates the fault of a request that the upstream may have run.
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
    /// Returns the label of the result in logs and metrics.
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

/// Sends a request to the upstream of a reservation and ends the reservation.
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
    // The upstream may have told another request that it wants no more while this one connected.
    if state
        .placer()
        .is_unwanted_at(reservation.upstream(), state.now())
    {
        reservation.end(Outcome::Cancelled, 0);
        return Reply::Fault(Fault::unsent(Outcome::Cancelled));
    }
    // Upstreams may have ended under the same request of another client while this one waited.
    let standing = state.placer().standing(|| plan.content(), state.now());
    if matches!(standing, Standing::Barred(_)) {
        reservation.end(Outcome::Cancelled, 0);
        return Reply::Fault(Fault::barred());
    }
    let left = plan.deadline.saturating_duration_since(state.now());
    let sending = exchange(state, plan, metadata, &reservation, connection, left);
    let result = timeout(left, sending).await;
    let result = result.unwrap_or(Err(Fault::unknown(
        Kind::UpstreamTimeout,
        Outcome::TimedOut,
    )));
    match result {
        Ok(answer) => answer.finish(state, plan, metadata, address, reservation),
        Err(fault) => {
            reservation.end(fault.outcome, 0);
            if fault.outcome == Outcome::Truncated {
                let interruption = interruption(plan, metadata, &reservation, address);
                spawn(end_check::run(Rc::clone(state), interruption)).detach();
            }
            Reply::Fault(fault)
        }
    }
}

/// Describes a request that its upstream breaks off.
fn interruption(
    plan: &Plan,
    metadata: &Metadata,
    reservation: &Reservation,
    address: SocketAddr,
) -> Interruption {
    Interruption {
        request: metadata.id.clone().unwrap_or_default(),
        content: plan.content(),
        service: plan.service.clone(),
        upstream: reservation.upstream(),
        address,
    }
}

/// Returns an idle connection if the request is idempotent and there is one, or else a new one.
async fn obtain_connection(
    state: &State,
    plan: &Plan,
    address: SocketAddr,
) -> Result<Connection, Fault> {
    let now = state.now();
    if plan.route.idempotent
        && let Some(connection) = state.pool().take_idle(address, REUSE_AGE, now)
    {
        return Ok(connection);
    }
    let connected = state.pool().connect(address, CONNECT_TIMEOUT, now).await;
    connected.map_err(|error| {
        info!(upstream = %address, error = %error, "connection_failed");
        Fault::unsent(Outcome::Unreachable)
    })
}

/// Sends the request and reads the head and the buffered part of its answer.
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
    let verdict = state.dialect().classify(metadata, &head);
    if verdict.is_of_upstream() {
        let statement = state.dialect().statement(&head);
        state.note_statement(reservation.upstream(), statement);
    }
    match verdict {
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

/// Creates the request for one attempt.
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

/// Reads a body until its end or [`MAX_BUFFERED_BYTES`]; returns whether it is complete.
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

/// An answer of an upstream, complete or with its rest still to be read.
struct Answer {
    head: Parts,
    buffered: Bytes,
    /// The rest of the body, if it exceeds [`MAX_BUFFERED_BYTES`].
    rest: Option<Incoming>,
    connection: Connection,
}

impl Answer {
    /// Returns the result; ends the reservation, unless the rest of the body is still to be passed on.
    fn finish(
        mut self,
        state: &Rc<State>,
        plan: &Plan,
        metadata: &Metadata,
        address: SocketAddr,
        reservation: Reservation,
    ) -> Reply {
        let failed = self.head.status.is_server_error();
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        callers::strip_hop_by_hop(&mut self.head.headers);
        let bytes = plan.body.len() + self.buffered.len();
        if let Some(rest) = self.rest.take() {
            let rest = Rest {
                state: Rc::clone(state),
                body: rest.into_data_stream(),
                connection: self.connection,
                interruption: interruption(plan, metadata, &reservation, address),
                reservation,
                outcome,
                bytes,
                deadline: plan.deadline,
            };
            let first = stream::iter([Ok(Frame::data(self.buffered))]);
            let body = StreamBody::new(first.chain(rest.into_stream()));
            return Reply::Answered(Response::from_parts(self.head, Box::pin(body)));
        }
        reservation.end(outcome, bytes);
        if failed {
            let response = Response::from_parts(self.head, http::full(self.buffered));
            return Reply::Failed(response);
        }
        state.placer().note_answer(|| plan.content(), state.now());
        state.pool().put_back(address, self.connection, state.now());
        Reply::Answered(Response::from_parts(self.head, http::full(self.buffered)))
    }
}

/// The rest of a body, which is read from the upstream only as fast as the client takes it.
///
/// The upstream's slot is in use until the end of the body. Dropping the rest, since the client has
/// left, releases the slot and closes the connection to the upstream.
struct Rest {
    state: Rc<State>,
    body: BodyDataStream<Incoming>,
    connection: Connection,
    /// The request, if the upstream breaks it off here.
    interruption: Interruption,
    reservation: Reservation,
    /// Outcome of the attempt if the body arrives complete.
    outcome: Outcome,
    bytes: usize,
    deadline: Instant,
}

impl Rest {
    /// Returns the frames of the body. A body that is cut off or not complete by the deadline ends
    /// with an error, which aborts the connection of the client.
    fn into_stream(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        stream::unfold(Some(self), |rest| async move { rest?.next().await })
    }

    /// Reads the next frame; returns it with the rest behind it, if the body goes on.
    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        let left = self.deadline.saturating_duration_since(self.state.now());
        let error = match timeout(left, self.body.next()).await {
            Ok(Some(Ok(data))) => {
                self.bytes += data.len();
                return Some((Ok(Frame::data(data)), Some(self)));
            }
            Ok(None) => {
                self.complete();
                return None;
            }
            Ok(Some(Err(error))) => {
                self.reservation.end(Outcome::Truncated, self.bytes);
                spawn(end_check::run(self.state, self.interruption)).detach();
                io::Error::other(error)
            }
            Err(_) => {
                self.reservation.end(Outcome::TimedOut, self.bytes);
                io::ErrorKind::TimedOut.into()
            }
        };
        Some((Err(error), None))
    }

    /// Ends the reservation and keeps the connection for another request.
    fn complete(self) {
        self.reservation.end(self.outcome, self.bytes);
        let now = self.state.now();
        let content = self.interruption.content;
        self.state.placer().note_answer(|| content, now);
        self.state
            .pool()
            .put_back(self.interruption.address, self.connection, now);
    }
}
