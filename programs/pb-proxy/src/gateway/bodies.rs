//! Request bodies, which are read whole before an upstream is chosen.

use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compio::time::timeout;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;
use persimmonbend_core::error::Kind;
use persimmonbend_core::memory::Bound;
use tracing::info;

use crate::gateway::forward::Failure;
use crate::gateway::memory::Hold;
use crate::gateway::record::Record;
use crate::gateway::state::State;

/// Reads a body of at most `limit` bytes until `deadline`, and counts it in `hold`.
///
/// # Errors
///
/// Returns a failure when the body is too large, late or cut off, or when the host has no room for it.
pub async fn read(
    state: &State,
    body: Incoming,
    limit: usize,
    deadline: Instant,
    hold: &Hold,
    record: &Record,
) -> Result<Bytes, Failure> {
    // A stated length that is too large is refused before the body is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(Failure::from(Kind::BodyTooLarge));
    }
    let left = deadline.saturating_duration_since(state.now());
    let stated = body.size_hint().exact();
    let stated = stated.and_then(|stated| usize::try_from(stated).ok());
    let reading = async {
        if let Some(stated) = stated {
            take(state, hold, stated, record)?;
            let collected = Limited::new(body, limit).collect().await;
            return collected
                .map(http_body_util::Collected::to_bytes)
                .map_err(|error| fault(&*error));
        }
        read_unstated(state, body, limit, hold, record).await
    };
    let read = timeout(left, reading).await;
    read.unwrap_or_else(|_| Err(Failure::from(Kind::BodyTimeout)))
}

/// Reads a body of unknown length.
async fn read_unstated(
    state: &State,
    body: Incoming,
    limit: usize,
    hold: &Hold,
    record: &Record,
) -> Result<Bytes, Failure> {
    let mut body = Limited::new(body, limit);
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| fault(&*error))?;
        if let Ok(data) = frame.into_data() {
            take(state, hold, data.len(), record)?;
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Counts bytes of a body, or refuses the request if there is no room for them.
fn take(state: &State, hold: &Hold, bytes: usize, record: &Record) -> Result<(), Failure> {
    hold.take_body(bytes).map_err(|bound: Bound| {
        state.meters().count_refused_body(bound);
        let held = hold.bytes();
        info!(
            request = record.request(),
            bound = bound.name(),
            bytes,
            held,
            "body_refused"
        );
        Failure::from(Kind::Overloaded)
    })
}

fn fault(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Failure {
    if error.is::<LengthLimitError>() {
        Failure::from(Kind::BodyTooLarge)
    } else {
        Failure::from(Kind::BodyTruncated)
    }
}
