//! Where a request goes, how long it waits there, and when it is refused.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::dispatch::Answer;
use crate::dispatch::Choice;
use crate::dispatch::Decision;
use crate::dispatch::Dispatcher;
use crate::dispatch::Hold;
use crate::dispatch::LATE_LEAST;
use crate::dispatch::RETRY_LEAST;
use crate::dispatch::Request;
use crate::dispatch::Subject;
use crate::dispatch::refused;
use crate::error::Kind;
use crate::publication::Route;
use crate::roster::Number;

/// Part of its objective for which a request that cannot be repeated waits for a slot of a sound
/// upstream, rather than take a free one of a suspect.
const SOUND_WAIT_PART: f64 = 0.4;

/// Asks of one service that wait at a time.
const MAX_WAITING: usize = 4_096;

/// Multiple of the expected time after which another attempt is better than further waiting; one
/// request in a hundred takes some three times as long as most.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// Longest time after which a refused request is told to come back.
const RETRY_MOST: Duration = Duration::from_secs(2);

impl Dispatcher {
    pub(super) fn priority(&self, ask: &Request, route: &Route) -> u32 {
        let tenant = ask.tenant.as_ref();
        let tenant = tenant.and_then(|tenant| self.publication.tenants.get(tenant));
        let own = tenant.and_then(|tenant| tenant.priority);
        own.unwrap_or(route.priority)
    }

    pub(super) fn choose(&mut self, ask: &Request, now: Instant) -> Option<Choice> {
        let publication = Rc::clone(&self.publication);
        let route = publication.routes.get(&ask.route)?;
        let timing = self.timing(&ask.route, route);
        let subject = Subject {
            zone: &ask.zone,
            idempotent: route.idempotent,
            spare: ask.attempts + 1 < route.attempts,
            left: left(ask, route, now).as_secs_f64(),
            timing: &timing,
        };
        let silence = self.policy.max_silence;
        let paused: BTreeSet<Number> = self.paused(&ask.ticket.host, now);
        let pool = self.pools.get_mut(&ask.service)?;
        pool.turn_on();
        let pool = &*pool;
        let fresh = |number: Number| !ask.avoid.contains(&number);
        let reachable = |number: Number| fresh(number) && !paused.contains(&number);
        if pool.is_below_floor(self.policy.floor, now) {
            let idle = |number: Number| {
                let counts = pool.counts_for_floor(number, now) && reachable(number);
                counts && !pool.is_in_use(number, now)
            };
            if let Some(upstream) = pool.cheapest(&subject, silence, now, idle) {
                return Some(Choice {
                    upstream,
                    forced: true,
                });
            }
        }
        let chosen = pool.cheapest(&subject, silence, now, reachable);
        let chosen = chosen.or_else(|| pool.cheapest(&subject, silence, now, fresh));
        let waited = now.saturating_duration_since(ask.arrived);
        let patient = waited < route.objective.mul_f64(SOUND_WAIT_PART);
        let repairable = subject.idempotent && subject.spare;
        let worth_a_wait = patient && !repairable && pool.has_sound(now);
        let chosen = chosen.filter(|number| !worth_a_wait || !pool.is_suspect(*number, now));
        chosen.map(|upstream| Choice {
            upstream,
            forced: false,
        })
    }

    pub(super) fn paused(&self, host: &str, now: Instant) -> BTreeSet<Number> {
        let first = (host.to_owned(), Number::MIN);
        let last = (host.to_owned(), Number::MAX);
        let own = self.pairs.range(first..=last);
        own.filter(|(_, until)| now < **until)
            .map(|((_, number), _)| *number)
            .collect()
    }

    pub(super) fn grant(&mut self, ask: Request, choice: Choice, now: Instant) -> Answer {
        let Choice { upstream, forced } = choice;
        let attempt_timeout = self.attempt_timeout(&ask, upstream, now);
        if let Some(place) = self.place_mut(upstream) {
            place.running += 1;
            place.granted = Some(now);
        }
        let route = self.publication.routes.get(&ask.route);
        let last =
            route.is_none_or(|route| !route.idempotent || ask.attempts + 1 >= route.attempts);
        let hold = Hold {
            service: ask.service,
            upstream,
            route: ask.route,
            since: now,
            last,
            forced,
            late: 0,
        };
        self.held.insert(ask.ticket.clone(), hold);
        Answer {
            ticket: ask.ticket,
            decision: Decision::Granted {
                upstream,
                attempt_timeout,
            },
        }
    }

