//! Reserves a slot of an upstream: asks the dispatcher, or decides with the local one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Reserve;
use persimmonbend_wire::dispatch::Sender;
use tracing::info;
use tracing::warn;

use crate::gateway::placement::Criteria;
use crate::gateway::placement::Placer;
use crate::gateway::placement::Refusal;
use crate::gateway::placement::Reservation;
use crate::gateway::placement::Slot;
use crate::gateway::placement::cancellation_frame;
use crate::gateway::placement::running_frame;
use crate::gateway::state::State;

/// Time limit for the dispatcher's first answer. A round trip takes one or two milliseconds, and a
/// lost packet is sent again after 200 ms.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a dispatcher that did not answer is not asked, unless it answers meanwhile.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// Fraction of its objective for which a request without a quota token waits for the next leader.
const QUOTA_WAIT_FRACTION: f64 = 0.6;

/// Number of upstreams to avoid from which on a grant of an unknown one is not given back any more.
const MAX_UNKNOWN_UPSTREAMS: usize = 8;

/// Number of grants that this host cannot use after which it decides itself: it lags behind the dispatcher, which
/// may go on granting the upstreams of a zone that was just taken back.
const MAX_REJECTED_GRANTS: u32 = 3;

/// Longest retry-after of a request that was refused without the leader. Another host may have a
/// token left, and the next leader is elected within a second or two.
const MAX_LOCAL_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Refusal {
    /// Converts the refusal of a dispatcher that has only a share of the quota: that the share is
    /// used up does not mean that the quota is exceeded.
    fn into_local(self) -> Self {
        let kind = match self.kind {
            Kind::RateExceeded => Kind::RateUnavailable,
            kind => kind,
        };
        Self {
            kind,
            retry_after: self.retry_after.min(MAX_LOCAL_RETRY_AFTER),
        }
    }
}

impl Placer {
    /// Finds an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns why no upstream was found and when the client may retry.
    pub async fn reserve(state: &Rc<State>, criteria: &Criteria) -> Result<Reservation, Refusal> {
        let placer = state.placer();
        let mut criteria = criteria.clone();
        let criteria = &mut criteria;
        let until = criteria.arrived + criteria.objective.mul_f64(QUOTA_WAIT_FRACTION);
        let mut rejected = 0;
        loop {
            let link = placer.usable_link(state.now());
            if let Some(link) = link.filter(|_| rejected < MAX_REJECTED_GRANTS) {
                let number = placer.next_number();
                let decision = placer.ask_dispatcher(state, &link, number, criteria).await;
                if let Some(decision) = decision {
                    if placer.rejects_grant(state, number, decision, criteria) {
                        link.send(cancellation_frame(number));
                        rejected += 1;
                        continue;
                    }
                    if !placer.via_deputy.get() {
                        return placer.conclude(state, criteria, number, decision, true);
                    }
                    let should_retry = placer.wait_for_token(state, until, decision).await;
                    if !should_retry {
                        return placer.conclude(state, criteria, number, decision, true);
                    }
                    continue;
                }
                warn!(request = criteria.request, number, "dispatcher_silent");
                placer.unanswered_since.set(Some(state.now()));
                placer.unanswered.notify(usize::MAX);
            }
            let number = placer.next_number();
            let decision = placer.place_locally(state, criteria, number).await;
            if placer.rejects_grant(state, number, decision, criteria) {
                placer.cancel_locally(number, state.now());
                continue;
            }
            if !placer.wait_for_token(state, until, decision).await {
                return placer.conclude(state, criteria, number, decision, false);
            }
        }
    }

    /// Returns whether this host cannot use a grant, since it has not been told of the upstream yet, or
    /// since the upstream has told it that it wants no more requests; excludes the upstream from the next grants.
    fn rejects_grant(
        &self,
        state: &State,
        number: u32,
        decision: Decision,
        criteria: &mut Criteria,
    ) -> bool {
        let Decision::Granted { upstream, .. } = decision else {
            return false;
        };
        let request = &criteria.request;
        if criteria.avoid.contains(&upstream) {
            return false;
        }
        if self.is_unwanted_at(upstream, state.now()) {
            info!(request, number, upstream, "upstream_unwilling");
        } else if state.upstream(upstream).is_none() && criteria.avoid.len() < MAX_UNKNOWN_UPSTREAMS
        {
            info!(request, number, upstream, "upstream_unknown");
        } else {
            return false;
        }
        criteria.avoid.push(upstream);
        true
    }

