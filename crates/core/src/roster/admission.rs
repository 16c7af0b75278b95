//! What the leader makes of the announcements of upstreams.
//!
//! The roster orders announcements by what they say; they may also arrive late, out of order, or from another
//! writer. [`Admission`] adds what the roster does not hold: departures beyond its bound, the time of day, the
//! services in force, and which refused starts go on announcing themselves.

use std::time::Duration;
use std::time::Instant;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::publication::Publication;
use crate::roster::Effect;
use crate::roster::Entry;
use crate::roster::Refusal;
use crate::roster::Roster;
use crate::roster::departures::Departures;
use crate::roster::refused::Refused;
use crate::upstream::Announcement;
use crate::upstream::Stage;

/// How far the calls of upstreams can be trusted to arrive in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time by which calls are delayed.
    pub delay: Duration,
    /// Difference between the clocks of two machines that must not matter.
    pub skew: Duration,
}

impl Default for Bounds {
    /// Returns the bounds for upstreams that announce themselves every 2 s.
    fn default() -> Self {
        Self {
            delay: Duration::from_secs(4),
            skew: Duration::from_secs(1),
        }
    }
}

/// The state of control that a decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The roster.
    pub roster: &'a Roster,
    /// The publication in force.
    pub publication: &'a Publication,
    /// Unix milliseconds now.
    pub wall: Incarnation,
    /// Monotonic time now.
    pub now: Instant,
}

/// What to do with an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It renews what the roster holds.
    Renew,
    /// It says nothing that still matters.
    Ignore,
    /// This announcement is to be applied.
    Apply(Announcement),
    /// Its start is to be reinstated.
    Reinstate,
    /// Its start is not used and leaves, which this announcement is to note.
    Depart(Announcement),
    /// Its start is not used.
    Refuse(Refusal),
}

/// What the leader knows of upstreams beside the roster.
#[derive(Debug)]
pub struct Admission {
    bounds: Bounds,
    departures: Departures,
    refused: Refused,
}

impl Admission {
    /// Creates the admission of a replica that has heard nothing.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            departures: Departures::default(),
            refused: Refused::new(bounds.delay),
        }
    }

    /// Begins anew with the roster of a replica that has just become the leader.
    pub fn begin_term(&mut self, roster: &Roster, now: Instant) {
        self.refused = Refused::new(self.bounds.delay);
        let entries: Vec<Entry> = roster.entries().collect();
        self.note_changes(&entries, now);
    }

    /// Notes the entries that a command has changed, also while the replica follows.
    pub fn note_changes(&mut self, changed: &[Entry], now: Instant) {
        self.departures.expire(now);
        for entry in changed {
            self.departures.note(entry, now);
        }
    }

    /// Decides what to do with an announcement that has arrived.
    pub fn decide(&mut self, announcement: &Announcement, context: &Context<'_>) -> Decision {
        let refusal = match self.evaluate(announcement, context) {
            Effect::Renewal => {
                self.refused.forget(announcement);
                return Decision::Renew;
            }
            Effect::New => {
                self.refused.forget(announcement);
                return Decision::Apply(announcement.clone());
            }
            Effect::Outdated => return overtaken(announcement, context.roster),
            Effect::Refused(refusal) => refusal,
        };
        let is_final = self.is_final(announcement, context.roster);
        let goes_on = self.refused.note(announcement, context.now);
        if goes_on && !is_final {
            return Decision::Reinstate;
        }
        if announcement.stage != Stage::Draining || refusal == Refusal::UnknownService {
            return Decision::Refuse(refusal);
        }
        if is_final {
            return Decision::Ignore;
        }
        // In the log it follows a reinstatement that is on its way.
        let (id, start) = (&announcement.id, announcement.incarnation);
        Decision::Depart(context.roster.departure(id, Some(start), start))
    }

    /// Returns the announcement that notes the departure of an upstream. It goes through the log also if the roster
    /// holds the departure already, since a reinstatement may be on its way.
    ///
    /// A departure without a `start` may be that of any start up to now: an announcement of one may be on its way.
    /// The skew is added to the first departure of a start only, which serves on for longer than that; senders
    /// repeat their departures until they end, and the next start may follow at once.
    pub fn departure(
        &mut self,
        id: &UpstreamId,
        start: Option<Incarnation>,
        context: &Context<'_>,
    ) -> Announcement {
        self.refused.remove(id);
        let known = context.roster.get(id);
        let is_repeated = known.is_some_and(|one| one.announcement.stage == Stage::Left);
        let skew = if is_repeated { 0 } else { self.skew() };
        let latest = context.wall.saturating_add(skew);
        context.roster.departure(id, start, latest)
    }

    fn evaluate(&self, announcement: &Announcement, context: &Context<'_>) -> Effect {
        let roster = context.roster;
        let effect = roster.evaluate(announcement);
        if effect != Effect::New {
            return effect;
        }
        if self.departures.refuses(announcement) || self.is_early(announcement, context) {
            return Effect::Refused(Refusal::Left);
        }
        let is_named = |service: &String| context.publication.services.contains_key(service);
        if is_named(&announcement.service) {
            return effect;
        }
        let known = roster.get(&announcement.id).map(|one| &one.announcement);
        let known = known.filter(|one| one.stage != Stage::Left);
        let known = known.filter(|one| one.service != announcement.service);
        let holder = roster.holder(announcement.address, &announcement.id);
        let mut displaced = known.into_iter().chain(holder);
        if displaced.any(|one| is_named(&one.service)) {
            return Effect::Refused(Refusal::UnknownService);
        }
        effect
    }

    /// Returns whether a start seems to come after a departure that named none, but by a clock that is ahead of this
    /// one: by the same clock it may have started before.
    fn is_early(&self, announcement: &Announcement, context: &Context<'_>) -> bool {
        let known = context.roster.get(&announcement.id);
        let is_in_doubt =
            known.is_some_and(|one| one.announcement.stage == Stage::Left && !one.is_final());
        is_in_doubt && announcement.incarnation > context.wall.saturating_add(self.skew())
    }

    fn is_final(&self, announcement: &Announcement, roster: &Roster) -> bool {
        roster.is_final(announcement) || self.departures.is_final(announcement)
    }

    /// Returns the skew in milliseconds.
    fn skew(&self) -> Incarnation {
        Incarnation::try_from(self.bounds.skew.as_millis()).unwrap_or(Incarnation::MAX)
    }
}

/// Returns what to do with an announcement that a later one of its start has overtaken: a start that drains does not
/// return from that, whatever sequence it states.
fn overtaken(announcement: &Announcement, roster: &Roster) -> Decision {
    let known = roster.get(&announcement.id).map(|one| &one.announcement);
    let known = known.filter(|one| one.stage.takes_requests());
    let (Some(known), Stage::Draining) = (known, announcement.stage) else {
        return Decision::Ignore;
    };
    match known.sequence.checked_add(1) {
        Some(sequence) => Decision::Apply(Announcement {
            sequence,
            ..announcement.clone()
        }),
        None => Decision::Depart(roster.departure(
            &known.id,
            Some(known.incarnation),
            known.incarnation,
        )),
    }
}
