//! What a judge remembers of one upstream.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::health::Descriptor;
use crate::health::Policy;
use crate::health::Verdict;
use crate::health::standing::Standing;
use crate::health::window::Latencies;
use crate::health::window::Outcomes;
use crate::id::Zone;

/// Outcomes by which upstreams are compared.
const OUTCOMES: usize = 8;

/// Share of the threshold that the zones but the worst must show together before an upstream is
/// held as bad for all.
const OTHER_ZONES_SHARE: f64 = 0.3;

/// Weight of an upstream that says it is still starting.
const STARTING_WEIGHT: f64 = 0.2;

/// One upstream under judgement.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Slots and stage.
    pub member: Descriptor,
    /// Standing for the whole service.
    pub whole: Standing,
    /// Standing for each zone that sent evidence.
    pub zones: BTreeMap<Zone, Standing>,
    /// Latest outcomes.
    pub outcomes: Outcomes,
    /// Latest latencies.
    pub latencies: Latencies,
}

impl Subject {
    /// Creates a subject that is in use; since `warming` when it is new.
    #[must_use]
    pub const fn new(member: Descriptor, warming: Option<Instant>) -> Self {
        Self {
            member,
            whole: Standing::new(warming),
            zones: BTreeMap::new(),
            outcomes: Outcomes::new(OUTCOMES),
            latencies: Latencies::new(),
        }
    }

    /// Returns what hosts of `zone` may send.
    #[must_use]
    pub fn verdict(&self, zone: &str, policy: &Policy, now: Instant) -> Verdict {
        let whole = self.whole.verdict(policy, now);
        let near = self
            .zones
            .get(zone)
            .map(|standing| standing.verdict(policy, now));
        let verdict = near.map_or(whole, |near| worse(whole, near));
        match verdict {
            Verdict::Use { weight } if !self.member.ready => Verdict::Use {
                weight: weight.min(STARTING_WEIGHT),
            },
            other => other,
        }
    }

    /// Returns whether hosts of `zone` count the upstream as capacity in use.
    #[must_use]
    pub fn serves(&self, zone: Option<&str>) -> bool {
        let near_out = zone
            .and_then(|zone| self.zones.get(zone))
            .is_some_and(Standing::is_out);
        self.member.ready && !self.whole.is_out() && !near_out
    }

    /// Returns whether the upstream is to be held as bad for every zone.
    ///
    /// That is so when further zones find it bad too, or when no other zone has found it good since
    /// the worst one began to find it bad.
    #[must_use]
    pub fn is_bad_for_all(&self, policy: &Policy) -> bool {
        let threshold = policy.threshold();
        let found = |one: &Standing| if one.is_out() { threshold } else { one.score() };
        let worst = self
            .zones
            .iter()
            .max_by(|a, b| found(a.1).total_cmp(&found(b.1)));
        let Some((worst, standing)) = worst else {
            return true;
        };
        let others = || self.zones.iter().filter(|(zone, _)| *zone != worst);
        let agreeing: f64 = others().map(|(_, one)| found(one)).sum();
        if agreeing >= OTHER_ZONES_SHARE * threshold {
            return true;
        }
        let since = standing.rising();
        since.is_some_and(|since| !others().any(|(_, one)| one.was_good_since(since)))
    }
}

fn worse(left: Verdict, right: Verdict) -> Verdict {
    match (left, right) {
        (Verdict::Ejected, _) | (_, Verdict::Ejected) => Verdict::Ejected,
        (Verdict::Trial, _) | (_, Verdict::Trial) => Verdict::Trial,
        (Verdict::Use { weight: left }, Verdict::Use { weight: right }) => Verdict::Use {
            weight: left.min(right),
        },
    }
}
