//! The steward of a service: the allocator of its upstreams' slots to all hosts.
//!
//! A host calls [`Steward::reserve`] before it sends a request to an upstream and
//! [`Steward::release`] when the attempt has ended. Every call returns the [`Answer`]s that are
//! due, to this host and to others. A [`Request`] gets exactly one final answer, a grant or a
//! refusal; a request that has to wait gets [`Decision::Queued`] first.
//!
//! A steward never grants more slots of an upstream than the upstream has. Slots that hosts use
//! without a grant, or by a grant of an earlier steward, are reported with [`Steward::hold`] and
//! count as in use.

mod estimate;
mod message;
mod queue;
mod rank;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

pub use estimate::Estimate;
pub use message::Answer;
pub use message::Decision;
pub use message::Hold;
pub use message::Release;
pub use message::Request;
pub use message::Ticket;
pub use queue::Queue;

use crate::board::Board;
use crate::error::Kind;
use crate::health::Evidence;
use crate::health::Outcome;
use crate::health::Verdict;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::steward::rank::Rank;
use crate::steward::rank::usable_slots;
use crate::upstream::Upstream;

/// Time without contact after which the reservations of a host lapse.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Upper bound of the requests that wait at a time.
pub const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Upper bound of the tenants whose slot times are estimated.
const MAX_TENANT_ESTIMATES: usize = 1_024;

/// Gives verdicts on upstreams from the evidence of requests.
pub trait Verdicts: fmt::Debug {
    /// Adds an observation.
    fn observe(&mut self, evidence: &Evidence, now: Instant);

    /// Returns the traffic that hosts in `zone` may send to `upstream`.
    fn verdict(&self, upstream: &str, zone: &str, now: Instant) -> Verdict;
}

/// Ignores all evidence and lets every upstream be used in full.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unconditional;

impl Verdicts for Unconditional {
    fn observe(&mut self, _evidence: &Evidence, _now: Instant) {}

    fn verdict(&self, _upstream: &str, _zone: &str, _now: Instant) -> Verdict {
        Verdict::Use { weight: 1.0 }
    }
}

/// Allocates the slots of one service.
#[derive(Debug)]
pub struct Steward {
    service: ServiceId,
    reservations: BTreeMap<Ticket, Hold>,
    loads: BTreeMap<UpstreamId, Load>,
    queue: Queue<Request>,
    last_contact: BTreeMap<HostId, Instant>,
    slot_time: Estimate,
    tenants: BTreeMap<TenantId, Estimate>,
    grants: u64,
}

/// Use of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    running: u32,
    /// Number of the last grant of this upstream; among equal upstreams, the lowest number is
    /// chosen.
    last_grant: u64,
}

impl Steward {
    /// Creates a steward without reservations.
    #[must_use]
    pub const fn new(service: ServiceId) -> Self {
        Self {
            service,
            reservations: BTreeMap::new(),
            loads: BTreeMap::new(),
            queue: Queue::new(),
            last_contact: BTreeMap::new(),
            slot_time: Estimate::new(),
            tenants: BTreeMap::new(),
            grants: 0,
        }
    }

    /// Returns how many slots of an upstream are in use.
    #[must_use]
    pub fn running(&self, upstream: &str) -> u32 {
        self.loads.get(upstream).map_or(0, |load| load.running)
    }

    /// Returns how many requests wait.
    #[must_use]
    pub const fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of reservations, granted and reported.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    /// Returns how long a request holds a slot on average.
    #[must_use]
    pub fn slot_time(&self) -> Duration {
        self.slot_time.mean()
    }

    /// Renews the reservations and waiting requests of a host that was heard from.
    pub fn renew(&mut self, host: &str, now: Instant) {
        if let Some(last_contact) = self.last_contact.get_mut(host) {
            *last_contact = now;
        }
    }

