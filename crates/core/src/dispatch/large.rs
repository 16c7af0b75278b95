//! Queued requests that are too large for the upstreams with a free slot.
//!
//! Answers the load of large bodies among many small ones: small requests would take each byte that becomes
//! free, and the large ones would wait until their deadlines. A large request therefore has an upstream
//! earmarked for it when its turn comes: a slot and its bytes there go to no other request, until it fits. What it does
//! not need of that upstream, and all others, go on taking small requests meanwhile.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Answer;
use crate::dispatch::Choice;
use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::dispatch::Prospect;
use crate::dispatch::Request;
use crate::dispatch::Verdict;
use crate::dispatch::backlog::Rank;
use crate::dispatch::held::Bound;
use crate::dispatch::line::Line;
use crate::dispatch::upstream::Upstream;
use crate::publication::Route;
use crate::roster::Number;

/// Divisor of the upstreams of a service that gives the most of them that are earmarked for large requests at a
/// time; the others serve what fits.
const EARMARK_DIVISOR: usize = 8;

/// What the upstreams of a service hold, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Most bytes that an upstream may hold.
    pub bound: u64,
    /// Bytes of the running requests at all upstreams.
    pub bytes: u64,
    /// Bytes at the upstream that holds most.
    pub most: u64,
    /// Upstreams that are earmarked for large requests.
    pub earmarked: usize,
    /// Bytes of the queued requests.
    pub queued: u64,
}

impl Dispatcher {
    /// Returns what the upstreams of each service with a bound hold.
    pub fn held(&self) -> impl Iterator<Item = (&str, Usage)> {
        self.pools.iter().filter_map(|(service, pool)| {
            let bytes = || pool.upstreams().map(|(_, state)| state.held.bytes());
            let usage = Usage {
                bound: self.held_bound(service)?,
                bytes: bytes().sum(),
                most: bytes().max().unwrap_or_default(),
                earmarked: pool.earmarks.len(),
                queued: pool.backlog.bytes(),
            };
            Some((service.as_str(), usage))
        })
    }

    /// Returns the bytes of requests that this dispatcher may place on each upstream of a service.
    ///
    /// Several hosts without a leader place requests on the same upstreams, so each has a share.
    pub(super) fn held_bound(&self, service: &str) -> Bound {
        let bound = self.publication.terms.get(service)?.max_held_bytes?;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let own = (bound as f64 * self.share) as u64;
        Some(own)
    }

    /// Queues a request as [`Dispatcher::enqueue`] does; where others wait for bytes while slots are free, it
    /// is placed at once if it fits.
    pub(super) fn enqueue_sized(
        &mut self,
        request: Request,
        route: &Route,
        now: Instant,
    ) -> Vec<Answer> {
        if self.held_bound(&request.service).is_none() {
            return self.enqueue(request, route, now);
        }
        let (service, ticket) = (request.service.clone(), request.ticket.clone());
        let mut answers = self.enqueue(request, route, now);
        let has_large = |pool: &Pool| pool.backlog.bytes() > 0;
        if !self.pools.get(&service).is_some_and(has_large) {
            return answers;
        }
        let placed = self.place_queued(&service, now);
        if placed.iter().any(|answer| answer.ticket == ticket) {
            answers.retain(|answer| answer.ticket != ticket);
        }
        answers.extend(placed);
        answers
    }

    /// Returns the size of the largest request that fits on an upstream with a free slot.
    pub(super) fn most_room(&self, service: &str, now: Instant) -> u32 {
        let bound = self.held_bound(service);
        let pool = self.pools.get(service);
        let Some(pool) = pool.filter(|_| bound.is_some()) else {
            return u32::MAX;
        };
        let open = pool.upstreams().filter(|(_, state)| state.has_room(now));
        let rooms = open.map(|(_, state)| state.held.room(bound));
        rooms.max().unwrap_or_default()
    }

    /// Earmarks an upstream for a queued request whose turn has come and that fits nowhere.
    pub(super) fn earmark_upstream(&mut self, request: &Request, now: Instant) {
        let bound = self.held_bound(&request.service);
        let Some(pool) = self.pools.get(&request.service) else {
            return;
        };
        let most = (pool.upstreams().count() / EARMARK_DIVISOR).max(1);
        let is_earmarked = pool
            .earmarks
            .values()
            .any(|ticket| *ticket == request.ticket);
        if bound.is_none() || is_earmarked || pool.earmarks.len() >= most {
            return;
        }
        let usable = pool.upstreams().filter(|(number, state)| {
            !state.held.is_earmarked() && self.can_earmark(pool, *number, request, now)
        });
        let is_within = bound.is_some_and(|bound| u64::from(request.body_bytes) <= bound);
        let missing = |state: &Upstream| match is_within {
            true => state.held.bytes(),
            false => u64::from(state.running),
        };
        let best = usable.min_by_key(|(_, state)| (missing(state), state.running));
        let best = best.map(|(number, _)| number);
        self.steps += 1;
        let (ticket, bytes) = (request.ticket.clone(), request.body_bytes);
        if let (Some(number), Some(pool)) = (best, self.pools.get_mut(&request.service)) {
            pool.earmarks.insert(number, ticket);
            pool.change(number, now, |state| state.held.earmark(Some(bytes)));
        }
    }

