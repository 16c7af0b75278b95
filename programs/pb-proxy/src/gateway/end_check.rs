//! Finds out whether an upstream has ended.
//!
//! A broken connection alone may be due to the path or to one lost answer. An upstream has ended if its port
//! refuses a new connection while another upstream accepts one; a host that is cut off is refused by both.
//!
//! An answer without a length may end because its upstream has ended. It counts as whole only if that start of the
//! upstream is seen alive behind it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_core::id::ServiceId;
use persimmonbend_core::poison::End;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use rand::seq::SliceRandom;
use tracing::info;

use crate::gateway::state::State;
use crate::port;
use crate::port::Port;

/// Other upstreams of the service, and of other services, that are tried until one accepts. All of a small
/// service may have ended, and some of a large one that nobody knows of yet.
const MAX_WITNESSES: usize = 8;

/// Those among them that do not answer in time, which takes [`port::CONNECT_TIMEOUT`] each, before no more are tried.
const MAX_SILENT: usize = 4;

/// Time after which an upstream that still accepts connections is tried once more: the sockets of a process that ends
/// are closed one after another, the listening one last.
const SECOND_LOOK: Duration = Duration::from_millis(100);

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
    let mut ended = has_ended(&state, service, *address).await;
    if !ended {
        compio::time::sleep(SECOND_LOOK).await;
        ended = has_ended(&state, service, *address).await;
    }
    if ended {
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

/// Returns whether an upstream accepts connections, and no later start of one holds its address.
pub async fn is_alive(state: &State, upstream: Number, address: SocketAddr) -> bool {
    port::accepts(address).await && !state.is_replaced(upstream, address)
}

/// Returns whether an upstream refuses connections and another one accepts them.
pub async fn has_ended(state: &State, service: &str, address: SocketAddr) -> bool {
    if port::check(address).await != Port::Refuses {
        return false;
    }
    let mut silent = 0;
    for witness in witnesses(state, service, address) {
        match port::check(witness).await {
            Port::Accepts => return true,
            Port::Refuses => {}
            Port::Silent => silent += 1,
        }
        if silent == MAX_SILENT {
            break;
        }
    }
    false
}

/// Returns the addresses of a few other upstreams, those of the service first, and of these the ones that are not
/// known to have ended.
fn witnesses(state: &State, service: &str, address: SocketAddr) -> Vec<SocketAddr> {
    let mut others = state.upstreams();
    others.retain(|entry| entry.announcement.address != address);
    others.shuffle(&mut *state.rng());
    let ends = state.placer().ends(state.now());
    let ended = ends.iter().filter(|end| end.holds);
    let ended: BTreeSet<Number> = ended.map(|end| end.upstream).collect();
    others.sort_by_key(|entry| ended.contains(&entry.number));
    let is_near = |entry: &Entry| entry.announcement.service == service;
    let (near, far): (Vec<Entry>, Vec<Entry>) = others.into_iter().partition(is_near);
    let near = near.iter().take(MAX_WITNESSES);
    let witnesses = near.chain(far.iter().take(MAX_WITNESSES));
    witnesses.map(|entry| entry.announcement.address).collect()
}
