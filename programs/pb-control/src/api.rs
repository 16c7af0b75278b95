//! HTTP API for operators and upstreams.
//!
//! A [`Dialect`] parses the calls of a platform and formats the answers; [`Api`] performs the calls.
//! Only the leader performs calls. The other replicas redirect callers to the leader while they hear
//! its messages, and answer otherwise that the API is unavailable.

mod bodies;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Machine;
use persimmonbend_core::machine::Published;
use persimmonbend_core::machine::Reply;
use persimmonbend_core::publication::Version;
use persimmonbend_core::roster::Effect;
use persimmonbend_core::roster::admission::Decision;
use persimmonbend_core::upstream::Announcement;
use serde_json::Value;
use tracing::info;
use tracing::warn;

use crate::api::bodies::Bodies;
pub use crate::api::bodies::MAX_LARGE_BYTES;
pub use crate::api::bodies::SMALL_BYTES;
use crate::dispatch::Service;
use crate::error::Error;
use crate::explain;
use crate::explain::Explainer;
use crate::node::Node;

/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Silence of the leader up to which callers are redirected to it.
const MAX_CALL_REDIRECT_SILENCE: Duration = Duration::from_millis(600);

/// A call of the API.
#[derive(Debug)]
pub enum Call {
    /// Puts a publication in force.
    Publish(Box<Published>),
    /// Returns the document of the publication in force.
    Read,
    /// Adds an upstream or updates its state.
    Announce(Announcement),
    /// Removes an upstream that leaves, as its start with this incarnation says, or one that it does not name.
    Deregister(UpstreamId, Option<Incarnation>),
    /// Orders that the upstreams of a zone get no more requests.
    Evacuate(Zone),
    /// Withdraws the order to evacuate a zone.
    Readmit(Zone),
    /// Explains where a request would go now.
    Explain(Question),
}

/// Why a call is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The API has no such call.
    Unknown,
    /// The call cannot be parsed or its content is not valid.
    Invalid(String),
    /// The call is valid, but what is known speaks against it.
    Conflict(String),
}

/// Outcome of a call.
#[derive(Debug)]
pub enum Outcome {
    /// The call was performed; after a publication with the version in force.
    Done(Option<Version>),
    /// The announcement was accepted; the next one should be sent to this address.
    Announced(SocketAddr),
    /// The document of the publication in force.
    Document(String),
    /// The explanation of a placement.
    Explained(Value),
    /// The replica at this address is the leader.
    Redirect(SocketAddr),
    /// No leader is known, the call could not be committed, or nothing was published yet.
    Unavailable,
    /// The call is refused.
    Refused(Fault),
}

/// Translation between the HTTP format of a platform and the calls of this API.
pub trait Dialect: fmt::Debug {
    /// Returns the most bytes that the body of a call with the given head has.
    fn max_body_bytes(&self, head: &Parts) -> usize;

    /// Parses a call.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    fn read(&self, head: &Parts, body: &Bytes) -> Result<Call, Fault>;

    /// Formats the answer to the call with the given head.
    fn write(&self, head: &Parts, outcome: Outcome) -> Response<Body>;
}

/// The handler of calls of operators and upstreams.
pub struct Api {
    node: Rc<Node>,
    dispatch: Rc<Service>,
    dialect: Rc<dyn Dialect>,
    /// Address on which this replica serves the API; all replicas use the same port number.
    address: SocketAddr,
    explainer: Rc<Explainer>,
    bodies: Bodies,
}

impl Api {
    /// Creates the handler of a replica that serves the API on `address`.
    #[must_use]
    pub fn new(
        node: Rc<Node>,
        dispatch: Rc<Service>,
        dialect: Rc<dyn Dialect>,
        address: SocketAddr,
        explainer: Rc<Explainer>,
    ) -> Self {
        Self {
            node,
            dispatch,
            dialect,
            address,
            explainer,
            bodies: Bodies::default(),
        }
    }

