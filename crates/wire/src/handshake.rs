//! Mutual proof of the fleet secret at the start of every connection.
//!
//! The client sends a hello with a nonce, the server answers with a nonce and a proof, and the
//! client sends a proof. A proof is an HMAC of role, purpose and both nonces under the fleet
//! secret.
//!
//! The messages have fixed lengths and precede all other bytes, so that an unauthenticated client
//! can make a process read no more than [`CLIENT_HELLO_BYTES`] and one proof.

use std::fmt;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncReadExt;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::timeout;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::RngExt;
use sha2::Sha256;

use crate::error::Error;
use crate::meter;

/// Time that one side allows for the whole handshake.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Length in bytes of the first message: magic bytes, purpose and nonce.
pub const CLIENT_HELLO_BYTES: usize = MAGIC.len() + 1 + NONCE_BYTES;

const MAGIC: &[u8; 7] = b"pbend/1";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

/// Use of a connection after the handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Remote procedure calls.
    Rpc,
    /// Frames of the slot protocol.
    Slots,
    /// Frames between hosts and the dispatcher.
    Dispatch,
    /// HTTP requests that a host sends to upstreams for another host.
    Detour,
}

impl Purpose {
    const fn code(self) -> u8 {
        match self {
            Self::Rpc => 0,
            Self::Slots => 1,
            Self::Dispatch => 2,
            Self::Detour => 3,
        }
    }
}

impl TryFrom<u8> for Purpose {
    type Error = Error;

    fn try_from(code: u8) -> Result<Self, Self::Error> {
        match code {
            0 => Ok(Self::Rpc),
            1 => Ok(Self::Slots),
            2 => Ok(Self::Dispatch),
            3 => Ok(Self::Detour),
            other => Err(Error::Malformed(format!("unknown purpose {other}"))),
        }
    }
}

/// The secret that the processes of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    fn proof(&self, role: &[u8], purpose: Purpose, client: &[u8], server: &[u8]) -> Hmac<Sha256> {
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(self.0.as_bytes()) else {
            unreachable!("a MAC takes keys of any length")
        };
        mac.update(role);
        mac.update(&[purpose.code()]);
        mac.update(client);
        mac.update(server);
        mac
    }
}

impl Secret {
    /// Returns the empty secret, with which every process that can connect is trusted.
    #[must_use]
    pub const fn open() -> Self {
        Self(String::new())
    }

    /// Returns whether every process that can connect is trusted.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

/// Proves the secret to a server and checks the server's proof.
///
/// # Errors
///
/// Returns [`Error::Unauthenticated`] when the server's proof is wrong, [`Error::Timeout`] when
/// the handshake takes longer than [`TIMEOUT`], and [`Error::Io`] when the connection is lost.
pub async fn connect(
    stream: &mut TcpStream,
    secret: &Secret,
    purpose: Purpose,
) -> Result<(), Error> {
    let exchange = prove_as_client(stream, secret, purpose);
    timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| Error::Timeout)?
}

/// Proves the secret to a client, checks the client's proof and returns the purpose of the
/// connection.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the first message is not a hello, otherwise the errors of
/// [`connect`].
pub async fn accept(stream: &mut TcpStream, secret: &Secret) -> Result<Purpose, Error> {
    let exchange = prove_as_server(stream, secret);
    timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| Error::Timeout)?
}

async fn prove_as_client(
    stream: &mut TcpStream,
    secret: &Secret,
    purpose: Purpose,
) -> Result<(), Error> {
    let client: [u8; NONCE_BYTES] = rand::rng().random();
    let mut client_hello = MAGIC.to_vec();
    client_hello.push(purpose.code());
    client_hello.extend_from_slice(&client);
    write(stream, client_hello).await?;
    let reply = read(stream, NONCE_BYTES + PROOF_BYTES).await?;
    let (server, proof) = reply.split_at(NONCE_BYTES);
    let expected = secret.proof(b"server", purpose, &client, server);
    expected
        .verify_slice(proof)
        .map_err(|_| Error::Unauthenticated)?;
    let own = secret.proof(b"client", purpose, &client, server);
    write(stream, own.finalize().into_bytes().to_vec()).await
}

async fn prove_as_server(stream: &mut TcpStream, secret: &Secret) -> Result<Purpose, Error> {
    let client_hello = read(stream, CLIENT_HELLO_BYTES).await?;
    let (magic, rest) = client_hello.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(Error::Malformed(
            "the first message has wrong magic bytes".to_owned(),
        ));
    }
    let purpose = Purpose::try_from(rest[0])?;
    let client = &rest[1..];
    let server: [u8; NONCE_BYTES] = rand::rng().random();
    let own = secret.proof(b"server", purpose, client, &server);
    let mut reply = server.to_vec();
    reply.extend_from_slice(&own.finalize().into_bytes());
    write(stream, reply).await?;
    let proof = read(stream, PROOF_BYTES).await?;
    let expected = secret.proof(b"client", purpose, client, &server);
    expected
        .verify_slice(&proof)
        .map_err(|_| Error::Unauthenticated)?;
    Ok(purpose)
}

async fn write(stream: &mut TcpStream, bytes: Vec<u8>) -> Result<(), Error> {
    meter::add_sent(bytes.len());
    let BufResult(result, _) = stream.write_all(bytes).await;
    result.map_err(Error::Io)
}

async fn read(stream: &mut TcpStream, length: usize) -> Result<Vec<u8>, Error> {
    let BufResult(result, bytes) = stream.read_exact(Vec::with_capacity(length)).await;
    result.map_err(Error::Io)?;
    meter::add_received(length);
    Ok(bytes)
}
