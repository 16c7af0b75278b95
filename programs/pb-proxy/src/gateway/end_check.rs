//! Finds out whether an upstream that broke off a request has ended.
//!
//! A broken connection alone may be due to the path or to one lost answer. An upstream has ended if its port
//! refuses a new connection while another upstream accepts one; a host that is cut off is refused by both.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpStream;
use compio::time::timeout;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::poison::End;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use rand::seq::SliceRandom;
use tracing::info;

use crate::gateway::paths;
use crate::gateway::paths::CONNECT_TIMEOUT;
use crate::gateway::state::State;

/// Other upstreams of the service, and of other services, that are tried until one accepts. All of a small
/// service may have ended.
const MAX_WITNESSES: usize = 2;

/// A request that an upstream broke off.
#[derive(Debug, Clone)]
pub struct Interruption {
    /// Id of the request.
    pub request: String,
    /// Content of the request.
    pub content: Fingerprint,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Number,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// Finds out whether the upstream of an interrupted request has ended, and records the end.
pub async fn run(state: Rc<State>, interruption: Interruption) {
    let Interruption {
        service, address, ..
    } = &interruption;
    if has_ended(&state, service, *address).await {
        note_end(&state, &interruption);
    }
}

/// Records that the upstream of an interrupted request has ended.
pub fn note_end(state: &State, interruption: &Interruption) {
    info!(
        request = interruption.request,
        content = %interruption.content,
        number = interruption.upstream,
        "upstream_ended"
    );
    let end = End::new(interruption.content, interruption.upstream);
    state.placer().note_end(end, state.now());
}

/// Returns whether an upstream refuses connections and another one accepts them.
pub async fn has_ended(state: &State, service: &str, address: SocketAddr) -> bool {
    if !is_refused(address).await {
        return false;
    }
    for witness in witnesses(state, service, address) {
        if paths::is_accepted(witness).await {
            return true;
        }
    }
    false
}

/// Returns the addresses of a few other upstreams, those of the service first.
fn witnesses(state: &State, service: &str, address: SocketAddr) -> Vec<SocketAddr> {
    let mut others = state.upstreams();
    others.retain(|entry| entry.announcement.address != address);
    others.shuffle(&mut *state.rng());
    let is_near = |entry: &Entry| entry.announcement.service == service;
    let (near, far): (Vec<Entry>, Vec<Entry>) = others.into_iter().partition(is_near);
    let near = near.iter().take(MAX_WITNESSES);
    let witnesses = near.chain(far.iter().take(MAX_WITNESSES));
    witnesses.map(|entry| entry.announcement.address).collect()
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
