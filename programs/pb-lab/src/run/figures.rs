//! Figures of a run, and the checks of the fleet's invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::ejection;
use crate::ejection::Ejection;
use crate::report::Ending;
use crate::report::Tally;
use crate::run::client::Sample;
use crate::run::testbed::Testbed;
use crate::scenario::Measure;
use crate::scenario::Scenario;
use crate::upstream::Arrival;

/// Longest time assumed between the admission of a request and its arrival at an upstream.
const ADMISSION_SLACK: Duration = Duration::from_millis(500);

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Figures {
    values: BTreeMap<&'static str, f64>,
    tally: Tally,
    /// Requests to idempotent routes.
    idempotent: Tally,
    /// Requests to non-idempotent routes.
    non_idempotent: Tally,
    /// Refused first attempts of tenants within their rate, by error code and second of the run.
    refusals: BTreeMap<String, u64>,
    violations: Vec<String>,
}

impl Figures {
    /// Computes the figures of a run that has ended.
    pub async fn new(
        scenario: &Scenario,
        start: Instant,
        samples: &[Sample],
        testbed: &mut Testbed,
    ) -> Self {
        let mut figures = Self::default();
        for sample in samples {
            let kind = if sample.non_idempotent {
                &mut figures.non_idempotent
            } else {
                &mut figures.idempotent
            };
            kind.count(sample.ending, sample.latency, sample.upstream);
            figures
                .tally
                .count(sample.ending, sample.latency, sample.upstream);
        }
        let dumps = testbed.dumps().await;
        let ejections = ejection::read(&dumps);
        let arrivals = testbed.ledger.arrivals();
        figures.compute_latency();
        figures.compute_outcomes(scenario, samples, testbed);
        figures.count_refusals(scenario, samples, start);
        figures.compute_ejections(&ejections, testbed, start);
        figures.compute_withdrawal_time(samples, testbed);
        figures.compute_drain_time(&arrivals, testbed);
        figures.check_rates(scenario, &arrivals);
        figures.check_invariants(samples, testbed);
        figures
    }

    /// Returns the value of a measure, or `None` if the run had nothing to measure.
    #[must_use]
    pub fn value(&self, measure: Measure) -> Option<f64> {
        self.values.get(measure.name()).copied()
    }

    /// Returns a description of each violated invariant.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the figures as a JSON object.
    #[must_use]
    pub fn to_json(&self, scenario: &Scenario) -> Value {
        let expected = scenario.expectations.iter().map(|expectation| {
            json!({
                "expect": expectation.to_string(),
                "holds": expectation.holds(self.value(expectation.measure)),
            })
        });
        json!({
            "requests": self.tally.requests,
            "complete": self.tally.complete,
            "refused_not_run": self.tally.refused_not_run,
            "unknown": self.tally.unknown,
            "wrong": self.tally.wrong,
            "reads": latencies(&self.idempotent),
            "onces": latencies(&self.non_idempotent),
            "figures": self.values,
            "expectations": expected.collect::<Vec<_>>(),
            "refusals": self.refusals,
            "broken": self.violations,
        })
    }

    fn set(&mut self, measure: Measure, value: f64) {
        self.values.insert(measure.name(), value);
    }

    fn compute_latency(&mut self) {
        if self.tally.complete > 0 {
            self.set(Measure::AddedMedian, self.tally.added_ms(0.5));
            self.set(Measure::AddedHigh, self.tally.added_ms(0.99));
        }
    }

    fn compute_outcomes(&mut self, scenario: &Scenario, samples: &[Sample], testbed: &Testbed) {
        let withdrawn: BTreeSet<&str> = testbed
            .marks
            .withdrawals
            .iter()
            .map(|mark| mark.subject.as_str())
            .collect();
        let mut worst: f64 = 100.0;
        let mut wrongful = 0;
        let (mut answered, mut all) = (0, 0);
        for tenant in &scenario.tenants {
            let own: Vec<&Sample> = samples
                .iter()
                .filter(|sample| sample.tenant == tenant.name)
                .collect();
            let complete = own
                .iter()
                .filter(|sample| sample.ending == Ending::Complete)
                .count();
            if own.is_empty() || withdrawn.contains(tenant.name.as_str()) {
                continue;
            }
            if tenant.sends <= tenant.rate {
                answered += complete;
                all += own.len();
                worst = worst.min(percent(complete, own.len()));
                wrongful += own
                    .iter()
                    .filter(|sample| sample.first_ending == Ending::NotRun)
                    .count();
            }
        }
        self.set(Measure::WorstTenant, worst);
        self.set(Measure::Complete, percent(answered, all));
        self.set(Measure::WrongfulRefusals, count(wrongful));
        let unknown = samples
            .iter()
            .filter(|sample| sample.ending == Ending::Unknown)
            .count();
        self.set(Measure::Unknown, count(unknown));
    }

    fn count_refusals(&mut self, scenario: &Scenario, samples: &[Sample], start: Instant) {
        let within = |name: &str| {
            let tenant = scenario.tenants.iter().find(|tenant| tenant.name == name);
            tenant.is_some_and(|tenant| tenant.sends <= tenant.rate)
        };
        let refused = samples
            .iter()
            .filter(|sample| sample.first_ending == Ending::NotRun);
        for sample in refused.filter(|sample| within(&sample.tenant)) {
            let code = sample.refusal.as_deref().unwrap_or("no_host");
            let second = sample.at.saturating_duration_since(start).as_secs();
            *self
                .refusals
                .entry(format!("{code} at {second} s"))
                .or_default() += 1;
        }
    }

