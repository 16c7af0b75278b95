//! Subscription to control, which keeps the configuration of this proxy current.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use persimmonbend_core::config::Entry;
use persimmonbend_core::config::State;
use persimmonbend_core::id::Revision;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;
use persimmonbend_wire::update::Update;

use crate::node::Node;
use crate::withdrawals;

/// Time that one watch waits for a change; its answer is also the heartbeat of an idle link.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Most changes that are kept for other proxies; the latest ones stay.
const RECENT_ENTRIES: usize = 64;

/// A watch waits at most for the isolation timeout divided by this, so that its answer comes before
/// the proxy counts as isolated.
const ISOLATION_DIVISOR: u32 = 2;

/// Time after a failed link until the next replica is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Watches control until the future is dropped; goes on to the next replica after a failure.
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
        compio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Puts an update in force and returns whether it reached a newer revision.
pub fn apply(node: &Node, update: Update) -> bool {
    let state = match update {
        Update::Snapshot(state) => {
            if state.revision() > node.board().config().revision() {
                node.recent_changes().borrow_mut().clear();
            }
            *state
        }
        Update::Changes(entries) if entries.is_empty() => return false,
        Update::Changes(entries) => {
            let mut state = State::clone(&node.board().config());
            for entry in entries {
                if state.apply(&entry) {
                    store_recent(node, entry);
                }
            }
            state
        }
    };
    let revision = state.revision();
    let is_newer = node.board_mut().put_config(state);
    if is_newer {
        info!("config: revision {revision} is in force");
    }
    is_newer
}

/// Returns an update from revision `since`: the changes if all are kept, or else a snapshot.
#[must_use]
pub fn update(node: &Node, since: Revision) -> Update {
    let config = node.board().config();
    if since >= config.revision() {
        return Update::Changes(Vec::new());
    }
    let recent = node.recent_changes().borrow();
    let is_covered = recent
        .front()
        .is_some_and(|first| first.revision <= since + 1);
    if !is_covered {
        return Update::Snapshot(Box::new(State::clone(&config)));
    }
    let newer = recent.iter().filter(|entry| entry.revision > since);
    Update::Changes(newer.cloned().collect())
}

/// Keeps a change for other proxies and drops the oldest beyond [`RECENT_ENTRIES`].
fn store_recent(node: &Node, entry: Entry) {
    let mut recent = node.recent_changes().borrow_mut();
    recent.push_back(entry);
    if recent.len() > RECENT_ENTRIES {
        recent.pop_front();
    }
}

/// Connects to a replica and watches it until a call fails; returns the error.
async fn follow(node: &Rc<Node>, replica: SocketAddr) -> Error {
    match Link::connect(replica, &node.settings().host, &node.settings().secret).await {
        Ok(link) => match link.control() {
            Ok(control) => watch(node, &control).await,
            Err(error) => error,
        },
        Err(error) => error,
    }
}

/// Applies the changes from one replica until a call fails; returns the error.
async fn watch(node: &Rc<Node>, control: &Client) -> Error {
    loop {
        let since = node.board().config().revision();
        let wait = if node.is_configured() {
            WATCH_WAIT.min(node.settings().isolation / ISOLATION_DIVISOR)
        } else {
            Duration::ZERO
        };
        let sent = node.now();
        let own = node.membership().own().clone();
        match control.watch(&own, since, wait).await {
            Ok((update, book)) => {
                node.membership().record_control_contact(sent);
                node.membership().add_contacts(book);
                apply(node, update);
                node.wake_gossip();
                node.set_configured();
                if let Err(error) = withdrawals::submit_due(node, control).await {
                    return error;
                }
            }
            Err(error) => return error,
        }
    }
}