    /// Grants, queues or refuses a request for a slot.
    pub fn reserve(
        &mut self,
        board: &Board,
        verdicts: &dyn Verdicts,
        request: Request,
    ) -> Vec<Answer> {
        let now = board.now();
        self.last_contact.insert(request.ticket.host.clone(), now);
        if self.reservations.contains_key(&request.ticket) {
            return Vec::new();
        }
        if self.queue.is_empty()
            && let Some(upstream) = self.choose(board, verdicts, &request)
        {
            return vec![self.grant(request, upstream)];
        }
        let capacity = self.capacity(board, verdicts, &request);
        if capacity == 0 {
            return vec![Answer::refused(request.ticket, Kind::NoUpstream)];
        }
        if self.queue.len() >= MAX_QUEUED_REQUESTS
            || !self.can_meet_deadline(&request, capacity, now)
        {
            return vec![Answer::refused(request.ticket, Kind::Overloaded)];
        }
        let queued = Answer {
            ticket: request.ticket.clone(),
            decision: Decision::Queued,
        };
        let tenant = request.tenant.clone().unwrap_or_default();
        self.queue.push(&tenant, self.cost(&tenant), request);
        let mut answers = vec![queued];
        answers.extend(self.serve_queue(board, verdicts));
        answers
    }

    /// Counts a slot that a host uses without a grant of this steward.
    pub fn hold(&mut self, ticket: Ticket, hold: Hold, now: Instant) {
        self.last_contact.insert(ticket.host.clone(), now);
        self.free_slot(&ticket);
        self.loads.entry(hold.upstream.clone()).or_default().running += 1;
        self.reservations.insert(ticket, hold);
    }

    /// Frees a slot and observes how the attempt ended, or withdraws a request that waits.
    pub fn release(
        &mut self,
        board: &Board,
        verdicts: &mut dyn Verdicts,
        release: &Release,
    ) -> Vec<Answer> {
        let now = board.now();
        self.renew(&release.ticket.host, now);
        match self.free_slot(&release.ticket) {
            Some(hold) => self.record_outcome(verdicts, hold, release, now),
            None => {
                self.queue
                    .remove_if(|request| request.ticket == release.ticket);
            }
        }
        self.serve_queue(board, verdicts)
    }

    /// Removes the reservations and waiting requests of a host, for example after its restart.
    pub fn release_host(&mut self, host: &str) {
        let tickets: Vec<Ticket> = self
            .reservations
            .keys()
            .filter(|ticket| ticket.host == host)
            .cloned()
            .collect();
        for ticket in tickets {
            self.free_slot(&ticket);
        }
        self.queue.remove_if(|request| request.ticket.host == host);
        self.last_contact.remove(host);
    }

    /// Returns the hosts whose reservations lapse with the next [`Steward::tick`]; one that returns has to report
    /// what it still runs.
    pub fn lapsing_hosts(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        let has_reservation = |host: &&HostId| {
            let mut tickets = self.reservations.keys();
            tickets.any(|ticket| ticket.host == **host)
        };
        self.silent_hosts(now).filter(has_reservation)
    }

    /// Removes the reservations of silent hosts and answers the requests that are due.
    pub fn tick(&mut self, board: &Board, verdicts: &dyn Verdicts) -> Vec<Answer> {
        let now = board.now();
        let silent: Vec<HostId> = self.silent_hosts(now).cloned().collect();
        for host in silent {
            self.release_host(&host);
        }
        self.loads.retain(|upstream, load| {
            load.running > 0 || board.upstream(&self.service, upstream).is_some()
        });
        let mut answers = self.refuse_unplaceable(board, verdicts);
        answers.extend(self.serve_queue(board, verdicts));
        answers
    }

    fn silent_hosts(&self, now: Instant) -> impl Iterator<Item = &HostId> {
        let contacts = self.last_contact.iter();
        let silent = contacts.filter(move |(_, last_contact)| {
            now.saturating_duration_since(**last_contact) >= RESERVATION_TIMEOUT
        });
        silent.map(|(host, _)| host)
    }

    fn serve_queue(&mut self, board: &Board, verdicts: &dyn Verdicts) -> Vec<Answer> {
        let mut answers = self.refuse_late(board.now());
        while !self.queue.is_empty() {
            let mut queue = std::mem::take(&mut self.queue);
            let next = queue.take(|request| self.choose(board, verdicts, request));
            self.queue = queue;
            let Some((request, upstream)) = next else {
                break;
            };
            answers.push(self.grant(request, upstream));
        }
        answers
    }

    /// Refuses the requests that can no longer be answered before their deadline.
    fn refuse_late(&mut self, now: Instant) -> Vec<Answer> {
        let min_time = self.slot_time.mean() / 2;
        let late = self
            .queue
            .remove_if(|request| now + min_time >= request.deadline);
        late.into_iter()
            .map(|request| Answer::refused(request.ticket, Kind::Overloaded))
            .collect()
    }

