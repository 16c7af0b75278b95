//! Finds out whether an upstream that broke off a request has ended.
//!
//! A broken connection alone may be due to the path or to one lost answer. An upstream has ended if its port
//! refuses a new connection while another upstream accepts one; a host that is cut off is refused by both.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::poison::End;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use rand::seq::SliceRandom;
use tracing::info;

use crate::gateway::state::State;

/// Time limit for a connection; a round trip takes one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Other upstreams that are tried until one accepts; some of them may have ended as well.
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
    if !is_refused(interruption.address).await {
        return;
    }
    for witness in witnesses(&state, &interruption) {
        if is_accepted(witness).await {
            info!(
                request = interruption.request,
                content = %interruption.content,
                number = interruption.upstream,
                "upstream_ended"
            );
            let end = End::new(interruption.content, interruption.upstream);
            state.placer().note_end(end, state.now());
            return;
        }
    }
}

/// Returns the addresses of other upstreams in random order, those of the same service if there are any.
fn witnesses(state: &State, interruption: &Interruption) -> Vec<SocketAddr> {
    let mut others = state.upstreams();
    others.retain(|entry| entry.announcement.address != interruption.address);
    let is_of_service = |entry: &Entry| entry.announcement.service == interruption.service;
    if others.iter().any(is_of_service) {
        others.retain(is_of_service);
    }
    others.shuffle(&mut *state.rng());
    let addresses = others.iter().map(|entry| entry.announcement.address);
    addresses.take(MAX_WITNESSES).collect()
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn is_accepted(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}
