//! The choice of an upstream by what one host knows on its own.
//!
//! [`Picker`] is the border: [`Uniform`] is the naive baseline, [`TwoChoices`] compares the
//! requests that this host has in flight on two random candidates. A host chooses so when the
//! steward of a service cannot be asked.

use std::fmt;

use rand::Rng;
use rand::RngExt;

use crate::board::Board;
use crate::health::Verdict;
use crate::id::UpstreamId;
use crate::steward::Verdicts;
use crate::upstream::Upstream;

/// What a choice is made from.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// What the host knows.
    pub board: &'a Board,
    /// What the host thinks of the upstreams.
    pub verdicts: &'a dyn Verdicts,
    /// Service whose upstream is wanted.
    pub service: &'a str,
    /// Zone of the host.
    pub zone: &'a str,
    /// Upstreams that were tried already.
    pub avoid: &'a [UpstreamId],
    /// Requests that the host may have in flight to one upstream.
    pub in_flight_max: u32,
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Share of its slots that may be used; 0 for one on trial.
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
    /// Returns the upstreams in use, or those on trial when there are none.
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
