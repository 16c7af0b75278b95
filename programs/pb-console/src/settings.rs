//! Settings of the console.

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
    listen: String,
    control: Vec<String>,
    secret_file: PathBuf,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the page.
    pub listen: SocketAddr,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Fleet secret.
    pub secret: Secret,
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        let listen = faults.address(&file.listen, "listen");
        let control = faults.addresses(&file.control, "control");
        faults.require(
            !file.control.is_empty(),
            "control",
            "must name at least one replica",
        );
        let secret = secret::read(&mut faults, "secret_file", &file.secret_file);
        let settings = listen.zip(secret).map(|(listen, secret)| Self {
            listen,
            control,
            secret: Secret::from(secret),
        });
        faults.into_result(settings)
    }
}