    async fn run(&self, head: &Parts, body: Incoming) -> Outcome {
        let limit = self.dialect.max_body_bytes(head);
        let reading = timeout(BODY_TIMEOUT, self.bodies.read(body, limit));
        let body = match reading.await.unwrap_or(Err(bodies::Fault::Unreadable)) {
            Ok(body) => body,
            Err(fault) => {
                warn!(path = head.uri.path(), limit, fault = ?fault, "call_body_refused");
                return match fault {
                    bodies::Fault::NoRoom => Outcome::Unavailable,
                    bodies::Fault::Unreadable => Outcome::Refused(Fault::Invalid(format!(
                        "the body has over {limit} bytes or is incomplete"
                    ))),
                };
            }
        };
        if !self.node.is_leader() {
            return self.redirect();
        }
        match self.dialect.read(head, body.bytes()) {
            Ok(call) => self.perform(call).await,
            Err(fault) => {
                warn!(path = head.uri.path(), fault = ?fault, "call_refused");
                Outcome::Refused(fault)
            }
        }
    }

    async fn perform(&self, call: Call) -> Outcome {
        match call {
            Call::Publish(published) => self.publish(*published).await,
            Call::Read => self.read(),
            Call::Announce(announcement) => self.announce(announcement).await,
            Call::Deregister(id, start) => self.deregister(id, start).await,
            Call::Evacuate(zone) => self.set_evacuated(zone, true).await,
            Call::Readmit(zone) => self.set_evacuated(zone, false).await,
            Call::Explain(question) => self.explain(&question),
        }
    }

    async fn publish(&self, published: Published) -> Outcome {
        let version = published.publication.version;
        if let Err(faults) = published.publication.check() {
            let reason = faults.to_string();
            warn!(version, reason, "publication_refused");
            return Outcome::Refused(Fault::Invalid(reason));
        }
        let known = self.version();
        if version > known {
            let published = Rc::new(published);
            if let Err(outcome) = self.propose(Command::Publish { published }).await {
                return outcome;
            }
        }
        let in_force = self.version();
        if in_force < version {
            warn!(version, known, in_force, "publication_not_in_force");
            return Outcome::Unavailable;
        }
        info!(version, known, in_force, "publication_acknowledged");
        Outcome::Done(in_force)
    }

    fn read(&self) -> Outcome {
        let published = self.node.read(|machine| Rc::clone(machine.published()));
        if published.publication.version.is_none() || !self.node.is_leader() {
            return Outcome::Unavailable;
        }
        Outcome::Document(published.document.clone())
    }

    fn explain(&self, question: &Question) -> Outcome {
        match self.explainer.answer(question) {
            Ok(explanation) => Outcome::Explained(explanation),
            Err(explain::Fault::NotLeader) => self.redirect(),
            Err(explain::Fault::Unknown(unknown)) => {
                Outcome::Refused(Fault::Invalid(unknown.to_string()))
            }
        }
    }

    async fn announce(&self, announcement: Announcement) -> Outcome {
        let proposed = match self.dispatch.receive_announcement(&announcement) {
            Decision::Apply(announcement) => self.propose(Command::Announce { announcement }).await,
            Decision::Reinstate => self.reinstate(&announcement).await,
            Decision::Depart(departure) => return self.note_departure(departure).await,
            decision => return self.answer(&announcement, &decision),
        };
        match proposed {
            Ok(Reply::Registered { changed }) if !changed.is_empty() => {
                Outcome::Announced(self.address)
            }
            // Another command came first in the log.
            Ok(_) => {
                let decision = self.dispatch.receive_announcement(&announcement);
                self.answer(&announcement, &decision)
            }
            Err(outcome) => outcome,
        }
    }

    /// Returns the outcome of an announcement that changes nothing.
    fn answer(&self, announcement: &Announcement, decision: &Decision) -> Outcome {
        match decision {
            Decision::Renew => Outcome::Announced(self.address),
            Decision::Ignore => {
                info!(
                    upstream = %announcement.id,
                    incarnation = announcement.incarnation,
                    sequence = announcement.sequence,
                    "announcement_outdated"
                );
                Outcome::Done(None)
            }
            Decision::Refuse(refusal) => {
                let reason = refusal.as_str();
                warn!(
                    upstream = %announcement.id,
                    incarnation = announcement.incarnation,
                    sequence = announcement.sequence,
                    reason,
                    "announcement_refused"
                );
                let id = &announcement.id;
                Outcome::Refused(Fault::Conflict(format!(
                    "upstream {id} is not used: {refusal}"
                )))
            }
            Decision::Apply(_) | Decision::Reinstate | Decision::Depart(_) => Outcome::Unavailable,
        }
    }