    /// Withdraws a grant of the local dispatcher.
    fn cancel_locally(&self, number: u32, now: Instant) {
        let unused = Completion {
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
            bytes: 0,
        };
        let ticket = self.ticket(number);
        let answers = self
            .local_dispatcher
            .borrow_mut()
            .release(&ticket, &unused, now);
        self.deliver(answers);
    }

    /// Waits for the next token or a new link after a share of the quota is used up, as the next
    /// leader has the whole quota; returns whether the request should be placed again.
    async fn wait_for_token(&self, state: &State, until: Instant, decision: Decision) -> bool {
        let left = until.saturating_duration_since(state.now());
        let Decision::Refused {
            kind: Kind::RateExceeded,
            retry_after,
        } = decision
        else {
            return false;
        };
        if left.is_zero() {
            return false;
        }
        let link_opened = self.link_opened.listen();
        let _ = timeout(retry_after.min(left), link_opened).await;
        true
    }

    /// Places a request with the local dispatcher.
    async fn place_locally(&self, state: &State, criteria: &Criteria, number: u32) -> Decision {
        let mut receiver = self.register(number);
        let _pending = Pending {
            placer: self,
            number,
        };
        let request = self.local_request(number, criteria);
        let answers = self
            .local_dispatcher
            .borrow_mut()
            .reserve(request, state.now());
        self.deliver(answers);
        let decision = self.wait_for_decision(state, &mut receiver, criteria).await;
        decision.unwrap_or(Decision::Refused {
            kind: Kind::Overloaded,
            retry_after: FIRST_ANSWER_TIMEOUT,
        })
    }

