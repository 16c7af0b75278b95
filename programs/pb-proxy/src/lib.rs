//! The entry proxy of a fleet: authenticates requests, enforces quotas, chooses upstreams and
//! forwards requests to them.

pub mod auth;
pub mod callers;
pub mod control;
pub mod explain;
pub mod forward;
mod framing;
pub mod gateway;
pub mod gossip;
pub mod links;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod platform;
pub mod pool;
mod port;
pub mod rates;
pub mod records;
pub mod refusal;
pub mod settings;
pub mod slots;
pub mod subscription;
pub mod trace;
pub mod withdrawals;

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use compio::runtime::spawn;
use log::info;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::listener::Roles;

use crate::node::Node;
use crate::settings::Settings;

/// Addresses that a running proxy listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for the requests of clients.
    pub callers: SocketAddr,
    /// Address for announcements of upstreams and health checks of the platform.
    pub platform: SocketAddr,
    /// Address for other proxies and operators' tools.
    pub peers: SocketAddr,
}

/// Runs a proxy until `stop` is requested and its last request has ended.
///
/// Calls `on_bound` with the bound addresses once the proxy listens on them.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run<B>(mut settings: Settings, stop: Stop, on_bound: B) -> anyhow::Result<()>
where
    B: FnOnce(Addresses),
{
    let callers = bind(settings.callers).await?;
    let platform = bind(settings.platform).await?;
    let listener = Listener::bind(settings.peers, settings.secret.clone()).await;
    let listener = listener.with_context(|| format!("cannot listen on {}", settings.peers))?;
    let addresses = Addresses {
        callers: callers.address()?,
        platform: platform.address()?,
        peers: listener.address()?,
    };
    info!(
        "proxy: {} accepts requests on {}",
        settings.host, addresses.callers
    );
    settings.peers = addresses.peers;
    on_bound(addresses);

    let node = Rc::new(Node::new(settings, Rc::new(System), stop.clone()));
    let roles = Roles {
        control: None,
        peer: Some(peer::client(Rc::clone(&node))),
    };
    let ended = Stop::new();
    let background = [
        spawn(
            listener
                .roles(roles)
                .slots(slots::handler(Rc::clone(&node)))
                .serve(),
        ),
        spawn(slots::run(Rc::clone(&node))),
        spawn(subscription::run(Rc::clone(&node))),
        spawn(gossip::run(Rc::clone(&node))),
        spawn(node::remove_expired(Rc::clone(&node))),
        spawn(metrics::run(Rc::clone(&node))),
        spawn(node::close_after_notice(Rc::clone(&node))),
    ];
    let rates = spawn(rates::run(Rc::clone(&node)));
    let platform_server = spawn(platform.serve(
        Rc::new(platform::Endpoint::new(Rc::clone(&node))),
        ended.clone(),
    ));
    callers
        .serve(
            Rc::new(callers::Endpoint::new(Rc::clone(&node))),
            node.closing().clone(),
        )
        .await;
    node.executions().wait_until_idle().await;
    drop(rates);
    rates::stop(&node).await;
    ended.ask();
    let _ = platform_server.await;
    drop(background);
    info!("proxy: {} stopped", node.settings().host);
    Ok(())
}

async fn bind(address: SocketAddr) -> anyhow::Result<Server> {
    let server = Server::bind(address).await;
    server.with_context(|| format!("cannot listen on {address}"))
}
