//! Waits for answers up to a deadline, also in a process that stands still meanwhile or stops.

use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use futures_util::pin_mut;

use crate::gateway::state::State;

/// Delay of a timer from which on the process counts as having stood still: what arrived in time may be unread.
const MIN_STANDSTILL: Duration = Duration::from_millis(20);

/// Time after a standstill to read what has arrived.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Waits for a future until `deadline`; after a standstill beyond it, for [`CATCH_UP_TIME`] more. Returns `None`
/// if the future is not ready by then, or when the host gives up what still runs.
pub async fn until<F: Future>(state: &State, deadline: Instant, future: F) -> Option<F::Output> {
    let waiting = until_deadline(state, deadline, future);
    state.giving_up().until(waiting).await.flatten()
}

async fn until_deadline<F: Future>(
    state: &State,
    deadline: Instant,
    future: F,
) -> Option<F::Output> {
    let left = deadline.saturating_duration_since(state.now());
    pin_mut!(future);
    if let Ok(output) = timeout(left, &mut future).await {
        return Some(output);
    }
    let delay = state.now().saturating_duration_since(deadline);
    if left.is_zero() || delay < MIN_STANDSTILL {
        return None;
    }
    timeout(CATCH_UP_TIME, future).await.ok()
}
