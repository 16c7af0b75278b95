//! Settings of a proxy, read from its settings file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use persimmonbend_app::secret;
use persimmonbend_core::fault::Faults;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

const DEFAULT_BODY_MAX_BYTES: usize = 1024 * 1024;
const DEFAULT_ANSWER_HOLD_BYTES: usize = 256 * 1024;
const DEFAULT_STOP_NOTICE_MS: u64 = 5_000;
const DEFAULT_ISOLATION_MS: u64 = 5_000;
const MIN_ISOLATION_MS: u64 = 1_000;
const DEFAULT_CONNECTIONS: u32 = 7;
const DEFAULT_STEWARD_TIMEOUT_MS: u64 = 4;

/// How a proxy chooses an upstream for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The steward of the service chooses; a host that cannot reach the steward chooses as with
    /// [`Routing::TwoChoices`].
    #[default]
    Steward,
    /// The less busy of two random upstreams, by this host's own counts.
    TwoChoices,
    /// A random upstream, each with the same probability.
    Uniform,
}

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    host: String,
    zone: String,
    callers: String,
    platform: String,
    peers: String,
    control: Vec<String>,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    advertise_peers: Option<String>,
    secret_file: PathBuf,
    #[serde(default)]
    body_max_bytes: Option<usize>,
    #[serde(default)]
    answer_hold_bytes: Option<usize>,
    #[serde(default)]
    stop_notice_ms: Option<u64>,
    #[serde(default)]
    isolation_ms: Option<u64>,
    #[serde(default)]
    connections: Option<u32>,
    #[serde(default)]
    routing: Routing,
    #[serde(default)]
    steward_timeout_ms: Option<u64>,
    #[serde(default)]
    metrics: Option<String>,
}

/// The settings after validation.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Zone that this host runs in.
    pub zone: Zone,
    /// Address for the requests of clients.
    pub callers: SocketAddr,
    /// Address for announcements of upstreams and health checks of the platform.
    pub platform: SocketAddr,
    /// Address for other proxies and operators' tools.
    pub peers: SocketAddr,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Addresses of other proxies that a starting proxy contacts.
    pub seeds: Vec<SocketAddr>,
    /// Address at which other hosts reach `peers`, if it differs from the bound one.
    pub advertise_peers: Option<SocketAddr>,
    /// Secret that all processes of the fleet share.
    pub secret: Secret,
    /// Largest request body in bytes.
    pub body_max_bytes: usize,
    /// Bytes of a response that are buffered before any are sent to the client, so that a failure
    /// within them can be retried or reported.
    pub answer_hold_bytes: usize,
    /// Time between a requested stop and the closing of the client port.
    pub stop_notice: Duration,
    /// Time with contact to neither control nor most of the fleet after which requests with a key
    /// are refused.
    pub isolation: Duration,
    /// Number of connections to one upstream, idle and in use, beyond which idle ones are closed
    /// to make room for a new one.
    pub connections_max: u32,
    /// How upstreams are chosen.
    pub routing: Routing,
    /// Time within which a steward must first answer a slot request.
    pub steward_timeout: Duration,
    /// Address that metrics are sent to, if any.
    pub metrics: Option<SocketAddr>,
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        faults.require(!file.host.is_empty(), "host", "must not be empty");
        faults.require(!file.zone.is_empty(), "zone", "must not be empty");
        faults.require(
            !file.control.is_empty(),
            "control",
            "must name at least one replica",
        );
        faults.require(
            file.connections != Some(0),
            "connections",
            "must be at least 1",
        );
        let callers = faults.address(&file.callers, "callers");
        let platform = faults.address(&file.platform, "platform");
        let peers = faults.address(&file.peers, "peers");
        let control = faults.addresses(&file.control, "control");
        let seeds = faults.addresses(&file.seeds, "seeds");
        let advertise_peers = file.advertise_peers.as_deref();
        let advertise_peers =
            advertise_peers.and_then(|text| faults.address(text, "advertise_peers"));
        let isolation_ms = file.isolation_ms.unwrap_or(DEFAULT_ISOLATION_MS);
        faults.require(
            isolation_ms >= MIN_ISOLATION_MS,
            "isolation_ms",
            "must be at least 1000",
        );
        let metrics = file.metrics.as_deref();
        let metrics = metrics.and_then(|text| faults.address(text, "metrics"));
        let secret = secret::read(&mut faults, "secret_file", &file.secret_file);
        let stop_notice_ms = file.stop_notice_ms.unwrap_or(DEFAULT_STOP_NOTICE_MS);
        let steward_timeout_ms = file
            .steward_timeout_ms
            .unwrap_or(DEFAULT_STEWARD_TIMEOUT_MS);
        let settings = (|| {
            Some(Self {
                host: file.host,
                zone: file.zone,
                callers: callers?,
                platform: platform?,
                peers: peers?,
                control,
                seeds,
                advertise_peers,
                secret: Secret::from(secret?),
                body_max_bytes: file.body_max_bytes.unwrap_or(DEFAULT_BODY_MAX_BYTES),
                answer_hold_bytes: file.answer_hold_bytes.unwrap_or(DEFAULT_ANSWER_HOLD_BYTES),
                stop_notice: Duration::from_millis(stop_notice_ms),
                isolation: Duration::from_millis(isolation_ms),
                connections_max: file.connections.unwrap_or(DEFAULT_CONNECTIONS),
                routing: file.routing,
                steward_timeout: Duration::from_millis(steward_timeout_ms),
                metrics,
            })
        })();
        faults.into_result(settings)
    }
}