    fn compute_ejections(&mut self, ejections: &[Ejection], testbed: &Testbed, start: Instant) {
        let mut worst = None;
        for fault in &testbed.marks.faults {
            let found = ejection::detection(ejections, &fault.subject, fault.at);
            let time = found.map_or(f64::INFINITY, |time| time.as_secs_f64() * 1_000.0);
            worst = Some(worst.map_or(time, |worst: f64| worst.max(time)));
        }
        if let Some(worst) = worst {
            self.set(Measure::Detection, worst);
        }
        let is_grey = |ejection: &Ejection| {
            let faults = &testbed.marks.faults;
            faults
                .iter()
                .any(|fault| fault.subject == ejection.upstream && fault.at <= ejection.at)
        };
        let false_ejections = ejection::false_ejections(ejections, start, is_grey);
        self.set(Measure::FalseEjections, count(false_ejections));
    }

    fn compute_withdrawal_time(&mut self, samples: &[Sample], testbed: &Testbed) {
        for mark in &testbed.marks.withdrawals {
            let served = samples.iter().filter(|sample| {
                sample.tenant == mark.subject
                    && sample.ending == Ending::Complete
                    && sample.at > mark.at
            });
            let last = served
                .map(|sample| sample.at - mark.at)
                .max()
                .unwrap_or_default();
            self.set(Measure::Withdrawal, last.as_secs_f64() * 1_000.0);
        }
    }

    fn compute_drain_time(&mut self, arrivals: &[Arrival], testbed: &Testbed) {
        let mut worst: Option<f64> = None;
        for mark in &testbed.marks.drains {
            let late = arrivals
                .iter()
                .filter(|arrival| arrival.upstream == mark.subject && arrival.at > mark.at);
            let last = late
                .map(|arrival| arrival.at - mark.at)
                .max()
                .unwrap_or_default();
            let millis = last.as_secs_f64() * 1_000.0;
            worst = Some(worst.map_or(millis, |worst| worst.max(millis)));
        }
        if let Some(worst) = worst {
            self.set(Measure::Draining, worst);
        }
    }

    /// Checks the rates of tenants: replays the requests that reached upstreams against one token
    /// bucket per tenant.
    fn check_rates(&mut self, scenario: &Scenario, arrivals: &[Arrival]) {
        for tenant in &scenario.tenants {
            let mut seen = BTreeSet::new();
            let own = arrivals
                .iter()
                .filter(|arrival| arrival.request.split('/').next() == Some(&tenant.name));
            let mut level = f64::from(tenant.burst);
            let mut lowest = level;
            let mut last: Option<Instant> = None;
            for arrival in own.filter(|arrival| seen.insert(arrival.request.clone())) {
                let passed = last.map_or(Duration::ZERO, |last| arrival.at - last);
                last = Some(arrival.at);
                let refilled = level + passed.as_secs_f64() * tenant.rate;
                level = refilled.min(f64::from(tenant.burst)) - 1.0;
                lowest = lowest.min(level);
            }
            let slack = 1.0 + tenant.rate * ADMISSION_SLACK.as_secs_f64();
            if lowest < -slack {
                let name = &tenant.name;
                self.violations.push(format!(
                    "tenant {name} got {:.0} requests more than its rate allows",
                    -lowest
                ));
            }
        }
    }

    fn check_invariants(&mut self, samples: &[Sample], testbed: &Testbed) {
        let ledger = &testbed.ledger;
        if ledger.keys_seen() > 0 {
            self.violations.push(format!(
                "upstreams received a key of a client {} times",
                ledger.keys_seen()
            ));
        }
        if ledger.duplicates() > 0 {
            self.violations.push(format!(
                "{} requests ran more than once",
                ledger.duplicates()
            ));
        }
        if self.tally.wrong > 0 {
            self.violations.push(format!(
                "{} answers were neither a refusal nor the complete answer to their request",
                self.tally.wrong
            ));
        }
        if testbed.marks.races_accepted_twice > 0 {
            self.violations.push(
                "both of two concurrent changes against one revision were accepted".to_owned(),
            );
        }
        let ran_despite_refusal = samples.iter().filter(|sample| {
            sample.first_ending == Ending::NotRun
                && sample.ending == Ending::NotRun
                && sample.refusal.is_some()
                && ledger.executions(&sample.request_id) > 0
        });
        let ran_despite_refusal = ran_despite_refusal.count();
        if ran_despite_refusal > 0 {
            self.violations.push(format!(
                "{ran_despite_refusal} requests ran although they were refused as not run"
            ));
        }
    }
}

fn latencies(tally: &Tally) -> Value {
    json!({
        "complete": tally.complete,
        "added_p50": tally.added_ms(0.5),
        "added_p99": tally.added_ms(0.99),
    })
}

fn percent(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        100.0
    } else {
        100.0 * count(part) / count(whole)
    }
}

#[allow(clippy::cast_precision_loss)]
const fn count(number: usize) -> f64 {
    number as f64
}