    async fn reinstate(&self, announcement: &Announcement) -> Result<Reply, Outcome> {
        let announcement = announcement.clone();
        let (id, incarnation) = (announcement.id.clone(), announcement.incarnation);
        let reply = self.propose(Command::Reinstate { announcement }).await?;
        warn!(upstream = %id, incarnation, "upstream_reinstated");
        self.dispatch.note_reinstated();
        Ok(reply)
    }

    async fn deregister(&self, id: UpstreamId, start: Option<Incarnation>) -> Outcome {
        if let Err(outcome) = self.forget_surplus_departures().await {
            return outcome;
        }
        let departure = self.dispatch.departure(&id, start);
        self.note_departure(departure).await
    }

    /// Notes a departure in the log.
    async fn note_departure(&self, departure: Announcement) -> Outcome {
        let Announcement {
            id, incarnation, ..
        } = departure.clone();
        let proposed = Command::Announce {
            announcement: departure.clone(),
        };
        if let Err(outcome) = self.propose(proposed).await {
            return outcome;
        }
        let effect = |machine: &Machine| machine.roster().evaluate(&departure);
        if !matches!(self.node.read(effect), Effect::Refused(_)) {
            warn!(upstream = %id, incarnation, "departure_not_noted");
            return Outcome::Unavailable;
        }
        info!(upstream = %id, incarnation, "departure_acknowledged");
        Outcome::Done(None)
    }

    /// Makes room for the departure of an upstream that the roster may not know.
    async fn forget_surplus_departures(&self) -> Result<(), Outcome> {
        let ids = self
            .node
            .read(|machine| machine.roster().surplus_departures());
        let command = Command::ForgetDepartures { ids };
        // Members of an older build keep the departures that come last, whoever sent them.
        let is_due = matches!(&command, Command::ForgetDepartures { ids } if !ids.is_empty());
        if is_due && self.node.all_members_apply(command.level()) {
            self.propose(command).await?;
        }
        Ok(())
    }

    /// Evacuates a zone or takes it back. Orders take effect in the sequence of the log, also repeated ones.
    async fn set_evacuated(&self, zone: Zone, is_evacuated: bool) -> Outcome {
        if let Err(unknown) = self.explainer.check_zone(&zone) {
            let reason = unknown.to_string();
            warn!(zone, reason, "evacuation_refused");
            return Outcome::Refused(Fault::Invalid(reason));
        }
        let command = if is_evacuated {
            Command::Evacuate { zone: zone.clone() }
        } else {
            Command::Readmit { zone: zone.clone() }
        };
        match self.propose(command).await {
            Ok(_) => {
                info!(zone, is_evacuated, "evacuation_acknowledged");
                Outcome::Done(None)
            }
            Err(outcome) => outcome,
        }
    }

    async fn propose(&self, command: Command) -> Result<Reply, Outcome> {
        match self.node.propose(command).await {
            Ok(reply) => Ok(reply),
            Err(Error::Invalid(reason)) => Err(Outcome::Refused(Fault::Invalid(reason))),
            Err(error) => {
                warn!(error = %error, "order_not_committed");
                Err(Outcome::Unavailable)
            }
        }
    }

    /// Returns the version of the publication in force, `None` before the first one.
    fn version(&self) -> Option<Version> {
        self.node
            .read(|machine| machine.published().publication.version)
    }

    fn redirect(&self) -> Outcome {
        let hint: Option<SocketAddr> = self.node.leader_within(MAX_CALL_REDIRECT_SILENCE);
        hint.map_or(Outcome::Unavailable, |leader| {
            Outcome::Redirect(SocketAddr::new(leader.ip(), self.address.port()))
        })
    }
}

impl Handler for Api {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let outcome = self.run(&head, body).await;
        self.dialect.write(&head, outcome)
    }
}
