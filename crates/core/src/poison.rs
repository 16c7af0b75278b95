//! Requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] identifies requests of equal content: the same tenant, method, path and body.
//!
//! ```
//! use persimmonbend_core::poison::Fingerprint;
//!
//! let first = Fingerprint::of([b"farm".as_slice(), b"GET", b"/herd/1", b""]);
//! let again = Fingerprint::of([b"farm".as_slice(), b"GET", b"/herd/1", b""]);
//! assert_eq!(first, again);
//! ```

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of the digest that a fingerprint keeps.
const FINGERPRINT_BYTES: usize = 8;

/// The content of a request, by which its repeats are recognized on any host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Creates the fingerprint of a request from the parts of its content, in a fixed order.
    #[must_use]
    pub fn of<'a, P: IntoIterator<Item = &'a [u8]>>(parts: P) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        let mut first = [0; FINGERPRINT_BYTES];
        first.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
