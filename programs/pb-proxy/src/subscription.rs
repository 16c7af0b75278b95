//! The subscription to control that keeps the configuration current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use persimmonbend_core::config::State;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;
use persimmonbend_wire::update::Update;

use crate::node::Node;

/// Time that one watch waits for a change; doubles as the ping of an idle link.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause before the next replica is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Follows control until the future is dropped, from one replica to the next.
pub async fn run(node: Rc<Node>) {
    let replicas = node.settings().control.clone();
    let mut failures: usize = 0;
    loop {
        let replica = replicas[failures % replicas.len()];
        let error = follow(&node, replica).await;
        if failures == 0 {
            warn!("control: lost {replica}: {error}");
        }
        failures += 1;
        compio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Puts an update in force and returns whether it reached a newer revision.
pub fn take_in(node: &Node, update: Update) -> bool {
    let state = match update {
        Update::Snapshot(state) => *state,
        Update::Changes(entries) if entries.is_empty() => return false,
        Update::Changes(entries) => {
            let mut state = State::clone(&node.board().config());
            for entry in &entries {
                state.apply(entry);
            }
            state
        }
    };
    let revision = state.revision();
    let newer = node.board_mut().put_config(state);
    if newer {
        info!("config: revision {revision} is in force");
    }
    newer
}

async fn follow(node: &Rc<Node>, replica: SocketAddr) -> Error {
    match Link::connect(replica, &node.settings().host, &node.settings().secret).await {
        Ok(link) => match link.control() {
            Ok(control) => watch(node, &control).await,
            Err(error) => error,
        },
        Err(error) => error,
    }
}

async fn watch(node: &Rc<Node>, control: &Client) -> Error {
    loop {
        let since = node.board().config().revision();
        let wait = if node.is_configured() {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        match control.watch(&node.settings().host, since, wait).await {
            Ok(update) => {
                take_in(node, update);
                node.set_configured();
            }
            Err(error) => return error,
        }
    }
}
