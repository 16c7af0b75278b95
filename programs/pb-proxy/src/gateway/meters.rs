//! Counters, gauges and latency histograms, served in the Prometheus text format.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::meters::Counters;
use persimmonbend_app::meters::Gauge;
use persimmonbend_app::meters::Histogram;
use persimmonbend_app::meters::Registry;
use persimmonbend_core::error::Kind;
use persimmonbend_core::memory::Bound;
use persimmonbend_wire::meter;

use crate::gateway::state::State;

/// Upper bounds of the latency buckets, from a fast answer to a long timeout.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// Counters and histograms of one gateway.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    requests: Counters,
    attempts: Counters,
    hedges: Counters,
    refused_hedges: Counters,
    statements: Counters,
    held_back: Counters,
    refused_bodies: Counters,
    latency_seconds: Histogram,
    running: Gauge,
    buffered_bytes: Gauge,
    buffer_bytes: Gauge,
    version: Gauge,
    control_heard: Gauge,
    zones_closed: Gauge,
    skipped: Gauge,
    detours_refused: Gauge,
}

impl Meters {
    /// Creates meters with all counts at zero.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: registry.counters(
                "requests_total",
                "Requests by how they ended: a status of an upstream or the code of an error.",
                "outcome",
            ),
            attempts: registry.counters(
                "attempts_total",
                "Attempts at upstreams by how they ended.",
                "outcome",
            ),
            hedges: registry.counters(
                "hedges_total",
                "Extra sends of running requests by how they ended.",
                "outcome",
            ),
            refused_hedges: registry.counters(
                "hedges_refused_total",
                "Extra sends that were not made, by the reason.",
                "reason",
            ),
            statements: registry.counters(
                "upstream_statements_total",
                "Statements of upstreams about themselves that were new to this host.",
                "statement",
            ),
            held_back: registry.counters(
                "answers_held_back_total",
                "Answers that were read no faster than their clients took them, by the bound.",
                "bound",
            ),
            refused_bodies: registry.counters(
                "bodies_refused_total",
                "Requests that were refused as their bodies had no room, by the bound.",
                "bound",
            ),
            latency_seconds: registry.histogram(
                "request_seconds",
                "Time from a request's arrival to its answer, in seconds.",
                &LATENCY_BUCKETS_SECONDS,
            ),
            running: registry.gauge("requests_running", "Requests that run now."),
            buffered_bytes: registry.gauge(
                "buffered_bytes",
                "Bytes of answers and request bodies that are held now, where there is a budget.",
            ),
            buffer_bytes: registry.gauge(
                "buffer_bytes",
                "Budget for answers and request bodies in bytes, 0 without one.",
            ),
            version: registry.gauge(
                "publication_version",
                "Version of the publication in force, NaN before the first one.",
            ),
            control_heard: registry
                .gauge("control_heard", "1 while the leader of control is heard."),
            zones_closed: registry.gauge(
                "zones_closed",
                "Zones with upstreams, none of which takes requests.",
            ),
            detours_refused: registry.gauge(
                "detours_refused",
                "Requests for upstreams from addresses that are those of no host.",
            ),
            skipped: registry.gauge(
                "frames_skipped",
                "Frames from other processes that this build cannot decode.",
            ),
            registry,
        }
    }

    /// Counts the end of a request.
    pub fn count_request(&self, outcome: Result<u16, Kind>, took: Duration) {
        match outcome {
            Ok(status) => self.requests.add(&status.to_string()),
            Err(kind) => self.requests.add(kind.answer().code),
        }
        self.latency_seconds.observe(took.as_secs_f64());
    }

    /// Counts a request whose client left.
    pub fn count_client_left(&self) {
        self.requests.add("client_left");
    }

    /// Counts the end of an attempt by its outcome.
    pub fn count_attempt(&self, outcome: &str) {
        self.attempts.add(outcome);
    }

    /// Counts an extra send by its outcome.
    pub fn count_hedge(&self, outcome: &str) {
        self.hedges.add(outcome);
    }

    /// Counts an extra send that was not made.
    pub fn count_refused_hedge(&self, kind: Kind) {
        self.refused_hedges.add(kind.answer().code);
    }

    /// Counts an answer that was not read ahead any further.
    pub fn count_held_back(&self, bound: Bound) {
        self.held_back.add(bound.name());
    }

    /// Counts a request that was refused for the size of its body.
    pub fn count_refused_body(&self, bound: Bound) {
        self.refused_bodies.add(bound.name());
    }

    /// Counts a statement of an upstream that was new to this host.
    pub fn count_statement(&self, statement: &str) {
        self.statements.add(statement);
    }
}

impl Default for Meters {
    fn default() -> Self {
        Self::new()
    }
}

/// Serves the metrics of a gateway.
#[derive(Debug)]
pub struct Exporter {
    state: Rc<State>,
}

impl Exporter {
    /// Creates the handler of a gateway.
    #[must_use]
    pub const fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Handler for Exporter {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Response<Body> {
        let meters = self.state.meters();
        let running = u32::try_from(self.state.running().get()).unwrap_or(u32::MAX);
        meters.running.set(f64::from(running));
        let (used, limit) = self.state.memory().usage().unwrap_or_default();
        #[allow(clippy::cast_precision_loss)]
        meters.buffered_bytes.set(used as f64);
        #[allow(clippy::cast_precision_loss)]
        meters.buffer_bytes.set(limit as f64);
        #[allow(clippy::cast_precision_loss)]
        let version = self
            .state
            .version()
            .map_or(f64::NAN, |version| version as f64);
        meters.version.set(version);
        #[allow(clippy::cast_precision_loss)]
        meters.skipped.set(meter::skipped() as f64);
        let refused = self.state.detours().admission().refused();
        #[allow(clippy::cast_precision_loss)]
        meters.detours_refused.set(refused as f64);
        meters
            .control_heard
            .set(f64::from(u8::from(self.state.is_current())));
        let closed = u32::try_from(self.state.zones().closed().len()).unwrap_or(u32::MAX);
        meters.zones_closed.set(f64::from(closed));
        http::answer(200, "text/plain; version=0.0.4", meters.registry.text())
    }
}
