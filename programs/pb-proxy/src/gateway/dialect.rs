//! How a platform's clients, upstreams and balancer say what the proxy needs to know.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;
use persimmonbend_app::http::Body;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::key::Digest;

/// A key as a client presents it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// None came.
    Missing,
    /// One came that cannot be read, or more than one.
    Malformed,
    /// One came.
    Presented(Digest),
}

/// What a client says about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Name of the request.
    pub id: Option<String>,
    /// Time that the client waits.
    pub timeout: Option<Duration>,
    /// The key.
    pub key: Key,
}

/// What an upstream is told about a request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// Upstream that the request is meant for.
    pub upstream: &'a UpstreamId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<&'a TenantId>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream has run the request and answers it.
    Answered,
    /// The upstream states that it has not run the request.
    NotRun,
    /// Another upstream has the address now; it has not run the request.
    Moved,
    /// The answer is not the upstream's answer to this request.
    Unverified,
}

/// Reads and writes what a platform has to say in its own names.
pub trait Dialect: fmt::Debug {
    /// Returns whether a call on the port of the balancer asks if the proxy is ready.
    fn is_ready_check(&self, head: &request::Parts) -> bool;

    /// Reads what a client says about its request.
    fn read(&self, headers: &HeaderMap) -> Metadata;

    /// Removes what an upstream must not see and writes what it is told.
    fn rewrite(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Reads what an upstream says about the request with the given name.
    fn classify(&self, metadata: &Metadata, head: &response::Parts) -> Verdict;

    /// Writes the answer to a request that was refused or failed.
    fn refuse(
        &self,
        metadata: &Metadata,
        kind: Kind,
        retry_after: Option<Duration>,
    ) -> Response<Body>;
}
