//! Sends one request to upstreams: decides on retries and hedges, and which result the client gets.
//!
//! A request that is not idempotent is sent again only while no byte of it was written, or when
//! the upstream itself stated that it did not run it. After any other failure of such a request the
//! client receives an error that says that the request may have run.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use compio::time::sleep;
use compio::time::timeout;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use hyper::header::HOST;
use hyper::http::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::poison::Standing;
use persimmonbend_core::publication::Route;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::dispatch;
use tracing::info;

use crate::gateway::dialect::Metadata;
use crate::gateway::exchange;
use crate::gateway::exchange::Fault;
use crate::gateway::exchange::Reply;
use crate::gateway::memory::Hold;
use crate::gateway::paths;
use crate::gateway::placement::Criteria;
use crate::gateway::placement::Placer;
use crate::gateway::placement::Refusal;
use crate::gateway::placement::Reservation;
use crate::gateway::record::Record;
use crate::gateway::state::State;

/// Most upstreams that are tried for one request, including those that could not be connected to
/// and those that did not run it.
const MAX_UPSTREAMS_TRIED: usize = 6;

/// Shortest time until the deadline with which another attempt starts.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(40);

/// Time limit for finding a second upstream while a first one runs the request.
const HEDGE_PLACEMENT_TIMEOUT: Duration = Duration::from_millis(30);

/// Time without an answer after which a path to the upstreams is checked, however soon the request is sent to
/// another one.
const PATH_CHECK_AFTER: Duration = Duration::from_millis(200);

/// Time after which a client may retry a request that an upstream shed; another upstream may take
/// it.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(120);

/// The refusal of a request that a stopping host has not sent; another host takes it at once.
const STOPPING: Refusal = Refusal {
    kind: Kind::Stopping,
    retry_after: Duration::ZERO,
};

/// A request that is ready to be sent.
#[derive(Debug)]
pub struct Plan {
    /// Name of the route.
    pub route_name: RouteId,
    /// Route that the request matches.
    pub route: Route,
    /// Service that the route's traffic split selected.
    pub service: ServiceId,
    /// Tenant of the request, if it has a key.
    pub tenant: Option<TenantId>,
    /// Method, target and headers, without hop-by-hop headers.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// What the body takes of the memory of the host.
    pub hold: Hold,
    /// When the answer is due.
    pub deadline: Instant,
    /// Fingerprint of the content, once it was needed.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl Plan {
    /// Returns the fingerprint of the content, which repeats of the request share on all hosts.
    pub fn content(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let tenant = self.tenant.as_deref().unwrap_or_default();
            let host = self.head.headers.get(HOST);
            let target = self.head.uri.path_and_query();
            Fingerprint::of([
                tenant.as_bytes(),
                self.head.method.as_str().as_bytes(),
                host.map(HeaderValue::as_bytes).unwrap_or_default(),
                target.map_or("", PathAndQuery::as_str).as_bytes(),
                &self.body,
            ])
        })
    }
}

/// Why a request is not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The kind of error.
    pub kind: Kind,
    /// Time after which the client may retry, where it differs from that of the kind of error.
    pub retry_after: Option<Duration>,
}

impl From<Kind> for Failure {
    fn from(kind: Kind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self {
            kind: refusal.kind,
            retry_after: Some(refusal.retry_after),
        }
    }
}

/// Sends a request until it is answered, its attempts are used up or its deadline passes.
///
/// An idempotent request is also sent to a second upstream when the first one exceeds its attempt
/// timeout; the client receives the first answer.
///
/// # Errors
///
/// Returns the last failure after which the request may have run, or else the last failure.
pub async fn send(
    state: &Rc<State>,
    plan: &Plan,
    metadata: &Metadata,
    record: &Record,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::default();
    let mut running = FuturesUnordered::new();
    let mut path_check = None;
    loop {
        let reserving = reserve(state, plan, record, &attempts);
        let reserved = if running.is_empty() {
            reserving.await
        } else {
            let reserved = timeout(HEDGE_PLACEMENT_TIMEOUT, reserving).await;
            reserved.unwrap_or(Err(Failure::from(Kind::Overloaded)))
        };
        let mut hedge_at = match reserved {
            Ok(reservation) => {
                let now = state.now();
                let attempt_timeout = reservation.attempt_timeout();
                attempts.start(&reservation, now);
                running.push(run_attempt(state, plan, metadata, reservation));
                attempt_timeout.map(|attempt_timeout| now + attempt_timeout)
            }
            Err(failure) if running.is_empty() => return attempts.result(failure),
            Err(failure) => {
                state.meters().count_refused_hedge(failure.kind);
                None
            }
        };
        let should_continue = loop {
            match next(state, &mut running, hedge_at).await {
                Event::HedgeDue => {
                    hedge_at = None;
                    path_check = check_path(state, plan, attempts.longest(state.now()));
                    if attempts.may_hedge(plan) {
                        break true;
                    }
                }
                Event::Ended(number, reply) => {
                    attempts.finish(state, record, number, &reply);
                    match reply {
                        Reply::Answered(response) => {
                            drop(path_check);
                            attempts.abandon(state, record);
                            return Ok(response);
                        }
                        Reply::Failed(response) => attempts.note_answer(response),
                        Reply::Fault(fault) => attempts.note_fault(fault),
                    }
                    if running.is_empty() {
                        break attempts.may_retry(plan);
                    }
                }
            }
        };
        if !should_continue {
            return attempts.result(Failure::from(Kind::UpstreamBroken));
        }
    }
}

