//! Sessions of signed-in operators and the limit on failed sign-ins.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

/// Time after its last use at which a session expires.
pub const IDLE_LIFETIME: Duration = Duration::from_secs(60 * 60);

/// Time after its start at which a session expires, even if it is in use.
pub const LIFETIME: Duration = Duration::from_secs(12 * 60 * 60);

/// Largest number of sessions; a new one replaces the one that is unused for the longest time.
pub const MAX_SESSIONS: usize = 256;

/// Failed sign-ins from one network in a window, after which further ones must wait.
pub const MAX_FAILURES: u32 = 5;

/// Window over which failed sign-ins are counted.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(60);

/// Largest number of networks whose failures are counted.
const MAX_ADDRESSES: usize = 1_024;

/// Leading 16-bit groups of an IPv6 address that identify its network (a /64 prefix).
const NETWORK_PREFIX_GROUPS: usize = 4;

/// A session of a signed-in operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Name of the operator.
    pub operator: String,
    /// Token that every form of this session carries, against cross-site request forgery.
    pub form_token: String,
    started: Instant,
    last_used: Instant,
}

impl Session {
    fn has_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_used) >= IDLE_LIFETIME
            || now.saturating_duration_since(self.started) >= LIFETIME
    }
}

/// The sessions by their secret IDs.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<String, Session>,
}

impl Sessions {
    /// Creates a set without sessions.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            sessions: BTreeMap::new(),
        }
    }

    /// Starts a session and returns its secret ID.
    pub fn start(&mut self, operator: &str, now: Instant) -> String {
        self.sessions.retain(|_, session| !session.has_expired(now));
        if self.sessions.len() >= MAX_SESSIONS {
            let oldest = self
                .sessions
                .iter()
                .min_by_key(|(_, session)| session.last_used);
            let oldest = oldest.map(|(id, _)| id.clone());
            self.sessions.retain(|id, _| Some(id) != oldest.as_ref());
        }
        let id = random_id();
        let session = Session {
            operator: operator.to_owned(),
            form_token: random_id(),
            started: now,
            last_used: now,
        };
        self.sessions.insert(id.clone(), session);
        id
    }

    /// Returns a session unless it has expired, and records that it is in use.
    pub fn find(&mut self, id: &str, now: Instant) -> Option<Session> {
        let session = self.sessions.get_mut(id)?;
        if session.has_expired(now) {
            self.sessions.remove(id);
            return None;
        }
        session.last_used = now;
        Some(session.clone())
    }

    /// Ends a session.
    pub fn end(&mut self, id: &str) {
        self.sessions.remove(id);
    }
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    since: Instant,
}

/// Counts failed sign-ins by network: one IPv4 address or one /64 prefix of IPv6.
#[derive(Debug, Default)]
pub struct Limiter {
    failures: BTreeMap<IpAddr, Failures>,
}

impl Limiter {
    /// Creates an empty limiter.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failures: BTreeMap::new(),
        }
    }

    /// Returns how long an address must wait before its next sign-in, or `None` if it need not.
    #[must_use]
    pub fn retry_delay(&self, address: IpAddr, now: Instant) -> Option<Duration> {
        let failures = self.failures.get(&network_of(address))?;
        let remaining =
            FAILURE_WINDOW.checked_sub(now.saturating_duration_since(failures.since))?;
        (failures.count >= MAX_FAILURES && !remaining.is_zero()).then_some(remaining)
    }

    /// Counts a failed sign-in.
    pub fn record_failure(&mut self, address: IpAddr, now: Instant) {
        let has_ended =
            |failures: &Failures| now.saturating_duration_since(failures.since) >= FAILURE_WINDOW;
        self.failures.retain(|_, failures| !has_ended(failures));
        if self.failures.len() >= MAX_ADDRESSES {
            let oldest = self
                .failures
                .iter()
                .min_by_key(|(_, failures)| failures.since);
            let oldest = oldest.map(|(address, _)| *address);
            self.failures.retain(|address, _| Some(*address) != oldest);
        }
        let initial = Failures {
            count: 0,
            since: now,
        };
        self.failures
            .entry(network_of(address))
            .or_insert(initial)
            .count += 1;
    }
}

/// Returns 256 random bits as 64 hexadecimal digits.
#[must_use]
pub fn random_id() -> String {
    let (high, low): (u128, u128) = rand::rng().random();
    format!("{high:032x}{low:032x}")
}

fn network_of(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V4(_) => address,
        IpAddr::V6(address_v6) => {
            let mut groups = address_v6.segments();
            groups[NETWORK_PREFIX_GROUPS..].fill(0);
            IpAddr::V6(Ipv6Addr::from(groups))
        }
    }
}
