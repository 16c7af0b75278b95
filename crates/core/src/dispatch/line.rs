//! Queued requests of one rank, fair between tenants by the slot time that they ask for.
//!
//! A [`Line`] is a deficit round robin over one flow per tenant. It answers the load of one tenant at
//! several times its usual: what is queued ahead of a request depends on its own tenant's requests and
//! weight, not on how many another tenant has queued.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::dispatch::Request;
use crate::id::TenantId;

/// Least slot time of a request, so that each one counts.
const MIN_COST: Duration = Duration::from_millis(1);

/// Most slot time of a request that counts, so that a turn of a tenant stays short.
const MAX_COST: Duration = Duration::from_secs(2);

/// Least and most part of a turn, as a multiple of the largest slot time in the line.
const MIN_TURN: f64 = 0.125;
const MAX_TURN: f64 = 64.0;

/// Requests at the front of a flow among which one that can be placed is searched.
const LOOK_AHEAD: usize = 8;

/// Requests at the front of a flow among which those that are too large are passed over.
const MAX_PASSED_OVER: usize = 512;

/// Position of a request in the order of arrival.
pub type Sequence = u64;

/// The queued requests of one rank.
#[derive(Debug, Clone, Default)]
pub struct Line {
    flows: BTreeMap<TenantId, Flow>,
    /// Tenants in the order of their turns.
    turns: VecDeque<TenantId>,
    /// Largest slot time since the line was last empty.
    quantum: Duration,
    work: Duration,
    /// Bytes of the bodies of the requests.
    bytes: u64,
    length: usize,
    /// Sum of the weights of the tenants.
    weights: f64,
}

#[derive(Debug, Clone)]
struct Flow {
    weight: f64,
    /// Slot time that the tenant may still take in its turn, in seconds; negative if it has taken more.
    deficit: f64,
    work: Duration,
    bytes: u64,
    entries: BTreeMap<Sequence, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    cost: Duration,
    request: Request,
}

impl Line {
    /// Returns the number of requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no requests.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the slot time that all requests are expected to take.
    #[must_use]
    pub const fn work(&self) -> Duration {
        self.work
    }

    /// Returns the bytes of the bodies of all requests.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the bytes of the bodies of the requests of a tenant.
    #[must_use]
    pub fn bytes_of(&self, tenant: &str) -> u64 {
        self.flows.get(tenant).map_or(0, |flow| flow.bytes)
    }

    /// Returns the number of tenants with requests.
    #[must_use]
    pub fn tenants(&self) -> usize {
        self.flows.len()
    }

    /// Returns the tenants with requests, the next one first.
    pub fn turns(&self) -> impl Iterator<Item = &TenantId> {
        self.turns.iter()
    }

    /// Returns the number of requests of a tenant.
    #[must_use]
    pub fn len_of(&self, tenant: &str) -> usize {
        self.flows.get(tenant).map_or(0, |flow| flow.entries.len())
    }

    /// Returns the slot time that is served before a new request of `tenant` that takes `cost`.
    #[must_use]
    pub fn work_before(&self, tenant: &str, weight: f64, cost: Duration) -> Duration {
        self.work_around(tenant, weight, self.work_of(tenant), bounded(cost))
    }

    /// Returns the slot time that the requests of a tenant are expected to take.
    #[must_use]
    pub fn work_of(&self, tenant: &str) -> Duration {
        let flow = self.flows.get(tenant);
        flow.map_or(Duration::ZERO, |flow| flow.work)
    }

    /// Returns the share of a tenant of a weight among those with requests and itself.
    #[must_use]
    pub fn share_of(&self, tenant: &str, weight: f64) -> f64 {
        let own = self.flows.get(tenant).map_or(0.0, |flow| flow.weight);
        let all = (self.weights - own).max(0.0) + weight;
        weight / all.max(f64::EPSILON)
    }

    /// Returns the last request of a tenant, with the slot time that is served before it.
    #[must_use]
    pub fn last(&self, tenant: &str) -> Option<(&Request, Duration)> {
        let flow = self.flows.get(tenant)?;
        let (_, entry) = flow.entries.last_key_value()?;
        let own = flow.work.saturating_sub(entry.cost);
        let before = self.work_around(tenant, flow.weight, own, entry.cost);
        Some((&entry.request, before))
    }

    /// Returns a request of a tenant.
    #[must_use]
    pub fn get(&self, tenant: &str, sequence: Sequence) -> Option<&Request> {
        let flow = self.flows.get(tenant)?;
        flow.entries.get(&sequence).map(|entry| &entry.request)
    }

