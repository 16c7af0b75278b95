//! The way of one request to an upstream: which attempts are made, and what the client hears.
//!
//! A request that must not run twice is sent again only while no byte of it was written, or when
//! the upstream itself stated that it did not run it. Any other failure of such a request is
//! answered as unknown.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use hyper::http::request::Parts;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::publication::Route;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::dispatch;

use crate::gateway::desk::Desk;
use crate::gateway::desk::Need;
use crate::gateway::desk::Refusal;
use crate::gateway::desk::Reservation;
use crate::gateway::dialect::Metadata;
use crate::gateway::exchange;
use crate::gateway::exchange::Fault;
use crate::gateway::exchange::Reply;
use crate::gateway::record::Record;
use crate::gateway::state::State;

/// Upstreams that are tried at most for one request, those that could not be connected to and
/// those that did not run it among them.
const MAX_TRIES: usize = 6;

/// Time that must be left for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(40);

/// Time that a second upstream may take to be found while a first one runs the request.
const HEDGE_WAIT: Duration = Duration::from_millis(30);

/// Time after which a request comes back that an upstream shed: it may find another one.
const SHED_RETRY: Duration = Duration::from_millis(120);

/// A request that is ready to be sent.
#[derive(Debug)]
pub struct Plan {
    /// Name of its route.
    pub route_name: RouteId,
    /// Its route.
    pub route: Route,
    /// Service that the split chose.
    pub service: ServiceId,
    /// Whom it is for, if a key came with it.
    pub tenant: Option<TenantId>,
    /// Method, target and headers, without hop-by-hop headers.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: Instant,
}

/// Why a request is not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The kind of error.
    pub kind: Kind,
    /// When it makes sense to come back, where that is known better than the table knows it.
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
/// A request that may be repeated is sent to a second upstream as well when the first one takes
/// far longer than expected; the first answer wins.
///
/// # Errors
///
/// Returns the last failure, or the last one that may have run the request.
pub async fn send(
    state: &Rc<State>,
    plan: &Plan,
    asked: &Metadata,
    record: &Record,
) -> Result<Response<Body>, Failure> {
    let mut trail = Trail::default();
    let mut running = FuturesUnordered::new();
    loop {
        let starting = start(state, plan, record, &trail);
        let started = if running.is_empty() {
            starting.await
        } else {
            let started = timeout(HEDGE_WAIT, starting).await;
            started.unwrap_or(Err(Failure::from(Kind::Overloaded)))
        };
        let mut impatient_at = match started {
            Ok(reservation) => {
                let now = state.now();
                let patience = reservation.patience();
                trail.open(&reservation, now);
                running.push(attempt(state, plan, asked, reservation));
                patience.map(|patience| now + patience)
            }
            Err(failure) if running.is_empty() => return trail.end(failure),
            Err(_) => None,
        };
        let go_on = loop {
            match next(state, &mut running, impatient_at).await {
                Event::Impatient => {
                    impatient_at = None;
                    if trail.may_hedge(plan) {
                        break true;
                    }
                }
                Event::Ended(number, reply) => {
                    trail.close(state, record, number, &reply);
                    match reply {
                        Reply::Answered(response) => {
                            trail.abandon(state, record);
                            return Ok(response);
                        }
                        Reply::Failed(response) => trail.note_answer(response),
                        Reply::Fault(fault) => trail.note(fault),
                    }
                    if running.is_empty() {
                        break trail.may_go_on(plan);
                    }
                }
            }
        };
        if !go_on {
            return trail.end(Failure::from(Kind::UpstreamBroken));
        }
    }
}

/// What happens while attempts run.
enum Event {
    /// The latest attempt takes far longer than expected.
    Impatient,
    /// An attempt at this upstream has ended.
    Ended(Number, Reply),
}

/// Finds an upstream for the next attempt.
async fn start(
    state: &Rc<State>,
    plan: &Plan,
    record: &Record,
    trail: &Trail,
) -> Result<Reservation, Failure> {
    if trail.avoid.len() >= MAX_TRIES {
        return Err(Failure::from(Kind::ConnectFailed));
    }
    let left = plan.deadline.saturating_duration_since(state.now());
    if left < LEAST_LEFT {
        return Err(Failure::from(Kind::DeadlineBeforeSend));
    }
    let need = trail.need(plan, record);
    Desk::reserve(state, &need).await.map_err(Failure::from)
}

