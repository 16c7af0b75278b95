//! Why a request does not go to an upstream.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Attempt;
use crate::dispatch::Dispatcher;
use crate::dispatch::Pool;
use crate::dispatch::Upstream;
use crate::dispatch::explain::Finding;
use crate::dispatch::pool;
use crate::dispatch::upstream::Obstacle;
use crate::roster::Number;
use crate::statement::Limit;

macro_rules! reasons {
    ($($(#[$doc:meta])* $reason:ident: $is_closed:literal, $text:literal;)*) => {
        /// Why a request does not go to an upstream.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $reason,)*
        }

        impl Reason {
            /// Every reason, in the order in which they are looked for.
            pub const ALL: &'static [Self] = &[$(Self::$reason,)*];

            /// Returns a sentence for operators.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$reason => $text,)*
                }
            }

            /// Returns whether the upstream could not take any request now.
            #[must_use]
            pub const fn is_closed(self) -> bool {
                match self {
                    $(Self::$reason => $is_closed,)*
                }
            }
        }
    };
}

reasons! {
    /// Its zone is evacuated.
    Evacuated: true, "its zone is evacuated";
    /// It has announced that it drains.
    Draining: true, "it has announced that it drains";
    /// It has stated in an answer that it is draining.
    StatesDraining: true, "it has stated in an answer that it is draining";
    /// Hosts found no listener at it.
    Dead: true, "hosts found no listener at it a short time ago";
    /// It was dead, and one request finds out whether it responds again.
    Tested: true, "it was dead, and one request finds out whether it responds again";
    /// All of its slots are in use.
    Full: true, "all of its slots are in use";
    /// The requests that it takes while it is cold are used up.
    ColdLimit: true, "it is cold, and the next request that it may get is not due yet";
    /// The requests that its stated limit allows are used up.
    StatedLimit: true, "it has stated a limit, and the next request under it is not due yet";
    /// Its free slot is earmarked for a large request.
    Earmarked: true, "its free slot is earmarked for a large request that waits for it to have room";
    /// The body does not fit beside those that it holds.
    TooLarge: false, "the request body does not fit beside those that it holds";
    /// It has been tried for the request.
    Tried: true, "it has been tried for the request";
    /// It wants no requests from the host for now.
    Paused: true, "it has asked the host for a pause";
    /// The request is refused before an upstream is looked for.
    NotAdmitted: false, "the request is refused before an upstream is looked for";
    /// Its free slots are for requests that are queued.
    QueuedAhead: false, "requests that are queued come first";
    /// Its free slots are kept for more urgent requests.
    KeptForUrgent: false, "its free slots are kept for more urgent requests";
    /// The host could not connect to it.
    Unreachable: false, "the host could not connect to it a short time ago";
    /// It is a suspect, and the request waits for a healthy one.
    Suspect: false, "it is more likely grey than not, and the request waits for a healthy upstream";
    /// It is not among those that are compared for this request.
    NotCompared: false, "it is not among those that are compared for this request";
    /// Another one gets the request, to learn of its health or to keep it in use.
    OtherOnTrial: false, "another upstream gets the request to be kept in use or tried out";
    /// It is new and left to requests that can be repeated.
    LeftToRepeatable: false, "it is new, and left to requests that can be repeated";
    /// Another one has a lower expected cost.
    Costlier: false, "another upstream has a lower expected cost";
}

/// The expected costs of the upstreams for one attempt.
pub(super) struct Costs<'a> {
    dispatcher: &'a Dispatcher,
    pool: &'a Pool,
    attempt: &'a Attempt<'a>,
    now: Instant,
}

impl<'a> Costs<'a> {
    pub(super) const fn new(
        dispatcher: &'a Dispatcher,
        pool: &'a Pool,
        attempt: &'a Attempt<'a>,
        now: Instant,
    ) -> Self {
        Self {
            dispatcher,
            pool,
            attempt,
            now,
        }
    }

    /// Returns the expected cost of an upstream.
    pub(super) fn get(&self, state: &Upstream) -> f64 {
        let max_silence = self.dispatcher.policy.max_silence;
        pool::expected_cost(state, self.attempt, max_silence, self.now)
    }

