//! Order of the upstreams that a request could be given.

use crate::health::Verdict;
use crate::steward::Request;
use crate::upstream::Upstream;

/// Preference of a request for an upstream; the greatest rank is chosen.
///
/// Ranks are compared field by field in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rank {
    is_idempotent_trial: bool,
    is_in_use: bool,
    is_same_zone: bool,
    free_share: f64,
    /// Grants of the service since the last one of this upstream.
    grants_since_last: u64,
}

impl Rank {
    /// Returns the rank of an upstream, or `None` when the upstream has no free slot.
    #[must_use]
    pub fn new(
        upstream: &Upstream,
        verdict: Verdict,
        request: &Request,
        running: u32,
        grants_since_last: u64,
    ) -> Option<Self> {
        let usable = usable_slots(upstream, verdict);
        if running >= usable {
            return None;
        }
        let on_trial = verdict == Verdict::Trial;
        Some(Self {
            is_idempotent_trial: on_trial && request.idempotent,
            is_in_use: !on_trial,
            is_same_zone: upstream.announcement.zone == request.zone,
            free_share: f64::from(usable - running) / f64::from(usable),
            grants_since_last,
        })
    }
}

/// Returns how many slots of an upstream may be used under a verdict.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
#[must_use]
pub fn usable_slots(upstream: &Upstream, verdict: Verdict) -> u32 {
    let slots = upstream.announcement.slots;
    match verdict {
        Verdict::Use { weight } => {
            let share = (f64::from(slots) * weight).round();
            (share as u32).clamp(1, slots)
        }
        Verdict::Trial => 1,
        Verdict::Ejected => 0,
    }
}
