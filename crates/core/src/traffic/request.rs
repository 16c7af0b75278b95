//! One request that has ended.

use std::time::Duration;
use std::time::SystemTime;

use crate::error::Kind;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::traffic::RouteName;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// An upstream answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request was refused or failed.
    Failed {
        /// Kind of the error.
        kind: Kind,
    },
}

/// A request that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request identifier that the client was given.
    pub name: String,
    /// Wall time of the end.
    pub at: SystemTime,
    /// Tenant, if the request had a known key.
    pub tenant: Option<TenantId>,
    /// Route, if one matched.
    pub route: Option<RouteName>,
    /// Upstreams that were tried, in order of the attempts.
    pub upstreams: Vec<UpstreamId>,
    /// Time from the head of the request to its end.
    pub took: Duration,
    /// How the request ended.
    pub ending: Ending,
}

impl Request {
    /// Returns one sentence about the request.
    #[must_use]
    pub fn describe(&self) -> String {
        let took = self.took.as_millis();
        let what = match self.ending {
            Ending::Answered { status } => format!("was answered with status {status}"),
            Ending::Failed { kind } => {
                let answer = kind.answer();
                format!("ended as {} (status {})", answer.code, answer.status)
            }
        };
        let route = match &self.route {
            Some((service, route)) => format!("on route {route} of {service}"),
            None => "on no route".to_owned(),
        };
        let tenant = match &self.tenant {
            Some(tenant) => format!("of tenant {tenant}"),
            None => "without a tenant".to_owned(),
        };
        let tried = match self.upstreams.as_slice() {
            [] => "no upstream was tried".to_owned(),
            tried => format!("tried: {}", tried.join(", ")),
        };
        format!("A request {tenant} {route} {what} after {took} ms; {tried}.")
    }
}
