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
use persimmonbend_replica::settings::Limits;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

const DEFAULT_SEATS: u32 = 64;

/// Placing without settings of an operator: repeats as the proxies' own budget, and three missed
/// announcements of upstreams that announce themselves every 2 s.
const DEFAULT_POLICY: Policy = Policy {
    retries: Retries {
        ratio: 0.1,
        burst: 20.0,
    },
    max_silence: Duration::from_secs(6),
    initial_balance: Balance::Share(0.5),
    is_first_dispatcher: false,
    floor: 0.7,
};

/// Most control replicas.
const MAX_REPLICAS: usize = 16;

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    host: String,
    listen: String,
    data: PathBuf,
    secret_file: PathBuf,
    #[serde(default)]
    seats: Option<u32>,
    #[serde(default)]
    replicas: Vec<ReplicaFile>,
}

/// A control replica as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaFile {
    host: String,
    address: String,
}

/// A control replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Its host.
    pub host: HostId,
    /// Address that the other replicas reach it at.
    pub address: SocketAddr,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host: HostId,
    /// Address for proxies, operators and other replicas.
    pub listen: SocketAddr,
    /// Folder of this replica's files.
    pub data: PathBuf,
    /// Fleet secret.
    pub secret: Secret,
    /// Entry hosts that have a share of each rate when they are cut off; fixed by the first one.
    pub seats: u32,
    /// All control replicas, this one among them; none for a single replica.
    pub replicas: Vec<Replica>,
    /// Whether this replica may found a log with the others.
    pub may_bootstrap: bool,
    /// Voters that the leader keeps up by itself; `None` leaves members to operators.
    pub voters: Option<usize>,
    /// How requests are placed.
    pub policy: Policy,
    /// Intervals and bounds of the replicated log.
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
            listen,
            data: file.data,
            secret: Secret::from(secret),
            seats: file.seats.unwrap_or(DEFAULT_SEATS),
            replicas,
            may_bootstrap: true,
            voters: None,
            policy: DEFAULT_POLICY,
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
        faults.require(hosts.insert(&file.host), &host, "comes twice");
        let address = faults.address(&file.address, &format!("replicas[{index}].address"));
        replicas.extend(address.map(|address| Replica {
            host: file.host.clone(),
            address,
        }));
    }
    let names_itself = files.is_empty() || files.iter().any(|file| file.host == own);
    faults.require(names_itself, "replicas", "must name this host too");
    let is_within_limit = files.len() <= MAX_REPLICAS;
    faults.require(is_within_limit, "replicas", "names more than 16 replicas");
    replicas
}