async fn attempt(
    state: &Rc<State>,
    plan: &Plan,
    asked: &Metadata,
    reservation: Reservation,
) -> (Number, Reply) {
    let number = reservation.upstream();
    (number, exchange::run(state, plan, asked, reservation).await)
}

async fn next<F>(
    state: &State,
    running: &mut FuturesUnordered<F>,
    impatient_at: Option<Instant>,
) -> Event
where
    F: Future<Output = (Number, Reply)>,
{
    let ended = async {
        match running.next().await {
            Some((number, reply)) => Event::Ended(number, reply),
            None => Event::Impatient,
        }
    };
    let Some(at) = impatient_at else {
        return ended.await;
    };
    let left = at.saturating_duration_since(state.now());
    timeout(left, ended).await.unwrap_or(Event::Impatient)
}

/// An attempt that runs.
struct Open {
    number: Number,
    upstream: UpstreamId,
    since: Instant,
}

/// What became of the attempts so far.
#[derive(Default)]
struct Trail {
    /// Attempts that run.
    open: Vec<Open>,
    /// Upstreams that may have run the request, those that run it now aside.
    attempts: u32,
    /// Whether an upstream was handed the request.
    handed: bool,
    avoid: Vec<Number>,
    /// The last failure that may have run the request, or else the last one.
    failure: Option<Failure>,
    /// A whole answer that says that the upstream failed.
    answer: Option<Response<Body>>,
}

impl Trail {
    fn need(&self, plan: &Plan, record: &Record) -> Need {
        Need {
            request: record.request().to_owned(),
            route: plan.route_name.clone(),
            service: plan.service.clone(),
            tenant: plan.tenant.clone(),
            arrived: record.arrived(),
            deadline: plan.deadline,
            objective: plan.route.objective,
            attempts: self.attempts + self.running(),
            repeat: self.handed || !self.open.is_empty(),
            avoid: self.avoid.clone(),
        }
    }

    fn running(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    fn open(&mut self, reservation: &Reservation, since: Instant) {
        self.avoid.push(reservation.upstream());
        self.open.push(Open {
            number: reservation.upstream(),
            upstream: reservation.id(),
            since,
        });
    }

    fn close(&mut self, state: &State, record: &Record, number: Number, reply: &Reply) {
        let ended = self.open.extract_if(.., |open| open.number == number);
        for open in ended {
            let took = state.now().saturating_duration_since(open.since);
            record.note_attempt(&open.upstream, reply.outcome(), dispatch::millis(took));
        }
    }

    /// Notes the attempts that another answer made needless.
    fn abandon(&mut self, state: &State, record: &Record) {
        for open in self.open.drain(..) {
            let took = state.now().saturating_duration_since(open.since);
            record.note_attempt(&open.upstream, "abandoned", dispatch::millis(took));
        }
    }

    fn note_answer(&mut self, response: Response<Body>) {
        self.attempts += 1;
        self.handed = true;
        self.answer = Some(response);
        self.failure = Some(Failure::from(Kind::UpstreamBroken));
    }

    /// Notes a failure; one that may have run the request is never replaced by one that has not.
    fn note(&mut self, fault: Fault) {
        if fault.written {
            self.attempts += 1;
        }
        self.handed |= fault.handed;
        let failure = Failure {
            kind: fault.kind,
            retry_after: (fault.kind == Kind::Shed).then_some(SHED_RETRY),
        };
        let ran = |failure: &Failure| failure.kind.answer().ran == Ran::Unknown;
        if fault.written || !self.failure.as_ref().is_some_and(ran) {
            self.failure = Some(failure);
        }
    }

    /// Returns whether another upstream may be sent the request while one runs it.
    fn may_hedge(&self, plan: &Plan) -> bool {
        plan.route.idempotent && self.attempts + self.running() < plan.route.attempts
    }

    /// Returns whether another attempt is allowed.
    fn may_go_on(&self, plan: &Plan) -> bool {
        if self.attempts == 0 {
            return true;
        }
        plan.route.idempotent && self.attempts < plan.route.attempts
    }

    /// Returns the best that came of the attempts, or `failure` where there were none.
    fn end(&mut self, failure: Failure) -> Result<Response<Body>, Failure> {
        match self.answer.take() {
            Some(answer) => Ok(answer),
            None => Err(self.failure.unwrap_or(failure)),
        }
    }
}
