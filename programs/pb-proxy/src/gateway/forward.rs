//! The way of one request to an upstream: which attempts are made, and what the client hears.
//!
//! A request that must not run twice is sent again only while no byte of it was written, or when
//! the upstream itself stated that it did not run it. Any other failure of such a request is
//! answered as unknown.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::publication::Route;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::dispatch;

use crate::gateway::desk::Desk;
use crate::gateway::desk::Need;
use crate::gateway::desk::Refusal;
use crate::gateway::dialect::Asked;
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
/// # Errors
///
/// Returns the last failure, or the last one that may have run the request.
pub async fn send(
    state: &Rc<State>,
    plan: &Plan,
    asked: &Asked,
    record: &Record,
) -> Result<Response<Body>, Failure> {
    let mut trail = Trail::default();
    while trail.avoid.len() < MAX_TRIES {
        let left = plan.deadline.saturating_duration_since(state.now());
        if left < LEAST_LEFT {
            return trail.end(Failure::from(Kind::DeadlineBeforeSend));
        }
        let need = trail.need(plan, record);
        let reservation = match Desk::reserve(state, &need).await {
            Ok(reservation) => reservation,
            Err(refusal) => return trail.end(Failure::from(refusal)),
        };
        let started = state.now();
        let (upstream, number) = (reservation.id(), reservation.upstream());
        let reply = exchange::run(state, plan, asked, reservation).await;
        let took = state.now().saturating_duration_since(started);
        record.note_attempt(&upstream, reply.outcome(), dispatch::millis(took));
        match reply {
            Reply::Answered(response) => return Ok(response),
            Reply::Failed(response) => trail.note_answer(response),
            Reply::Fault(fault) => trail.note(fault),
        }
        trail.avoid.push(number);
        if !trail.may_go_on(plan) {
            return trail.end(Failure::from(Kind::UpstreamBroken));
        }
    }
    trail.end(Failure::from(Kind::ConnectFailed))
}

/// What became of the attempts so far.
#[derive(Default)]
struct Trail {
    /// Upstreams that may have run the request.
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
            tenant: plan.tenant.clone().filter(|tenant| !tenant.is_empty()),
            arrived: record.arrived(),
            deadline: plan.deadline,
            objective: plan.route.objective,
            attempts: self.attempts,
            repeat: self.handed,
            avoid: self.avoid.clone(),
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
