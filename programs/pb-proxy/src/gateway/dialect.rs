//! The platform-specific headers and paths of clients, upstreams and the load balancer.

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
use persimmonbend_core::statement::Statement;

/// The API key that a client sends with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// The request has no key.
    Missing,
    /// The request has a key that cannot be parsed, or more than one.
    Malformed,
    /// The request has one key, of which only the digest is kept.
    Presented(Digest),
}

/// Metadata that a client sends with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// Id of the request.
    pub id: Option<String>,
    /// Time for which the client waits for the answer.
    pub timeout: Option<Duration>,
    /// API key of the request.
    pub key: Key,
}

/// One attempt, as its headers describe it to the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// Time until the answer is due.
    pub remaining: Duration,
    /// Upstream that the attempt is sent to.
    pub upstream: &'a UpstreamId,
    /// Tenant of the request, if it has a key.
    pub tenant: Option<&'a TenantId>,
}

/// Classifies an answer by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream has run the request and answers it.
    Answered,
    /// The upstream states that it has not run the request.
    NotRun,
    /// Another upstream has the address now and has not run the request.
    Moved,
    /// The answer does not prove that it is the upstream's answer to this request.
    Unverified,
}

impl Verdict {
    /// Returns whether the answer comes from the upstream that the request was sent to.
    #[must_use]
    pub const fn is_of_upstream(self) -> bool {
        matches!(self, Self::Answered | Self::NotRun)
    }
}

/// Reads and writes the headers of a platform.
pub trait Dialect: fmt::Debug {
    /// Returns whether a request to the checks port is the load balancer's readiness check.
    fn is_ready_check(&self, head: &request::Parts) -> bool;

    /// Reads the metadata of a client's request.
    fn read(&self, headers: &HeaderMap) -> Metadata;

    /// Removes the headers that an upstream must not see and adds those that describe the attempt.
    fn rewrite(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Classifies an upstream's answer to the request with this metadata.
    fn classify(&self, metadata: &Metadata, head: &response::Parts) -> Verdict;

    /// Returns whether an answer names the request with this metadata, or the request has no name.
    fn is_named(&self, metadata: &Metadata, head: &response::Parts) -> bool;

    /// Reads what the upstream states about itself in the head of an answer.
    fn statement(&self, head: &response::Parts) -> Statement;

    /// Returns the answer to a request that was refused or failed.
    fn refuse(
        &self,
        metadata: &Metadata,
        kind: Kind,
        retry_after: Option<Duration>,
    ) -> Response<Body>;
}