    /// Returns the link, unless the dispatcher failed to answer within the last
    /// [`UNANSWERED_PAUSE`].
    fn usable_link(&self, now: Instant) -> Option<Sender> {
        let unanswered_since = self.unanswered_since.get();
        if unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) < UNANSWERED_PAUSE)
        {
            return None;
        }
        self.link.borrow().clone()
    }

    /// Asks the dispatcher; returns `None` when it is silent or the link is lost.
    async fn ask_dispatcher(
        &self,
        state: &State,
        link: &Sender,
        number: u32,
        criteria: &Criteria,
    ) -> Option<Decision> {
        let mut receiver = self.register(number);
        let _pending = Pending {
            placer: self,
            number,
        };
        let now = state.now();
        link.send(Frame::Reserve(Reserve {
            number,
            route: criteria.route.clone(),
            service: criteria.service.clone(),
            tenant: criteria.tenant.clone(),
            waited_ms: dispatch::millis(now.saturating_duration_since(criteria.arrived)),
            left_ms: dispatch::millis(criteria.deadline.saturating_duration_since(now)),
            attempts: u8::try_from(criteria.attempts).unwrap_or(u8::MAX),
            is_retry: criteria.is_retry,
            avoid: criteria.avoid.clone(),
            is_hedge: criteria.is_hedge,
            body_bytes: criteria.body_bytes,
        }));
        let guard = Cancellation {
            link,
            number,
            armed: Cell::new(true),
        };
        let first = timeout(FIRST_ANSWER_TIMEOUT, receiver.next())
            .await
            .ok()
            .flatten()?;
        let decision = match first {
            Decision::Queued => self.wait_for_decision(state, &mut receiver, criteria).await,
            decision => Some(decision),
        };
        guard.armed.set(decision.is_none());
        decision
    }

    /// Waits for the final decision on a request until its deadline.
    async fn wait_for_decision(
        &self,
        state: &State,
        receiver: &mut UnboundedReceiver<Decision>,
        criteria: &Criteria,
    ) -> Option<Decision> {
        loop {
            let left = criteria.deadline.saturating_duration_since(state.now());
            match timeout(left, receiver.next()).await.ok().flatten()? {
                Decision::Queued => {}
                decision => return Some(decision),
            }
        }
    }

    /// Logs a decision and turns it into a reservation or a refusal.
    ///
    /// `by_dispatcher` is true for a decision of the leader or a deputy, false for a local one.
    fn conclude(
        &self,
        state: &Rc<State>,
        criteria: &Criteria,
        number: u32,
        decision: Decision,
        by_dispatcher: bool,
    ) -> Result<Reservation, Refusal> {
        let deputy = by_dispatcher && self.via_deputy.get();
        let by_leader = by_dispatcher && !deputy;
        let Decision::Granted {
            upstream,
            attempt_timeout,
        } = decision
        else {
            let mut refusal = refusal(decision);
            if !by_leader {
                refusal = refusal.into_local();
            }
            info!(
                request = criteria.request,
                number,
                asked = by_leader,
                deputy,
                kind = %refusal.kind,
                retry_after_ms = dispatch::millis(refusal.retry_after),
                "not_placed"
            );
            return Err(refusal);
        };
        let slot = Slot {
            service: criteria.service.clone(),
            upstream,
            route: criteria.route.clone(),
            body_bytes: criteria.body_bytes,
        };
        self.slots.borrow_mut().insert(number, slot.clone());
        if by_dispatcher {
            let placement = self.placement(number, &slot);
            self.local_dispatcher
                .borrow_mut()
                .record_running(placement, state.now());
        } else if let Some(link) = self.link.borrow().as_ref() {
            link.send(running_frame(number, &slot));
        }
        let reservation = Reservation::new(state, number, upstream, attempt_timeout);
        let Some(entry) = state.upstream(upstream) else {
            drop(reservation);
            return Err(Refusal {
                kind: Kind::RouteChanged,
                retry_after: FIRST_ANSWER_TIMEOUT,
            });
        };
        let announcement = &entry.announcement;
        info!(
            request = criteria.request,
            number,
            asked = by_leader,
            deputy,
            upstream = %announcement.id,
            zone = %announcement.zone,
            attempt = criteria.attempts + 1,
            grey = self.local_dispatcher.borrow().grey(upstream, state.now()),
            silent_ms = self.silence_ms(state.now()),
            "placed"
        );
        Ok(reservation.with_entry(entry))
    }

    /// Returns the milliseconds since the last contact with the other end of the link.
    fn silence_ms(&self, now: Instant) -> Option<u32> {
        let last_heard = self.last_heard.get()?;
        Some(dispatch::millis(now.saturating_duration_since(last_heard)))
    }

    fn local_request(&self, number: u32, criteria: &Criteria) -> Request {
        Request {
            ticket: self.ticket(number),
            zone: self.zone.clone(),
            route: criteria.route.clone(),
            service: criteria.service.clone(),
            tenant: criteria.tenant.clone(),
            arrived: criteria.arrived,
            deadline: criteria.deadline,
            attempts: criteria.attempts,
            is_retry: criteria.is_retry,
            avoid: criteria.avoid.clone(),
            is_hedge: criteria.is_hedge,
            body_bytes: criteria.body_bytes,
        }
    }

    /// Returns the receiver of decisions on a reservation.
    fn register(&self, number: u32) -> UnboundedReceiver<Decision> {
        let (sender, receiver) = mpsc::unbounded();
        self.pending.borrow_mut().insert(number, sender);
        receiver
    }
}

/// Unregisters a request when its decision has arrived or it is abandoned.
struct Pending<'a> {
    placer: &'a Placer,
    number: u32,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.placer.pending.borrow_mut().remove(&self.number);
    }
}

/// Withdraws a reservation when dropped while armed: the request was abandoned or got no answer.
struct Cancellation<'a> {
    link: &'a Sender,
    number: u32,
    armed: Cell<bool>,
}

impl Drop for Cancellation<'_> {
    fn drop(&mut self) {
        if self.armed.get() {
            self.link.send(cancellation_frame(self.number));
        }
    }
}

fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Refused { kind, retry_after } => Refusal { kind, retry_after },
        Decision::Granted { .. } | Decision::Queued => Refusal {
            kind: Kind::Overloaded,
            retry_after: FIRST_ANSWER_TIMEOUT,
        },
    }
}
