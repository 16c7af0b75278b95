//! Counts and latencies of the requests of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde::Serialize;
use serde_json::Value;

/// Longest latency that histograms record, in microseconds; longer ones count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer to the request arrived.
    Complete,
    /// The request was refused, and the refusal says that it did not run.
    NotRun,
    /// The request failed and may have run.
    Unknown,
    /// The answer is neither a refusal nor the complete answer to this request.
    Wrong,
}

impl Ending {
    /// Returns how a request ended according to its answer.
    ///
    /// `ran` is the header of a refusal that says whether the request may have run; `document` is
    /// the body of the answer.
    #[must_use]
    pub fn of(request_id: &str, status: StatusCode, ran: Option<&str>, document: &Value) -> Self {
        let is_complete = document["request"] == request_id && document["end"] == true;
        match ran {
            Some("no") => Self::NotRun,
            Some(_) => Self::Unknown,
            None if status.is_success() && is_complete => Self::Complete,
            None if status.is_server_error() => Self::Unknown,
            None => Self::Wrong,
        }
    }
}

/// Counts and latencies of requests.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests that failed and may have run.
    pub unknown: u64,
    /// Requests whose answer was neither a refusal nor the complete answer to them.
    pub wrong: u64,
    latency: Histogram<u64>,
    added: Histogram<u64>,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new() -> Self {
        Self {
            requests: 0,
            complete: 0,
            refused_not_run: 0,
            unknown: 0,
            wrong: 0,
            latency: histogram(),
            added: histogram(),
        }
    }

    /// Counts a request; `upstream` is the time that the upstream reports for it.
    pub fn count(&mut self, ending: Ending, total: Duration, upstream: Option<Duration>) {
        self.requests += 1;
        match ending {
            Ending::Complete => self.complete += 1,
            Ending::NotRun => self.refused_not_run += 1,
            Ending::Unknown => self.unknown += 1,
            Ending::Wrong => self.wrong += 1,
        }
        if ending == Ending::Complete {
            self.latency.saturating_record(micros(total));
            if let Some(upstream) = upstream {
                self.added
                    .saturating_record(micros(total.saturating_sub(upstream)));
            }
        }
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.complete += other.complete;
        self.refused_not_run += other.refused_not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        let _ = self.latency.add(&other.latency);
        let _ = self.added.add(&other.added);
    }

    /// Returns a quantile of the latency that clients saw, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        millis(self.latency.value_at_quantile(quantile))
    }

    /// Returns a quantile of the latency added to the upstream's own, in milliseconds.
    #[must_use]
    pub fn added_ms(&self, quantile: f64) -> f64 {
        millis(self.added.value_at_quantile(quantile))
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

/// The summary that the demo prints at its end.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests that failed and may have run.
    pub unknown: u64,
    /// Requests of non-idempotent routes that ran more than once.
    pub duplicates_run: u64,
    /// Requests refused although their tenant was within its rate.
    pub wrongful_refusals: u64,
    /// Time from the grey failure to the ejection, if the upstream was ejected.
    pub detection_ms: Option<u64>,
    /// Number of healthy upstreams that were ejected.
    pub false_ejections: Option<u64>,
    /// Median of the latency added to the upstream's own.
    pub added_latency_p50_ms: f64,
    /// 99th percentile of the latency added to the upstream's own.
    pub added_latency_p99_ms: f64,
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_max(MAX_LATENCY_US, 3);
    histogram.unwrap_or_else(|_| unreachable!("the bounds of the histogram are valid"))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}

#[allow(clippy::cast_precision_loss)]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
