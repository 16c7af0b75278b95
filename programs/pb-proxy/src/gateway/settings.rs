//! Settings of a gateway.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::dispatch::Tolerance;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_wire::handshake::Secret;

/// Addresses of control replicas from the settings file, which may change while the proxy runs.
pub type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

/// Validated settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Zone that this host runs in.
    pub zone: Zone,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for the load balancer's readiness checks and the state dump.
    pub checks: SocketAddr,
    /// Address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Address at which this host is a relay or a deputy for hosts that cannot reach the leader.
    pub relay: SocketAddr,
    /// Control replicas that are tried before the leader lists all of them.
    pub seeds: Seeds,
    /// Fleet secret.
    pub secret: Secret,
    /// Time from the stop signal until the process must have ended.
    pub grace: Duration,
    /// Time from the stop signal until the client port and its idle connections are closed.
    pub notice: Duration,
    /// Time within which a host that is cut off, or reached again, has to act on it.
    pub contact: Duration,
    /// Limits of each service's retry budget over the whole fleet.
    pub retries: Retries,
    /// Share of a service's upstreams that stay in use while some of its requests fail.
    pub floor: f64,
    /// Most extra sends of running requests, as a share of the requests to a service whose terms set none;
    /// `None` if only the retry budget limits them.
    pub hedge_share: Option<f64>,
    /// Bytes of answers and request bodies that this host holds at most; `None` if it reads answers no faster
    /// than clients do and counts no bodies.
    pub buffer_bytes: Option<u64>,
    /// Overshoot of tenants' quotas that operators tolerate.
    pub tolerance: Tolerance,
}