    /// Grants the upstreams that are earmarked for queued requests to those that fit by now, and gives up those
    /// that are of no more use to them.
    pub(super) fn place_earmarked(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let mut answers = Vec::new();
        let bound = self.held_bound(service);
        let earmarks = match self.pools.get(service) {
            Some(pool) if !pool.earmarks.is_empty() => pool.earmarks.clone(),
            _ => return answers,
        };
        for (number, ticket) in earmarks {
            let Some(pool) = self.pools.get(service) else {
                break;
            };
            let request = pool.backlog.get(&ticket);
            let request = request.filter(|request| {
                self.can_earmark(pool, number, request, now) && !self.is_kept_from(request, now)
            });
            let fits = pool.get(number).zip(request).map(|(state, request)| {
                state.has_free_slot(now) && state.held.fits_earmarked(request.body_bytes, bound)
            });
            if fits == Some(false) {
                continue;
            }
            let Some(pool) = self.pools.get_mut(service) else {
                break;
            };
            pool.earmarks.remove(&number);
            pool.change(number, now, |state| state.held.earmark(None));
            if fits.is_some()
                && let Some(request) = pool.backlog.serve(&ticket)
            {
                let choice = Choice {
                    upstream: number,
                    is_trial: false,
                };
                answers.push(self.grant(request, choice, now));
            }
        }
        answers
    }

    /// Returns what becomes of a request that would be queued by `verdict`, as it also has to wait for bytes.
    pub(super) fn verdict_for_bytes(
        &self,
        verdict: Verdict,
        prospect: &Prospect,
        request: &Request,
        route: &Route,
    ) -> Verdict {
        let bound = self.held_bound(&request.service);
        let pool = self.pools.get(&request.service);
        let (Some(bound), Some(pool)) = (bound.filter(|_| request.body_bytes > 0), pool) else {
            return verdict;
        };
        let wait_in = |is_late| {
            let priority = self.priority(request, route);
            self.wait_for_bytes(pool, bound, request, Rank { priority, is_late })
        };
        let left = prospect.objective_left.min(prospect.deadline_left);
        let late = match verdict {
            Verdict::Refused(_) => return verdict,
            Verdict::Timely(wait) => {
                let wait = wait.max(wait_in(false));
                if wait + prospect.probable_time <= left {
                    return Verdict::Timely(wait);
                }
                prospect.late_wait()
            }
            Verdict::Late(wait) => wait,
        };
        let late = late.max(wait_in(true));
        if late + prospect.run_time <= prospect.deadline_left {
            Verdict::Late(late)
        } else {
            Verdict::Refused(late)
        }
    }

    /// Returns the least time in which the bytes before a request, and its own, are served: those of more
    /// urgent requests, and its tenant's in the share of the tenant.
    fn wait_for_bytes(&self, pool: &Pool, bound: u64, request: &Request, rank: Rank) -> Duration {
        let open = pool.upstreams().filter(|(_, state)| state.is_open());
        let (mut room, mut free) = (0, 0);
        for (_, state) in open {
            room += bound;
            free += bound.saturating_sub(state.held.bytes());
        }
        if room == 0 {
            return Duration::ZERO;
        }
        let tenant = request.tenant.as_deref().unwrap_or_default();
        let line = pool.backlog.line(rank);
        let body = u64::from(request.body_bytes);
        let own = line.map_or(0, |line| line.bytes_of(tenant)) + body;
        let all = line.map_or(0, Line::bytes) + body;
        let share = line.map_or(1.0, |line| line.share_of(tenant, self.weight(tenant)));
        let before = (as_f64(own) / share).min(as_f64(all));
        let missing = before + as_f64(pool.backlog.bytes_ahead(rank)) - as_f64(free);
        pool.mean_slot_time()
            .mul_f64(missing.max(0.0) / as_f64(room))
    }

    /// Returns whether an upstream may be earmarked for a request: it is open and answers, and the request may go
    /// there.
    fn can_earmark(&self, pool: &Pool, number: Number, request: &Request, now: Instant) -> bool {
        let host = &request.ticket.host;
        let is_suspect = pool.is_suspect(number, now) && pool.free().healthy_capacity() > 0.0;
        let takes = pool.get(number).is_some_and(Upstream::is_open) && !is_suspect;
        takes
            && pool
                .get(number)
                .is_some_and(|state| state.dead_until.is_none())
            && !request.avoid.contains(&number)
            && !self.ledger.pauses(host, now).contains(number)
            && !self.is_unreachable(host, number, now)
    }

    fn is_unreachable(&self, host: &str, number: Number, now: Instant) -> bool {
        let until = self.unreachable_until.get(&(host.to_owned(), number));
        until.is_some_and(|until| now < *until)
    }
}

#[allow(clippy::cast_precision_loss)]
const fn as_f64(bytes: u64) -> f64 {
    bytes as f64
}
