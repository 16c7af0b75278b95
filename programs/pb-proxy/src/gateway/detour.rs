//! Sends requests to upstreams through another host.
//!
//! A host that cannot connect to upstreams hands the request for one, which the dispatcher has granted it, to
//! another host. That host sends it to this upstream once, or says why it did not, and passes the answer back
//! as it arrives. Everything else stays with the host of the client: the slot, the deadline, retries, and what
//! the client is told.

mod admission;
mod server;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use persimmonbend_core::roster::Number;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::link;
use rand::seq::SliceRandom;

pub use admission::Admission;
pub use server::handler;

use crate::gateway::state::State;
use crate::pool::Connection;

/// Number of the upstream that a request is for.
const UPSTREAM: HeaderName = HeaderName::from_static("x-detour-upstream");

/// Present if a connection that has carried other requests may be used.
const REUSE: HeaderName = HeaderName::from_static("x-detour-reuse");

/// Why the other host has no answer of the upstream.
const FAULT: HeaderName = HeaderName::from_static("x-detour-fault");

/// Time limit for a connection to another host with its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Hosts that are asked for one attempt.
const MAX_HOSTS: usize = 3;

/// Time for which a host is not asked again that could not help.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time for which no other host is asked for an upstream that one could not connect to.
const UNREACHED_TIME: Duration = Duration::from_secs(1);

/// Longest idle time after which a connection to another host is used again.
const REUSE_AGE: Duration = Duration::from_secs(5);

/// Why another host has no answer of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It did not send the request, as it may be cut off itself.
    Blocked,
    /// It did not send the request, as the upstream wants none from it or is not known to it.
    Unwilling,
    /// It did not send the request, as it could not connect to the upstream.
    Unreachable,
    /// The upstream broke the request off.
    Broken,
    /// The upstream broke the request off and has ended.
    Ended,
}

impl Fault {
    const ALL: [Self; 5] = [
        Self::Blocked,
        Self::Unwilling,
        Self::Unreachable,
        Self::Broken,
        Self::Ended,
    ];

    /// Returns the name of the fault, as it is sent and logged.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Blocked => "blocked",
            Self::Unwilling => "unwilling",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Ended => "ended",
        }
    }

    /// Returns the fault that an answer of another host states, if it states one.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(FAULT)?;
        let found = Self::ALL.into_iter().find(|fault| value == fault.name());
        Some(found.unwrap_or(Self::Broken))
    }
}

/// The hosts that can be asked to send requests.
#[derive(Debug, Default)]
pub struct Hosts {
    /// The host that helped last.
    helper: Cell<Option<SocketAddr>>,
    /// Hosts that could not help, with the time until which they are not asked.
    refused_until: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Upstreams that another host could not connect to either, with the time until which none is asked.
    unreached_until: RefCell<BTreeMap<Number, Instant>>,
    admission: Admission,
}

impl Hosts {
    /// Returns whose requests this host sends.
    #[must_use]
    pub const fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns the hosts to ask in this order: the one that helped last, then others in random order.
    pub fn candidates(&self, state: &State) -> Vec<SocketAddr> {
        let now = state.now();
        let mut refused = self.refused_until.borrow_mut();
        refused.retain(|_, until| now < *until);
        let own = state.settings().relay;
        let mut hosts = state.placer().relays();
        hosts.retain(|host| *host != own && !refused.contains_key(host));
        hosts.shuffle(&mut *state.rng());
        if let Some(helper) = self.helper.get().filter(|one| hosts.contains(one)) {
            hosts.retain(|host| *host != helper);
            hosts.insert(0, helper);
        }
        hosts.truncate(MAX_HOSTS);
        hosts
    }

    /// Notes that a host is handed a request. It counts as the helper again once it has an answer, so that
    /// requests do not gather at a host that has fallen silent.
    pub fn note_use(&self, host: SocketAddr) {
        if self.helper.get() == Some(host) {
            self.helper.set(None);
        }
    }

    /// Notes that a host sent a request and had an answer.
    pub fn note_help(&self, host: SocketAddr) {
        self.helper.set(Some(host));
    }

    /// Returns whether another host could not connect to an upstream a moment ago.
    pub fn is_unreached(&self, upstream: Number, now: Instant) -> bool {
        let mut unreached = self.unreached_until.borrow_mut();
        unreached.retain(|_, until| now < *until);
        unreached.contains_key(&upstream)
    }

    /// Notes that another host could not connect to an upstream either.
    pub fn note_unreached(&self, upstream: Number, now: Instant) {
        let mut unreached = self.unreached_until.borrow_mut();
        unreached.insert(upstream, now + UNREACHED_TIME);
    }

    /// Notes that a host could not be reached or could not send a request.
    pub fn note_refusal(&self, host: SocketAddr, now: Instant) {
        let mut refused = self.refused_until.borrow_mut();
        refused.insert(host, now + REFUSAL_TIME);
    }
}

/// Returns a connection to another host, for a request that may use an old connection if `may_reuse`.
pub async fn connect(state: &State, host: SocketAddr, may_reuse: bool) -> Option<Connection> {
    let pool = state.pool();
    if may_reuse && let Some(connection) = pool.take_idle(host, REUSE_AGE, state.now()) {
        return Some(connection);
    }
    let dialing = link::dial(host, &state.settings().secret, Purpose::Detour);
    let stream = timeout(CONNECT_TIMEOUT, dialing).await.ok()?.ok()?;
    pool.adopt(host, stream, state.now()).await.ok()
}

/// Addresses a request to an upstream behind another host.
pub fn address_to(headers: &mut HeaderMap, upstream: Number, may_reuse: bool) {
    headers.insert(UPSTREAM, HeaderValue::from(upstream));
    headers.remove(REUSE);
    if may_reuse {
        headers.insert(REUSE, HeaderValue::from_static("1"));
    }
}
