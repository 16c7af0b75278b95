//! The client port: validates a request, finds its route and tenant, and answers it.
//!
//! A client receives either the answer of an upstream or an error that says whether the request may
//! have run.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use persimmonbend_app::http;
use persimmonbend_app::http::AmbiguousLength;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::http::Limits;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::RouteId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::publication;
use persimmonbend_core::publication::Route;

use crate::callers;
use crate::gateway::LINGER;
use crate::gateway::bodies;
use crate::gateway::dialect::Key;
use crate::gateway::dialect::Metadata;
use crate::gateway::forward;
use crate::gateway::forward::Failure;
use crate::gateway::forward::Plan;
use crate::gateway::record::Record;
use crate::gateway::state::Configuration;
use crate::gateway::state::State;

/// Time before the client's deadline at which it is answered, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Longest wait of a request for the first publication and link on a host that has just started. After a
/// restart of the whole fleet a leader is elected within about a second.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);

/// Largest request body that is held in memory; a host has 160 MB or more and a few dozen clients.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Most concurrent client connections; upstreams and files need file descriptors too.
const MAX_CLIENT_CONNECTIONS: usize = 2_500;

/// Space in the read buffer beyond the largest request head that the limits allow.
const HEAD_BUFFER_MARGIN_BYTES: usize = 4 * 1024;

/// Handles the requests of clients.
#[derive(Debug)]
pub struct Endpoint {
    state: Rc<State>,
}

/// The route that a request matches, and the tenant that it is for.
struct Target {
    name: RouteId,
    route: Route,
    tenant: Option<TenantId>,
}

impl Endpoint {
    /// Creates the handler of a gateway.
    #[must_use]
    pub const fn new(state: Rc<State>) -> Self {
        Self { state }
    }

    /// Answers a request, which has no body if `body` is `None`, and records how it ended.
    async fn respond(&self, head: Parts, body: Option<Incoming>) -> Response<Body> {
        let metadata = self.state.dialect().read(&head.headers);
        let request_id = metadata.id.clone().unwrap_or_default();
        let record = Record::new(&self.state, request_id);
        let outcome = self.answer(head, body, &metadata, &record).await;
        let mut response = match outcome {
            Ok(response) => {
                record.end(Ok(response.status().as_u16()));
                response
            }
            Err(failure) => {
                record.end(Err(failure.kind));
                let dialect = self.state.dialect();
                dialect.refuse(&metadata, failure.kind, failure.retry_after)
            }
        };
        if self.state.stop().is_asked() {
            http::set_connection_close(&mut response);
        }
        response
    }

    /// Validates a request and forwards it to an upstream.
    async fn answer(
        &self,
        head: Parts,
        body: Option<Incoming>,
        metadata: &Metadata,
        record: &Record,
    ) -> Result<Response<Body>, Failure> {
        let max_wait = metadata.timeout.unwrap_or(MAX_START_WAIT) / 2;
        let limit = MAX_START_WAIT.min(max_wait);
        let in_force = self.state.wait_for_start(limit).await;
        if in_force.publication.version.is_none() {
            return Err(Failure::from(Kind::NotReady));
        }
        let limits = in_force.publication.limits;
        check_head(&head, limits.head_bytes)?;
        let target = self.resolve_target(&in_force, &head, metadata)?;
        record.note_route(&target.name, target.tenant.as_ref());
        let wait = metadata.timeout.unwrap_or(target.route.timeout);
        let wait = wait.min(target.route.timeout);
        let deadline = record.arrived() + wait.saturating_sub(ANSWER_MARGIN);
        let limit = limits.body_bytes.min(MAX_BODY_BYTES);
        let hold = self.state.memory().hold(target.tenant.as_ref());
        let body = match body {
            Some(body) => bodies::read(&self.state, body, limit, deadline, &hold, record).await?,
            None => Bytes::new(),
        };
        let service = target.route.pick(self.state.random_fraction()).cloned();
        let service = service.ok_or_else(|| Failure::from(Kind::NoUpstream))?;
        let plan = Plan {
            route_name: target.name,
            route: target.route,
            service,
            tenant: target.tenant,
            head: callers::upstream_head(head),
            body,
            hold,
            deadline,
            fingerprint: OnceCell::new(),
        };
        forward::send(&self.state, &plan, metadata, record).await
    }

