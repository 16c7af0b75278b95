//! How a request finds an upstream: the dispatcher is asked, or this host decides on its own.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::error::Kind;
use persimmonbend_wire::dispatch;
use persimmonbend_wire::dispatch::Frame;
use persimmonbend_wire::dispatch::Reserve;
use persimmonbend_wire::dispatch::Sender;
use tracing::info;
use tracing::warn;

use crate::gateway::desk::Desk;
use crate::gateway::desk::Need;
use crate::gateway::desk::Refusal;
use crate::gateway::desk::Reservation;
use crate::gateway::desk::Use;
use crate::gateway::desk::cancelled;
use crate::gateway::desk::hold;
use crate::gateway::state::State;

/// Time that the dispatcher has for its first answer; a round trip takes one or two milliseconds,
/// and a lost packet is sent again after 200.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a dispatcher that did not answer is not asked, unless it says something.
const DOUBT: Duration = Duration::from_millis(500);

/// Part of its objective for which a request that finds no token here waits for the next leader.
const WAIT_PART: f64 = 0.6;

/// Longest time after which a request comes back that this host refused on its own; another host
/// may have a token left, and the next leader is there within a second or two.
const OWN_RETRY: Duration = Duration::from_millis(300);

impl Refusal {
    /// Returns the refusal of a host that decides on its own: it has but a part of the quota.
    fn on_own(self) -> Self {
        let kind = match self.kind {
            Kind::RateExceeded => Kind::RateUnavailable,
            kind => kind,
        };
        Self {
            kind,
            retry_after: self.retry_after.min(OWN_RETRY),
        }
    }
}

impl Desk {
    /// Finds an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns why there is none and when to come back.
    pub async fn reserve(state: &Rc<State>, need: &Need) -> Result<Reservation, Refusal> {
        let desk = state.desk();
        let until = need.arrived + need.objective.mul_f64(WAIT_PART);
        loop {
            if let Some(link) = desk.usable_link(state.now()) {
                let number = desk.number();
                let decision = desk.ask(state, &link, number, need).await;
                if let Some(decision) = decision {
                    if !desk.deputised.get() {
                        return desk.settle(state, need, number, decision, true);
                    }
                    let waiting = desk.wait_for_token(state, until, decision).await;
                    if !waiting {
                        return desk.settle(state, need, number, decision, true);
                    }
                    continue;
                }
                warn!(request = need.request, number, "dispatcher_silent");
                desk.doubted.set(Some(state.now()));
                desk.doubts.notify(usize::MAX);
            }
            let number = desk.number();
            let decision = desk.decide_alone(state, need, number).await;
            if !desk.wait_for_token(state, until, decision).await {
                return desk.settle(state, need, number, decision, false);
            }
        }
    }

