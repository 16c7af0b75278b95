//! Counters, gauges and histograms by `prometheus`, behind types that cannot fail.
//!
//! Names are fixed at start, so a name that the library refuses is a mistake of the program; it is
//! logged, and the meter then counts for nobody.

use std::fmt;

use log::error;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Text that every name starts with.
const PREFIX: &str = "persimmonbend_";

/// All meters of a process.
#[derive(Debug, Default)]
pub struct Registry {
    inner: prometheus::Registry,
}

impl Registry {
    /// Creates a registry without meters.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates counters that are told apart by one label.
    #[must_use]
    pub fn counters(&self, name: &str, about: &str, label: &str) -> Counters {
        let made = IntCounterVec::new(Opts::new(full(name), about), &[label]);
        Counters(self.keep(made))
    }

    /// Creates a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, about: &str) -> Gauge {
        Gauge(self.keep(prometheus::Gauge::new(full(name), about)))
    }

    /// Creates a histogram with these upper bounds of its buckets.
    #[must_use]
    pub fn histogram(&self, name: &str, about: &str, buckets: &[f64]) -> Histogram {
        let options = HistogramOpts::new(full(name), about).buckets(buckets.to_vec());
        Histogram(self.keep(prometheus::Histogram::with_opts(options)))
    }

    /// Returns all meters as text.
    #[must_use]
    pub fn text(&self) -> String {
        let families = self.inner.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| {
                error!("meters: cannot be written: {error}");
                String::new()
            })
    }

    fn keep<M>(&self, made: prometheus::Result<M>) -> Option<M>
    where
        M: Collector + Clone + 'static,
    {
        let kept = made.and_then(|meter| {
            self.inner.register(Box::new(meter.clone()))?;
            Ok(meter)
        });
        kept.inspect_err(|error| error!("meters: {error}")).ok()
    }
}

/// Counters that are told apart by one label.
#[derive(Clone)]
pub struct Counters(Option<IntCounterVec>);

impl Counters {
    /// Adds one to the counter with this value of the label.
    pub fn add(&self, value: &str) {
        if let Some(counters) = &self.0 {
            counters.with_label_values(&[value]).inc();
        }
    }
}

impl fmt::Debug for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Counters")
    }
}

/// A value at one time.
#[derive(Debug, Clone)]
pub struct Gauge(Option<prometheus::Gauge>);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: f64) {
        if let Some(gauge) = &self.0 {
            gauge.set(value);
        }
    }
}

/// Counts of values by bucket.
#[derive(Debug, Clone)]
pub struct Histogram(Option<prometheus::Histogram>);

impl Histogram {
    /// Counts a value.
    pub fn observe(&self, value: f64) {
        if let Some(histogram) = &self.0 {
            histogram.observe(value);
        }
    }
}

fn full(name: &str) -> String {
    format!("{PREFIX}{name}")
}
