//! What a service asks of the fleet beyond the fields that all builds know.
//!
//! Each term is optional and has an effect only where a publication sets it. Terms are published as text
//! that names its fields, so that a build ignores terms which it does not know.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fault::Faults;

/// What one service asks of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Terms {
    /// Limit on the requests to an upstream that is cold, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<Warmup>,
    /// Most extra sends of requests that are running, as a share of the requests to the service; the fleet
    /// sends none if it is 0. Without it, only the retry budget limits them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_share: Option<f64>,
    /// Most bytes of request bodies that one upstream holds, if there is a bound; it may always hold one
    /// request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_held_bytes: Option<u64>,
}

/// The limit on the requests to an upstream that is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// Requests a second that a cold upstream takes from all hosts together.
    pub per_second: f64,
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
}

impl Terms {
    /// Adds the terms that are out of bounds to `faults`.
    pub(super) fn check(&self, service: &str, faults: &mut Faults) {
        let field = |part: &str| format!("terms.{service}.{part}");
        if let Some(warmup) = &self.warmup
            && !(warmup.per_second.is_finite() && warmup.per_second > 0.0)
        {
            let reason = format!("{} must be above 0", warmup.per_second);
            faults.add(field("warmup.per_second"), reason);
        }
        if let Some(share) = self.hedge_share
            && !(0.0..=1.0).contains(&share)
        {
            faults.add(field("hedge_share"), format!("{share} must be from 0 to 1"));
        }
        if self.max_held_bytes == Some(0) {
            faults.add(field("max_held_bytes"), "0 must be above 0");
        }
    }
}