    /// Waits for the next leader, which has the whole quota, or for the next token, where a part of
    /// the quota is used up; returns whether it is worth to ask again.
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
        let linked = self.linked.listen();
        let _ = timeout(retry_after.min(left), linked).await;
        true
    }

    /// Places a request by what this host knows itself.
    async fn decide_alone(&self, state: &State, need: &Need, number: u32) -> Decision {
        let mut receiver = self.register(number);
        let _waiting = Waiting { desk: self, number };
        let ask = self.own_ask(number, need);
        let answers = self.local.borrow_mut().reserve(ask, state.now());
        self.deliver(answers);
        let decision = self.wait(state, &mut receiver, need).await;
        decision.unwrap_or(Decision::Refused {
            kind: Kind::Overloaded,
            retry_after: ASK_TIMEOUT,
        })
    }

    /// Returns the link unless the dispatcher left the last ask unanswered.
    fn usable_link(&self, now: Instant) -> Option<Sender> {
        let doubted = self.doubted.get();
        if doubted.is_some_and(|since| now.saturating_duration_since(since) < DOUBT) {
            return None;
        }
        self.link.borrow().clone()
    }

    /// Asks the dispatcher; returns `None` when it is silent or the link is lost.
    async fn ask(
        &self,
        state: &State,
        link: &Sender,
        number: u32,
        need: &Need,
    ) -> Option<Decision> {
        let mut receiver = self.register(number);
        let _waiting = Waiting { desk: self, number };
        let now = state.now();
        link.send(Frame::Reserve(Reserve {
            number,
            route: need.route.clone(),
            service: need.service.clone(),
            tenant: need.tenant.clone(),
            waited_ms: dispatch::millis(now.saturating_duration_since(need.arrived)),
            left_ms: dispatch::millis(need.deadline.saturating_duration_since(now)),
            attempts: u8::try_from(need.attempts).unwrap_or(u8::MAX),
            repeat: need.repeat,
            avoid: need.avoid.clone(),
        }));
        let guard = Withdrawal {
            link,
            number,
            armed: Cell::new(true),
        };
        let first = timeout(ASK_TIMEOUT, receiver.next()).await.ok().flatten()?;
        let decision = match first {
            Decision::Queued => self.wait(state, &mut receiver, need).await,
            decision => Some(decision),
        };
        guard.armed.set(decision.is_none());
        decision
    }

    /// Waits for the final decision on an ask until its deadline.
    async fn wait(
        &self,
        state: &State,
        receiver: &mut UnboundedReceiver<Decision>,
        need: &Need,
    ) -> Option<Decision> {
        loop {
            let left = need.deadline.saturating_duration_since(state.now());
            match timeout(left, receiver.next()).await.ok().flatten()? {
                Decision::Queued => {}
                decision => return Some(decision),
            }
        }
    }

    fn settle(
        &self,
        state: &Rc<State>,
        need: &Need,
        number: u32,
        decision: Decision,
        asked: bool,
    ) -> Result<Reservation, Refusal> {
        let deputy = asked && self.deputised.get();
        let led = asked && !deputy;
        let Decision::Granted {
            upstream,
            attempt_timeout,
        } = decision
        else {
            let mut refusal = refusal(decision);
            if !led {
                refusal = refusal.on_own();
            }
            info!(
                request = need.request,
                number,
                asked = led,
                deputy,
                kind = %refusal.kind,
                retry_after_ms = dispatch::millis(refusal.retry_after),
                "not_placed"
            );
            return Err(refusal);
        };
        let used = Use {
            service: need.service.clone(),
            upstream,
            route: need.route.clone(),
        };
        self.uses.borrow_mut().insert(number, used.clone());
        if asked {
            let report = self.report(number, &used);
            self.local.borrow_mut().record_running(report, state.now());
        } else if let Some(link) = self.link.borrow().as_ref() {
            link.send(hold(number, &used));
        }
        let reservation = Reservation::new(state, number, upstream, attempt_timeout);
        let Some(entry) = state.upstream(upstream) else {
            drop(reservation);
            return Err(Refusal {
                kind: Kind::RouteChanged,
                retry_after: ASK_TIMEOUT,
            });
        };
        let said = &entry.announcement;
        info!(
            request = need.request,
            number,
            asked = led,
            deputy,
            upstream = %said.id,
            zone = %said.zone,
            attempt = need.attempts + 1,
            grey = self.local.borrow().grey(upstream, state.now()),
            silent_ms = self.status_silence(state.now()),
            "placed"
        );
        Ok(reservation.at(entry))
    }

    fn status_silence(&self, now: Instant) -> Option<u32> {
        let heard = self.heard.get()?;
        Some(dispatch::millis(now.saturating_duration_since(heard)))
    }

    fn own_ask(&self, number: u32, need: &Need) -> Request {
        Request {
            ticket: self.ticket(number),
            zone: self.zone.clone(),
            route: need.route.clone(),
            service: need.service.clone(),
            tenant: need.tenant.clone(),
            arrived: need.arrived,
            deadline: need.deadline,
            attempts: need.attempts,
            is_retry: need.repeat,
            avoid: need.avoid.clone(),
        }
    }

    fn register(&self, number: u32) -> UnboundedReceiver<Decision> {
        let (sender, receiver) = mpsc::unbounded();
        self.waiting.borrow_mut().insert(number, sender);
        receiver
    }
}

/// Forgets an ask once its decision is in or nobody waits for it any more.
struct Waiting<'a> {
    desk: &'a Desk,
    number: u32,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.desk.waiting.borrow_mut().remove(&self.number);
    }
}

/// Withdraws an ask that was given up.
struct Withdrawal<'a> {
    link: &'a Sender,
    number: u32,
    armed: Cell<bool>,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if self.armed.get() {
            self.link.send(cancelled(self.number));
        }
    }
}

fn refusal(decision: Decision) -> Refusal {
    match decision {
        Decision::Refused { kind, retry_after } => Refusal { kind, retry_after },
        Decision::Granted { .. } | Decision::Queued => Refusal {
            kind: Kind::Overloaded,
            retry_after: ASK_TIMEOUT,
        },
    }
}
