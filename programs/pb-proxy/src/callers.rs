//! The HTTP endpoint for clients, bound to the address of the setting `callers`.
//!
//! The endpoint checks the key of a request unless its route is open, charges the tenant's quota
//! and forwards the request to an upstream. A failed request is answered with an error that says
//! whether the request may have run.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::time::timeout;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::AmbiguousLength;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_core::error::Kind;
use persimmonbend_core::publication;
use persimmonbend_core::route::Target;
use rand::RngExt;

use crate::auth;
use crate::forward;
use crate::forward::Plan;
use crate::node::Node;
use crate::rates;
use crate::records;
use crate::refusal;
use crate::trace::Trace;

/// Largest request target and headers that are accepted.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handles the requests of clients.
#[derive(Debug)]
pub struct Endpoint {
    node: Rc<Node>,
}

impl Endpoint {
    /// Creates the endpoint of a proxy.
    #[must_use]
    pub const fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    /// Returns the response to a request, or the kind of error that ended the request.
    async fn run(
        &self,
        request: Request<Incoming>,
        trace: &Rc<Trace>,
    ) -> Result<Response<Body>, Kind> {
        if !self.node.is_configured() {
            return Err(Kind::NotReady);
        }
        let started = self.node.now();
        let (head, body) = request.into_parts();
        check_head(&head)?;
        let target = self.find_target(&head)?;
        trace.set_route(&target);
        let key = match target.route.open {
            true => None,
            false => Some(auth::digest(&head.headers)?),
        };
        let tenant = match &key {
            Some(key) => Some(auth::tenant(&self.node.board(), key)?),
            None => None,
        };
        if let Some(tenant) = &tenant {
            trace.set_tenant(tenant);
        }
        let idempotency_key = records::key(&target.route, &head.headers)?;
        let deadline = deadline(started, &target, &head.headers);
        if let Some(tenant) = &tenant {
            rates::admit(&self.node, tenant, &target.service, deadline).await?;
        }
        let body = read_body(body, self.node.settings().body_max_bytes).await?;
        let plan = Plan {
            deadline,
            target,
            tenant,
            key,
            head: Rc::new(upstream_head_without_key(head)),
            body,
            trace: Rc::clone(trace),
        };
        let mut response = match idempotency_key {
            Some(key) => records::run(&self.node, plan, key).await?,
            None => forward::send(&self.node, &plan).await?,
        };
        strip_hop_by_hop(response.headers_mut());
        Ok(response)
    }

    fn find_target(&self, head: &Parts) -> Result<Target, Kind> {
        let routes = self.node.board().routes();
        let targets = routes.find(head.uri.path());
        if targets.is_empty() {
            return Err(Kind::UnknownRoute);
        }
        let method = head.method.as_str();
        let matching = targets.iter().find(|target| target.route.takes(method));
        matching.cloned().ok_or(Kind::MethodNotAllowed)
    }

    fn new_request_id(&self) -> String {
        format!("{:016x}", self.node.rng().random::<u64>())
    }
}

impl Handler for Endpoint {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request_id = self.new_request_id();
        let trace = Rc::new(Trace::new(request_id.clone(), self.node.now()));
        let outcome = self.run(request, &trace).await;
        let status = outcome.as_ref().map(|response| response.status().as_u16());
        trace.finish(&self.node, status.map_err(|kind| *kind));
        let mut response = outcome.unwrap_or_else(|kind| refusal::response(kind, &request_id));
        if self.node.stop().is_asked() {
            http::set_connection_close(&mut response);
        }
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response
                .headers_mut()
                .insert(refusal::REQUEST_ID_HEADER, value);
        }
        response
    }
}

fn check_head(head: &Parts) -> Result<(), Kind> {
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    if head_bytes(head) > MAX_HEAD_BYTES {
        return Err(Kind::HeadTooLarge);
    }
    let has_two_lengths = head.extensions.get::<AmbiguousLength>().is_some();
    let has_dot_segment = publication::has_dot_segment(head.uri.path());
    if !target.starts_with('/') || auth::contains_key(target) || has_two_lengths || has_dot_segment
    {
        return Err(Kind::Malformed);
    }
    Ok(())
}

/// Returns the size of a request's target and headers in bytes.
pub(crate) fn head_bytes(head: &Parts) -> usize {
    let target = head.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    target + headers.sum::<usize>()
}

/// Returns the request target in origin form (path and query), as an upstream receives it.
pub(crate) fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| uri.clone(), Uri::from)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Kind> {
    let reading = Limited::new(body, limit).collect();
    let collected = timeout(BODY_TIMEOUT, reading)
        .await
        .map_err(|_| Kind::BodyTimeout)?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Err(_) => Err(Kind::BodyTruncated),
    }
}

fn deadline(started: Instant, target: &Target, headers: &HeaderMap) -> Instant {
    let limit = target.route.deadline();
    let requested = headers.get(forward::DEADLINE_HEADER);
    let requested = requested.and_then(|value| value.to_str().ok()?.parse().ok());
    started + requested.map_or(limit, |millis| limit.min(Duration::from_millis(millis)))
}

fn upstream_head_without_key(mut head: Parts) -> Parts {
    auth::remove_keys(&mut head.headers);
    upstream_head(head)
}

/// Returns a request head without the headers that apply only to the client's connection.
pub(crate) fn upstream_head(mut head: Parts) -> Parts {
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    head.headers.remove(hyper::header::EXPECT);
    head
}

/// Removes the hop-by-hop headers: the standard ones and those that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
