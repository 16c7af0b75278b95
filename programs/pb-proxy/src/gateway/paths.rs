//! Keeps up to date what this host knows of its own paths to upstreams.
//!
//! Requests show it as they connect. While a path is blocked they take another one, so [`run`] tries it in their
//! place; [`check`] tries a path over which an answer is overdue.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::reach::Reach;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use rand::seq::IndexedRandom;
use tracing::info;
use tracing::warn;

use crate::gateway::state::State;
use crate::port;
use crate::port::Port;

/// Time between two rounds in which blocked paths are tried.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Upstreams of a service that are tried until one accepts.
const MAX_TRIED: usize = 2;

/// What a host knows of its paths, shared by its requests.
#[derive(Debug, Default)]
pub struct Paths {
    reach: RefCell<Reach>,
}

impl Paths {
    /// Creates the paths of a host that remembers a failure for a time.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        let mut reach = Reach::default();
        reach.set_memory(memory);
        Self {
            reach: RefCell::new(reach),
        }
    }

    /// Returns whether an upstream has to be reached through another host.
    #[must_use]
    pub fn is_blocked(&self, service: &str, upstream: Number) -> bool {
        self.reach.borrow().is_blocked(service, upstream)
    }

    /// Returns the services to which the whole path counts as blocked.
    #[must_use]
    pub fn blocked_services(&self) -> Vec<ServiceId> {
        self.reach.borrow().services().cloned().collect()
    }

    /// Returns the upstreams that only other hosts reach.
    #[must_use]
    pub fn blocked_upstreams(&self) -> Vec<Number> {
        self.reach.borrow().upstreams().collect()
    }

    /// Records that a new connection to an upstream was opened.
    pub fn note_opened(&self, service: &str, upstream: Number) {
        if self.reach.borrow_mut().note_opened(service, upstream) {
            info!(service, number = upstream, "path_open");
        }
    }

    /// Records that an upstream of a service answered over a connection that was opened earlier.
    pub fn note_answered(&self, service: &str) {
        self.reach.borrow_mut().note_answered(service);
    }

    /// Records that no connection to an upstream could be opened.
    pub fn note_failure(&self, service: &str, upstream: Number, now: Instant) {
        self.reach.borrow_mut().note_failure(service, upstream, now);
    }

    /// Forgets an upstream that has left.
    pub fn forget(&self, upstream: Number) {
        self.reach.borrow_mut().forget(upstream);
    }
}

/// Records that another host reaches an upstream that this host does not, and checks the paths to the other
/// services if that is news.
pub fn note_detour(state: &Rc<State>, service: &str, upstream: Number) {
    let paths = state.paths();
    if !paths.reach.borrow_mut().note_detour(service, upstream) {
        return;
    }
    warn!(service, number = upstream, "path_blocked");
    for other in services(state) {
        if other != service {
            spawn(check(Rc::clone(state), other)).detach();
        }
    }
}

/// Returns whether the path to the upstreams of a service may be blocked.
pub fn is_suspected(state: &State, service: &str) -> bool {
    let reach = state.paths().reach.borrow();
    if !reach.has_failures(service) {
        return false;
    }
    let open = targets(state, |entry| entry.announcement.service == service);
    reach.is_suspected(service, open.len(), state.now())
}

/// Tries to connect to upstreams of a service until one accepts.
pub async fn check(state: Rc<State>, service: ServiceId) {
    let mut targets = targets(&state, |entry| entry.announcement.service == service);
    for _ in 0..MAX_TRIED {
        let Some(target) = targets.choose(&mut *state.rng()).cloned() else {
            return;
        };
        if try_path(&state, &target).await {
            return;
        }
        targets.retain(|other| other.number != target.number);
    }
}

/// Tries blocked paths until the future is dropped.
pub async fn run(state: Rc<State>) {
    loop {
        compio::time::sleep(TRIAL_INTERVAL).await;
        for service in state.paths().blocked_services() {
            let targets = targets(&state, |entry| entry.announcement.service == service);
            let target = targets.choose(&mut *state.rng()).cloned();
            if let Some(target) = target {
                try_path(&state, &target).await;
            }
        }
        let blocked = state.paths().blocked_upstreams();
        let Some(upstream) = blocked.choose(&mut *state.rng()).copied() else {
            continue;
        };
        match state.upstream(upstream) {
            Some(target) => _ = try_path(&state, &target).await,
            None => state.paths().forget(upstream),
        }
    }
}

/// Tries to connect to an upstream, and records whether it accepts.
async fn try_path(state: &State, target: &Entry) -> bool {
    let service = &target.announcement.service;
    let accepts = port::check(target.announcement.address).await == Port::Accepts;
    if accepts {
        state.paths().note_opened(service, target.number);
    } else {
        state
            .paths()
            .note_failure(service, target.number, state.now());
    }
    accepts
}

/// Returns the services of the known upstreams.
fn services(state: &State) -> Vec<ServiceId> {
    let entries = state.upstreams();
    let services = entries.into_iter().map(|one| one.announcement.service);
    let mut services: Vec<ServiceId> = services.collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Returns the upstreams that take requests and are `wanted`.
fn targets<F: Fn(&Entry) -> bool>(state: &State, wanted: F) -> Vec<Entry> {
    let mut targets = state.upstreams();
    targets.retain(|entry| entry.announcement.stage.takes_requests() && wanted(entry));
    targets
}
