//! The trace of a running request, for explain reports and the request statistics.

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

/// Most upstreams that are recorded for one request.
const MAX_UPSTREAMS: usize = 8;

/// What is known so far about a running request.
#[derive(Debug)]
pub struct Trace {
    request_id: String,
    started: Instant,
    details: RefCell<Details>,
}

#[derive(Debug, Default)]
struct Details {
    tenant: Option<TenantId>,
    route: Option<RouteName>,
    upstreams: Vec<UpstreamId>,
}

impl Trace {
    /// Creates the trace of a request that has just arrived.
    #[must_use]
    pub fn new(request_id: String, started: Instant) -> Self {
        Self {
            request_id,
            started,
            details: RefCell::default(),
        }
    }

    /// Returns the ID of the request.
    #[must_use]
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Records the route of the request.
    pub fn set_route(&self, target: &Target) {
        let route = (target.service.clone(), target.route.id.clone());
        self.details.borrow_mut().route = Some(route);
    }

    /// Records the tenant that the request belongs to.
    pub fn set_tenant(&self, tenant: &str) {
        self.details.borrow_mut().tenant = Some(tenant.to_owned());
    }

    /// Records an upstream that the request is sent to.
    pub fn add_upstream(&self, upstream: &UpstreamId) {
        let mut details = self.details.borrow_mut();
        if details.upstreams.len() < MAX_UPSTREAMS {
            details.upstreams.push(upstream.clone());
        }
    }

    /// Counts the request, which ended with the status of a response or a kind of error.
    pub fn finish(&self, node: &Node, outcome: Result<u16, Kind>) {
        let details = self.details.take();
        let now = node.now();
        let ending = match outcome {
            Ok(status) => Ending::Answered { status },
            Err(kind) => Ending::Failed { kind },
        };
        let request = Request {
            name: self.request_id.clone(),
            at: node.wall_time(),
            tenant: details.tenant,
            route: details.route,
            upstreams: details.upstreams,
            took: now.saturating_duration_since(self.started),
            ending,
        };
        node.traffic_mut().record(now, request);
    }
}
