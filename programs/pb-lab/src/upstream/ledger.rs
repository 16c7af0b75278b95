//! Records of what stand-in upstreams received and executed, for checks after a run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// The arrivals and executions of requests, shared by all upstreams of a run.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    executions: BTreeMap<String, Execution>,
    arrivals: Vec<Arrival>,
    keys_seen: u64,
}

/// A request that reached an upstream.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When the request arrived.
    pub at: Instant,
    /// ID of the upstream.
    pub upstream: String,
    /// ID of the request.
    pub request: String,
}

#[derive(Debug, Default)]
struct Execution {
    count: u32,
    non_idempotent: bool,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an execution of a request; a `non_idempotent` request must not run again.
    pub fn record_execution(&self, request: &str, non_idempotent: bool) {
        let mut shared = self.lock();
        let execution = shared.executions.entry(request.to_owned()).or_default();
        execution.count += 1;
        execution.non_idempotent |= non_idempotent;
    }

    /// Records that a request reached an upstream.
    pub fn record_arrival(&self, upstream: &str, request: &str) {
        let arrival = Arrival {
            at: Instant::now(),
            upstream: upstream.to_owned(),
            request: request.to_owned(),
        };
        self.lock().arrivals.push(arrival);
    }

    /// Returns the requests that reached upstreams, in order of arrival.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Records that a client's key reached an upstream.
    pub fn record_key(&self) {
        self.lock().keys_seen += 1;
    }

    /// Returns the number of executions of a request.
    #[must_use]
    pub fn executions(&self, request: &str) -> u32 {
        self.lock()
            .executions
            .get(request)
            .map_or(0, |execution| execution.count)
    }

    /// Returns the number of non-idempotent requests that ran more than once.
    #[must_use]
    pub fn duplicates(&self) -> u64 {
        let shared = self.lock();
        let repeated = shared
            .executions
            .values()
            .filter(|execution| execution.non_idempotent && execution.count > 1);
        u64::try_from(repeated.count()).unwrap_or(u64::MAX)
    }

    /// Returns how often a client's key reached an upstream.
    #[must_use]
    pub fn keys_seen(&self) -> u64 {
        self.lock().keys_seen
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