/// An event while attempts are in flight.
enum Event {
    /// The latest attempt has exceeded its attempt timeout.
    HedgeDue,
    /// The attempt at this upstream has ended.
    Ended(Number, Reply),
}

/// Checks the path to the upstreams of a request that has waited for [`PATH_CHECK_AFTER`], now or when it has;
/// dropping the task that is returned cancels a later check.
fn check_path(state: &Rc<State>, plan: &Plan, waited: Duration) -> Option<JoinHandle<()>> {
    let check = paths::check(Rc::clone(state), plan.service.clone());
    let left = PATH_CHECK_AFTER.saturating_sub(waited);
    if left.is_zero() {
        spawn(check).detach();
        return None;
    }
    Some(spawn(async move {
        sleep(left).await;
        check.await;
    }))
}

/// Reserves a slot of an upstream for the next attempt.
async fn reserve(
    state: &Rc<State>,
    plan: &Plan,
    record: &Record,
    attempts: &Attempts,
) -> Result<Reservation, Failure> {
    if attempts.avoid.len() >= MAX_UPSTREAMS_TRIED {
        return Err(Failure::from(Kind::ConnectFailed));
    }
    let left = plan.deadline.saturating_duration_since(state.now());
    if left < MIN_ATTEMPT_TIME {
        return Err(Failure::from(Kind::DeadlineBeforeSend));
    }
    match state.placer().standing(|| plan.content(), state.now()) {
        Standing::Barred(left) => return Err(barred(plan, record, left)),
        Standing::Trial if attempts.is_any_started() => {
            return Err(Failure::from(Kind::EndsUpstreams));
        }
        Standing::Trial | Standing::Allowed => {}
    }
    let criteria = attempts.criteria(plan, record);
    let reserving = Placer::reserve(state, &criteria);
    let end = if attempts.may_have_run() {
        state.giving_up()
    } else {
        state.last_send()
    };
    let reserved = end.until(reserving).await;
    reserved.unwrap_or(Err(STOPPING)).map_err(Failure::from)
}

/// Logs that a request is not sent since upstreams ended under its content, and returns the refusal.
fn barred(plan: &Plan, record: &Record, left: Duration) -> Failure {
    info!(
        request = record.request(),
        content = %plan.content(),
        left_ms = dispatch::millis(left),
        "request_barred"
    );
    Failure {
        kind: Kind::EndsUpstreams,
        retry_after: Some(left),
    }
}

/// Runs an attempt and returns its result with the number of the upstream.
async fn run_attempt(
    state: &Rc<State>,
    plan: &Plan,
    metadata: &Metadata,
    reservation: Reservation,
) -> (Number, Reply) {
    let number = reservation.upstream();
    (
        number,
        exchange::run(state, plan, metadata, reservation).await,
    )
}

/// Waits for the end of an attempt, or until `hedge_at`.
async fn next<F>(
    state: &State,
    running: &mut FuturesUnordered<F>,
    hedge_at: Option<Instant>,
) -> Event
where
    F: Future<Output = (Number, Reply)>,
{
    let ended = async {
        match running.next().await {
            Some((number, reply)) => Event::Ended(number, reply),
            None => Event::HedgeDue,
        }
    };
    let Some(at) = hedge_at else {
        return ended.await;
    };
    let left = at.saturating_duration_since(state.now());
    timeout(left, ended).await.unwrap_or(Event::HedgeDue)
}

/// An attempt that has not ended.
struct InFlight {
    number: Number,
    upstream: UpstreamId,
    started: Instant,
    /// Whether another attempt was running when this one started.
    is_hedge: bool,
}

/// The attempts of one request so far, and their results.
#[derive(Default)]
struct Attempts {
    in_flight: Vec<InFlight>,
    /// Ended attempts that may have run the request.
    possible_runs: u32,
    /// Whether the request was sent to any upstream.
    was_sent: bool,
    /// Upstreams that were tried.
    avoid: Vec<Number>,
    /// The last failure after which the request may have run, or else the last failure.
    failure: Option<Failure>,
    /// The last complete answer with a 5xx status.
    answer: Option<Response<Body>>,
}

