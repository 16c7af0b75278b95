//! Detectors of grey upstreams, one per service.
//!
//! A detector observes the attempts of this host and, where this host is the steward of the
//! service, the attempts of all hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use log::warn;
use persimmonbend_core::board::Board;
use persimmonbend_core::health::Descriptor;
use persimmonbend_core::health::Detector;
use persimmonbend_core::health::Policy;
use persimmonbend_core::health::Transition;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::Revision;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::upstream::Stage;

use crate::node::Node;

/// Detectors by service.
#[derive(Debug, Default)]
pub struct Detectors {
    services: RefCell<BTreeMap<ServiceId, Entry>>,
    synced: Cell<Option<Version>>,
}

/// State of the board that the detectors were last synchronised with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Version {
    upstream_changes: u64,
    revision: Revision,
}

/// The detector of one service, with the incarnations and the steward's ejections of its upstreams.
#[derive(Debug)]
struct Entry {
    detector: Detector,
    incarnations: BTreeMap<UpstreamId, Incarnation>,
    /// Upstreams that were ejected because the steward of the service ejected them.
    ejected_by_steward: BTreeSet<UpstreamId>,
}

impl Detectors {
    /// Runs `work` with the detector of a service, which is created where there is none.
    pub fn with<R, W>(&self, board: &Board, service: &str, work: W) -> R
    where
        W: FnOnce(&mut Detector) -> R,
    {
        let mut services = self.services.borrow_mut();
        if let Some(entry) = services.get_mut(service) {
            return work(&mut entry.detector);
        }
        let mut entry = Entry::new();
        entry.sync(board, service);
        let result = work(&mut entry.detector);
        services.insert(service.to_owned(), entry);
        result
    }

    /// Returns what hosts of `zone` may send to an upstream of a service.
    #[must_use]
    pub fn verdict(&self, service: &str, upstream: &str, zone: &str, now: Instant) -> Verdict {
        let services = self.services.borrow();
        let entry = services.get(service);
        entry.map_or(Verdict::Use { weight: 1.0 }, |entry| {
            entry.detector.verdict(upstream, zone, now)
        })
    }

    /// Applies changes of upstreams and configuration to the detectors, records an event for each
    /// transition since the last call, and returns the transitions.
    pub fn tick(&self, node: &Node) -> Vec<(ServiceId, Transition)> {
        self.sync(&node.board());
        let mut transitions = Vec::new();
        for (service, entry) in self.services.borrow_mut().iter_mut() {
            let taken = entry.detector.take_transitions().into_iter();
            transitions.extend(taken.map(|transition| (service.clone(), transition)));
        }
        for (service, transition) in &transitions {
            let Transition { upstream, text, .. } = transition;
            warn!("health: {upstream} of {service}: {text}");
            node.board_mut().record("health", upstream, text.clone());
        }
        transitions
    }

    /// Returns the upstreams of a service that are ejected for all zones.
    #[must_use]
    pub fn ejected(&self, service: &str) -> Vec<UpstreamId> {
        let services = self.services.borrow();
        let Some(entry) = services.get(service) else {
            return Vec::new();
        };
        let reports = entry.detector.reports().into_iter();
        let ejected = reports.filter(|report| report.out);
        ejected.map(|report| report.upstream).collect()
    }

    /// Applies the steward's verdict on an upstream: ejects the upstream as far as the floor
    /// allows, or resets its evidence when the steward no longer ejects it.
    pub fn apply_advice(&self, board: &Board, service: &str, upstream: &str, verdict: Verdict) {
        let now = board.now();
        let mut services = self.services.borrow_mut();
        let Some(entry) = services.get_mut(service) else {
            return;
        };
        if verdict == Verdict::Ejected {
            entry.detector.adopt_ejection(upstream, now);
            entry.ejected_by_steward.insert(upstream.to_owned());
        } else if entry.ejected_by_steward.remove(upstream) {
            entry.detector.reset(upstream, now);
        }
    }

    /// Synchronises all detectors with the board, if it has changed.
    fn sync(&self, board: &Board) {
        let version = Version {
            upstream_changes: board.upstream_changes(),
            revision: board.config().revision(),
        };
        if self.synced.replace(Some(version)) == Some(version) {
            return;
        }
        let mut services = self.services.borrow_mut();
        services.retain(|service, _| board.upstreams(service).next().is_some());
        for (service, entry) in services.iter_mut() {
            entry.sync(board, service);
        }
    }
}

impl Entry {
    fn new() -> Self {
        Self {
            detector: Detector::new(Policy::default()),
            incarnations: BTreeMap::new(),
            ejected_by_steward: BTreeSet::new(),
        }
    }

    /// Sets the floor and the upstreams of the detector; an upstream with a new incarnation starts
    /// without a history.
    fn sync(&mut self, board: &Board, service: &str) {
        let now = board.now();
        if let Some(service) = board.config().services().get(service) {
            self.detector.set_floor(service.floor);
        }
        let upstreams = board.upstreams(service);
        let usable: Vec<_> = upstreams
            .filter(|upstream| board.takes_requests(upstream))
            .collect();
        let descriptor = |upstream: &&persimmonbend_core::upstream::Upstream| {
            let ready = upstream.announcement.stage == Stage::Ready;
            Descriptor::new(
                &upstream.announcement.id,
                upstream.announcement.slots,
                ready,
            )
        };
        self.detector
            .set_upstreams(usable.iter().map(descriptor), now);
        for upstream in &usable {
            let id = &upstream.announcement.id;
            let incarnation = upstream.announcement.incarnation;
            let before = self.incarnations.insert(id.clone(), incarnation);
            if before.is_some_and(|before| before < incarnation) {
                self.detector.reset(id, now);
                self.ejected_by_steward.remove(id);
            }
        }
        self.incarnations
            .retain(|id, _| board.upstream(service, id).is_some());
    }
}
