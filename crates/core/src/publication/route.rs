//! One route of a publication.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;

/// Priority of a route or tenant; 0 is the highest.
pub type Priority = u32;

/// A service of a route with the weight of its share of the requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Weight among the parts of the route.
    pub weight: f64,
}

/// A rule for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in the requests of clients.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Target latency: the time within which an answer earns its full credit.
    pub objective: Duration,
    /// Priority of the requests.
    pub priority: Priority,
    /// Services that run the requests, with their weights.
    pub parts: Vec<Part>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether clients need no key.
    pub open: bool,
}

impl Route {
    /// Returns the service for a request, by a random number `draw` in `0..1`.
    ///
    /// If no part has a weight above 0, all parts share the requests evenly.
    #[must_use]
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        if total <= 0.0 {
            let even = 1.0 / self.parts.len().max(1) as f64;
            return self.find(draw, |_| even);
        }
        self.find(draw, |part| part.weight / total)
    }

    /// Returns whether `service` is one of the services of the route.
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
