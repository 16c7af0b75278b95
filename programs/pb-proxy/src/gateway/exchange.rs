//! One attempt: sends a request to one upstream and receives its answer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compio::runtime::spawn;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::answer;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::memory::Bound;
use persimmonbend_core::poison::Standing;
use tracing::info;
use tracing::warn;

use crate::callers;
use crate::framing;
use crate::gateway::detour;
use crate::gateway::dialect;
use crate::gateway::dialect::Metadata;
use crate::gateway::dialect::Verdict;
use crate::gateway::end_check;
use crate::gateway::end_check::Interruption;
use crate::gateway::forward::Plan;
use crate::gateway::memory::Hold;
use crate::gateway::paths;
use crate::gateway::placement::Reservation;
use crate::gateway::rest::Rest;
use crate::gateway::spool;
use crate::gateway::spool::Deadline;
use crate::gateway::state::State;
use crate::gateway::wait;
use crate::pool::Connection;
use crate::port::CONNECT_TIMEOUT;

/// Longest idle time after which a connection is used again; upstreams close idle connections after
/// ten seconds or more.
///
/// Only idempotent requests use an idle connection: it may be dead, or an unsolicited answer may be
/// waiting on it.
const REUSE_AGE: Duration = Duration::from_secs(5);

/// Largest answer that is buffered whole before the client receives its head.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Part of an answer that is buffered before the client receives its head also where the memory of the host
/// is short. Answers up to this size are not counted once they are passed on.
const MIN_BUFFERED_BYTES: usize = 16 * 1024;

/// The fault of a request whose upstream broke it off or gave no valid answer.
const BROKEN: Fault = Fault::unknown(Kind::UpstreamBroken, Outcome::Truncated);

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
                Outcome::Cancelled if fault.was_sent => "abandoned",
                Outcome::Cancelled => "unsent",
                Outcome::Answered | Outcome::Failed => "failed",
            },
        }
    }
}

/// Sends a request to the upstream of a reservation and ends the reservation.
///
/// Where the path to the upstream is blocked, other hosts are asked to send it.
pub async fn run(
    state: &Rc<State>,
    plan: &Plan,
    metadata: &Metadata,
    reservation: Reservation,
) -> Reply {
    let Some(address) = reservation.address() else {
        return Reply::Fault(Fault::unsent(Outcome::Cancelled));
    };
    let attempt = Attempt {
        state,
        plan,
        metadata,
        reservation,
        address,
    };
    match attempt.run().await {
        Ok((answer, way)) => answer.finish(attempt, way),
        Err(fault) => {
            attempt.reservation.end(fault.outcome, 0);
            Reply::Fault(fault)
        }
    }
}

/// How a request gets to its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// Over a connection to the upstream at this address.
    Direct(SocketAddr),
    /// Through another host.
    Detour(SocketAddr),
}

impl Way {
    /// Returns the other end of the connection.
    pub(super) const fn address(self) -> SocketAddr {
        match self {
            Self::Direct(address) | Self::Detour(address) => address,
        }
    }
}

/// Why a request has no answer over one way.
enum Obstacle {
    /// The request has none at all.
    Fault(Fault),
    /// The other host did not send it, or has no answer either.
    Host(detour::Fault),
}

impl From<Fault> for Obstacle {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

/// Why a request did not get to its upstream at once.
#[derive(Debug, Default)]
struct Trouble {
    /// Why no connection to the upstream could be opened.
    error: Option<io::Error>,
    /// Number of hosts that refused to send it.
    refused: u32,
    /// The last of them, and why it did.
    last: Option<(SocketAddr, detour::Fault)>,
}

/// An attempt at one upstream, over any way.
struct Attempt<'a> {
    state: &'a Rc<State>,
    plan: &'a Plan,
    metadata: &'a Metadata,
    reservation: Reservation,
    address: SocketAddr,
}

