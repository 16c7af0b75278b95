//! The detector of grey upstreams in one service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::health::Evidence;
use crate::health::Outcome;
use crate::health::Policy;
use crate::health::Verdict;
use crate::health::monitor::Monitor;
use crate::health::status::Status;
use crate::health::window::Sample;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::id::Zone;
use crate::rendezvous;
use crate::steward::Verdicts;

/// Multiple of the service's high latency above which a response counts as bad.
const SLOW_FACTOR: f64 = 2.5;

/// Latency up to which no response counts as slow.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(5);

/// Lower bound of the rate of bad outcomes that is expected of a healthy upstream.
const MIN_EXPECTED_RATE: f64 = 0.005;

/// Multiple of the expected rate of bad outcomes that a grey upstream is assumed to have.
const GREY_RATE_FACTOR: f64 = 20.0;

/// Lower bound of the rate of bad outcomes that a grey upstream is assumed to have.
const MIN_GREY_RATE: f64 = 0.1;

/// Upper bound of the rate of bad outcomes that a grey upstream is assumed to have.
const MAX_GREY_RATE: f64 = 0.9;

/// Ratio of the expected rate of bad outcomes to the upstream's own rate above which the whole
/// service counts as bad and no upstream is ejected.
const MAX_EXPECTED_RATIO: f64 = 0.5;

/// Ratio of the pooled rate of the other upstreams to the upstream's own rate above which the whole
/// service counts as bad and no upstream is ejected.
const MAX_POOLED_RATIO: f64 = 0.7;

/// Multiple of the pooled rate of the other upstreams below which the expected rate does not fall.
const POOLED_RATE_FACTOR: f64 = 0.5;

/// Latest outcomes of the service that make up the pooled rate.
const POOLED_OUTCOMES: usize = 24;

/// Tenants whose outcomes are kept; the least recent one is dropped for another.
const MAX_TENANTS: usize = 64;

/// Latest outcomes kept for one tenant.
const OUTCOMES_PER_TENANT: usize = 16;

/// Describes an upstream of the service to the detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Descriptor {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream has finished starting.
    pub ready: bool,
}

impl Descriptor {
    /// Creates a descriptor.
    #[must_use]
    pub fn new(id: &str, slots: u32, ready: bool) -> Self {
        Self {
            id: id.to_owned(),
            slots,
            ready,
        }
    }
}

/// A changed verdict with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// Upstream that the verdict is about.
    pub upstream: UpstreamId,
    /// Whether the upstream was taken out of use for the whole service.
    pub ejected: bool,
    /// Reason with its figures, in one sentence.
    pub text: String,
}

/// Detection status of one upstream, for the dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Upstream that is reported on.
    pub upstream: UpstreamId,
    /// Whether the upstream is ejected or on trial for the whole service.
    pub out: bool,
    /// Zones in which the upstream is ejected or on trial.
    pub out_in_zones: Vec<Zone>,
    /// Log-likelihood ratio of the sequential test; higher means more likely grey.
    pub score: f64,
    /// Share of bad outcomes among the latest ones, once there are enough.
    pub bad_rate: Option<f64>,
}

/// Detects grey upstreams of one service by a sequential test on live requests.
#[derive(Debug)]
pub struct Detector {
    policy: Policy,
    monitors: BTreeMap<UpstreamId, Monitor>,
    pooled: Sample,
    tenants: BTreeMap<TenantId, Sample>,
    transitions: Vec<Transition>,
}

