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

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Number of proxy hosts.
    pub hosts: usize,
    /// Number of zones that hosts and upstreams are spread over.
    pub zones: usize,
    /// Number of control replicas.
    pub control: usize,
    /// Services.
    pub services: Vec<Service>,
    /// Tenants with their load.
    pub tenants: Vec<Tenant>,
    /// Faults and operations, sorted by time.
    pub events: Vec<Event>,
    /// Time for which the tenants send requests.
    pub length: Duration,
    /// Bounds on the figures of a run.
    pub expectations: Vec<Expectation>,
}

/// One service with its stand-in upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; upstreams are named `<service>-<number>`.
    pub name: String,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: usize,
    /// Mean time that an upstream takes for a request.
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
    /// Requests that the tenant sends per second.
    pub sends: f64,
    /// Service that the tenant sends requests to.
    pub service: String,
    /// Whether the requests go to the non-idempotent route.
    pub non_idempotent: bool,
}

/// An action at a given time of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time from the start of the load.
    pub at: Duration,
    /// Fault or operation.
    pub action: Action,
}

/// A fault or operation of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An upstream is given a fault, or its fault is removed.
    Fault(String, Fault),
    /// Open connections to an upstream drop all bytes; new connections work.
    Silence(String),
    /// An upstream announces that it is draining and then leaves.
    Leave(String),
    /// An operator drains an upstream.
    Drain(String),
    /// A host or replica is killed.
    Kill(String),
    /// A host or replica is asked to stop.
    Stop(String),
    /// A host or replica that has ended is started again.
    Start(String),
    /// A host or replica is frozen.
    Freeze(String),
    /// A frozen host or replica is resumed.
    Thaw(String),
    /// A host's links to the control replicas drop all bytes.
    Cut(String),
    /// A host's links to the control replicas work again.
    Join(String),
    /// The key of a tenant is withdrawn.
    Withdraw(String),
    /// Two operators publish the services concurrently against one revision.
    Race,
}

/// A figure that is measured in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// Time from a fault to the ejection, the worst over all faults, in milliseconds.
    Detection,
    /// Healthy upstreams that were ejected.
    FalseEjections,
    /// Lowest share of complete answers of a tenant within its rate, in percent.
    WorstTenant,
    /// Share of requests with a complete answer, over all tenants within their rate, in percent.
    Complete,
    /// Requests refused although their tenant was within its rate.
    WrongfulRefusals,
    /// Requests that may have run but got no complete answer.
    Unknown,
    /// Median of the latency added to the upstream's own, in milliseconds.
    AddedMedian,
    /// 99th percentile of the latency added to the upstream's own, in milliseconds.
    AddedHigh,
    /// Time from the withdrawal of a key to the last request sent with it that was served, in
    /// milliseconds.
    Withdrawal,
    /// Time from a drain to the last new request at the upstream, in milliseconds.
    Draining,
    /// Connections cut by a planned stop.
    CutRequests,
}

impl Measure {
    /// Every measure with its name.
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

    /// Returns the name of the measure in scenario files and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(measure, _)| *measure == self);
        found.map_or("", |(_, name)| name)
    }
}

/// A bound on a measure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// Measure that is bounded.
    pub measure: Measure,
    /// Whether the bound is an upper bound; otherwise it is a lower bound.
    pub at_most: bool,
    /// Bound in the unit of the measure.
    pub bound: f64,
}

impl Expectation {
    /// Returns whether a figure is within the bound; a missing figure is not.
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

/// An error in a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line number from 1, or 0 for the scenario as a whole.
    pub line: usize,
    /// Description of the error.
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