impl Attempt<'_> {
    /// Sends the request directly or through another host.
    async fn run(&self) -> Result<(Answer, Way), Fault> {
        let is_trial = self.check_standing()?;
        let result = self.run_allowed().await;
        if let (true, Err(fault)) = (is_trial, &result)
            && !fault.was_sent
        {
            let content = self.plan.content();
            info!(request = self.metadata.id.as_deref(), %content, "trial_unsent");
            self.state.placer().withdraw_trial(content);
        }
        result
    }

    /// Sends a request that is not barred.
    async fn run_allowed(&self) -> Result<(Answer, Way), Fault> {
        let number = self.reservation.upstream();
        let paths = self.state.paths();
        let is_blocked = paths.is_blocked(&self.plan.service, number);
        let mut trouble = Trouble::default();
        if !is_blocked {
            match self.connect_directly().await {
                Ok(connection) => return self.send_directly(connection).await,
                Err(error) => trouble.error = Some(error),
            }
            let is_unreached = self.state.detours().is_unreached(number, self.state.now());
            if !self.is_path_suspected() || is_unreached {
                self.log(&trouble);
                return Err(Fault::unsent(Outcome::Unreachable));
            }
        }
        let mut result = self.send_by_detour(&mut trouble).await;
        if result.is_none() && is_blocked {
            // Without another host's help only the own path is left, even if it is blocked.
            match self.connect_directly().await {
                Ok(connection) => result = Some(self.send_directly(connection).await),
                Err(error) => trouble.error = Some(error),
            }
        }
        self.log(&trouble);
        result.unwrap_or(Err(Fault::unsent(Outcome::Unreachable)))
    }

    /// Logs in one line why the request did not get through at once.
    fn log(&self, trouble: &Trouble) {
        let request = self.metadata.id.as_deref();
        let number = self.reservation.upstream();
        let refused = trouble.refused;
        if let Some(error) = &trouble.error {
            let fault = trouble.last.map(|(_, fault)| fault.name());
            info!(upstream = %self.address, error = %error, detours = refused, fault, "connection_failed");
        } else if let Some((host, fault)) = trouble.last {
            info!(request, %host, number, detours = refused, fault = fault.name(), "detour_refused");
        }
    }

    /// Checks that the request may still be sent: upstreams may have ended under the same request of another
    /// client while this one waited. Returns whether it is a trial.
    fn check_standing(&self) -> Result<bool, Fault> {
        let (placer, now) = (self.state.placer(), self.state.now());
        match placer.standing(|| self.plan.content(), now) {
            Standing::Barred(_) => Err(Fault::barred()),
            Standing::Trial => {
                placer.note_trial(self.plan.content(), now);
                Ok(true)
            }
            Standing::Allowed => Ok(false),
        }
    }

    /// Returns an idle connection if the request is idempotent and there is one, or else a new one.
    async fn connect_directly(&self) -> io::Result<Connection> {
        let (state, service) = (self.state, &self.plan.service);
        let may_reuse = self.plan.route.idempotent && !self.is_path_suspected();
        if may_reuse
            && let Some(connection) = state.pool().take_idle(self.address, REUSE_AGE, state.now())
        {
            return Ok(connection);
        }
        let number = self.reservation.upstream();
        let connecting = state
            .pool()
            .connect(self.address, CONNECT_TIMEOUT, state.now());
        match connecting.await {
            Ok(connection) => {
                state.paths().note_opened(service, number);
                Ok(connection)
            }
            Err(error) => {
                state.paths().note_failure(service, number, state.now());
                Err(error)
            }
        }
    }

    async fn send_directly(&self, connection: Connection) -> Result<(Answer, Way), Fault> {
        let way = Way::Direct(self.address);
        match self.send(connection, way).await {
            Ok(answer) => {
                self.state.paths().note_answered(&self.plan.service);
                Ok((answer, way))
            }
            Err(Obstacle::Fault(fault)) => {
                self.follow_up(fault);
                Err(fault)
            }
            Err(Obstacle::Host(_)) => Err(BROKEN),
        }
    }

    /// Finds out what is behind a fault: an ended upstream, or a blocked path.
    fn follow_up(&self, fault: Fault) {
        let state = Rc::clone(self.state);
        match fault.outcome {
            Outcome::Truncated => {
                spawn(end_check::run(state, self.interruption())).detach();
            }
            Outcome::TimedOut => {
                spawn(paths::check(state, self.plan.service.clone())).detach();
            }
            _ => {}
        }
    }

    /// Asks other hosts to send the request, until one has sent it or finds the upstream unreachable; returns
    /// `None` if none could help.
    async fn send_by_detour(&self, trouble: &mut Trouble) -> Option<Result<(Answer, Way), Fault>> {
        let (state, number) = (self.state, self.reservation.upstream());
        for host in state.detours().candidates(state) {
            let may_reuse = self.plan.route.idempotent;
            let Some(connection) = detour::connect(state, host, may_reuse).await else {
                state.detours().note_refusal(host, state.now());
                continue;
            };
            state.detours().note_use(host);
            let way = Way::Detour(host);
            let result = self.send(connection, way).await;
            if let Err(Obstacle::Host(fault)) = &result {
                trouble.refused += 1;
                trouble.last = Some((host, *fault));
            }
            let fault = match result {
                Ok(answer) => {
                    self.note_detour(host);
                    return Some(Ok((answer, way)));
                }
                Err(Obstacle::Fault(fault)) => match fault.outcome {
                    // The connection to the other host was lost before the request was sent.
                    Outcome::Unreachable => detour::Fault::Blocked,
                    Outcome::Shed | Outcome::Moved => {
                        self.note_detour(host);
                        return Some(Err(fault));
                    }
                    Outcome::TimedOut => {
                        state.detours().note_refusal(host, state.now());
                        return Some(Err(fault));
                    }
                    _ => return Some(Err(fault)),
                },
                Err(Obstacle::Host(fault)) => fault,
            };
            match fault {
                detour::Fault::Blocked => state.detours().note_refusal(host, state.now()),
                detour::Fault::Unwilling => return Some(Err(Fault::unsent(Outcome::Cancelled))),
                detour::Fault::Unreachable => {
                    state.detours().note_unreached(number, state.now());
                    return Some(Err(Fault::unsent(Outcome::Unreachable)));
                }
                detour::Fault::Broken => return Some(Err(BROKEN)),
                detour::Fault::Ended => {
                    end_check::note_end(state, &self.interruption());
                    return Some(Err(BROKEN));
                }
            }
        }
        None
    }

    /// Notes that another host has reached the upstream.
    fn note_detour(&self, host: SocketAddr) {
        let number = self.reservation.upstream();
        self.state.detours().note_help(host);
        paths::note_detour(self.state, &self.plan.service, number);
    }

    fn is_path_suspected(&self) -> bool {
        paths::is_suspected(self.state, &self.plan.service)
    }

    /// Sends the request over a connection and waits for its answer until the deadline, unless the upstream takes
    /// no more requests by now.
    async fn send(&self, connection: Connection, way: Way) -> Result<Answer, Obstacle> {
        let (state, now) = (self.state, self.state.now());
        if state.upstream(self.reservation.upstream()).is_none() {
            return Err(Fault::unsent(Outcome::Cancelled).into());
        }
        let deadline = self.plan.deadline;
        let left = deadline.saturating_duration_since(now);
        let result = wait::until(state, deadline, self.exchange(connection, way, left)).await;
        result.unwrap_or_else(|| {
            // That this host ends is no evidence about the upstream.
            let outcome = if state.giving_up().is_asked() {
                Outcome::Cancelled
            } else {
                Outcome::TimedOut
            };
            Err(Fault::unknown(Kind::UpstreamTimeout, outcome).into())
        })
    }

    /// Sends the request and reads the head and the buffered part of its answer.
    async fn exchange(
        &self,
        mut connection: Connection,
        way: Way,
        left: Duration,
    ) -> Result<Answer, Obstacle> {
        let state = self.state;
        let mut request = request(state, self.plan, &self.reservation, left);
        if let Way::Detour(_) = way {
            let number = self.reservation.upstream();
            detour::address_to(request.headers_mut(), number, self.plan.route.idempotent);
        }
        let was_used = connection.reused;
        let sent = connection.send(request).await;
        let response = sent.map_err(|lost| {
            self.log_malformed(&lost.error);
            if lost.was_sent {
                BROKEN
            } else {
                Fault::unsent(Outcome::Unreachable)
            }
        })?;
        let (head, mut body) = response.into_parts();
        if let (Way::Detour(_), Some(fault)) = (way, detour::Fault::of(&head.headers)) {
            return Err(Obstacle::Host(fault));
        }
        let verdict = state.dialect().classify(self.metadata, &head);
        if verdict.is_of_upstream() {
            let statement = state.dialect().statement(&head);
            state.note_statement(self.reservation.upstream(), statement);
        }
        match verdict {
            // An upstream may send a surplus answer, which the next request on its connection finds.
            Verdict::Answered if was_used && !state.dialect().is_named(self.metadata, &head) => {
                return Err(BROKEN.into());
            }
            Verdict::Answered => {}
            Verdict::NotRun => return Err(Fault::not_run(Outcome::Shed).into()),
            Verdict::Moved => return Err(Fault::not_run(Outcome::Moved).into()),
            Verdict::Unverified => return Err(BROKEN.into()),
        }
        let hold = state.memory().hold(self.plan.tenant.as_ref());
        let buffered = buffer_body(&mut body, &hold).await;
        let (buffered, is_complete) = buffered.map_err(|error| {
            self.log_malformed(&error);
            BROKEN
        })?;
        // Behind another host, that host finds out.
        let is_open_ended = way == Way::Direct(self.address) && connection.is_open_ended();
        if is_complete && is_open_ended {
            let number = self.reservation.upstream();
            if !end_check::is_alive(state, number, self.address).await {
                return Err(BROKEN.into());
            }
        }
        Ok(Answer {
            head,
            buffered,
            hold,
            rest: (!is_complete).then_some(body),
            is_open_ended,
            connection,
        })
    }

    /// Logs what is wrong with an answer, if an error is due to that.
    fn log_malformed(&self, error: &hyper::Error) {
        log_malformed(self.metadata.id.as_deref(), self.address, error);
    }

    /// Describes the request, in case its upstream breaks it off.
    fn interruption(&self) -> Interruption {
        Interruption {
            request: self.metadata.id.clone().unwrap_or_default(),
            content: self.plan.content(),
            service: self.plan.service.clone(),
            upstream: self.reservation.upstream(),
            address: self.address,
        }
    }
}