    /// Refuses the requests for which no upstream is left.
    fn refuse_unplaceable(&mut self, board: &Board, verdicts: &dyn Verdicts) -> Vec<Answer> {
        let mut queue = std::mem::take(&mut self.queue);
        let refused = queue.remove_if(|request| self.capacity(board, verdicts, request) == 0);
        self.queue = queue;
        refused
            .into_iter()
            .map(|request| Answer::refused(request.ticket, Kind::NoUpstream))
            .collect()
    }

    fn grant(&mut self, request: Request, upstream: UpstreamId) -> Answer {
        self.grants += 1;
        let load = self.loads.entry(upstream.clone()).or_default();
        load.running += 1;
        load.last_grant = self.grants;
        let hold = Hold {
            zone: request.zone,
            tenant: request.tenant,
            upstream: upstream.clone(),
        };
        self.reservations.insert(request.ticket.clone(), hold);
        Answer {
            ticket: request.ticket,
            decision: Decision::Granted { upstream },
        }
    }

    fn free_slot(&mut self, ticket: &Ticket) -> Option<Hold> {
        let hold = self.reservations.remove(ticket)?;
        if let Some(load) = self.loads.get_mut(&hold.upstream) {
            load.running = load.running.saturating_sub(1);
        }
        Some(hold)
    }

    fn record_outcome(
        &mut self,
        verdicts: &mut dyn Verdicts,
        hold: Hold,
        release: &Release,
        now: Instant,
    ) {
        if release.outcome != Outcome::Cancelled {
            self.slot_time.observe(release.latency);
            let tenant = hold.tenant.clone().unwrap_or_default();
            if self.tenants.len() < MAX_TENANT_ESTIMATES || self.tenants.contains_key(&tenant) {
                let estimate = self.tenants.entry(tenant).or_default();
                estimate.observe(release.latency);
            }
        }
        let evidence = Evidence {
            upstream: hold.upstream,
            zone: hold.zone,
            tenant: hold.tenant,
            outcome: release.outcome,
            latency: release.latency,
            reused: release.reused,
        };
        verdicts.observe(&evidence, now);
    }

    fn cost(&self, tenant: &str) -> Duration {
        let own = self.tenants.get(tenant);
        own.map_or_else(|| self.slot_time.mean(), Estimate::mean)
    }

    fn can_meet_deadline(&self, request: &Request, capacity: u32, now: Instant) -> bool {
        let tenant = request.tenant.as_deref().unwrap_or_default();
        let ahead = u32::try_from(self.queue.entries_before(tenant)).unwrap_or(u32::MAX);
        let slot_time = self.slot_time.mean();
        let wait = slot_time.saturating_mul(ahead) / capacity;
        now + wait + slot_time / 2 < request.deadline
    }

    /// Returns the slots that a request could be given if none were in use.
    fn capacity(&self, board: &Board, verdicts: &dyn Verdicts, request: &Request) -> u32 {
        self.candidates(board, request)
            .map(|upstream| {
                usable_slots(upstream, verdict(verdicts, upstream, request, board.now()))
            })
            .sum()
    }

    fn choose(
        &self,
        board: &Board,
        verdicts: &dyn Verdicts,
        request: &Request,
    ) -> Option<UpstreamId> {
        let now = board.now();
        let mut best: Option<(Rank, &Upstream)> = None;
        for upstream in self.candidates(board, request) {
            let verdict = verdict(verdicts, upstream, request, now);
            let load = self.loads.get(&upstream.announcement.id);
            let load = load.copied().unwrap_or_default();
            let grants_since_last = self.grants - load.last_grant;
            let Some(rank) = Rank::new(upstream, verdict, request, load.running, grants_since_last)
            else {
                continue;
            };
            if best.is_none_or(|(other, _)| rank > other) {
                best = Some((rank, upstream));
            }
        }
        best.map(|(_, upstream)| upstream.announcement.id.clone())
    }

    fn candidates<'a>(
        &'a self,
        board: &'a Board,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Upstream> {
        board
            .upstreams(&self.service)
            .filter(|upstream| board.takes_requests(upstream))
            .filter(|upstream| !request.avoid.contains(&upstream.announcement.id))
    }
}

fn verdict(
    verdicts: &dyn Verdicts,
    upstream: &Upstream,
    request: &Request,
    now: Instant,
) -> Verdict {
    verdicts.verdict(&upstream.announcement.id, &request.zone, now)
}
