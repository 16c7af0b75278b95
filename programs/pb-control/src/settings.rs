//! Settings of a control replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use persimmonbend_app::secret;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::fault::Faults;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::roster::admission::Bounds;
use persimmonbend_replica::settings::Limits;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

/// Number of seats where the settings name none.
const DEFAULT_SEATS: u32 = 64;

/// Placement policy without settings of an operator: the retry budget equals that of the proxies,
/// and the silence is three missed announcements of upstreams that announce themselves every 2 s.
const DEFAULT_POLICY: Policy = Policy {
    retries: Retries {
        ratio: 0.1,
        burst: 20.0,
    },
    max_silence: Duration::from_secs(6),
    contact: Duration::from_secs(3),
    initial_balance: Balance::Share(0.5),
    is_first_dispatcher: false,
    floor: 0.7,
    hedge_share: None,
};

/// Most control replicas in the settings.
const MAX_REPLICAS: usize = 16;

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    host: String,
    #[serde(default)]
    zone: Option<Zone>,
    listen: String,
    data: PathBuf,
    secret_file: PathBuf,
    #[serde(default)]
    seats: Option<u32>,
    #[serde(default)]
    replicas: Vec<ReplicaFile>,
}

/// A control replica as written in the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaFile {
    host: String,
    address: String,
}

/// A control replica of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Host that runs the replica.
    pub host: HostId,
    /// Address at which the other replicas reach it.
    pub address: SocketAddr,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone of this host, if it is known; hosts of the zone take the publication and
    /// the upstreams from this replica.
    pub zone: Option<Zone>,
    /// Address for proxies, operators and other replicas.
    pub listen: SocketAddr,
    /// Data folder of this replica.
    pub data: PathBuf,
    /// Fleet secret.
    pub secret: Secret,
    /// Most proxies that keep a share of each rate while they are cut off from control; the first
    /// seat that is committed fixes the number for the fleet.
    pub seats: u32,
    /// All control replicas including this one; empty for a single replica.
    pub replicas: Vec<Replica>,
    /// Whether this replica may bootstrap a new log with the others.
    pub may_bootstrap: bool,
    /// Number of voters that the leader maintains by changing members itself; `None` leaves such
    /// changes to operators.
    pub voters: Option<usize>,
    /// Policy by which the dispatcher places requests.
    pub policy: Policy,
    /// How far the calls of upstreams can be trusted to arrive in order.
    pub announcements: Bounds,
    /// Availability zones that operators may name, beside those of the upstreams.
    pub zones: BTreeSet<Zone>,
    /// Intervals and limits of the replication protocol.
    pub limits: Limits,
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        faults.require(!file.host.is_empty(), "host", "must not be empty");
        faults.require(file.seats != Some(0), "seats", "must be at least 1");
        let listen = faults.address(&file.listen, "listen");
        let secret = secret::read(&mut faults, "secret_file", &file.secret_file);
        let replicas = check_replicas(&mut faults, &file.host, &file.replicas);
        let settings = listen.zip(secret).map(|(listen, secret)| Self {
            host: file.host,
            zone: file.zone,
            listen,
            data: file.data,
            secret: Secret::from(secret),
            seats: file.seats.unwrap_or(DEFAULT_SEATS),
            replicas,
            may_bootstrap: true,
            voters: None,
            policy: DEFAULT_POLICY,
            announcements: Bounds::default(),
            zones: BTreeSet::new(),
            limits: Limits::default(),
        });
        faults.into_result(settings)
    }
}

fn check_replicas(faults: &mut Faults, own: &str, files: &[ReplicaFile]) -> Vec<Replica> {
    let mut hosts = BTreeSet::new();
    let mut replicas = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let host = format!("replicas[{index}].host");
        faults.require(!file.host.is_empty(), &host, "must not be empty");
        faults.require(hosts.insert(&file.host), &host, "is listed twice");
        let address = faults.address(&file.address, &format!("replicas[{index}].address"));
        replicas.extend(address.map(|address| Replica {
            host: file.host.clone(),
            address,
        }));
    }
    let names_itself = files.is_empty() || files.iter().any(|file| file.host == own);
    faults.require(names_itself, "replicas", "must include this host");
    let is_within_limit = files.len() <= MAX_REPLICAS;
    faults.require(is_within_limit, "replicas", "names more than 16 replicas");
    replicas
}
