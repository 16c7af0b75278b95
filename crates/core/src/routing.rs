//! Choice of an upstream from the knowledge of one host.
//!
//! A [`Picker`] chooses an upstream: [`Uniform`] is the naive baseline, [`TwoChoices`] compares the
//! requests that this host has in flight on two random candidates. A host uses a picker when it
//! cannot reach the steward of a service.

use std::fmt;

use rand::Rng;
use rand::RngExt;

use crate::board::Board;
use crate::health::Verdict;
use crate::id::UpstreamId;
use crate::steward::Verdicts;
use crate::upstream::Upstream;

/// The input of a choice.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Known hosts and upstreams.
    pub board: &'a Board,
    /// The host's verdicts on the upstreams.
    pub verdicts: &'a dyn Verdicts,
    /// Service of the request.
    pub service: &'a str,
    /// Zone of the host.
    pub zone: &'a str,
    /// Upstreams that have been tried and are not chosen again.
    pub avoid: &'a [UpstreamId],
    /// Most requests that the host may have in flight to one upstream.
    pub in_flight_max: u32,
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Share of the upstream's slots that may be used; 0 for an upstream on trial.
    weight: f64,
}

/// A way to choose an upstream.
pub trait Picker: fmt::Debug {
    /// Returns the upstream to send the next request to.
    fn pick(&self, view: &View<'_>, rng: &mut dyn Rng) -> Option<Upstream>;
}

/// Chooses every candidate with the same chance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Uniform;

impl Picker for Uniform {
    fn pick(&self, view: &View<'_>, rng: &mut dyn Rng) -> Option<Upstream> {
        let candidates = view.candidates();
        if candidates.is_empty() {
            return None;
        }
        let candidate = candidates[rng.random_range(0..candidates.len())];
        Some(candidate.upstream.clone())
    }
}

/// Chooses the less busy of two random candidates, by this host's own counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(&self, view: &View<'_>, rng: &mut dyn Rng) -> Option<Upstream> {
        let candidates = view.candidates();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        let chosen = if second.load() < first.load() {
            second
        } else {
            first
        };
        Some(chosen.upstream.clone())
    }
}

impl View<'_> {
    /// Returns the upstreams in use, or the upstreams on trial if none is in use.
    fn candidates(&self) -> Vec<Candidate<'_>> {
        let mut candidates = self.not_ejected();
        if candidates.iter().any(|candidate| candidate.weight > 0.0) {
            candidates.retain(|candidate| candidate.weight > 0.0);
        }
        candidates
    }

    fn not_ejected(&self) -> Vec<Candidate<'_>> {
        self.board
            .upstreams(self.service)
            .filter(|upstream| self.board.takes_requests(upstream))
            .filter(|upstream| upstream.in_flight < self.in_flight_max)
            .filter(|upstream| !self.avoid.contains(&upstream.announcement.id))
            .filter_map(|upstream| self.candidate(upstream))
            .collect()
    }

    fn candidate<'a>(&self, upstream: &'a Upstream) -> Option<Candidate<'a>> {
        let id = &upstream.announcement.id;
        let weight = match self.verdicts.verdict(id, self.zone, self.board.now()) {
            Verdict::Use { weight } => weight,
            Verdict::Trial => 0.0,
            Verdict::Ejected => return None,
        };
        Some(Candidate { upstream, weight })
    }
}

impl Candidate<'_> {
    fn load(&self) -> f64 {
        f64::from(self.upstream.in_flight + 1) / self.weight.max(f64::EPSILON)
    }
}
