//! Relays links between the control leader and hosts that cannot reach it.
//!
//! A host that gets no answer from any control replica connects to one of the hosts that the leader
//! last listed as relays. A host with a direct link to the leader opens a second connection to it
//! and copies the bytes in both directions; the leader serves the relayed host as if it had
//! connected itself. A host whose own link is relayed does not relay. A host that cannot reach
//! control either may act as a deputy of the leader, see [`Deputy`].

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::future::select;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Purpose;
use persimmonbend_wire::link;
use persimmonbend_wire::listener;
use tracing::info;

use crate::gateway::deputy::Deputy;
use crate::gateway::state::State;

/// Time limit for a connection to the leader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Most links that one host relays at a time. Where nine hosts in ten are cut off, each of the
/// others relays nine links.
const MAX_RELAYED: usize = 32;

/// Size of the buffer for each direction of a relayed link.
const BUFFER_BYTES: usize = 16 * 1024;

/// Returns the handler of connections from hosts that cannot reach the leader.
pub fn handler(state: &Rc<State>, deputy: &Rc<Deputy>) -> listener::Handler {
    let state = Rc::clone(state);
    let deputy = Rc::clone(deputy);
    let relayed = Rc::new(Cell::new(0));
    Rc::new(move |stream, from| {
        if relayed.get() >= MAX_RELAYED || state.stop().is_asked() {
            return;
        }
        let state = Rc::clone(&state);
        let Some(leader) = state.placer().direct_leader() else {
            if state.placer().is_control_unreachable() {
                let deputy = Rc::clone(&deputy);
                spawn(async move { deputy.serve(&state, stream, from).await }).detach();
            }
            return;
        };
        relayed.set(relayed.get() + 1);
        let relayed = Rc::clone(&relayed);
        spawn(async move {
            let reason = relay(&state, stream, leader).await;
            relayed.set(relayed.get() - 1);
            info!(peer = %from, %leader, reason = %reason, "relay_ended");
        })
        .detach();
    })
}

/// Relays a host's connection to the leader; returns why it ended.
async fn relay(state: &State, host: TcpStream, leader: SocketAddr) -> Error {
    let dialing = link::dial(leader, &state.settings().secret, Purpose::Dispatch);
    let control = match timeout(CONNECT_TIMEOUT, dialing).await {
        Ok(Ok(control)) => control,
        Ok(Err(error)) => return error,
        Err(_) => return Error::Timeout,
    };
    let up = copy(host.clone(), control.clone());
    let down = copy(control, host);
    let (error, _) = select(Box::pin(up), Box::pin(down)).await.factor_first();
    error
}

/// Copies bytes until one of the two ends fails or closes.
async fn copy(mut from: TcpStream, mut to: TcpStream) -> Error {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let BufResult(result, read) = from.read(buffer).await;
        match result {
            Ok(length) if length > 0 => {}
            Ok(_) => return Error::Io(std::io::ErrorKind::UnexpectedEof.into()),
            Err(error) => return error.into(),
        }
        let BufResult(result, written) = to.write_all(read).await;
        if let Err(error) = result {
            return error.into();
        }
        buffer = written;
    }
}
