//! Whether a request for an upstream comes from a host of the fleet.
//!
//! Where the fleet has a secret, its handshake proves that. Without one, the address has to be that of a host: one
//! of the relays that the leader last listed, or one that the leader names when it is asked. The answer is kept for
//! a while, as hosts that lose the leader as well need detours most. A leader of a build that cannot be asked leaves
//! the port as it was.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use compio::time::timeout;
use event_listener::Event;
use persimmonbend_wire::dispatch::Frame;
use tracing::warn;

use crate::gateway::state::State;

/// Time for which an address counts as that of a host once the leader has said so.
const HOST_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which the leader is not asked again about an address that is not that of a host; a host that has just
/// started may not have linked yet.
const STRANGER_LIFETIME: Duration = Duration::from_secs(1);

/// Time limit for the answer of the leader; the other host gives up after 300 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Most addresses that are kept.
const MAX_ADDRESSES: usize = 4_096;

/// What the leader said of an address.
#[derive(Debug, Clone, Copy)]
struct Answer {
    is_host: bool,
    until: Instant,
}

/// Addresses of hosts, as the leader named them.
#[derive(Debug, Default)]
pub struct Admission {
    answers: RefCell<BTreeMap<IpAddr, Answer>>,
    answered: Event,
    refused: Cell<u64>,
}

impl Admission {
    /// Returns whether requests from an address are sent; counts and logs those that are not.
    pub async fn admits(&self, state: &State, from: IpAddr) -> bool {
        let is_admitted = !state.settings().secret.is_open() || self.is_host(state, from).await;
        if !is_admitted {
            self.refused.set(self.refused.get() + 1);
            warn!(peer = %from, "detour_stranger");
        }
        is_admitted
    }

    /// Notes what the leader says of an address.
    pub fn note_answer(&self, from: IpAddr, is_host: bool, now: Instant) {
        let mut answers = self.answers.borrow_mut();
        answers.retain(|_, answer| now < answer.until);
        if answers.len() < MAX_ADDRESSES {
            let lifetime = if is_host {
                HOST_LIFETIME
            } else {
                STRANGER_LIFETIME
            };
            let until = now + lifetime;
            answers.insert(from, Answer { is_host, until });
        }
        drop(answers);
        self.answered.notify(usize::MAX);
    }

    /// Returns the number of requests that were refused.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused.get()
    }

    async fn is_host(&self, state: &State, from: IpAddr) -> bool {
        let relays = state.placer().relays();
        if relays.iter().any(|relay| relay.ip() == from) {
            return true;
        }
        if let Some(answer) = self.answer(from, state.now()) {
            return answer;
        }
        match state.placer().leader_link() {
            None => false,
            Some(link) if link.level() < Frame::Identify(from).since() => true,
            Some(link) => {
                link.send(Frame::Identify(from));
                let waiting = self.wait(state, from);
                timeout(ANSWER_TIMEOUT, waiting).await.unwrap_or(false)
            }
        }
    }

    /// Waits until the leader has said whether an address is that of a host.
    async fn wait(&self, state: &State, from: IpAddr) -> bool {
        loop {
            let answered = self.answered.listen();
            if let Some(answer) = self.answer(from, state.now()) {
                return answer;
            }
            answered.await;
        }
    }

    /// Returns what the leader has said of an address lately.
    fn answer(&self, from: IpAddr, now: Instant) -> Option<bool> {
        let answer = self.answers.borrow().get(&from).copied();
        let current = answer.filter(|answer| now < answer.until);
        current.map(|answer| answer.is_host)
    }
}
