//! The choice of an upstream for a request.
//!
//! [`Picker`] is the border: [`Uniform`] is the naive baseline, [`TwoChoices`] compares the
//! requests that this host has in flight on two random candidates.

use std::fmt;

use rand::Rng;
use rand::RngExt;

use crate::board::Board;
use crate::id::UpstreamId;
use crate::upstream::Upstream;

/// A way to choose an upstream.
pub trait Picker: fmt::Debug {
    /// Returns the upstream of `service` to send the next request to.
    fn pick(
        &self,
        board: &Board,
        service: &str,
        avoid: &[UpstreamId],
        rng: &mut dyn Rng,
    ) -> Option<Upstream>;
}

/// Chooses every candidate with the same chance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Uniform;

impl Picker for Uniform {
    fn pick(
        &self,
        board: &Board,
        service: &str,
        avoid: &[UpstreamId],
        rng: &mut dyn Rng,
    ) -> Option<Upstream> {
        let candidates = candidates(board, service, avoid);
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())].clone())
    }
}

/// Chooses the less busy of two random candidates, by this host's own counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl Picker for TwoChoices {
    fn pick(
        &self,
        board: &Board,
        service: &str,
        avoid: &[UpstreamId],
        rng: &mut dyn Rng,
    ) -> Option<Upstream> {
        let candidates = candidates(board, service, avoid);
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        if second.in_flight < first.in_flight {
            return Some(second.clone());
        }
        Some(first.clone())
    }
}

fn candidates<'a>(board: &'a Board, service: &'a str, avoid: &[UpstreamId]) -> Vec<&'a Upstream> {
    board
        .upstreams(service)
        .filter(|upstream| board.takes_requests(upstream))
        .filter(|upstream| !avoid.contains(&upstream.announcement.id))
        .collect()
}
