//! Counters, gauges and histograms in the format of Prometheus, with the `prometheus` crate.
//!
//! The methods of these types return no errors. Names are constants of the program, so a name that
//! the crate refuses is a bug: it is logged, and the meter then records nothing.

use std::fmt;

use log::error;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Prefix of every name.
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

    /// Creates a counter for each value of one label.
    #[must_use]
    pub fn counters(&self, name: &str, about: &str, label: &str) -> Counters {
        let created = IntCounterVec::new(Opts::new(prefixed(name), about), &[label]);
        Counters(self.register(created))
    }

    /// Creates a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, about: &str) -> Gauge {
        Gauge(self.register(prometheus::Gauge::new(prefixed(name), about)))
    }

    /// Creates a gauge for each combination of values of some labels.
    #[must_use]
    pub fn gauges(&self, name: &str, about: &str, labels: &[&str]) -> Gauges {
        let created = prometheus::GaugeVec::new(Opts::new(prefixed(name), about), labels);
        Gauges(self.register(created))
    }

    /// Creates a histogram; `buckets` are the upper bounds of its buckets.
    #[must_use]
    pub fn histogram(&self, name: &str, about: &str, buckets: &[f64]) -> Histogram {
        let options = HistogramOpts::new(prefixed(name), about).buckets(buckets.to_vec());
        Histogram(self.register(prometheus::Histogram::with_opts(options)))
    }

    /// Returns all meters in the text format of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        let families = self.inner.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| {
                error!("meters: cannot encode the meters as text: {error}");
                String::new()
            })
    }

    fn register<M>(&self, created: prometheus::Result<M>) -> Option<M>
    where
        M: Collector + Clone + 'static,
    {
        let registered = created.and_then(|meter| {
            self.inner.register(Box::new(meter.clone()))?;
            Ok(meter)
        });
        registered
            .inspect_err(|error| error!("meters: cannot register a meter: {error}"))
            .ok()
    }
}

/// A counter for each value of one label.
#[derive(Clone)]
pub struct Counters(Option<IntCounterVec>);

impl Counters {
    /// Adds one to the counter of a value of the label.
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

/// A value that goes up and down.
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

/// Values that go up and down, one for each combination of values of some labels.
#[derive(Clone)]
pub struct Gauges(Option<prometheus::GaugeVec>);

impl Gauges {
    /// Sets the value of a combination; `labels` are in the order of their names.
    pub fn set(&self, labels: &[&str], value: f64) {
        if let Some(gauges) = &self.0 {
            match gauges.get_metric_with_label_values(labels) {
                Ok(gauge) => gauge.set(value),
                Err(error) => error!("meters: cannot set a gauge of {labels:?}: {error}"),
            }
        }
    }

    /// Removes all values.
    pub fn clear(&self) {
        if let Some(gauges) = &self.0 {
            gauges.reset();
        }
    }
}

impl fmt::Debug for Gauges {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Gauges")
    }
}

/// Counts of values by bucket.
#[derive(Debug, Clone)]
pub struct Histogram(Option<prometheus::Histogram>);

impl Histogram {
    /// Adds a value.
    pub fn observe(&self, value: f64) {
        if let Some(histogram) = &self.0 {
            histogram.observe(value);
        }
    }
}

fn prefixed(name: &str) -> String {
    format!("{PREFIX}{name}")
}
