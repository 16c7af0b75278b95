//! Scenarios: a topology, a load, timed faults and expectations, written in a small language.
//!
//! One statement stands on a line; `#` starts a comment:
//!
//! ```
//! use pb_lab::scenario::Scenario;
//!
//! let text = "
//!     hosts 8 in 4 zones
//!     control 3
//!     service herd upstreams 6 slots 3 work 20ms floor 70%
//!     tenant clinic rate 100/s burst 50 sends 40/s to herd
//!     at 3s slow herd-0 by 300ms   # grey from here on
//!     at 6s heal herd-0
//!     run 8s
//!     expect detection <= 1s
//! ";
//! let scenario = Scenario::try_from(text).unwrap();
//! assert_eq!(scenario.hosts, 8);
//! assert_eq!(scenario.events.len(), 2);
//! ```

mod parse;

use std::fmt;
use std::time::Duration;

use crate::upstream::Fault;

/// Everything that a run needs to know.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Entry hosts.
    pub hosts: usize,
    /// Zones that hosts and upstreams are spread over.
    pub zones: usize,
    /// Control replicas.
    pub control: usize,
    /// Services.
    pub services: Vec<Service>,
    /// Tenants with their load.
    pub tenants: Vec<Tenant>,
    /// Faults and orders by time.
    pub events: Vec<Event>,
    /// Time of load.
    pub length: Duration,
    /// Bounds that a run is held to.
    pub expectations: Vec<Expectation>,
}

/// One service with its stand-in upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; its upstreams are called by it with a number.
    pub name: String,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: usize,
    /// Mean time that a request takes.
    pub work: Duration,
    /// Share of the capacity that ejection must leave in use.
    pub floor: f64,
}

/// One tenant with its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Rate per second over the whole fleet.
    pub rate: f64,
    /// Burst over the whole fleet.
    pub burst: u32,
    /// Requests that it sends per second.
    pub sends: f64,
    /// Service that it sends to.
    pub service: String,
    /// Whether it sends to the non-idempotent route.
    pub non_idempotent: bool,
}

/// Something that happens during a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time from the start of the load.
    pub at: Duration,
    /// What happens.
    pub action: Action,
}

/// What can happen during a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An upstream gets a fault, or loses it.
    Fault(String, Fault),
    /// Open connections to an upstream go silent; new ones work.
    Silence(String),
    /// An upstream announces that it drains and leaves.
    Leave(String),
    /// An operator drains an upstream.
    Drain(String),
    /// A host or replica is killed.
    Kill(String),
    /// A host or replica is asked to stop.
    Stop(String),
    /// A host or replica that ended starts again.
    Start(String),
    /// A host or replica is frozen.
    Freeze(String),
    /// A frozen host or replica goes on.
    Thaw(String),
    /// A host or replica loses its links to control: to the other replicas, for a replica.
    Cut(String),
    /// A host or replica gets its links back.
    Join(String),
    /// The key of a tenant is withdrawn.
    Withdraw(String),
    /// Operators publish the services again, two at once against one revision.
    Race,
}

/// A measured figure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// Time from a fault to the ejection, the worst over all faults, in milliseconds.
    Detection,
    /// Healthy upstreams that were ejected.
    FalseEjections,
    /// Share of whole answers of the worst tenant within its rate, in percent.
    WorstTenant,
    /// Share of requests with a whole answer, in percent.
    Complete,
    /// Requests refused though within their tenant's rate.
    WrongfulRefusals,
    /// Requests that may have run and got no whole answer.
    Unknown,
    /// Median latency beyond the upstream's own, in milliseconds.
    AddedMedian,
    /// 99th percentile of the latency beyond the upstream's own, in milliseconds.
    AddedHigh,
    /// Time from a withdrawal to the last request served with the key, in milliseconds.
    Withdrawal,
    /// Time from a drain to the last new request at the upstream, in milliseconds.
    Draining,
    /// Connections cut by a planned stop.
    CutRequests,
}

impl Measure {
    /// Every measure with its word.
    pub const ALL: [(Self, &'static str); 11] = [
        (Self::Detection, "detection"),
        (Self::FalseEjections, "false_ejections"),
        (Self::WorstTenant, "worst_tenant"),
        (Self::Complete, "complete"),
        (Self::WrongfulRefusals, "wrongful_refusals"),
        (Self::Unknown, "unknown"),
        (Self::AddedMedian, "added_p50"),
        (Self::AddedHigh, "added_p99"),
        (Self::Withdrawal, "withdrawal"),
        (Self::Draining, "draining"),
        (Self::CutRequests, "cut_requests"),
    ];

    /// Returns the word of the measure.
    #[must_use]
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(measure, _)| *measure == self);
        found.map_or("", |(_, name)| name)
    }
}

/// A bound on a measure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// The measure.
    pub measure: Measure,
    /// Whether the figure must not be above the bound; otherwise not below it.
    pub at_most: bool,
    /// The bound, in the unit of the measure.
    pub bound: f64,
}

impl Expectation {
    /// Returns whether a figure keeps the bound; a figure that is missing does not.
    #[must_use]
    pub fn holds(&self, figure: Option<f64>) -> bool {
        match figure {
            Some(figure) if self.at_most => figure <= self.bound,
            Some(figure) => figure >= self.bound,
            None => false,
        }
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let relation = if self.at_most { "<=" } else { ">=" };
        write!(
            formatter,
            "{} {relation} {}",
            self.measure.name(),
            self.bound
        )
    }
}

/// A line that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line, from 1; 0 for the scenario as a whole.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for Error {}

impl TryFrom<&str> for Scenario {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        parse::scenario(text)
    }
}
