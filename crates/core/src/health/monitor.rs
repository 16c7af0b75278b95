//! Detection state of one upstream.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::health::Descriptor;
use crate::health::Policy;
use crate::health::Verdict;
use crate::health::status::Status;
use crate::health::window::Latencies;
use crate::health::window::Outcomes;
use crate::id::Zone;

/// Latest outcomes of an upstream by which it is compared with the others.
const OUTCOMES_PER_UPSTREAM: usize = 8;

/// Share of the threshold that the scores of all zones but the worst must reach together for an
/// upstream to count as bad in every zone.
const OTHER_ZONES_SHARE: f64 = 0.3;

/// Largest weight of an upstream that is still starting.
const STARTING_WEIGHT: f64 = 0.2;

/// Detection state of one upstream.
#[derive(Debug, Clone)]
pub struct Monitor {
    /// Identifier, slots and readiness.
    pub descriptor: Descriptor,
    /// Status for the whole service.
    pub overall: Status,
    /// Status for each zone that sent evidence.
    pub zones: BTreeMap<Zone, Status>,
    /// Latest outcomes.
    pub outcomes: Outcomes,
    /// Latest latencies.
    pub latencies: Latencies,
}

impl Monitor {
    /// Creates the state of an upstream in use, which ramps up if `ramp_start` is given.
    #[must_use]
    pub const fn new(descriptor: Descriptor, ramp_start: Option<Instant>) -> Self {
        Self {
            descriptor,
            overall: Status::new(ramp_start),
            zones: BTreeMap::new(),
            outcomes: Outcomes::new(OUTCOMES_PER_UPSTREAM),
            latencies: Latencies::new(),
        }
    }

    /// Returns the traffic that hosts in `zone` may send.
    #[must_use]
    pub fn verdict(&self, zone: &str, policy: &Policy, now: Instant) -> Verdict {
        let overall = self.overall.verdict(policy, now);
        let local = self
            .zones
            .get(zone)
            .map(|status| status.verdict(policy, now));
        let verdict = local.map_or(overall, |local| worse(overall, local));
        match verdict {
            Verdict::Use { weight } if !self.descriptor.ready => Verdict::Use {
                weight: weight.min(STARTING_WEIGHT),
            },
            other => other,
        }
    }

    /// Returns whether the upstream is capacity in use for hosts in `zone`.
    #[must_use]
    pub fn is_in_use(&self, zone: Option<&str>) -> bool {
        let is_out_locally = zone
            .and_then(|zone| self.zones.get(zone))
            .is_some_and(Status::is_out);
        self.descriptor.ready && !self.overall.is_out() && !is_out_locally
    }

    /// Returns whether the upstream counts as bad in every zone.
    ///
    /// This is so when the scores of other zones rise too, or when no other zone has observed good
    /// outcomes of the upstream since the score of the worst zone began to rise.
    #[must_use]
    pub fn is_bad_for_all_zones(&self, policy: &Policy) -> bool {
        let threshold = policy.threshold();
        let effective_score = |one: &Status| if one.is_out() { threshold } else { one.score() };
        let worst = self
            .zones
            .iter()
            .max_by(|a, b| effective_score(a.1).total_cmp(&effective_score(b.1)));
        let Some((worst, status)) = worst else {
            return true;
        };
        let others = || self.zones.iter().filter(|(zone, _)| *zone != worst);
        let agreeing: f64 = others().map(|(_, one)| effective_score(one)).sum();
        if agreeing >= OTHER_ZONES_SHARE * threshold {
            return true;
        }
        let since = status.rising_since();
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
