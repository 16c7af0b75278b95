//! The judge of one service's upstreams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::health::Evidence;
use crate::health::Outcome;
use crate::health::Policy;
use crate::health::Verdict;
use crate::health::standing::Standing;
use crate::health::subject::Subject;
use crate::health::window::Spread;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::rendezvous;
use crate::steward::Verdicts;

/// Multiple of the service's high latency beyond which an answer counts as bad.
const SLOW_FACTOR: f64 = 2.5;

/// Latency below which no answer counts as slow.
const MIN_SLOW: Duration = Duration::from_millis(5);

/// Chance of a bad outcome at a healthy upstream that is assumed at least.
const MIN_EXPECTED: f64 = 0.005;

/// Multiple of the expected chance of a bad outcome that a grey upstream is assumed to show.
const GREY_FACTOR: f64 = 20.0;

/// Chance of a bad outcome that a grey upstream is assumed to show, at least and at most.
const MIN_GREY: f64 = 0.1;
const MAX_GREY: f64 = 0.9;

/// Share of an upstream's own bad outcomes that a typical upstream shows when the service is bad as
/// a whole.
const TYPICAL_SHARE: f64 = 0.5;

/// Share of an upstream's own bad outcomes that all others together show when the service is bad
/// as a whole.
const POOLED_SHARE: f64 = 0.7;

/// Part of the pooled rate of the others that is expected of a healthy upstream.
const POOLED_PART: f64 = 0.5;

/// Latest outcomes of the whole service that are pooled.
const POOLED_OUTCOMES: usize = 24;

/// Tenants remembered at a time.
const TENANTS: usize = 64;

/// Outcomes remembered of one tenant.
const TENANT_OUTCOMES: usize = 16;

/// One upstream of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Name.
    pub id: UpstreamId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it has finished starting.
    pub ready: bool,
}

impl Descriptor {
    /// Creates a member.
    #[must_use]
    pub fn new(id: &str, slots: u32, ready: bool) -> Self {
        Self {
            id: id.to_owned(),
            slots,
            ready,
        }
    }
}

/// A change of a verdict with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the upstream was taken out of use for the whole service.
    pub ejected: bool,
    /// One sentence with the reason and its figures.
    pub text: String,
}

/// Where one upstream stands, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it is out of use for the whole service.
    pub out: bool,
    /// Zones that do not use it.
    pub out_in_zones: Vec<Zone>,
    /// Log-likelihood ratio of the running test.
    pub score: f64,
    /// Share of bad outcomes lately.
    pub bad_rate: Option<f64>,
}

/// Judges the upstreams of one service by a sequential test on live requests.
#[derive(Debug)]
pub struct Detector {
    policy: Policy,
    subjects: BTreeMap<UpstreamId, Subject>,
    pooled: Spread,
    tenants: BTreeMap<TenantId, Spread>,
    transitions: Vec<Transition>,
}

