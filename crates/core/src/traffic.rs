//! Statistics of ended requests: counts and latency by tenant and by route, and the latest
//! failures.
//!
//! Memory is bounded. Latency covers the current and the previous window; counts run since the
//! start of the process.

mod request;
mod series;
mod tally;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::error::Kind;
use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::TenantId;

pub use request::Ending;
pub use request::Request;
pub use series::Point;
pub use series::Series;
pub use tally::Tally;

/// Number of failed requests that are kept, so that operators can ask about them.
pub const MAX_FAILED: usize = 256;

/// Upper bound on the tenants, and on the routes, with counts of their own.
pub const MAX_SUBJECTS: usize = 1_024;

/// Length of one window of latency.
pub const WINDOW: Duration = Duration::from_secs(60);

/// Service and name of a route.
pub type RouteName = (ServiceId, RouteId);

/// Statistics of the requests of one process.
#[derive(Debug)]
pub struct Traffic {
    tenants: BTreeMap<TenantId, Tally>,
    routes: BTreeMap<RouteName, Tally>,
    kinds: BTreeMap<Kind, u64>,
    answered: u64,
    failed: VecDeque<Request>,
    series: Series,
    window_start: Instant,
}

impl Traffic {
    /// Creates empty counts.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            tenants: BTreeMap::new(),
            routes: BTreeMap::new(),
            kinds: BTreeMap::new(),
            answered: 0,
            failed: VecDeque::new(),
            series: Series::new(now),
            window_start: now,
        }
    }

    /// Returns the counts by tenant.
    #[must_use]
    pub const fn tenants(&self) -> &BTreeMap<TenantId, Tally> {
        &self.tenants
    }

    /// Returns the counts by route.
    #[must_use]
    pub const fn routes(&self) -> &BTreeMap<RouteName, Tally> {
        &self.routes
    }

    /// Returns how many requests ended with each kind of error.
    #[must_use]
    pub const fn kinds(&self) -> &BTreeMap<Kind, u64> {
        &self.kinds
    }

    /// Returns how many requests were answered by an upstream.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Returns the latest requests that were refused or failed, oldest first.
    #[must_use]
    pub const fn failed(&self) -> &VecDeque<Request> {
        &self.failed
    }

    /// Returns the latency and the failures of the last minutes.
    #[must_use]
    pub const fn series(&self) -> &Series {
        &self.series
    }

    /// Returns the latest kept failed request with a name.
    #[must_use]
    pub fn request(&self, name: &str) -> Option<&Request> {
        self.failed.iter().rev().find(|one| one.name == name)
    }

    /// Counts a request that has ended.
    pub fn record(&mut self, now: Instant, request: Request) {
        self.rotate_windows(now);
        self.series.record(now, &request);
        if let Some(tenant) = &request.tenant {
            tally_of(&mut self.tenants, tenant, now).count(now, &request);
        }
        if let Some(route) = &request.route {
            tally_of(&mut self.routes, route, now).count(now, &request);
        }
        match request.ending {
            Ending::Answered { .. } => self.answered += 1,
            Ending::Failed { kind } => {
                *self.kinds.entry(kind).or_default() += 1;
                self.keep_failed(request);
            }
        }
    }

    fn keep_failed(&mut self, request: Request) {
        if self.failed.len() >= MAX_FAILED {
            self.failed.pop_front();
        }
        self.failed.push_back(request);
    }

    fn rotate_windows(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < WINDOW {
            return;
        }
        let tallies = self.tenants.values_mut().chain(self.routes.values_mut());
        for tally in tallies {
            tally.rotate(age >= WINDOW * 2);
        }
        self.window_start = now;
    }
}

/// Returns the tally of a name.
///
/// If the map is full, the least recently used tally makes room for a new name.
fn tally_of<'a, N: Ord + Clone>(
    tallies: &'a mut BTreeMap<N, Tally>,
    name: &N,
    now: Instant,
) -> &'a mut Tally {
    if tallies.len() >= MAX_SUBJECTS && !tallies.contains_key(name) {
        let oldest = tallies.iter().min_by_key(|(_, tally)| tally.last_used());
        let oldest = oldest.map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            tallies.remove(&oldest);
        }
    }
    tallies
        .entry(name.clone())
        .or_insert_with(|| Tally::new(now))
}