    /// Adds a request of a tenant that is expected to hold a slot for `cost`.
    pub fn push(
        &mut self,
        tenant: &str,
        weight: f64,
        cost: Duration,
        sequence: Sequence,
        request: Request,
    ) {
        let cost = bounded(cost);
        if self.is_empty() {
            (self.quantum, self.weights) = (cost, 0.0);
        }
        self.quantum = self.quantum.max(cost);
        let quantum = self.quantum;
        if !self.flows.contains_key(tenant) {
            self.turns.push_back(tenant.to_owned());
        }
        let flow = self.flows.entry(tenant.to_owned()).or_insert_with(|| Flow {
            weight: 0.0,
            deficit: quantum.as_secs_f64(),
            work: Duration::ZERO,
            bytes: 0,
            entries: BTreeMap::new(),
        });
        self.weights += weight - flow.weight;
        flow.weight = weight;
        flow.work += cost;
        flow.bytes += u64::from(request.body_bytes);
        self.bytes += u64::from(request.body_bytes);
        flow.entries.insert(sequence, Entry { cost, request });
        self.work += cost;
        self.length += 1;
    }

    /// Removes the next request for which `place` returns a value, and returns both.
    ///
    /// Looks at `looks` requests at most, and counts them down; the next call goes on with the tenants behind
    /// these. A request larger than `most_bytes` is offered only when it is the first one of its tenant, so that it
    /// does not hide the smaller ones behind it.
    pub fn take<P, F>(
        &mut self,
        most_bytes: u32,
        looks: &mut usize,
        mut place: F,
    ) -> Option<(Request, P)>
    where
        F: FnMut(&Request) -> Option<P>,
    {
        let mut skipped = 0;
        while skipped < self.turns.len() && *looks > 0 {
            let tenant = self.turns.front()?.clone();
            let flow = self.flows.get(&tenant)?;
            let (_, first) = flow.entries.first_key_value()?;
            if flow.deficit < first.cost.as_secs_f64() {
                self.end_turn(&tenant);
                continue;
            }
            let look = |request: &Request| {
                *looks = looks.saturating_sub(1);
                place(request)
            };
            let Some((sequence, found)) = flow.find(most_bytes, look) else {
                skipped += 1;
                self.turns.rotate_left(1);
                continue;
            };
            let request = self.serve(&tenant, sequence)?;
            return Some((request, found));
        }
        None
    }

    /// Removes a request that is served, which its tenant pays for.
    pub fn serve(&mut self, tenant: &str, sequence: Sequence) -> Option<Request> {
        let flow = self.flows.get_mut(tenant)?;
        let cost = flow.entries.get(&sequence)?.cost;
        flow.deficit -= cost.as_secs_f64();
        self.remove(tenant, sequence)
    }

    /// Removes a request.
    pub fn remove(&mut self, tenant: &str, sequence: Sequence) -> Option<Request> {
        let flow = self.flows.get_mut(tenant)?;
        let entry = flow.entries.remove(&sequence)?;
        flow.work = flow.work.saturating_sub(entry.cost);
        self.work = self.work.saturating_sub(entry.cost);
        flow.bytes -= u64::from(entry.request.body_bytes);
        self.bytes -= u64::from(entry.request.body_bytes);
        self.length -= 1;
        if flow.entries.is_empty() {
            self.weights -= flow.weight;
            self.flows.remove(tenant);
            self.turns.retain(|other| other != tenant);
        }
        Some(entry.request)
    }

    /// Gives the next tenant its turn; one whose requests were passed over keeps what it has.
    fn end_turn(&mut self, tenant: &str) {
        let mean = (self.weights / self.flows.len().max(1) as f64).max(f64::EPSILON);
        let quantum = self.quantum;
        if let Some(flow) = self.flows.get_mut(tenant) {
            let turn = (flow.weight / mean).clamp(MIN_TURN, MAX_TURN);
            flow.deficit += quantum.as_secs_f64() * turn;
        }
        self.turns.rotate_left(1);
    }

    /// Returns the slot time served before a request of `tenant` that follows `own` of its slot time.
    fn work_around(&self, tenant: &str, weight: f64, own: Duration, cost: Duration) -> Duration {
        let reach = (own + cost).as_secs_f64() / weight.max(f64::EPSILON);
        let before = |flow: &Flow| flow.work.as_secs_f64().min(reach * flow.weight);
        let all: f64 = self.flows.values().map(before).sum();
        let others = all - self.flows.get(tenant).map_or(0.0, before);
        own + Duration::from_secs_f64(others.max(0.0))
    }
}

impl Flow {
    fn find<P, F>(&self, most_bytes: u32, mut place: F) -> Option<(Sequence, P)>
    where
        F: FnMut(&Request) -> Option<P>,
    {
        let first = self.entries.keys().next();
        let is_offered = |(sequence, entry): &(&Sequence, &Entry)| {
            Some(*sequence) == first || entry.request.body_bytes <= most_bytes
        };
        let offered = self.entries.iter().take(MAX_PASSED_OVER);
        let mut offered = offered.filter(is_offered).take(LOOK_AHEAD);
        offered.find_map(|(sequence, entry)| {
            let found = place(&entry.request)?;
            Some((*sequence, found))
        })
    }
}

fn bounded(cost: Duration) -> Duration {
    cost.clamp(MIN_COST, MAX_COST)
}
