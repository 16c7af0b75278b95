//! Settings of a control replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use persimmonbend_app::secret;
use persimmonbend_core::fault::Faults;
use persimmonbend_core::id::HostId;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

const DEFAULT_SEATS: u32 = 64;

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
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        faults.require(!file.host.is_empty(), "host", "must not be empty");
        faults.require(file.seats != Some(0), "seats", "must be at least 1");
        let listen = faults.address(&file.listen, "listen");
        let secret = secret::read(&mut faults, "secret_file", &file.secret_file);
        let settings = listen.zip(secret).map(|(listen, secret)| Self {
            host: file.host,
            listen,
            data: file.data,
            secret: Secret::from(secret),
            seats: file.seats.unwrap_or(DEFAULT_SEATS),
        });
        faults.into_result(settings)
    }
}
