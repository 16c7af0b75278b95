//! Keys of clients; the fleet stores and sends only their digests.
//!
//! [`Secret`] is a key in clear text, shown once to an operator; [`Digest`] is its digest.
//!
//! ```
//! use persimmonbend_core::key::Secret;
//!
//! let secret = Secret::generate(&mut rand::rng());
//! let parsed = Secret::try_from(secret.reveal().as_str()).unwrap();
//! assert_eq!(parsed.digest(), secret.digest());
//! ```

use std::fmt;

use rand::CryptoRng;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Prefix of every key.
pub const PREFIX: &str = "pbk_";

/// Length of the random part of a key in bytes.
const SECRET_BYTES: usize = 32;

/// A client's key in clear text.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; SECRET_BYTES]);

impl Secret {
    /// Creates a random key from a cryptographic generator.
    #[must_use]
    pub fn generate<R: CryptoRng>(rng: &mut R) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Returns the key as the text that a client sends.
    #[must_use]
    pub fn reveal(&self) -> String {
        format!("{PREFIX}{}", hex::encode(self.0))
    }

    /// Returns the digest of the key.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest(Sha256::digest(self.0).into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl TryFrom<&str> for Secret {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let digits = text.strip_prefix(PREFIX).ok_or(Malformed)?;
        let mut bytes = [0; SECRET_BYTES];
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| Malformed)?;
        Ok(Self(bytes))
    }
}

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key that was not made by [`Secret`].
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first eight hexadecimal digits, which tell keys apart in a list.
    #[must_use]
    pub fn short(&self) -> String {
        hex::encode(&self.0[..4])
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({})", self.short())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes).map_err(|_| Malformed)?;
        Ok(Self(bytes))
    }
}

/// An error for text that is neither a key nor a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a key or a digest of a key")
    }
}

impl std::error::Error for Malformed {}
