//! Authentication of requests by key, and removal of keys before a request is forwarded.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderName;
use persimmonbend_core::board::Board;
use persimmonbend_core::error::Kind;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::key;
use persimmonbend_core::key::Digest;
use persimmonbend_core::key::Secret;

/// Header that may carry a key instead of `Authorization: Bearer`.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");

/// Returns the digest of the key that a request presents.
///
/// # Errors
///
/// Returns [`Kind::KeyMissing`] unless there is exactly one key, and [`Kind::KeyUnknown`] when it
/// does not have the form of a key.
pub fn digest(headers: &HeaderMap) -> Result<Digest, Kind> {
    let presented_key = presented_key(headers).ok_or(Kind::KeyMissing)?;
    let secret = Secret::try_from(presented_key).map_err(|_| Kind::KeyUnknown)?;
    Ok(secret.digest())
}

/// Returns the tenant that a key belongs to.
///
/// # Errors
///
/// Returns [`Kind::KeyUnknown`] or [`Kind::KeyWithdrawn`].
pub fn tenant(board: &Board, digest: &Digest) -> Result<TenantId, Kind> {
    let config = board.config();
    let known = config.keys().get(digest).ok_or(Kind::KeyUnknown)?;
    if board.is_withdrawn(digest) {
        return Err(Kind::KeyWithdrawn);
    }
    Ok(known.tenant.clone())
}

/// Removes the headers for keys and every other header whose value contains a key.
pub fn remove_keys(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    headers.remove(KEY_HEADER);
    let carries_key = |name: &&HeaderName| {
        headers
            .get_all(*name)
            .iter()
            .any(|value| has_key_prefix(value.as_bytes()))
    };
    let found: Vec<HeaderName> = headers.keys().filter(carries_key).cloned().collect();
    for name in found {
        headers.remove(name);
    }
}

/// Returns whether a request target (path and query) contains a key, which is never forwarded.
#[must_use]
pub fn contains_key(target: &str) -> bool {
    has_key_prefix(target.as_bytes())
}

fn presented_key(headers: &HeaderMap) -> Option<&str> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    if let Some(value) = keys.next() {
        return if keys.next().is_none() {
            value.to_str().ok()
        } else {
            None
        };
    }
    let mut bearers = headers.get_all(AUTHORIZATION).iter();
    let value = bearers.next()?.to_str().ok()?;
    if bearers.next().is_some() {
        return None;
    }
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn has_key_prefix(bytes: &[u8]) -> bool {
    let prefix = key::PREFIX.as_bytes();
    bytes.windows(prefix.len()).any(|window| window == prefix)
}
