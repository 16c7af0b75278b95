//! Answers the questions of operators where a request would go now and why.
//!
//! Only the leader answers, from the state by which it places requests. Nothing is sent to an upstream,
//! written to the log or changed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use capnp::capability::Rc as Server;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::dispatch::explain::Unknown;
use persimmonbend_core::explain::Query;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::fleet_capnp::peer;
use serde_json::Value;
use serde_json::json;
use tracing::info;

use crate::dispatch::Service;
use crate::error::Error;
use crate::node::Node;

/// Why a question is not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// This replica does not lead.
    NotLeader,
    /// The question names something that is not known.
    Unknown(Unknown),
}

/// Answers questions on a replica.
pub struct Explainer {
    node: Rc<Node>,
    dispatch: Rc<Service>,
    /// Zones of the settings.
    zones: BTreeSet<Zone>,
}

impl Explainer {
    /// Creates the explainer of a replica; `zones` are those that operators may name beside the zones of the
    /// upstreams.
    #[must_use]
    pub const fn new(node: Rc<Node>, dispatch: Rc<Service>, zones: BTreeSet<Zone>) -> Self {
        Self {
            node,
            dispatch,
            zones,
        }
    }

    /// Returns the explanation as JSON: all of it under `explanation`, and a summary as a list of lines.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::NotLeader`] on a replica that does not lead, and the first name that is not known.
    pub fn answer(&self, question: &Question) -> Result<Value, Fault> {
        if let Some(zone) = &question.zone {
            self.check_zone(zone).map_err(Fault::Unknown)?;
        }
        let found = self.dispatch.explain(question).ok_or(Fault::NotLeader)?;
        let mut explanation = found.map_err(Fault::Unknown)?;
        explanation.set_names(&self.names());
        info!(route = question.route, "placement_explained");
        let lines = explanation.lines();
        Ok(json!({ "explanation": explanation, "lines": lines }))
    }

    /// Checks that a zone is one of the settings, of an upstream, or evacuated.
    ///
    /// # Errors
    ///
    /// Returns the zone with the known ones.
    pub fn check_zone(&self, zone: &str) -> Result<(), Unknown> {
        let known = self.node.read(|machine| {
            let roster = machine.roster();
            let known = self.zones.iter().chain(roster.zones());
            let known = known.chain(roster.evacuations().zones());
            known.cloned().collect::<BTreeSet<Zone>>()
        });
        if known.contains(zone) {
            return Ok(());
        }
        Err(Unknown::new("zone", zone, &known))
    }

    /// Returns the capability by which operators ask over a link.
    #[must_use]
    pub fn client(self: &Rc<Self>) -> peer::Client {
        capnp_rpc::new_client(Desk(Rc::clone(self)))
    }

    fn names(&self) -> BTreeMap<Number, UpstreamId> {
        self.node.read(|machine| {
            let entries = machine.roster().entries();
            let named = entries.map(|entry| (entry.number, entry.announcement.id));
            named.collect()
        })
    }
}

/// Serves the one call of the interface of proxies that control answers too.
struct Desk(Rc<Explainer>);

impl peer::Server for Desk {
    async fn explain(
        self: Server<Self>,
        params: peer::ExplainParams,
        mut results: peer::ExplainResults,
    ) -> Result<(), capnp::Error> {
        let query = params.get()?.get_query()?;
        let query = serde_json::from_slice(query)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let Query::Placement(question) = query else {
            let reason = "control explains placements only; ask a proxy";
            return Err(capnp::Error::failed(reason.to_owned()));
        };
        let report = match self.0.answer(&question) {
            Ok(report) => report,
            Err(Fault::Unknown(unknown)) => json!({ "error": unknown.to_string() }),
            Err(Fault::NotLeader) => {
                return Err(Error::NotLeader(self.0.node.leader_hint()).into());
            }
        };
        results.get().set_report(report.to_string().as_bytes());
        Ok(())
    }
}
