//! What a judge remembers of one upstream.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::health::Member;
use crate::health::Policy;
use crate::health::Verdict;
use crate::health::standing::Standing;
use crate::health::window::Latencies;
use crate::health::window::Outcomes;
use crate::id::Zone;

/// Outcomes by which upstreams are compared.
const OUTCOMES: usize = 8;

/// Time for which evidence of a zone counts as fresh.
const FRESH: Duration = Duration::from_secs(10);

/// Share of the threshold that the zones but the worst must show together before an upstream is
/// held as bad for all.
const OTHER_ZONES_SHARE: f64 = 0.3;

/// Weight of an upstream that says it is still starting.
const STARTING_WEIGHT: f64 = 0.2;

/// One upstream under judgement.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Slots and stage.
    pub member: Member,
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
    pub const fn new(member: Member, warming: Option<Instant>) -> Self {
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

    /// Returns whether more than one zone finds the upstream bad, or only one can see it.
    #[must_use]
    pub fn is_bad_for_all(&self, policy: &Policy, now: Instant) -> bool {
        let threshold = policy.threshold();
        let fresh = self
            .zones
            .values()
            .filter(|one| one.is_out() || one.heard_within(FRESH, now));
        let found = |one: &Standing| if one.is_out() { threshold } else { one.score() };
        let mut scores: Vec<f64> = fresh.map(found).collect();
        scores.sort_unstable_by(f64::total_cmp);
        let worst = scores.pop();
        let others: f64 = scores.iter().sum();
        worst.is_none() || scores.is_empty() || others >= OTHER_ZONES_SHARE * threshold
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