/// Logs what is wrong with the answer of an upstream, if an error is due to that.
pub(super) fn log_malformed(request: Option<&str>, upstream: SocketAddr, error: &hyper::Error) {
    if let Some(error) = answer::Error::behind(error) {
        warn!(request, %upstream, %error, "answer_malformed");
    }
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
    let attempt = dialect::Attempt {
        remaining: left,
        upstream: &reservation.id(),
        tenant: plan.tenant.as_ref(),
    };
    state.dialect().rewrite(request.headers_mut(), &attempt);
    request
}

/// Reads a body until its end, [`MAX_BUFFERED_BYTES`] or a bound of the memory; returns whether it is complete.
async fn buffer_body(body: &mut Incoming, hold: &Hold) -> Result<(Bytes, bool), hyper::Error> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
            hold.add(data.len());
        }
        let is_short =
            buffered.len() > MIN_BUFFERED_BYTES && hold.check_answer(MIN_BUFFERED_BYTES).is_err();
        if buffered.len() > MAX_BUFFERED_BYTES || is_short {
            return Ok((buffered.freeze(), false));
        }
    }
    Ok((buffered.freeze(), true))
}

/// An answer of an upstream, complete or with its rest still to be read.
struct Answer {
    head: Parts,
    buffered: Bytes,
    /// What the buffered part takes of the memory of the host.
    hold: Hold,
    /// The rest of the body, if it exceeds what is buffered.
    rest: Option<Incoming>,
    /// Whether only the end of the connection ends the body.
    is_open_ended: bool,
    connection: Connection,
}

