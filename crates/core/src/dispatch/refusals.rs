//! Refused requests since the last log line, by reason and by how long they had waited.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use crate::dispatch::Request;
use crate::error::Kind;
use crate::publication::Publication;

/// Part of the objective up to which a refusal is early enough for a client to go elsewhere.
const EARLY_PART: f64 = 0.125;

/// Counts of refused requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Refusals {
    /// Refusals within an eighth of the objective, by reason.
    pub early: BTreeMap<&'static str, u64>,
    /// Later refusals, by reason.
    pub late: BTreeMap<&'static str, u64>,
}

impl Refusals {
    /// Counts a request that is refused.
    pub fn note(&mut self, request: &Request, kind: Kind, publication: &Publication, now: Instant) {
        let waited = now.saturating_duration_since(request.arrived);
        let route = publication.routes.get(&request.route);
        let is_early = route.is_some_and(|route| waited <= route.objective.mul_f64(EARLY_PART));
        let counts = if is_early {
            &mut self.early
        } else {
            &mut self.late
        };
        *counts.entry(kind.answer().code).or_default() += 1;
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        for (sum, counts) in [
            (&mut self.early, &other.early),
            (&mut self.late, &other.late),
        ] {
            for (reason, count) in counts {
                *sum.entry(*reason).or_default() += count;
            }
        }
    }
}