    /// Returns the route and the tenant of a request.
    fn resolve_target(
        &self,
        in_force: &Configuration,
        head: &Parts,
        metadata: &Metadata,
    ) -> Result<Target, Failure> {
        let host = host(head).ok_or_else(|| Failure::from(Kind::Malformed))?;
        let name = in_force.table.find(host, head.uri.path());
        let found = name.and_then(|name| in_force.publication.routes.get_key_value(name));
        let Some((name, route)) = found else {
            return Err(self.refuse_unknown(Kind::UnknownRoute));
        };
        let tenant = if route.open {
            None
        } else {
            self.resolve_tenant(in_force, metadata)?
        };
        Ok(Target {
            name: name.clone(),
            route: route.clone(),
            tenant,
        })
    }

    /// Returns the tenant of a request to a route that needs a key, or `None` for a request without
    /// a key where the publication defines no tenants.
    fn resolve_tenant(
        &self,
        in_force: &Configuration,
        metadata: &Metadata,
    ) -> Result<Option<TenantId>, Failure> {
        match &metadata.key {
            Key::Missing if in_force.publication.tenants.is_empty() => Ok(None),
            Key::Missing => Err(Failure::from(Kind::KeyMissing)),
            Key::Malformed => Err(Failure::from(Kind::KeyUnknown)),
            Key::Presented(digest) => {
                let tenant = in_force.keys.get(digest).cloned();
                let known = tenant.ok_or_else(|| self.refuse_unknown(Kind::KeyUnknown))?;
                Ok(Some(known))
            }
        }
    }

    /// Returns the refusal `kind` of a route or key that the publication in force does not contain,
    /// or [`Kind::ConfigUnverified`] on a host that may have missed a newer publication.
    fn refuse_unknown(&self, kind: Kind) -> Failure {
        if self.state.is_current() {
            Failure::from(kind)
        } else {
            Failure::from(Kind::ConfigUnverified)
        }
    }
}

impl Handler for Endpoint {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        self.respond(head, Some(body)).await
    }

    fn handle_ahead(
        self: Rc<Self>,
        request: Request<()>,
    ) -> Option<LocalBoxFuture<'static, Response<Body>>> {
        let (head, ()) = request.into_parts();
        let in_force = self.state.in_force();
        let name = in_force.table.find(host(&head)?, head.uri.path())?;
        // A request that may run only once waits until those before it have been answered.
        let is_repeatable = in_force.publication.routes.get(name)?.idempotent;
        is_repeatable.then(|| async move { self.respond(head, None).await }.boxed_local())
    }

    fn limits(&self) -> Option<Limits> {
        let limits = self.state.in_force().publication.limits;
        Some(Limits {
            head_buffer_bytes: limits.head_bytes + HEAD_BUFFER_MARGIN_BYTES,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
            close_cancels: true,
            connections: MAX_CLIENT_CONNECTIONS,
            linger: LINGER,
        })
    }
}

/// Returns the host name of a request, unless there is none or more than one `Host` header.
fn host(head: &Parts) -> Option<&str> {
    if let Some(authority) = head.uri.authority() {
        return Some(authority.as_str());
    }
    let mut hosts = head.headers.get_all(HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    hosts.next().is_none().then_some(host)
}

/// Refuses a head that is too large or malformed.
fn check_head(head: &Parts, limit: usize) -> Result<(), Failure> {
    if callers::head_bytes(head) > limit {
        return Err(Failure::from(Kind::HeadTooLarge));
    }
    let has_two_lengths = head.extensions.get::<AmbiguousLength>().is_some();
    let path = head.uri.path();
    if !path.starts_with('/') || publication::has_dot_segment(path) || has_two_lengths {
        return Err(Failure::from(Kind::Malformed));
    }
    Ok(())
}
