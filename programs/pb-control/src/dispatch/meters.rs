//! Gauges of the load that a replica sees while it leads, in the Prometheus text format.

use std::rc::Rc;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_app::meters::Gauge;
use persimmonbend_app::meters::Gauges;
use persimmonbend_app::meters::Registry;

use crate::dispatch::Service;
use crate::dispatch::state::State;

/// Gauges of a replica; but for `leading` they have values only while it leads.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    leading: Gauge,
    queued: Gauges,
    refused: Gauges,
    retries_left: Gauges,
    retries_spent: Gauges,
    retries_withheld: Gauges,
    upstreams: Gauges,
    hedges_sent: Gauges,
    hedges_left: Gauges,
    announcements_refused: Gauge,
    upstreams_reinstated: Gauge,
}

impl Meters {
    /// Creates meters without values.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let gauges = |name, about, labels| registry.gauges(name, about, labels);
        Self {
            leading: registry.gauge("control_leading", "1 while this replica leads."),
            queued: gauges(
                "requests_queued",
                "Queued requests by whether they can be answered within their objective.",
                &["service", "priority", "prospect"],
            ),
            refused: gauges(
                "requests_refused",
                "Requests refused since this replica leads, by reason and time.",
                &["reason", "time"],
            ),
            retries_left: gauges("retries_left", "Retries that may be sent.", &["service"]),
            retries_spent: gauges(
                "retries_spent",
                "Retries and extra sends granted since this replica leads.",
                &["service"],
            ),
            retries_withheld: gauges(
                "retries_withheld",
                "Retries kept for more urgent requests since this replica leads.",
                &["service", "priority"],
            ),
            upstreams: gauges(
                "upstreams_doubted",
                "Upstreams that are more likely grey than not, or dead.",
                &["state"],
            ),
            hedges_sent: gauges(
                "hedges_sent",
                "Extra sends since this replica leads.",
                &["service"],
            ),
            announcements_refused: registry.gauge(
                "announcements_refused",
                "Announcements of upstreams that are not used, since this replica leads.",
            ),
            upstreams_reinstated: registry.gauge(
                "upstreams_reinstated",
                "Upstreams that were used again as they went on announcing themselves, since this replica leads.",
            ),
            hedges_left: gauges("hedges_left", "Extra sends that may be made.", &["service"]),
            registry,
        }
    }

    /// Returns the gauges as text; `state` is that of the leader, if this replica leads.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn text(&self, state: Option<&State>, now: Instant) -> String {
        self.leading.set(f64::from(u8::from(state.is_some())));
        for gauges in [
            &self.queued,
            &self.refused,
            &self.retries_left,
            &self.retries_spent,
            &self.retries_withheld,
            &self.upstreams,
            &self.hedges_sent,
            &self.hedges_left,
        ] {
            gauges.clear();
        }
        let admitted = state.map(State::admitted).unwrap_or_default();
        self.announcements_refused.set(admitted.refused as f64);
        self.upstreams_reinstated.set(admitted.reinstated as f64);
        if let Some(state) = state {
            self.update(state, now);
        }
        self.registry.text()
    }

    #[allow(clippy::cast_precision_loss)]
    fn update(&self, state: &State, now: Instant) {
        let dispatcher = state.dispatcher();
        for (service, queues) in dispatcher.queues() {
            for (priority, waiting) in queues {
                let priority = priority.to_string();
                let set = |prospect, count: usize| {
                    self.queued
                        .set(&[service, &priority, prospect], count as f64);
                };
                set("timely", waiting.timely);
                set("late", waiting.late);
            }
        }
        let refusals = state.refusals();
        for (time, counts) in [("early", &refusals.early), ("late", &refusals.late)] {
            for (reason, count) in counts {
                self.refused.set(&[reason, time], *count as f64);
            }
        }
        for (service, left) in dispatcher.retries_left() {
            self.retries_left.set(&[service], left);
        }
        for (service, spent) in dispatcher.retries_spent() {
            self.retries_spent.set(&[service], spent as f64);
        }
        for (service, withheld) in dispatcher.retries_withheld() {
            for (priority, count) in withheld {
                let priority = priority.to_string();
                self.retries_withheld
                    .set(&[service, &priority], *count as f64);
            }
        }
        let suspects = dispatcher.suspects(now).len();
        self.upstreams.set(&["suspect"], suspects as f64);
        let dead = dispatcher.dead_upstreams(now);
        self.upstreams.set(&["dead"], dead as f64);
        for (service, counts, left) in dispatcher.hedges() {
            self.hedges_sent.set(&[service], counts.sent as f64);
            self.hedges_left.set(&[service], left);
        }
    }
}

impl Default for Meters {
    fn default() -> Self {
        Self::new()
    }
}

/// Serves the gauges of a replica.
pub struct Exporter {
    service: Rc<Service>,
    meters: Meters,
}

impl Exporter {
    /// Creates the handler of a replica.
    #[must_use]
    pub fn new(service: Rc<Service>) -> Self {
        Self {
            service,
            meters: Meters::new(),
        }
    }
}

impl Handler for Exporter {
    async fn handle(self: Rc<Self>, _request: Request<Incoming>) -> Response<Body> {
        let text = self.service.metrics(&self.meters);
        http::answer(200, "text/plain; version=0.0.4", text)
    }
}
