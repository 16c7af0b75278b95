//! One route of a publication.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;

/// Rank of a route or tenant; 0 is the highest.
pub type Priority = u32;

/// A share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Weight among the parts of the route.
    pub weight: f64,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host that clients name.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full credit.
    pub objective: Duration,
    /// Rank of its requests.
    pub priority: Priority,
    /// Services that run its requests.
    pub parts: Vec<Part>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
}

impl Route {
    /// Returns the service for a request, by a draw from 0 up to 1.
    ///
    /// Parts without any weight share the requests evenly.
    #[must_use]
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            let even = 1.0 / self.parts.len().max(1) as f64;
            return self.find(draw, |_| even);
        }
        self.find(draw, |part| part.weight / total)
    }

    /// Returns whether the route may lead to `service`.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        self.parts.iter().any(|part| part.service == service)
    }

    fn find<F: Fn(&Part) -> f64>(&self, draw: f64, share: F) -> Option<&ServiceId> {
        let mut left = draw;
        let mut last = None;
        for part in self.parts.iter().filter(|part| share(part) > 0.0) {
            last = Some(&part.service);
            left -= share(part);
            if left < 0.0 {
                return last;
            }
        }
        last
    }
}
