//! Log events and metrics of one request, from its arrival to its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use persimmonbend_core::error::Kind;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::TenantId;
use persimmonbend_wire::dispatch;
use tracing::info;

use crate::gateway::state::State;

/// Logs and counts one request; a record that is dropped before its end means that the client left.
#[derive(Debug)]
pub struct Record {
    state: Rc<State>,
    request: String,
    arrived: Instant,
    route: RefCell<RouteId>,
    tenant: RefCell<Option<TenantId>>,
    attempts: Cell<u32>,
    ended: Cell<bool>,
}

impl Record {
    /// Creates the record of a request that arrives now.
    #[must_use]
    pub fn new(state: &Rc<State>, request: String) -> Self {
        state.running().set(state.running().get() + 1);
        Self {
            state: Rc::clone(state),
            request,
            arrived: state.now(),
            route: RefCell::default(),
            tenant: RefCell::default(),
            attempts: Cell::new(0),
            ended: Cell::new(false),
        }
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns when the request arrived.
    #[must_use]
    pub const fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Notes the route and the tenant of the request.
    pub fn note_route(&self, route: &RouteId, tenant: Option<&TenantId>) {
        self.route.borrow_mut().clone_from(route);
        *self.tenant.borrow_mut() = tenant.cloned();
    }

    /// Logs and counts the end of an attempt.
    pub fn note_attempt(&self, upstream: &str, outcome: &str, took_ms: u32) {
        self.attempts.set(self.attempts.get() + 1);
        self.state.meters().count_attempt(outcome);
        info!(
            request = self.request,
            upstream,
            outcome,
            took_ms,
            attempt = self.attempts.get(),
            "attempt_ended"
        );
    }

    /// Logs and counts the end of an extra send.
    pub fn note_hedge(&self, upstream: &str, outcome: &str, took_ms: u32) {
        self.state.meters().count_hedge(outcome);
        info!(
            request = self.request,
            upstream, outcome, took_ms, "hedge_ended"
        );
    }

    /// Logs and counts the end of the request.
    pub fn end(&self, outcome: Result<u16, Kind>) {
        self.ended.set(true);
        let took = self.state.now().saturating_duration_since(self.arrived);
        self.state.meters().count_request(outcome, took);
        let (status, error) = match outcome {
            Ok(status) => (status, None),
            Err(kind) => (kind.answer().status, Some(kind.answer().code)),
        };
        info!(
            request = self.request,
            route = *self.route.borrow(),
            tenant = *self.tenant.borrow(),
            version = self.state.version(),
            status,
            error,
            attempts = self.attempts.get(),
            took_ms = dispatch::millis(took),
            "request_ended"
        );
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.state
            .running()
            .set(self.state.running().get().saturating_sub(1));
        if !self.ended.get() {
            self.state.meters().count_client_left();
            let took = self.state.now().saturating_duration_since(self.arrived);
            info!(
                request = self.request,
                route = *self.route.borrow(),
                attempts = self.attempts.get(),
                took_ms = dispatch::millis(took),
                "client_left"
            );
        }
    }
}
