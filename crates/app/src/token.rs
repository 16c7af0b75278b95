//! Tokens that operators sign in with; settings hold only their digests.

use std::fmt;

use rand::RngExt;
use sha2::Digest as _;
use sha2::Sha256;

/// Prefix of every token.
pub const PREFIX: &str = "pbo_";

const TOKEN_BYTES: usize = 32;
const DIGEST_BYTES: usize = 32;

/// A token in plain text; its `Debug` output hides the text.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Creates a random token.
    #[must_use]
    pub fn generate() -> Self {
        let bytes: [u8; TOKEN_BYTES] = rand::rng().random();
        Self(format!("{PREFIX}{}", hex::encode(bytes)))
    }

    /// Returns the text that the operator enters.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest for the settings.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Token(..)")
    }
}

/// SHA-256 digest of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of an entered token, without the white space around it.
    #[must_use]
    pub fn of(entered: &str) -> Self {
        Self(Sha256::digest(entered.trim().as_bytes()).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl std::str::FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
