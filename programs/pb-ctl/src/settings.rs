//! Settings of `pb-ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;

use persimmonbend_app::secret;
use persimmonbend_core::fault::Faults;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    operator: String,
    control: Vec<String>,
    #[serde(default)]
    proxies: Vec<String>,
    #[serde(default)]
    secret_file: Option<PathBuf>,
}

/// Valid settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the operator, recorded with each change.
    pub operator: String,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Peer addresses of proxies.
    pub proxies: Vec<SocketAddr>,
    /// Secret shared by all processes of the fleet; the open one if the fleet has none.
    pub secret: Secret,
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        faults.require(!file.operator.is_empty(), "operator", "must not be empty");
        faults.require(
            !file.control.is_empty(),
            "control",
            "must name at least one replica",
        );
        let control = faults.addresses(&file.control, "control");
        let proxies = faults.addresses(&file.proxies, "proxies");
        let secret = match &file.secret_file {
            Some(path) => secret::read(&mut faults, "secret_file", path).map(Secret::from),
            None => Some(Secret::open()),
        };
        let settings = secret.map(|secret| Self {
            operator: file.operator,
            control,
            proxies,
            secret,
        });
        faults.into_result(settings)
    }
}
