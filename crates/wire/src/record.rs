//! Encoding of claims on execution records and of the verdicts on the claims.

use std::time::Duration;

use persimmonbend_core::key::Digest;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::GROUP_COUNT;
use persimmonbend_core::record::MAX_KEY_BYTES;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Verdict;

use crate::error::Error;
use crate::fleet_capnp::claim;
use crate::fleet_capnp::verdict;

/// Longest name of a tenant, route or host in bytes.
const MAX_NAME_BYTES: usize = 512;

/// Writes a claim into a message.
pub fn write_claim(claim: &Claim, mut to: claim::Builder<'_>) {
    to.set_group(claim.name.group(GROUP_COUNT));
    to.set_tenant(&claim.name.tenant);
    to.set_route(&claim.name.route);
    to.set_key(&claim.name.key);
    to.set_request(claim.request.as_bytes());
    to.set_host(&claim.owner.host);
    to.set_attempt(claim.owner.attempt);
    let timeout_ms = u32::try_from(claim.execution_timeout.as_millis()).unwrap_or(u32::MAX);
    to.set_patience_ms(timeout_ms);
}

/// Reads a claim from a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the digest or a name has an invalid length or a name is not
/// UTF-8, and [`Error::Remote`] when the Cap'n Proto encoding is damaged.
pub fn read_claim(from: claim::Reader<'_>) -> Result<Claim, Error> {
    let request: Result<[u8; 32], _> = from.get_request()?.try_into();
    let request = request.map_err(|_| {
        Error::Malformed("the digest of the request does not have 32 bytes".to_owned())
    })?;
    Ok(Claim {
        name: Name {
            tenant: read_bounded(from.get_tenant()?, MAX_NAME_BYTES)?,
            route: read_bounded(from.get_route()?, MAX_NAME_BYTES)?,
            key: read_bounded(from.get_key()?, MAX_KEY_BYTES)?,
        },
        request: Digest::from(request),
        owner: Owner {
            host: read_bounded(from.get_host()?, MAX_NAME_BYTES)?,
            attempt: from.get_attempt(),
        },
        execution_timeout: Duration::from_millis(u64::from(from.get_patience_ms())),
    })
}

/// Writes a verdict into a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the stored answer cannot be encoded.
pub fn write_verdict(verdict: &Verdict, mut to: verdict::Builder<'_>) -> Result<(), Error> {
    match verdict {
        Verdict::Fresh => to.set_fresh(()),
        Verdict::Running => to.set_running(()),
        Verdict::Done(answer) => to.set_done(&serde_json::to_vec(answer)?),
        Verdict::AnswerGone => to.set_gone(()),
        Verdict::Mismatch => to.set_mismatch(()),
        Verdict::Unknown => to.set_unknown(()),
        Verdict::Full => to.set_full(()),
        Verdict::Released => to.set_lapsed(()),
    }
    Ok(())
}

/// Reads a verdict from a message.
///
/// # Errors
///
/// Returns [`Error::Malformed`] or [`Error::Remote`] when the message is not a verdict.
pub fn read_verdict(from: verdict::Reader<'_>) -> Result<Verdict, Error> {
    let verdict = match from.which().map_err(capnp::Error::from)? {
        verdict::Which::Fresh(()) => Verdict::Fresh,
        verdict::Which::Running(()) => Verdict::Running,
        verdict::Which::Done(answer) => Verdict::Done(serde_json::from_slice(answer?)?),
        verdict::Which::Gone(()) => Verdict::AnswerGone,
        verdict::Which::Mismatch(()) => Verdict::Mismatch,
        verdict::Which::Unknown(()) => Verdict::Unknown,
        verdict::Which::Full(()) => Verdict::Full,
        verdict::Which::Lapsed(()) => Verdict::Released,
    };
    Ok(verdict)
}

fn read_bounded(text: capnp::text::Reader<'_>, limit: usize) -> Result<String, Error> {
    let text = text.to_str()?;
    if text.len() > limit {
        return Err(Error::Malformed("a name is too long".to_owned()));
    }
    Ok(text.to_owned())
}
