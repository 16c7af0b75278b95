//! Metrics sent over UDP in the format of StatsD, with the `cadence` crate.
//!
//! [`ALL`] lists every metric; a test compares it with `docs/operators/metrics.md`.

use std::io;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

/// Prefix of every name.
pub const PREFIX: &str = "persimmonbend";

/// How the value of a metric is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A count since the last report.
    Counter,
    /// A value at the time of the report.
    Gauge,
}

/// Name, kind and description of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Metric {
    /// Name after the prefix.
    pub name: &'static str,
    /// Whether it is a counter or a gauge.
    pub kind: Kind,
    /// Description of the value.
    pub about: &'static str,
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $constant:ident: $kind:ident, $name:literal, $about:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $constant: Metric = Metric {
                name: $name,
                kind: Kind::$kind,
                about: $about,
            };
        )*

        /// Every metric.
        pub const ALL: &[Metric] = &[$($constant,)*];
    };
}

metrics! {
    /// Requests answered.
    ANSWERED: Counter, "requests.answered", "requests answered by an upstream";
    /// Requests refused or failed.
    FAILED: Counter, "requests.failed", "requests refused or failed, tagged with the error code";
    /// Median latency.
    LATENCY_P50: Gauge, "latency.p50_us", "median latency of the last finished 10 s in microseconds";
    /// 99th percentile of the latency.
    LATENCY_P99: Gauge, "latency.p99_us", "99th percentile of that latency in microseconds";
    /// Configuration in force.
    REVISION: Gauge, "config.revision", "revision of the configuration in force";
    /// Whether the host takes requests.
    READY: Gauge, "host.ready", "1 when the host takes requests, otherwise 0";
    /// Upstreams known.
    UPSTREAMS: Gauge, "upstreams.known", "upstreams that the host has heard of";
    /// Slots in use.
    SLOTS_IN_USE: Gauge, "service.slots_in_use", "slots in use, tagged with the service";
    /// Fewest slots that must stay in use.
    SLOTS_FLOOR: Gauge, "service.slots_floor", "fewest slots that the floor allows, tagged with the service";
}

/// Sends the metrics of one host to a StatsD receiver.
#[derive(Debug)]
pub struct Sender {
    client: StatsdClient,
}

impl Sender {
    /// Creates a sender whose metrics carry the tag `host`.
    ///
    /// # Errors
    ///
    /// Returns an error when the UDP socket cannot be created.
    pub fn connect(receiver: SocketAddr, host: &str) -> io::Result<Self> {
        let local: SocketAddr = if receiver.is_ipv4() {
            (Ipv4Addr::UNSPECIFIED, 0).into()
        } else {
            (Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(receiver, socket).map_err(io::Error::other)?;
        let client = StatsdClient::builder(PREFIX, sink)
            .with_tag("host", host)
            .with_error_handler(|error| log::debug!("metrics: not sent: {error}"))
            .build();
        Ok(Self { client })
    }

    /// Sends a value of a metric, with `tag` as a key and a value if it is given.
    ///
    /// A metric that cannot be sent is dropped.
    pub fn send(&self, metric: Metric, value: u64, tag: Option<(&str, &str)>) {
        match metric.kind {
            Kind::Counter => {
                let count = i64::try_from(value).unwrap_or(i64::MAX);
                let mut builder = self.client.count_with_tags(metric.name, count);
                if let Some((key, value)) = tag {
                    builder = builder.with_tag(key, value);
                }
                builder.send();
            }
            Kind::Gauge => {
                let mut builder = self.client.gauge_with_tags(metric.name, value);
                if let Some((key, value)) = tag {
                    builder = builder.with_tag(key, value);
                }
                builder.send();
            }
        }
    }
}
