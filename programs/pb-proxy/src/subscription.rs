//! The subscription to control that keeps the configuration current.

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

/// Time that one watch waits for a change; doubles as the ping of an idle link.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Changes kept for other proxies.
const RECENT_ENTRIES: usize = 64;

/// Share of the isolation time that a watch may wait.
const ISOLATION_SHARE: u32 = 2;

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
                    keep(node, entry);
                }
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

/// Returns what is newer than `since`.
#[must_use]
pub fn update(node: &Node, since: Revision) -> Update {
    let config = node.board().config();
    if since >= config.revision() {
        return Update::Changes(Vec::new());
    }
    let recent = node.recent_changes().borrow();
    let reaches = recent
        .front()
        .is_some_and(|first| first.revision <= since + 1);
    if !reaches {
        return Update::Snapshot(Box::new(State::clone(&config)));
    }
    let newer = recent.iter().filter(|entry| entry.revision > since);
    Update::Changes(newer.cloned().collect())
}

/// Keeps a change for proxies that ask for it.
fn keep(node: &Node, entry: Entry) {
    let mut recent = node.recent_changes().borrow_mut();
    recent.push_back(entry);
    if recent.len() > RECENT_ENTRIES {
        recent.pop_front();
    }
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
            WATCH_WAIT.min(node.settings().isolation / ISOLATION_SHARE)
        } else {
            Duration::ZERO
        };
        let sent = node.now();
        let own = node.membership().own().clone();
        match control.watch(&own, since, wait).await {
            Ok((update, book)) => {
                node.membership().record_control_contact(sent);
                node.membership().add_contacts(book);
                take_in(node, update);
                node.wake_gossip();
                node.set_configured();
                if let Err(error) = withdrawals::pass_on(node, control).await {
                    return error;
                }
            }
            Err(error) => return error,
        }
    }
}