    /// Returns whether an upstream would cost less than another if it were not left to others as a new one.
    fn is_left_to_repeatable(&self, state: &Upstream, chosen: Number) -> bool {
        let unreserved = Attempt {
            has_scouts: false,
            ..*self.attempt
        };
        let max_silence = self.dispatcher.policy.max_silence;
        let cost = pool::expected_cost(state, &unreserved, max_silence, self.now);
        let chosen = self.pool.get(chosen).map(|chosen| self.get(chosen));
        cost < self.get(state) && chosen.is_some_and(|chosen| cost < chosen)
    }
}

impl Dispatcher {
    /// Returns the reasons of all upstreams of a service but the chosen one.
    pub(super) fn reasons(
        &self,
        pool: &Pool,
        finding: &Finding<'_>,
        costs: &Costs<'_>,
    ) -> BTreeMap<Number, Reason> {
        let chosen = finding.choice.map(|choice| choice.upstream);
        let others = pool
            .upstreams()
            .filter(|(number, _)| Some(*number) != chosen);
        let whole = self.reason_for_all(finding);
        let reason = |(number, state): (Number, &Upstream)| {
            let own = self.own_reason(number, state, finding);
            let reason = own.or(whole);
            let reason = reason.unwrap_or_else(|| self.comparison(number, state, finding, costs));
            (number, reason)
        };
        others.map(reason).collect()
    }

    /// Returns why an upstream takes no request of this kind, whatever else speaks for it.
    fn own_reason(
        &self,
        number: Number,
        state: &Upstream,
        finding: &Finding<'_>,
    ) -> Option<Reason> {
        let (request, now) = (finding.request, finding.now);
        let is_evacuated = finding.evacuations.contains(&state.zone);
        let reason = match state.obstacle(now) {
            Some(Obstacle::Draining) if is_evacuated => Reason::Evacuated,
            Some(Obstacle::Draining) => Reason::Draining,
            Some(Obstacle::StatesDraining) => Reason::StatesDraining,
            Some(Obstacle::Dead) => Reason::Dead,
            Some(Obstacle::Tested) => Reason::Tested,
            Some(Obstacle::Full) => Reason::Full,
            Some(Obstacle::NoPermit) if self.is_limited_as_cold(number) => Reason::ColdLimit,
            Some(Obstacle::NoPermit) => Reason::StatedLimit,
            Some(Obstacle::Earmarked) => Reason::Earmarked,
            None if !state
                .held
                .fits(request.body_bytes, self.held_bound(&request.service)) =>
            {
                Reason::TooLarge
            }
            None if request.avoid.contains(&number) => Reason::Tried,
            None if self
                .ledger
                .pauses(&request.ticket.host, now)
                .contains(number) =>
            {
                Reason::Paused
            }
            None => return None,
        };
        Some(reason)
    }

    /// Returns why the request goes to no upstream at all, if one reason is enough.
    fn reason_for_all(&self, finding: &Finding<'_>) -> Option<Reason> {
        let (request, route, now) = (finding.request, finding.route, finding.now);
        if finding.admission.is_some() {
            return Some(Reason::NotAdmitted);
        }
        let priority = self.priority(request, route);
        if !self.is_next(request, route, priority, now) {
            return Some(Reason::QueuedAhead);
        }
        self.is_kept_from(request, now)
            .then_some(Reason::KeptForUrgent)
    }

    /// Returns why another upstream was preferred, or none at all.
    fn comparison(
        &self,
        number: Number,
        state: &Upstream,
        finding: &Finding<'_>,
        costs: &Costs<'_>,
    ) -> Reason {
        let (request, route, now) = (finding.request, finding.route, finding.now);
        let waits = self.waits_for_healthy(request, route, now);
        if waits && state.belief.is_suspect(now) {
            return Reason::Suspect;
        }
        if !finding.window.contains(&number) {
            return Reason::NotCompared;
        }
        if finding.unreachable.contains(&number) {
            return Reason::Unreachable;
        }
        match finding.choice {
            Some(choice) if choice.is_trial => Reason::OtherOnTrial,
            Some(choice) if costs.is_left_to_repeatable(state, choice.upstream) => {
                Reason::LeftToRepeatable
            }
            _ => Reason::Costlier,
        }
    }

    /// Returns whether the limit on an upstream follows from its being cold rather than from its statement.
    fn is_limited_as_cold(&self, number: Number) -> bool {
        let stated = self.ledger.limit(number).map(Limit::per_second);
        let limit = self.limit(number).map(Limit::per_second);
        self.cold.contains(number)
            && limit.is_some_and(|limit| stated.is_none_or(|stated| limit < stated))
    }
}