    /// Returns how long a request that may be repeated waits for an answer before it is sent
    /// elsewhere; `None` when no attempt could follow in time.
    pub(super) fn attempt_timeout(
        &self,
        ask: &Request,
        upstream: Number,
        now: Instant,
    ) -> Option<Duration> {
        let route = self.publication.routes.get(&ask.route)?;
        if !route.idempotent || ask.attempts + 1 >= route.attempts {
            return None;
        }
        let timing = self.timing(&ask.route, route);
        let place = self.pools.get(&ask.service)?.places.get(&upstream)?;
        let expected = place.expected(&timing, now).max(timing.mean());
        let attempt_timeout =
            Duration::from_secs_f64(expected * ATTEMPT_TIMEOUT_FACTOR).max(LATE_LEAST);
        let again = Duration::from_secs_f64(timing.mean());
        (now + attempt_timeout + again < ask.deadline).then_some(attempt_timeout)
    }

    /// Returns why an ask should not wait, and when it makes sense to come back.
    pub(super) fn hopeless(
        &self,
        ask: &Request,
        priority: u32,
        now: Instant,
    ) -> Option<(Kind, Duration)> {
        let pool = self.pools.get(&ask.service)?;
        let capacity = pool.capacity(now);
        if capacity == 0 {
            return Some((Kind::NoUpstream, RETRY_LEAST * 2));
        }
        let ahead = u32::try_from(pool.ahead(priority)).unwrap_or(u32::MAX);
        let slot_time = pool.slot_time.mean();
        let wait = slot_time.saturating_mul(ahead.saturating_add(1)) / capacity;
        let route = self.publication.routes.get(&ask.route)?;
        let run = Duration::from_secs_f64(self.timing(&ask.route, route).mean());
        let full = pool.queued() >= MAX_WAITING;
        let late = now + wait + run > ask.deadline;
        (full || late).then_some((Kind::Overloaded, wait.clamp(RETRY_LEAST, RETRY_MOST)))
    }

    pub(super) fn enqueue(&mut self, ask: Request, priority: u32) -> Vec<Answer> {
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return Vec::new();
        };
        let answer = Answer {
            ticket: ask.ticket.clone(),
            decision: Decision::Queued,
        };
        let cost = pool.slot_time.mean();
        let tenant = ask.tenant.clone().unwrap_or_default();
        let queue = pool.waiting.entry(priority).or_default();
        queue.push(&tenant, cost, ask);
        vec![answer]
    }

    /// Places the asks of a service that wait, as far as there are free slots.
    pub(super) fn serve(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let mut answers = Vec::new();
        let Some(pool) = self.pools.get_mut(service) else {
            return answers;
        };
        let mut waiting = std::mem::take(&mut pool.waiting);
        for queue in waiting.values_mut() {
            while let Some((ask, choice)) = queue.take(|ask| self.choose(ask, now)) {
                answers.push(self.grant(ask, choice, now));
            }
        }
        waiting.retain(|_, queue| !queue.is_empty());
        if let Some(pool) = self.pools.get_mut(service) {
            pool.waiting = waiting;
        }
        answers
    }

    /// Refuses the asks of a service that cannot be answered in time any more.
    pub(super) fn expire(&mut self, service: &str, now: Instant) -> Vec<Answer> {
        let Some(pool) = self.pools.get_mut(service) else {
            return Vec::new();
        };
        let mut waiting = std::mem::take(&mut pool.waiting);
        let mut late = Vec::new();
        for queue in waiting.values_mut() {
            late.extend(queue.remove_if(|ask| self.is_late(ask, now)));
        }
        if let Some(pool) = self.pools.get_mut(service) {
            pool.waiting = waiting;
        }
        for ask in &late {
            self.give_back(ask);
        }
        let refuse = |ask: Request| refused(ask.ticket, Kind::Overloaded, RETRY_LEAST);
        late.into_iter().map(refuse).collect()
    }

    /// Returns whether an ask that waits could no longer be answered by a sound upstream.
    pub(super) fn is_late(&self, ask: &Request, now: Instant) -> bool {
        let Some(route) = self.publication.routes.get(&ask.route) else {
            return true;
        };
        let run = Duration::from_secs_f64(self.timing(&ask.route, route).mean() / 2.0);
        now + run > ask.deadline
    }

    pub(super) fn withdraw<F: Fn(&Request) -> bool>(&mut self, leaves: F) {
        let mut withdrawn = Vec::new();
        for pool in self.pools.values_mut() {
            for queue in pool.waiting.values_mut() {
                withdrawn.extend(queue.remove_if(&leaves));
            }
        }
        for ask in &withdrawn {
            self.give_back(ask);
        }
    }
}

/// Returns what is left of the objective of an ask, or of its deadline once that has passed.
fn left(ask: &Request, route: &Route, now: Instant) -> Duration {
    let objective = ask.arrived + route.objective;
    let left = objective.min(ask.deadline).saturating_duration_since(now);
    if left.is_zero() {
        return ask.deadline.saturating_duration_since(now);
    }
    left
}
