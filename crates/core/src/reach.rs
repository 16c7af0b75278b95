//! What a host knows of its own paths to the upstreams of each service.
//!
//! A host that cannot connect to an upstream does not know whether the upstream is down or its own path is
//! blocked. Failures at several upstreams, with no new connection between them, speak for the path; another
//! host that reaches one of these upstreams proves it:
//!
//! ```
//! use std::time::Instant;
//!
//! use persimmonbend_core::reach::Reach;
//!
//! let now = Instant::now();
//! let mut reach = Reach::default();
//! reach.note_failure("herd", 1, now);
//! assert!(!reach.is_suspected("herd", 8, now));
//! reach.note_failure("herd", 2, now);
//! assert!(reach.is_suspected("herd", 8, now));
//! assert!(reach.note_detour("herd", 2));
//! assert!(reach.is_blocked("herd", 5));
//! assert!(reach.note_opened("herd", 5));
//! assert!(!reach.is_blocked("herd", 5) && reach.is_blocked("herd", 2));
//! ```

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::id::ServiceId;
use crate::roster::Number;

/// Upstreams of a service that cannot be connected to, one after the other, from which on the path of the
/// host is suspected.
const SUSPICIOUS_FAILURES: usize = 2;

/// Time for which a failure is remembered, unless the settings bound the time to notice a cut.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// The path to the upstreams of one service.
#[derive(Debug, Clone, Default)]
struct Path {
    /// When the upstreams last failed to which no connection was opened since any was.
    failures: BTreeMap<Number, Instant>,
    /// Upstreams that only other hosts reach.
    blocked: BTreeSet<Number>,
    /// Whether the whole path counts as blocked: other hosts reach an upstream that this host does not, and it
    /// has reached no other one since.
    is_blocked: bool,
}

/// The paths of a host to the upstreams of each service.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    paths: BTreeMap<ServiceId, Path>,
    /// Time for which a failure is remembered, if it is not [`FAILURE_MEMORY`].
    memory: Option<Duration>,
}

impl Reach {
    /// Sets the time for which a failure is remembered.
    pub const fn set_memory(&mut self, memory: Duration) {
        self.memory = Some(memory);
    }

    /// Records that a new connection to an upstream was opened; returns whether that ends a block.
    pub fn note_opened(&mut self, service: &str, upstream: Number) -> bool {
        let Some(path) = self.paths.get_mut(service) else {
            return false;
        };
        path.failures.clear();
        let was_blocked = std::mem::take(&mut path.is_blocked);
        let was_upstream_blocked = path.blocked.remove(&upstream);
        if path.blocked.is_empty() {
            self.paths.remove(service);
        }
        was_blocked || was_upstream_blocked
    }

    /// Records that an upstream answered over a connection that was opened earlier: the failures at others speak
    /// against these, but nothing is known of new connections where they are blocked.
    pub fn note_answered(&mut self, service: &str) {
        let Some(path) = self.paths.get_mut(service) else {
            return;
        };
        path.failures.clear();
        if !path.is_blocked && path.blocked.is_empty() {
            self.paths.remove(service);
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub fn note_failure(&mut self, service: &str, upstream: Number, now: Instant) {
        let path = self.paths.entry(service.to_owned()).or_default();
        path.failures.insert(upstream, now);
    }

    /// Records that another host reaches an upstream that this host does not; returns whether that is news
    /// about the whole path.
    pub fn note_detour(&mut self, service: &str, upstream: Number) -> bool {
        let path = self.paths.entry(service.to_owned()).or_default();
        path.blocked.insert(upstream);
        !std::mem::replace(&mut path.is_blocked, true)
    }

    /// Returns whether an upstream has to be reached through another host.
    #[must_use]
    pub fn is_blocked(&self, service: &str, upstream: Number) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| path.is_blocked || path.blocked.contains(&upstream))
    }

    /// Returns whether upstreams of a service have failed to which no connection was opened since any was.
    #[must_use]
    pub fn has_failures(&self, service: &str) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| !path.failures.is_empty())
    }

    /// Returns whether the path to a service with so many upstreams may be blocked.
    ///
    /// One failure is enough once the path to any service is blocked.
    #[must_use]
    pub fn is_suspected(&self, service: &str, upstreams: usize, now: Instant) -> bool {
        let Some(path) = self.paths.get(service) else {
            return false;
        };
        let memory = self.memory.unwrap_or(FAILURE_MEMORY);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < memory;
        let failures = path.failures.values().filter(is_recent).count();
        let needed = if self.is_any_blocked() {
            1
        } else {
            SUSPICIOUS_FAILURES.min(upstreams)
        };
        failures >= needed.max(1)
    }

    /// Returns whether the whole path to some service counts as blocked.
    #[must_use]
    pub fn is_any_blocked(&self) -> bool {
        self.paths.values().any(|path| path.is_blocked)
    }

    /// Returns the services to which the whole path counts as blocked.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let blocked = self.paths.iter().filter(|(_, path)| path.is_blocked);
        blocked.map(|(service, _)| service)
    }

    /// Returns the upstreams that only other hosts reach.
    pub fn upstreams(&self) -> impl Iterator<Item = Number> {
        self.paths
            .values()
            .flat_map(|path| path.blocked.iter().copied())
    }

    /// Forgets an upstream that has left.
    pub fn forget(&mut self, upstream: Number) {
        for path in self.paths.values_mut() {
            path.failures.remove(&upstream);
            path.blocked.remove(&upstream);
        }
    }
}
