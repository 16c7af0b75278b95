//! The port for the load balancer's readiness checks and the operators' state dump.

use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use serde_json::json;

use crate::gateway::state::State;

/// Handles readiness checks of the load balancer and requests for the state dump.
#[derive(Debug)]
pub struct Endpoint {
    state: Rc<State>,
}

impl Endpoint {
    /// Creates the handler of a gateway.
    #[must_use]
    pub const fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Endpoint {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, _) = request.into_parts();
        if self.state.dialect().is_ready_check(&head) {
            let status = if self.state.is_ready() { 200 } else { 503 };
            return http::json(status, &json!({ "ready": status == 200 }));
        }
        match head.uri.path() {
            "/dump" => http::json(200, &self.state.dump()),
            _ => http::json(404, &json!({ "error": "there is no such page" })),
        }
    }
}