impl Attempts {
    fn criteria(&self, plan: &Plan, record: &Record) -> Criteria {
        Criteria {
            request: record.request().to_owned(),
            route: plan.route_name.clone(),
            service: plan.service.clone(),
            tenant: plan.tenant.clone(),
            arrived: record.arrived(),
            deadline: plan.deadline,
            objective: plan.route.objective,
            attempts: self.possible_runs + self.in_flight_count(),
            is_retry: self.is_any_started(),
            avoid: self.avoid.clone(),
            is_hedge: !self.in_flight.is_empty(),
            body_bytes: u32::try_from(plan.body.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether an upstream has received the request, or is about to.
    fn is_any_started(&self) -> bool {
        self.was_sent || !self.in_flight.is_empty()
    }

    /// Returns whether an upstream may run the request, or may have run it.
    fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || !self.in_flight.is_empty()
    }

    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    /// Returns for how long the earliest attempt in flight has run.
    fn longest(&self, now: Instant) -> Duration {
        let started = self.in_flight.iter().map(|attempt| attempt.started).min();
        started.map_or(Duration::ZERO, |started| {
            now.saturating_duration_since(started)
        })
    }

    fn start(&mut self, reservation: &Reservation, started: Instant) {
        self.avoid.push(reservation.upstream());
        let is_hedge = !self.in_flight.is_empty();
        self.in_flight.push(InFlight {
            number: reservation.upstream(),
            upstream: reservation.id(),
            started,
            is_hedge,
        });
    }

    fn finish(&mut self, state: &State, record: &Record, number: Number, reply: &Reply) {
        let ended = self
            .in_flight
            .extract_if(.., |attempt| attempt.number == number);
        for attempt in ended {
            let took = state.now().saturating_duration_since(attempt.started);
            record.note_attempt(&attempt.upstream, reply.outcome(), dispatch::millis(took));
            if attempt.is_hedge {
                let outcome = match reply {
                    Reply::Answered(_) => "won",
                    Reply::Failed(_) | Reply::Fault(_) => "failed",
                };
                record.note_hedge(&attempt.upstream, outcome, dispatch::millis(took));
            }
        }
    }

    /// Records the attempts that are dropped because another one was answered.
    fn abandon(&mut self, state: &State, record: &Record) {
        for attempt in self.in_flight.drain(..) {
            let took = state.now().saturating_duration_since(attempt.started);
            record.note_attempt(&attempt.upstream, "abandoned", dispatch::millis(took));
            if attempt.is_hedge {
                record.note_hedge(&attempt.upstream, "lost", dispatch::millis(took));
            }
        }
    }

    fn note_answer(&mut self, response: Response<Body>) {
        self.possible_runs += 1;
        self.was_sent = true;
        self.answer = Some(response);
        self.failure = Some(Failure::from(Kind::UpstreamBroken));
    }

    /// Notes a fault; a failure after which the request may have run is never replaced by one after
    /// which it has not.
    fn note_fault(&mut self, fault: Fault) {
        if fault.may_have_run {
            self.possible_runs += 1;
        }
        self.was_sent |= fault.was_sent;
        let failure = Failure {
            kind: fault.kind,
            retry_after: (fault.kind == Kind::Shed).then_some(SHED_RETRY_AFTER),
        };
        let may_have_run = |failure: &Failure| failure.kind.answer().ran == Ran::Unknown;
        if fault.may_have_run || !self.failure.as_ref().is_some_and(may_have_run) {
            self.failure = Some(failure);
        }
    }

    /// Returns whether the request may be sent to another upstream while one runs it.
    fn may_hedge(&self, plan: &Plan) -> bool {
        plan.route.idempotent && self.possible_runs + self.in_flight_count() < plan.route.attempts
    }

    /// Returns whether another attempt may start after all others have ended.
    fn may_retry(&self, plan: &Plan) -> bool {
        if self.possible_runs == 0 {
            return true;
        }
        plan.route.idempotent && self.possible_runs < plan.route.attempts
    }

    /// Returns the last 5xx answer, or else the noted failure, or else `failure`.
    ///
    /// If upstreams only turned the request away, `failure` tells when one of them takes requests again.
    fn result(&mut self, failure: Failure) -> Result<Response<Body>, Failure> {
        match (self.answer.take(), self.failure) {
            (Some(answer), _) => Ok(answer),
            (None, Some(noted)) => Err(Failure {
                retry_after: noted.retry_after.max(failure.retry_after),
                ..noted
            }),
            (None, None) => Err(failure),
        }
    }
}
