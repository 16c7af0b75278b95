//! What is noted of a request on its way, for its explanation and the counts.

use std::cell::RefCell;
use std::time::Instant;

use persimmonbend_core::error::Kind;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::route::Target;
use persimmonbend_core::traffic::Ending;
use persimmonbend_core::traffic::Request;
use persimmonbend_core::traffic::RouteName;

use crate::node::Node;

/// Upstreams noted at most for one request.
const MAX_UPSTREAMS: usize = 8;

/// One request on its way.
#[derive(Debug)]
pub struct Trace {
    name: String,
    started: Instant,
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    tenant: Option<TenantId>,
    route: Option<RouteName>,
    upstreams: Vec<UpstreamId>,
}

impl Trace {
    /// Creates the trace of a request that has just arrived.
    #[must_use]
    pub fn new(name: String, started: Instant) -> Self {
        Self {
            name,
            started,
            inner: RefCell::default(),
        }
    }

    /// Returns the name of the request.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Notes the route.
    pub fn route(&self, target: &Target) {
        let route = (target.service.clone(), target.route.id.clone());
        self.inner.borrow_mut().route = Some(route);
    }

    /// Notes the tenant.
    pub fn tenant(&self, tenant: &str) {
        self.inner.borrow_mut().tenant = Some(tenant.to_owned());
    }

    /// Notes an upstream that the request is sent to.
    pub fn attempt(&self, upstream: &UpstreamId) {
        let mut inner = self.inner.borrow_mut();
        if inner.upstreams.len() < MAX_UPSTREAMS {
            inner.upstreams.push(upstream.clone());
        }
    }

    /// Counts the request, which has ended with a status or a kind of error.
    pub fn end(&self, node: &Node, outcome: Result<u16, Kind>) {
        let inner = self.inner.take();
        let now = node.now();
        let ending = match outcome {
            Ok(status) => Ending::Answered { status },
            Err(kind) => Ending::Failed { kind },
        };
        let request = Request {
            name: self.name.clone(),
            at: node.wall_time(),
            tenant: inner.tenant,
            route: inner.route,
            upstreams: inner.upstreams,
            took: now.saturating_duration_since(self.started),
            ending,
        };
        node.traffic_mut().record(now, request);
    }
}
