//! The settings of the console.

use std::net::SocketAddr;
use std::path::PathBuf;

use persimmonbend_app::secret;
use persimmonbend_app::token::Digest;
use persimmonbend_core::fault::Faults;
use persimmonbend_wire::handshake::Secret;
use serde::Deserialize;

/// The settings file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    listen: String,
    control: Vec<String>,
    #[serde(default)]
    proxies: Vec<String>,
    secret_file: PathBuf,
    operators: Vec<FileOperator>,
    #[serde(default)]
    secure_cookie: bool,
}

/// An operator as written in the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FileOperator {
    name: String,
    token_digest: String,
}

/// An operator who may sign in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name under which the operator's changes are recorded.
    pub name: String,
    /// Digest of the token that the operator signs in with.
    pub token: Digest,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Peer addresses of proxies.
    pub proxies: Vec<SocketAddr>,
    /// Secret with which the console authenticates to the fleet.
    pub secret: Secret,
    /// Operators who may sign in.
    pub operators: Vec<Operator>,
    /// Whether browsers send the cookie of the session over TLS only.
    pub secure_cookie: bool,
}

impl TryFrom<File> for Settings {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        let listen = faults.address(&file.listen, "listen");
        let control = faults.addresses(&file.control, "control");
        let proxies = faults.addresses(&file.proxies, "proxies");
        faults.require(
            !file.control.is_empty(),
            "control",
            "must name at least one replica",
        );
        let operators = operators(&mut faults, &file.operators);
        let secret = secret::read(&mut faults, "secret_file", &file.secret_file);
        let settings = listen.zip(secret).map(|(listen, secret)| Self {
            listen,
            control,
            proxies,
            secret: Secret::from(secret),
            operators,
            secure_cookie: file.secure_cookie,
        });
        faults.into_result(settings)
    }
}

fn operators(faults: &mut Faults, files: &[FileOperator]) -> Vec<Operator> {
    faults.require(
        !files.is_empty(),
        "operators",
        "must name at least one operator",
    );
    let mut operators: Vec<Operator> = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let field = format!("operators[{index}].name");
        faults.require(!file.name.is_empty(), &field, "must not be empty");
        let again = operators.iter().any(|one| one.name == file.name);
        faults.require(
            !again,
            &field,
            "must differ from the names of the other operators",
        );
        let field = format!("operators[{index}].token_digest");
        let reason = "must be the 64 hexadecimal digits that pb-ctl token prints as the digest";
        if let Some(token) = faults.parse(&file.token_digest, &field, reason) {
            let name = file.name.clone();
            operators.push(Operator { name, token });
        }
    }
    operators
}
