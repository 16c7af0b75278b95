//! Signed-in operators and the bound on failed sign-ins.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

/// Time after which an unused session ends.
pub const IDLE_LIFETIME: Duration = Duration::from_secs(60 * 60);

/// Time after which a session ends in any case.
pub const LIFETIME: Duration = Duration::from_secs(12 * 60 * 60);

/// Sessions kept at a time.
pub const MAX_SESSIONS: usize = 256;

/// Failed sign-ins that one address may make in a window.
pub const MAX_FAILURES: u32 = 5;

/// Time that a window of failed sign-ins lasts.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(60);

/// Addresses whose failures are counted at a time.
const MAX_ADDRESSES: usize = 1_024;

/// Groups of an IPv6 address that belong to one network.
const NETWORK_GROUPS: usize = 4;

/// One signed-in operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Session {
    /// Name of the operator.
    pub operator: String,
    /// Token that every form of this session carries.
    pub form_token: String,
    started: Instant,
    used: Instant,
}

impl Session {
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.used) >= IDLE_LIFETIME
            || now.saturating_duration_since(self.started) >= LIFETIME
    }
}

/// The sessions by their secret names.
#[derive(Debug, Default)]
pub struct Sessions {
    sessions: BTreeMap<String, Session>,
}

impl Sessions {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            sessions: BTreeMap::new(),
        }
    }

    /// Starts a session and returns its secret name.
    pub fn start(&mut self, operator: &str, now: Instant) -> String {
        self.sessions.retain(|_, session| !session.is_over(now));
        if self.sessions.len() >= MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, one)| one.used);
            let oldest = oldest.map(|(name, _)| name.clone());
            self.sessions
                .retain(|name, _| Some(name) != oldest.as_ref());
        }
        let name = random_name();
        let session = Session {
            operator: operator.to_owned(),
            form_token: random_name(),
            started: now,
            used: now,
        };
        self.sessions.insert(name.clone(), session);
        name
    }

    /// Returns a session that is not over, and counts as its use.
    pub fn find(&mut self, name: &str, now: Instant) -> Option<Session> {
        let session = self.sessions.get_mut(name)?;
        if session.is_over(now) {
            self.sessions.remove(name);
            return None;
        }
        session.used = now;
        Some(session.clone())
    }

    /// Ends a session.
    pub fn end(&mut self, name: &str) {
        self.sessions.remove(name);
    }
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    since: Instant,
}

/// Failed sign-ins by address.
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

    /// Returns how long the address must wait before it may try again, if it must.
    #[must_use]
    pub fn wait(&self, address: IpAddr, now: Instant) -> Option<Duration> {
        let failures = self.failures.get(&network(address))?;
        let left = FAILURE_WINDOW.checked_sub(now.saturating_duration_since(failures.since))?;
        (failures.count >= MAX_FAILURES && !left.is_zero()).then_some(left)
    }

    /// Counts a failed sign-in.
    pub fn fail(&mut self, address: IpAddr, now: Instant) {
        let lapsed = |one: &Failures| now.saturating_duration_since(one.since) >= FAILURE_WINDOW;
        self.failures.retain(|_, one| !lapsed(one));
        if self.failures.len() >= MAX_ADDRESSES {
            let oldest = self.failures.iter().min_by_key(|(_, one)| one.since);
            let oldest = oldest.map(|(address, _)| *address);
            self.failures.retain(|address, _| Some(*address) != oldest);
        }
        let fresh = Failures {
            count: 0,
            since: now,
        };
        self.failures.entry(network(address)).or_insert(fresh).count += 1;
    }
}

/// Returns a name that cannot be guessed.
#[must_use]
pub fn random_name() -> String {
    let (high, low): (u128, u128) = rand::rng().random();
    format!("{high:032x}{low:032x}")
}

fn network(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V4(_) => address,
        IpAddr::V6(six) => {
            let mut groups = six.segments();
            groups[NETWORK_GROUPS..].fill(0);
            IpAddr::V6(Ipv6Addr::from(groups))
        }
    }
}
