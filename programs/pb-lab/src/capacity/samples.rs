//! Creates sample configurations and boards of a given size.

use std::rc::Rc;

use persimmonbend_core::board::Board;
use persimmonbend_core::clock::System;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Route;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::host;
use persimmonbend_core::key::Secret;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

/// Number of changes that fill the history of a configuration, whose length is bounded.
const HISTORY_CHANGES: usize = 1_100;

/// Upstreams of one service at the target size.
const UPSTREAMS_PER_SERVICE: usize = 15;

/// Availability zones at the target size.
const ZONES: usize = 18;

/// Applies a change as the next revision.
pub fn apply(state: &mut State, change: Change) {
    let revision = state.revision() + 1;
    let submission = Submission {
        id: format!("{revision:032x}"),
        base: None,
        operator: "capacity".to_owned(),
        change,
    };
    state.apply(&Entry {
        revision,
        submission,
    });
}

/// Returns a configuration with a full history and hardly any other content.
pub fn with_full_history() -> State {
    let mut state = State::default();
    for _ in 0..HISTORY_CHANGES {
        apply(&mut state, tenant(0));
    }
    state
}

/// Returns a change that sets one tenant.
pub fn tenant(number: usize) -> Change {
    let rate = Rate {
        per_second: 10.0,
        burst: 20,
    };
    Change::SetTenant {
        tenant: Tenant {
            id: tenant_name(number),
            rate,
        },
    }
}

/// Returns a change that issues a key, and the key.
pub fn key(number: usize) -> (Change, Secret) {
    let secret = Secret::generate(&mut rand::rng());
    let change = Change::IssueKey {
        digest: secret.digest(),
        tenant: tenant_name(number),
        label: "herd office".to_owned(),
    };
    (change, secret)
}

/// Returns a change that publishes services with a total number of routes.
pub fn routes(services: usize, routes: usize) -> Change {
    let service = |number: usize| {
        let first = number * routes / services;
        let last = (number + 1) * routes / services;
        Service {
            name: format!("service-{number}"),
            owner: "registry team".to_owned(),
            floor: 0.7,
            routes: (first..last).map(route).collect(),
            default_rate: None,
        }
    };
    Change::Publish {
        services: (0..services).map(service).collect(),
    }
}

/// Returns a board with a number of upstreams.
pub fn upstreams(count: usize) -> Board {
    let mut board = Board::new(Rc::new(System));
    for number in 0..count {
        let sample = Announcement {
            id: format!("service-{}-{number}", number / UPSTREAMS_PER_SERVICE),
            service: format!("service-{}", number / UPSTREAMS_PER_SERVICE),
            address: address(number),
            zone: zone(number),
            slots: 3,
            incarnation: 1,
            sequence: 1,
            stage: Stage::Ready,
        };
        board.announce(sample);
    }
    board
}

/// Returns a board with a number of hosts.
pub fn hosts(count: usize) -> Board {
    let mut board = Board::new(Rc::new(System));
    for number in 0..count {
        board.announce_host(host::Announcement {
            id: format!("host-{number}"),
            zone: zone(number),
            peers: address(number),
            incarnation: 1,
            sequence: 1,
            stopping: false,
        });
    }
    board
}

fn route(number: usize) -> Route {
    Route {
        id: format!("route-{number}"),
        prefix: format!("/service/route-{number}"),
        methods: vec!["GET".to_owned()],
        open: false,
        non_idempotent: false,
        allow_unrecorded: false,
        deadline_ms: 2_000,
    }
}

fn tenant_name(number: usize) -> String {
    format!("tenant-{number:06}")
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn address(number: usize) -> std::net::SocketAddr {
    let [_, high, middle, low] = u32::try_from(number).unwrap_or_default().to_be_bytes();
    ([10, high, middle, low], 8_080).into()
}