impl Answer {
    /// Returns the result; ends the reservation, unless the rest of the body is still to be passed on.
    fn finish(mut self, attempt: Attempt<'_>, way: Way) -> Reply {
        let (state, plan) = (attempt.state, attempt.plan);
        let failed = self.head.status.is_server_error();
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        callers::strip_hop_by_hop(&mut self.head.headers);
        let bytes = plan.body.len() + self.buffered.len();
        let rest_bytes = self
            .rest
            .as_ref()
            .map_or(Some(0), |rest| rest.size_hint().exact());
        let length = rest_bytes.map(|rest| rest + self.buffered.len() as u64);
        framing::set_length(&mut self.head.headers, &plan.head.method, length);
        if let Some(rest) = self.rest.take() {
            let rest = Rest {
                state: Rc::clone(state),
                body: rest.into_data_stream(),
                connection: self.connection,
                way,
                is_open_ended: self.is_open_ended,
                interruption: attempt.interruption(),
                reservation: attempt.reservation,
                outcome,
                bytes,
                deadline: plan.deadline,
            };
            let body = pass_on(self.buffered, rest, self.hold);
            return Reply::Answered(Response::from_parts(self.head, body));
        }
        attempt.reservation.end(outcome, bytes);
        if failed {
            let body = counted(self.buffered, self.hold);
            return Reply::Failed(Response::from_parts(self.head, body));
        }
        state.placer().note_answer(|| plan.content(), state.now());
        state
            .pool()
            .put_back(way.address(), self.connection, state.now());
        let body = counted(self.buffered, self.hold);
        Reply::Answered(Response::from_parts(self.head, body))
    }
}

/// Returns a whole body, which counts until the client has taken it unless it is small.
fn counted(body: Bytes, hold: Hold) -> Body {
    if hold.memory().is_bounded() && body.len() > MIN_BUFFERED_BYTES {
        return Box::pin(StreamBody::new(spool::whole(body, hold)));
    }
    http::full(body)
}

/// Returns a body whose rest is read ahead of the client where the host has a budget for that, or else as
/// fast as the client takes it.
fn pass_on(first: Bytes, rest: Rest, hold: Hold) -> Body {
    if !hold.memory().is_bounded() {
        let first = stream::iter([Ok(Frame::data(first))]);
        return Box::pin(StreamBody::new(first.chain(rest.into_stream())));
    }
    let state = Rc::clone(&rest.state);
    let deadline = Deadline {
        clock: Rc::clone(state.clock()),
        at: rest.deadline,
    };
    let request = rest.interruption.request.clone();
    let notice = move |bound: Bound, bytes| {
        state.meters().count_held_back(bound);
        info!(request, bound = bound.name(), bytes, "answer_held_back");
    };
    let body = spool::read_ahead(rest.into_stream(), first, hold, deadline, Box::new(notice));
    Box::pin(StreamBody::new(body))
}
