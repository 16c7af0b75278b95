//! Gossip with other proxies: sends and answers the messages of
//! [`persimmonbend_core::membership`] and fetches newer configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::spawn;
use log::debug;
use log::info;
use persimmonbend_core::membership::Envelope;
use persimmonbend_core::membership::message::Message;
use persimmonbend_core::membership::schedule::TICK_INTERVAL;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::gossip;
use persimmonbend_wire::peer::Client;

use crate::node::Node;
use crate::subscription;

/// Delay before changes are pushed, so that one message carries several.
const PUSH_DELAY: Duration = Duration::from_millis(10);

/// Most exchanges that run at a time.
const MAX_CONCURRENT_EXCHANGES: usize = 32;

/// Most messages that are sent in one exchange.
const MAX_EXCHANGE_MESSAGES: usize = 8;

/// Most messages that a starting proxy sends to fetch the membership view of another proxy.
const MAX_JOIN_MESSAGES: usize = 2_048;

/// Time after its start at which a configured proxy stops looking for a view to fetch.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two attempts to fetch the membership view.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends the gossip messages that are due until the future is dropped.
pub async fn run(node: Rc<Node>) {
    spawn(join(Rc::clone(&node))).detach();
    loop {
        node.wait_for_gossip(TICK_INTERVAL).await;
        compio::time::sleep(PUSH_DELAY).await;
        let due = node.membership().tick(&mut node.board_mut());
        for envelope in due {
            start_exchange(&node, envelope);
        }
        if node.is_joined() && !node.is_configured() && has_current_config(&node) {
            node.set_configured();
        }
    }
}

/// Returns the encoded answer to a gossip message of another proxy.
///
/// # Errors
///
/// Returns [`Error::Malformed`] when the bytes do not decode as a message.
pub fn answer(node: &Rc<Node>, bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let message = gossip::decode(bytes)?;
    let answer = node.membership().answer(&mut node.board_mut(), &message);
    let reply = gossip::encode(&answer)?;
    node.wake_gossip();
    if message.revision > node.board().config().revision() {
        let node = Rc::clone(node);
        spawn(async move { fetch_config_from(&node, message.from.peers).await }).detach();
    }
    Ok(reply)
}

fn start_exchange(node: &Rc<Node>, envelope: Envelope) {
    if node.running_exchanges().get() >= MAX_CONCURRENT_EXCHANGES {
        return;
    }
    node.running_exchanges()
        .set(node.running_exchanges().get() + 1);
    let node = Rc::clone(node);
    spawn(async move {
        if let Err(error) = exchange(&node, &envelope).await {
            debug!("members: gossip with {} failed: {error}", envelope.to);
            node.links().remove(envelope.to);
        }
        node.running_exchanges()
            .set(node.running_exchanges().get() - 1);
    })
    .detach();
}

async fn exchange(node: &Rc<Node>, envelope: &Envelope) -> Result<(), Error> {
    let link = node.links().link(node, envelope.to).await?;
    let peer = link.peer()?;
    let mut next = Some(envelope.message.clone());
    for _ in 0..MAX_EXCHANGE_MESSAGES {
        let Some(message) = next else {
            break;
        };
        (next, _) = round_trip(node, &peer, &message).await?;
    }
    node.wake_gossip();
    Ok(())
}

/// Sends one message and applies its answer; returns the next message of the exchange, if any, and
/// whether both sides hold the same view.
async fn round_trip(
    node: &Rc<Node>,
    peer: &Client,
    message: &Message,
) -> Result<(Option<Message>, bool), Error> {
    let bytes = gossip::encode(message)?;
    let sent = node.now();
    let reply = peer.gossip(&bytes).await?;
    let answer = gossip::decode(&reply)?;
    if answer.revision > node.board().config().revision() {
        fetch_config(node, peer).await?;
    }
    let in_sync = answer.summary.is_some() && answer.buckets.is_empty();
    let next = node
        .membership()
        .handle_answer(&mut node.board_mut(), sent, &answer);
    Ok((next, in_sync))
}

async fn fetch_config(node: &Rc<Node>, peer: &Client) -> Result<(), Error> {
    let since = node.board().config().revision();
    let update = peer.update(since).await?;
    subscription::apply(node, update);
    node.wake_gossip();
    Ok(())
}

async fn fetch_config_from(node: &Rc<Node>, address: SocketAddr) {
    if node.is_fetching_config().replace(true) {
        return;
    }
    let fetched = async {
        let link = node.links().link(node, address).await?;
        fetch_config(node, &link.peer()?).await
    };
    if let Err(error) = fetched.await {
        debug!("config: cannot fetch the configuration from {address}: {error}");
        node.links().remove(address);
    }
    node.is_fetching_config().set(false);
}

/// Returns whether this host has a configuration and was recently in contact with most other
/// hosts, which would have handed over a newer one.
fn has_current_config(node: &Node) -> bool {
    let (reachable, all) = node.membership().reachability().recent_contacts(node.now());
    let others = reachable.saturating_sub(1);
    node.board().config().revision() > 0 && all > 1 && others * 2 > all - 1
}

/// Fetches the membership view of another proxy, without which this proxy is not ready.
async fn join(node: Rc<Node>) {
    let started = node.now();
    loop {
        let contacts = node.membership().contacts();
        for contact in &contacts {
            if fetch_view(&node, *contact).await.unwrap_or(false) {
                info!("members: fetched the membership view from {contact}");
                node.set_joined();
                return;
            }
            node.links().remove(*contact);
        }
        let waited = node.now().duration_since(started);
        if node.is_configured() && (contacts.is_empty() || waited >= JOIN_TIMEOUT) {
            info!("members: no other proxy answers; continuing without a membership view");
            node.set_joined();
            return;
        }
        compio::time::sleep(JOIN_RETRY_PAUSE).await;
    }
}

async fn fetch_view(node: &Rc<Node>, contact: SocketAddr) -> Result<bool, Error> {
    let link = node.links().link(node, contact).await?;
    let peer = link.peer()?;
    let mut next = None;
    for _ in 0..MAX_JOIN_MESSAGES {
        let message = next.unwrap_or_else(|| node.membership().open(&node.board()));
        let (following, in_sync) = round_trip(node, &peer, &message).await?;
        if in_sync {
            return Ok(true);
        }
        next = following;
    }
    Ok(false)
}
