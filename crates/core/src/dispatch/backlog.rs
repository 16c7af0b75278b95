//! The queued requests of one service, by rank.
//!
//! A [`Backlog`] holds one [`Line`] for each [`Rank`]. It finds a request by its ticket, and those whose
//! time to be looked at again has come, without a search through the others: thousands may be queued.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Request;
use crate::dispatch::line::Line;
use crate::dispatch::line::Sequence;
use crate::id::TenantId;
use crate::publication::Priority;
use crate::steward::Ticket;

/// Order of the queued requests; the least rank is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the answer will probably come after the objective.
    pub is_late: bool,
}

/// A request with what the order of the queue needs to know of it.
#[derive(Debug)]
pub struct Waiting {
    /// Rank of the request.
    pub rank: Rank,
    /// Weight of the tenant among those of the same rank.
    pub weight: f64,
    /// Time that the request is expected to hold a slot.
    pub cost: Duration,
    /// When to look at the request again.
    pub review: Instant,
    /// The request.
    pub request: Request,
}

/// The queued requests of one service.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    lines: BTreeMap<Rank, Line>,
    places: BTreeMap<Ticket, Place>,
    reviews: BTreeSet<(Instant, Ticket)>,
    /// Requests that have tried upstreams, which not every upstream can serve.
    tried: BTreeSet<Ticket>,
    next: Sequence,
}

#[derive(Debug, Clone)]
struct Place {
    rank: Rank,
    tenant: TenantId,
    sequence: Sequence,
    review: Instant,
}

impl Backlog {
    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the lines with requests, the most urgent first.
    pub fn lines(&self) -> impl Iterator<Item = (Rank, &Line)> {
        self.lines.iter().map(|(rank, line)| (*rank, line))
    }

    /// Returns the line of a rank, if it has requests.
    #[must_use]
    pub fn line(&self, rank: Rank) -> Option<&Line> {
        self.lines.get(&rank)
    }

    /// Returns whether no request has this rank or a lesser one.
    #[must_use]
    pub fn is_clear(&self, rank: Rank) -> bool {
        self.lines.range(..=rank).next().is_none()
    }

    /// Returns the slot time of the requests of lesser rank, which are served first.
    #[must_use]
    pub fn work_ahead(&self, rank: Rank) -> Duration {
        self.lines.range(..rank).map(|(_, line)| line.work()).sum()
    }

    /// Returns the slot time of the requests of this rank and lesser ones.
    #[must_use]
    pub fn work_until(&self, rank: Rank) -> Duration {
        self.lines.range(..=rank).map(|(_, line)| line.work()).sum()
    }

    /// Returns the bytes of the bodies of all requests.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.lines.values().map(Line::bytes).sum()
    }

    /// Returns the bytes of the bodies of the requests of lesser rank.
    #[must_use]
    pub fn bytes_ahead(&self, rank: Rank) -> u64 {
        self.lines.range(..rank).map(|(_, line)| line.bytes()).sum()
    }

    /// Returns the slot time that is served before a new request of a rank and tenant.
    #[must_use]
    pub fn work_before(&self, rank: Rank, tenant: &str, weight: f64, cost: Duration) -> Duration {
        let line = self.lines.get(&rank);
        let own = line.map_or(Duration::ZERO, |line| {
            line.work_before(tenant, weight, cost)
        });
        self.work_ahead(rank) + own
    }

    /// Returns the number of requests of a tenant, and of all tenants with requests.
    #[must_use]
    pub fn count_tenants(&self, tenant: &str) -> (usize, usize) {
        let own = self.lines.values().map(|line| line.len_of(tenant)).sum();
        let all = self.lines.values().map(Line::tenants).max();
        (own, all.unwrap_or(0))
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let Waiting {
            rank,
            weight,
            cost,
            review,
            request,
        } = waiting;
        self.next += 1;
        let ticket = request.ticket.clone();
        let tenant = request.tenant.clone().unwrap_or_default();
        if !request.avoid.is_empty() {
            self.tried.insert(ticket.clone());
        }
        let line = self.lines.entry(rank).or_default();
        line.push(&tenant, weight, cost, self.next, request);
        self.reviews.insert((review, ticket.clone()));
        let place = Place {
            rank,
            tenant,
            sequence: self.next,
            review,
        };
        self.places.insert(ticket, place);
    }

    /// Removes the next request of a rank for which `place` returns a value, and returns both; looks at
    /// `looks` requests at most.
    ///
    /// A request larger than `most_bytes` is offered only when it is the first one of its tenant.
    pub fn take<P, F>(
        &mut self,
        rank: Rank,
        most_bytes: u32,
        looks: &mut usize,
        place: F,
    ) -> Option<(Request, P)>
    where
        F: FnMut(&Request) -> Option<P>,
    {
        let line = self.lines.get_mut(&rank)?;
        let (request, found) = line.take(most_bytes, looks, place)?;
        if line.is_empty() {
            self.lines.remove(&rank);
        }
        self.forget(&request.ticket);
        Some((request, found))
    }

    /// Removes a request that is served out of turn.
    pub fn serve(&mut self, ticket: &Ticket) -> Option<Request> {
        let place = self.forget(ticket)?;
        let line = self.lines.get_mut(&place.rank)?;
        let request = line.serve(&place.tenant, place.sequence)?;
        if line.is_empty() {
            self.lines.remove(&place.rank);
        }
        Some(request)
    }

    /// Removes a request; returns it with its rank.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<(Rank, Request)> {
        let place = self.forget(ticket)?;
        let line = self.lines.get_mut(&place.rank)?;
        let request = line.remove(&place.tenant, place.sequence)?;
        if line.is_empty() {
            self.lines.remove(&place.rank);
        }
        Some((place.rank, request))
    }

    /// Returns the tickets of a host.
    pub fn tickets_of(&self, host: &str) -> Vec<Ticket> {
        let bound = |number| Ticket {
            host: host.to_owned(),
            number,
        };
        let own = self.places.range(bound(u32::MIN)..=bound(u32::MAX));
        own.map(|(ticket, _)| ticket.clone()).collect()
    }

    /// Returns the requests that are to be looked at again.
    #[must_use]
    pub fn due(&self, now: Instant) -> Vec<Ticket> {
        let due = self.reviews.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, ticket)| ticket.clone()).collect()
    }

    /// Returns the requests that have tried upstreams, or all requests.
    #[must_use]
    pub fn tickets(&self, only_tried: bool) -> Vec<Ticket> {
        if only_tried {
            return self.tried.iter().cloned().collect();
        }
        self.places.keys().cloned().collect()
    }

    /// Returns a request by its ticket.
    #[must_use]
    pub fn get(&self, ticket: &Ticket) -> Option<&Request> {
        let place = self.places.get(ticket)?;
        let line = self.lines.get(&place.rank)?;
        line.get(&place.tenant, place.sequence)
    }

    fn forget(&mut self, ticket: &Ticket) -> Option<Place> {
        let place = self.places.remove(ticket)?;
        self.reviews.remove(&(place.review, ticket.clone()));
        self.tried.remove(ticket);
        Some(place)
    }
}