impl Detector {
    /// Creates a detector without upstreams.
    #[must_use]
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            monitors: BTreeMap::new(),
            pooled: Sample::new(POOLED_OUTCOMES),
            tenants: BTreeMap::new(),
            transitions: Vec::new(),
        }
    }

    /// Sets the share of the capacity that ejections must leave in use.
    pub const fn set_floor(&mut self, floor: f64) {
        self.policy.floor = floor;
    }

    /// Returns the traffic that hosts in `zone` may send to an upstream.
    ///
    /// An unknown upstream may be used in full.
    #[must_use]
    pub fn verdict(&self, upstream: &str, zone: &str, now: Instant) -> Verdict {
        let known = self.monitors.get(upstream);
        known.map_or(Verdict::Use { weight: 1.0 }, |monitor| {
            monitor.verdict(zone, &self.policy, now)
        })
    }

    /// Returns the detection status of every upstream.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let report = |(id, monitor): (&UpstreamId, &Monitor)| Report {
            upstream: id.clone(),
            out: monitor.overall.is_out(),
            out_in_zones: out_in_zones(monitor),
            score: monitor.overall.score(),
            bad_rate: monitor.outcomes.rate(),
        };
        self.monitors.iter().map(report).collect()
    }

    /// Returns the share of the capacity in use for hosts in `zone`, or for all hosts.
    #[must_use]
    pub fn capacity_in_use(&self, zone: Option<&str>) -> f64 {
        self.share_in_use(zone, None)
    }

    /// Returns the changed verdicts since the last call.
    #[must_use]
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Sets the current upstreams of the service.
    ///
    /// Known upstreams keep their history. Upstreams added while others are known ramp up; without
    /// others they are used in full at once.
    pub fn set_upstreams<I: IntoIterator<Item = Descriptor>>(
        &mut self,
        upstreams: I,
        now: Instant,
    ) {
        let ramp_start = (!self.monitors.is_empty()).then_some(now);
        let mut before = std::mem::take(&mut self.monitors);
        for descriptor in upstreams {
            let id = descriptor.id.clone();
            let known = before.remove(&id);
            let mut monitor = known.unwrap_or_else(|| Monitor::new(descriptor.clone(), ramp_start));
            monitor.descriptor = descriptor;
            self.monitors.insert(id, monitor);
        }
    }

    /// Discards the history of an upstream that restarted under a new incarnation; it ramps up.
    pub fn reset(&mut self, upstream: &str, now: Instant) {
        if let Some(monitor) = self.monitors.get_mut(upstream) {
            *monitor = Monitor::new(monitor.descriptor.clone(), Some(now));
        }
    }

    /// Ejects an upstream that another detector of the service ejected, if the floor allows it.
    pub fn adopt_ejection(&mut self, upstream: &str, now: Instant) {
        if !self.may_eject(upstream, None) {
            return;
        }
        let policy = self.policy;
        if let Some(monitor) = self.monitors.get_mut(upstream)
            && !monitor.overall.is_out()
        {
            monitor.overall.eject(&policy, now);
        }
    }

    /// Adds an observation and updates the verdict on its upstream.
    pub fn observe(&mut self, evidence: &Evidence, now: Instant) {
        if !evidence.counts() || !self.monitors.contains_key(&evidence.upstream) {
            return;
        }
        let bad = self.is_bad(evidence);
        let expected = self.expected_bad_rate(evidence);
        self.record(evidence, bad, now);
        let policy = self.policy;
        let Some(monitor) = self.monitors.get_mut(&evidence.upstream) else {
            return;
        };
        let zone = monitor.zones.entry(evidence.zone.clone());
        let zone = zone.or_insert_with(|| Status::new(None));
        if monitor.overall.is_out() || zone.is_out() {
            self.record_trial(evidence, bad, now);
            return;
        }
        let ratio = likelihood_ratio(bad, expected);
        zone.add(ratio, &policy, now);
        monitor.overall.add(ratio, &policy, now);
        if bad {
            self.evaluate(evidence, expected, now);
        }
    }

    fn is_bad(&self, evidence: &Evidence) -> bool {
        match evidence.outcome {
            Outcome::Answered => {
                let slow = self
                    .high_latency()
                    .map(|high| high.mul_f64(SLOW_FACTOR).max(MIN_SLOW_LATENCY));
                slow.is_some_and(|slow| evidence.latency > slow)
            }
            _ => true,
        }
    }

    /// Returns the lower median of the upstreams' high latencies.
    ///
    /// The median does not move while at most half of the upstreams are slow.
    fn high_latency(&self) -> Option<Duration> {
        let highs = self
            .monitors
            .values()
            .filter_map(|monitor| monitor.latencies.high_quantile());
        let mut highs: Vec<Duration> = highs.collect();
        if highs.len() < 2 {
            return None;
        }
        highs.sort_unstable();
        Some(highs[(highs.len() - 1) / 2])
    }

    /// Returns the probability that this request has a bad outcome at a healthy upstream.
    fn expected_bad_rate(&self, evidence: &Evidence) -> f64 {
        let others = self
            .monitors
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
        let elsewhere =
            tenant.and_then(|sample| sample.rate_excluding(upstream_hash(&evidence.upstream)));
        let pooled = self.pooled_rate_excluding(&evidence.upstream) * POOLED_RATE_FACTOR;
        typical
            .max(elsewhere.unwrap_or(0.0))
            .max(pooled)
            .max(MIN_EXPECTED_RATE)
    }

    fn pooled_rate_excluding(&self, upstream: &str) -> f64 {
        self.pooled
            .rate_excluding(upstream_hash(upstream))
            .unwrap_or(0.0)
    }

    fn record(&mut self, evidence: &Evidence, bad: bool, now: Instant) {
        self.pooled
            .push(upstream_hash(&evidence.upstream), bad, now);
        if let Some(monitor) = self.monitors.get_mut(&evidence.upstream) {
            monitor.outcomes.push(bad);
            if matches!(evidence.outcome, Outcome::Answered | Outcome::TimedOut) {
                monitor.latencies.push(evidence.latency);
            }
        }
        let Some(tenant) = &evidence.tenant else {
            return;
        };
        if !self.tenants.contains_key(tenant) && self.tenants.len() >= MAX_TENANTS {
            self.evict_oldest_tenant();
        }
        let sample = self.tenants.entry(tenant.clone());
        let sample = sample.or_insert_with(|| Sample::new(OUTCOMES_PER_TENANT));
        sample.push(upstream_hash(&evidence.upstream), bad, now);
    }

    /// Removes the tenant whose latest outcome is the oldest.
    fn evict_oldest_tenant(&mut self) {
        let oldest = self
            .tenants
            .iter()
            .min_by_key(|(_, sample)| sample.latest());
        if let Some(tenant) = oldest.map(|(tenant, _)| tenant.clone()) {
            self.tenants.remove(&tenant);
        }
    }

    fn record_trial(&mut self, evidence: &Evidence, bad: bool, now: Instant) {
        let policy = self.policy;
        let Some(monitor) = self.monitors.get_mut(&evidence.upstream) else {
            return;
        };
        let mut returned = monitor.overall.record_trial(bad, &policy, now);
        if let Some(zone) = monitor.zones.get_mut(&evidence.zone) {
            returned |= zone.record_trial(bad, &policy, now);
        }
        if returned {
            let trials = policy.trials;
            self.push_transition(
                evidence,
                false,
                format!("Back in use after {trials} good trials."),
            );
        }
    }

    fn evaluate(&mut self, evidence: &Evidence, expected: f64, now: Instant) {
        let policy = self.policy;
        let threshold = policy.threshold();
        let pooled = self.pooled_rate_excluding(&evidence.upstream);
        let Some(monitor) = self.monitors.get_mut(&evidence.upstream) else {
            return;
        };
        let zone_score = monitor.zones.get(&evidence.zone).map_or(0.0, Status::score);
        if monitor.overall.score() < threshold && zone_score < threshold {
            return;
        }
        let rate = monitor.outcomes.rate().unwrap_or(1.0);
        if expected > rate * MAX_EXPECTED_RATIO || pooled > rate * MAX_POOLED_RATIO {
            monitor.overall.clear();
            return;
        }
        let reason = format!(
            "{:.0}% of its latest answers were bad ({:?} last), {:.1}% were expected",
            rate * 100.0,
            evidence.outcome,
            expected * 100.0
        );
        if monitor.is_bad_for_all_zones(&policy) {
            self.eject(evidence, &reason, now);
        } else if zone_score >= threshold {
            self.eject_in_zone(evidence, &reason, now);
        }
    }

    fn eject(&mut self, evidence: &Evidence, reason: &str, now: Instant) {
        let allowed = self.may_eject(&evidence.upstream, None);
        let policy = self.policy;
        let Some(monitor) = self.monitors.get_mut(&evidence.upstream) else {
            return;
        };
        if allowed {
            let ejection_time = monitor.overall.eject(&policy, now);
            monitor.zones.values_mut().for_each(Status::clear);
            self.push_transition(
                evidence,
                true,
                format!("Ejected for {ejection_time:?}: {reason}."),
            );
        } else if monitor.overall.reduce_weight() {
            let floor = policy.floor * 100.0;
            let text = format!("Kept at a lower weight by the floor of {floor:.0}%: {reason}.");
            self.push_transition(evidence, false, text);
        }
    }

    fn eject_in_zone(&mut self, evidence: &Evidence, reason: &str, now: Instant) {
        let allowed = self.may_eject(&evidence.upstream, Some(&evidence.zone));
        let policy = self.policy;
        let Some(monitor) = self.monitors.get_mut(&evidence.upstream) else {
            return;
        };
        monitor.overall.clear();
        let Some(zone) = monitor.zones.get_mut(&evidence.zone) else {
            return;
        };
        if allowed {
            let ejection_time = zone.eject(&policy, now);
            let name = &evidence.zone;
            let text =
                format!("Avoided by zone {name} for {ejection_time:?}: {reason}, there only.");
            self.push_transition(evidence, false, text);
        } else {
            zone.reduce_weight();
        }
    }

    /// Returns whether the floor allows the ejection of `upstream`.
    fn may_eject(&self, upstream: &str, zone: Option<&str>) -> bool {
        self.share_in_use(zone, Some(upstream)) >= self.policy.floor
    }

    fn share_in_use(&self, zone: Option<&str>, without: Option<&str>) -> f64 {
        let (mut used, mut all) = (0.0, 0.0);
        for monitor in self.monitors.values() {
            let slots = f64::from(monitor.descriptor.slots);
            all += slots;
            if monitor.is_in_use(zone) && without != Some(monitor.descriptor.id.as_str()) {
                used += slots;
            }
        }
        if all > 0.0 { used / all } else { 1.0 }
    }

    fn push_transition(&mut self, evidence: &Evidence, ejected: bool, text: String) {
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

/// Returns the log-likelihood ratio of an outcome at a grey upstream to one at a healthy upstream.
fn likelihood_ratio(bad: bool, expected: f64) -> f64 {
    let grey = (expected * GREY_RATE_FACTOR).clamp(MIN_GREY_RATE, MAX_GREY_RATE);
    if grey <= expected {
        return 0.0;
    }
    if bad {
        (grey / expected).ln()
    } else {
        ((1.0 - grey) / (1.0 - expected)).ln()
    }
}

fn out_in_zones(monitor: &Monitor) -> Vec<Zone> {
    let out = monitor.zones.iter().filter(|(_, status)| status.is_out());
    out.map(|(zone, _)| zone.clone()).collect()
}

/// Returns a hash of an upstream's identifier.
fn upstream_hash(upstream: &str) -> u64 {
    rendezvous::weight("", upstream)
}
