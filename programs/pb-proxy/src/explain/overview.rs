//! The overview of the fleet's state, as this host sees it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use persimmonbend_core::board::Board;
use persimmonbend_core::explain::Capacity;
use persimmonbend_core::explain::Exclusion;
use persimmonbend_core::explain::Overview;
use persimmonbend_core::explain::Peer;
use persimmonbend_core::explain::Statistics;
use persimmonbend_core::health::Verdict;
use persimmonbend_core::traffic::Tally;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Upstream;

use crate::explain::subject;
use crate::node::Node;
use crate::slots::Detectors;

/// Most tenants, and most routes, that an overview lists.
const MAX_STATISTICS: usize = 20;

/// Most excluded upstreams that an overview lists.
const MAX_EXCLUSIONS: usize = 50;

/// Most events that an overview lists.
const MAX_EVENTS: usize = 40;

/// The upstreams as this host sees them: the board and the health verdicts in its zone.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The board.
    pub board: &'a Board,
    detectors: &'a Detectors,
    zone: &'a str,
}

impl<'a> View<'a> {
    /// Creates the view that a host has.
    #[must_use]
    pub fn new(node: &'a Node, board: &'a Board) -> Self {
        Self {
            board,
            detectors: node.slots().detectors(),
            zone: &node.settings().zone,
        }
    }

    /// Returns the health verdict on an upstream for the zone of this host.
    #[must_use]
    pub fn verdict(&self, upstream: &Upstream) -> Verdict {
        let Announcement { id, service, .. } = &upstream.announcement;
        let now = self.board.now();
        self.detectors.verdict(service, id, self.zone, now)
    }

    /// Returns why the health verdict limits an upstream, with the latest event about it.
    fn health_reason(&self, upstream: &Upstream) -> Option<String> {
        let text = match self.verdict(upstream) {
            Verdict::Use { .. } => return None,
            Verdict::Trial => "It is on trial and gets one request at a time.",
            Verdict::Ejected => "It is ejected, for what its requests showed.",
        };
        let latest = self.board.events().about(&upstream.announcement.id);
        let latest = latest.filter(|event| event.part == HEALTH_PART).last();
        Some(latest.map_or_else(|| text.to_owned(), |event| format!("{text} {}", event.text)))
    }
}

/// Part of the program that records the events about health verdicts.
const HEALTH_PART: &str = "health";

/// Returns the overview of this host.
pub fn overview(node: &Node) -> Overview {
    let board = node.board();
    let view = View::new(node, &board);
    let traffic = node.traffic();
    let tenants = traffic.tenants().iter();
    let routes = traffic.routes().iter();
    Overview {
        host: node.settings().host.clone(),
        zone: node.settings().zone.clone(),
        ready: node.is_ready(),
        revision: board.config().revision(),
        services: services(&view),
        excluded: exclusions(&view),
        tenants: worst_first(tenants.map(|(name, tally)| statistics(name.clone(), tally))),
        routes: worst_first(routes.map(|((service, route), tally)| {
            let name = format!("{service}/{route}");
            statistics(name, tally)
        })),
        hosts: hosts(&board),
        series: traffic.series().points(board.now()),
        events: latest_events(&board),
    }
}

/// Returns how many slots of a service are offered and in use, with its floor.
pub fn capacity(view: &View<'_>, service: &str) -> Capacity {
    let board = view.board;
    let config = board.config();
    let floor = config
        .services()
        .get(service)
        .map_or(0.0, |service| service.floor);
    let mut capacity = Capacity {
        service: service.to_owned(),
        floor,
        slots: 0,
        in_use: 0,
    };
    let offering = board.upstreams(service).filter(|upstream| {
        let announcement = &upstream.announcement;
        upstream.is_current() && announcement.stage.takes_requests()
    });
    for upstream in offering {
        let slots = upstream.announcement.slots;
        capacity.slots += slots;
        if exclusion_reason(view, upstream).is_none() {
            capacity.in_use += slots;
        }
    }
    capacity
}

/// Returns why an upstream is excluded from normal use, or `None` if it is in use.
pub fn exclusion_reason(view: &View<'_>, upstream: &Upstream) -> Option<String> {
    let announcement = &upstream.announcement;
    if !announcement.stage.takes_requests() {
        return Some(format!("It says that it is {:?}.", announcement.stage));
    }
    if !upstream.is_current() {
        return Some("It stopped announcing itself.".to_owned());
    }
    subject::order_reason(view.board, &announcement.id).or_else(|| view.health_reason(upstream))
}

fn services(view: &View<'_>) -> Vec<Capacity> {
    let board = view.board;
    let config = board.config();
    let announced = board
        .all_upstreams()
        .map(|upstream| upstream.announcement.service.as_str());
    let mut names: BTreeSet<&str> = config.services().keys().map(String::as_str).collect();
    names.extend(announced);
    names.iter().map(|name| capacity(view, name)).collect()
}

fn exclusions(view: &View<'_>) -> Vec<Exclusion> {
    let exclusions = view.board.all_upstreams().filter_map(|upstream| {
        Some(Exclusion {
            upstream: upstream.announcement.id.clone(),
            service: upstream.announcement.service.clone(),
            reason: exclusion_reason(view, upstream)?,
        })
    });
    exclusions.take(MAX_EXCLUSIONS).collect()
}

fn statistics(name: String, tally: &Tally) -> Statistics {
    let failed = tally.failed().iter();
    let failed: BTreeMap<String, u64> = failed
        .map(|(kind, count)| (kind.to_string(), *count))
        .collect();
    Statistics {
        name,
        answered: tally.answered(),
        failed,
        success: tally.success(),
        p50_ms: tally.latency(0.5).as_secs_f64() * 1_000.0,
        p99_ms: tally.latency(0.99).as_secs_f64() * 1_000.0,
    }
}

fn worst_first(statistics: impl Iterator<Item = Statistics>) -> Vec<Statistics> {
    let mut statistics: Vec<Statistics> = statistics.collect();
    statistics.sort_by(|a, b| {
        let by_success = a.success.total_cmp(&b.success);
        by_success.then(b.p99_ms.total_cmp(&a.p99_ms))
    });
    statistics.truncate(MAX_STATISTICS);
    statistics
}

fn hosts(board: &Board) -> Vec<Peer> {
    let hosts = board.hosts().values().map(|host| Peer {
        host: host.announcement.id.clone(),
        zone: host.announcement.zone.clone(),
        peers: host.announcement.peers,
        suspected: host.suspected,
        stopping: host.announcement.stopping,
    });
    hosts.collect()
}

fn latest_events(board: &Board) -> Vec<persimmonbend_core::event::Event> {
    let mut events: Vec<_> = board.events().iter().cloned().collect();
    let surplus = events.len().saturating_sub(MAX_EVENTS);
    events.split_off(surplus)
}
