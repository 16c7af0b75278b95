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

/// Addresses of control replicas to begin with; they may change while the proxy runs.
pub type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Zone that this host runs in.
    pub zone: Zone,
    /// Address for clients.
    pub clients: SocketAddr,
    /// Address for the balancer's checks.
    pub checks: SocketAddr,
    /// Address for counters and histograms, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Address at which links of hosts that cannot reach the leader are relayed.
    pub relay: SocketAddr,
    /// Control replicas to begin with.
    pub seeds: Seeds,
    /// Fleet secret.
    pub secret: Secret,
    /// Time from a stop being asked for until the process must have ended.
    pub grace: Duration,
    /// Time from a stop being asked for until idle connections are closed.
    pub notice: Duration,
    /// Repeats that operators allow for each service over the whole fleet.
    pub retries: Retries,
    /// Share of a service's upstreams that stay in use while some of its requests fail.
    pub floor: f64,
    /// What operators tolerate beyond the quotas of tenants.
    pub tolerance: Tolerance,
}