impl Detector {
    /// Creates a judge without upstreams.
    #[must_use]
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            subjects: BTreeMap::new(),
            pooled: Spread::new(POOLED_OUTCOMES),
            tenants: BTreeMap::new(),
            transitions: Vec::new(),
        }
    }

    /// Sets the share of the capacity that ejection must leave in use.
    pub const fn set_floor(&mut self, floor: f64) {
        self.policy.floor = floor;
    }

    /// Returns what hosts of `zone` may send to an upstream.
    ///
    /// An upstream that the judge does not know may be used in full.
    #[must_use]
    pub fn verdict(&self, upstream: &str, zone: &str, now: Instant) -> Verdict {
        let known = self.subjects.get(upstream);
        known.map_or(Verdict::Use { weight: 1.0 }, |subject| {
            subject.verdict(zone, &self.policy, now)
        })
    }

    /// Returns where every upstream stands.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let report = |(id, subject): (&UpstreamId, &Subject)| Report {
            upstream: id.clone(),
            out: subject.whole.is_out(),
            out_in_zones: out_in_zones(subject),
            score: subject.whole.score(),
            bad_rate: subject.outcomes.rate(),
        };
        self.subjects.iter().map(report).collect()
    }

    /// Returns the share of the capacity that is in use for hosts of `zone`, or for all.
    #[must_use]
    pub fn capacity_in_use(&self, zone: Option<&str>) -> f64 {
        self.share_in_use(zone, None)
    }

    /// Returns the decisions since the last call.
    #[must_use]
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Takes in which upstreams the service has now.
    ///
    /// The first ones are used in full, later ones warm up.
    pub fn set_upstreams<I: IntoIterator<Item = Descriptor>>(&mut self, members: I, now: Instant) {
        let warming = (!self.subjects.is_empty()).then_some(now);
        let mut before = std::mem::take(&mut self.subjects);
        for member in members {
            let id = member.id.clone();
            let known = before.remove(&id);
            let mut subject = known.unwrap_or_else(|| Subject::new(member.clone(), warming));
            subject.member = member;
            self.subjects.insert(id, subject);
        }
    }

    /// Starts an upstream that came back under a new incarnation afresh.
    pub fn reset(&mut self, upstream: &str, now: Instant) {
        if let Some(subject) = self.subjects.get_mut(upstream) {
            *subject = Subject::new(subject.member.clone(), Some(now));
        }
    }

    /// Takes over an ejection from an earlier judge of the service, as far as the floor allows.
    pub fn adopt_ejection(&mut self, upstream: &str, now: Instant) {
        if !self.may_eject(upstream, None) {
            return;
        }
        let policy = self.policy;
        if let Some(subject) = self.subjects.get_mut(upstream)
            && !subject.whole.is_out()
        {
            subject.whole.eject(&policy, now);
        }
    }

    /// Takes in an observation and decides.
    pub fn observe(&mut self, evidence: &Evidence, now: Instant) {
        if !evidence.counts() || !self.subjects.contains_key(&evidence.upstream) {
            return;
        }
        let bad = self.is_bad(evidence);
        let expected = self.expected(evidence);
        self.remember(evidence, bad, now);
        let policy = self.policy;
        let Some(subject) = self.subjects.get_mut(&evidence.upstream) else {
            return;
        };
        let zone = subject.zones.entry(evidence.zone.clone());
        let zone = zone.or_insert_with(|| Standing::new(None));
        if subject.whole.is_out() || zone.is_out() {
            self.judge_trial(evidence, bad, now);
            return;
        }
        let ratio = likelihood_ratio(bad, expected);
        zone.add(ratio, &policy, now);
        subject.whole.add(ratio, &policy, now);
        if bad {
            self.decide(evidence, expected, now);
        }
    }

    fn is_bad(&self, evidence: &Evidence) -> bool {
        match evidence.outcome {
            Outcome::Answered => {
                let slow = self
                    .high_latency()
                    .map(|high| high.mul_f64(SLOW_FACTOR).max(MIN_SLOW));
                slow.is_some_and(|slow| evidence.latency > slow)
            }
            _ => true,
        }
    }

    /// Returns the high latency of a typical upstream; half of them being slow does not move it.
    fn high_latency(&self) -> Option<Duration> {
        let highs = self
            .subjects
            .values()
            .filter_map(|subject| subject.latencies.high());
        let mut highs: Vec<Duration> = highs.collect();
        if highs.len() < 2 {
            return None;
        }
        highs.sort_unstable();
        Some(highs[(highs.len() - 1) / 2])
    }

    /// Returns the chance of a bad outcome that a healthy upstream would show to this request.
    fn expected(&self, evidence: &Evidence) -> f64 {
        let others = self
            .subjects
            .iter()
            .filter(|(id, _)| **id != evidence.upstream);
        let mut rates: Vec<f64> = others.filter_map(|(_, one)| one.outcomes.rate()).collect();
        rates.sort_unstable_by(f64::total_cmp);
        let typical = rates
            .get(rates.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0);
        let tenant = evidence
            .tenant
            .as_ref()
            .and_then(|tenant| self.tenants.get(tenant));
        let elsewhere = tenant.and_then(|spread| spread.rate_elsewhere(mark(&evidence.upstream)));
        let pooled = self.pooled_elsewhere(&evidence.upstream) * POOLED_PART;
        typical
            .max(elsewhere.unwrap_or(0.0))
            .max(pooled)
            .max(MIN_EXPECTED)
    }

    fn pooled_elsewhere(&self, upstream: &str) -> f64 {
        self.pooled.rate_elsewhere(mark(upstream)).unwrap_or(0.0)
    }

    fn remember(&mut self, evidence: &Evidence, bad: bool, now: Instant) {
        self.pooled.push(mark(&evidence.upstream), bad, now);
        if let Some(subject) = self.subjects.get_mut(&evidence.upstream) {
            subject.outcomes.push(bad);
            if matches!(evidence.outcome, Outcome::Answered | Outcome::TimedOut) {
                subject.latencies.push(evidence.latency);
            }
        }
        let Some(tenant) = &evidence.tenant else {
            return;
        };
        if !self.tenants.contains_key(tenant) && self.tenants.len() >= TENANTS {
            self.forget_a_tenant();
        }
        let spread = self.tenants.entry(tenant.clone());
        let spread = spread.or_insert_with(|| Spread::new(TENANT_OUTCOMES));
        spread.push(mark(&evidence.upstream), bad, now);
    }

    /// Forgets the tenant that was heard of least recently.
    fn forget_a_tenant(&mut self) {
        let oldest = self
            .tenants
            .iter()
            .min_by_key(|(_, spread)| spread.latest());
        if let Some(tenant) = oldest.map(|(tenant, _)| tenant.clone()) {
            self.tenants.remove(&tenant);
        }
    }

    fn judge_trial(&mut self, evidence: &Evidence, bad: bool, now: Instant) {
        let policy = self.policy;
        let Some(subject) = self.subjects.get_mut(&evidence.upstream) else {
            return;
        };
        let mut returned = subject.whole.on_trial(bad, &policy, now);
        if let Some(zone) = subject.zones.get_mut(&evidence.zone) {
            returned |= zone.on_trial(bad, &policy, now);
        }
        if returned {
            let trials = policy.trials;
            self.decided(
                evidence,
                false,
                format!("Back in use after {trials} good trials."),
            );
        }
    }

    fn decide(&mut self, evidence: &Evidence, expected: f64, now: Instant) {
        let policy = self.policy;
        let threshold = policy.threshold();
        let pooled = self.pooled_elsewhere(&evidence.upstream);
        let Some(subject) = self.subjects.get_mut(&evidence.upstream) else {
            return;
        };
        let zone_score = subject
            .zones
            .get(&evidence.zone)
            .map_or(0.0, Standing::score);
        if subject.whole.score() < threshold && zone_score < threshold {
            return;
        }
        let rate = subject.outcomes.rate().unwrap_or(1.0);
        if expected > rate * TYPICAL_SHARE || pooled > rate * POOLED_SHARE {
            subject.whole.clear();
            return;
        }
        let reason = format!(
            "{:.0}% of its latest answers were bad ({:?} last), {:.1}% were expected",
            rate * 100.0,
            evidence.outcome,
            expected * 100.0
        );
        if subject.is_bad_for_all(&policy) {
            self.eject(evidence, &reason, now);
        } else if zone_score >= threshold {
            self.eject_in_zone(evidence, &reason, now);
        }
    }

    fn eject(&mut self, evidence: &Evidence, reason: &str, now: Instant) {
        let allowed = self.may_eject(&evidence.upstream, None);
        let policy = self.policy;
        let Some(subject) = self.subjects.get_mut(&evidence.upstream) else {
            return;
        };
        if allowed {
            let hold = subject.whole.eject(&policy, now);
            subject.zones.values_mut().for_each(Standing::clear);
            self.decided(evidence, true, format!("Ejected for {hold:?}: {reason}."));
        } else if subject.whole.shift() {
            let floor = policy.floor * 100.0;
            let text = format!("Kept at a lower weight by the floor of {floor:.0}%: {reason}.");
            self.decided(evidence, false, text);
        }
    }

    fn eject_in_zone(&mut self, evidence: &Evidence, reason: &str, now: Instant) {
        let allowed = self.may_eject(&evidence.upstream, Some(&evidence.zone));
        let policy = self.policy;
        let Some(subject) = self.subjects.get_mut(&evidence.upstream) else {
            return;
        };
        subject.whole.clear();
        let Some(zone) = subject.zones.get_mut(&evidence.zone) else {
            return;
        };
        if allowed {
            let hold = zone.eject(&policy, now);
            let name = &evidence.zone;
            let text = format!("Avoided by zone {name} for {hold:?}: {reason}, there only.");
            self.decided(evidence, false, text);
        } else {
            zone.shift();
        }
    }

    /// Returns whether the floor allows one more ejection.
    fn may_eject(&self, upstream: &str, zone: Option<&str>) -> bool {
        self.share_in_use(zone, Some(upstream)) >= self.policy.floor
    }

    fn share_in_use(&self, zone: Option<&str>, without: Option<&str>) -> f64 {
        let (mut used, mut all) = (0.0, 0.0);
        for subject in self.subjects.values() {
            let slots = f64::from(subject.member.slots);
            all += slots;
            if subject.serves(zone) && without != Some(subject.member.id.as_str()) {
                used += slots;
            }
        }
        if all > 0.0 { used / all } else { 1.0 }
    }

    fn decided(&mut self, evidence: &Evidence, ejected: bool, text: String) {
        self.transitions.push(Transition {
            upstream: evidence.upstream.clone(),
            ejected,
            text,
        });
    }
}

impl Verdicts for Detector {
    fn observe(&mut self, evidence: &Evidence, now: Instant) {
        Self::observe(self, evidence, now);
    }

    fn verdict(&self, upstream: &str, zone: &str, now: Instant) -> Verdict {
        Self::verdict(self, upstream, zone, now)
    }
}

/// Returns the logarithm of how much likelier an outcome is at a grey upstream.
fn likelihood_ratio(bad: bool, expected: f64) -> f64 {
    let grey = (expected * GREY_FACTOR).clamp(MIN_GREY, MAX_GREY);
    if grey <= expected {
        return 0.0;
    }
    if bad {
        (grey / expected).ln()
    } else {
        ((1.0 - grey) / (1.0 - expected)).ln()
    }
}

fn out_in_zones(subject: &Subject) -> Vec<Zone> {
    let out = subject
        .zones
        .iter()
        .filter(|(_, standing)| standing.is_out());
    out.map(|(zone, _)| zone.clone()).collect()
}

/// Returns a short mark of an upstream's name.
fn mark(upstream: &str) -> u64 {
    rendezvous::weight("", upstream)
}
