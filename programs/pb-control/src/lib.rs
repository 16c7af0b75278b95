//! A control replica: commits changes of the fleet's state to a replicated log and serves the state
//! to proxies, upstreams and operators.

pub mod api;
pub mod dispatch;
pub mod error;
pub mod explain;
mod feed;
pub mod issuer;
pub mod leadership;
pub mod links;
pub mod node;
pub mod records;
pub mod replication;
pub mod server;
pub mod settings;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;

use anyhow::Context;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use futures_util::FutureExt;
use futures_util::pin_mut;
use futures_util::select;
use log::info;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::System;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::listener::Roles;
use tracing::warn;

use crate::api::Api;
use crate::api::Dialect;
use crate::dispatch::Service;
use crate::dispatch::meters::Exporter;
use crate::explain::Explainer;
use crate::issuer::Issuer;
use crate::links::Links;
use crate::node::Halt;
use crate::node::Node;
use crate::records::Records;
use crate::replication::REOPEN_PAUSE;
use crate::replication::Replication;
use crate::settings::Settings;

/// Runs a replica until `stop` is requested; calls `on_bound` with the address that it listens on.
///
/// # Errors
///
/// Returns an error when the data folder cannot be used, the address cannot be bound or the disk
/// fails.
pub async fn run<B>(settings: Settings, stop: Stop, on_bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let socket = TcpListener::bind(settings.listen)
        .with_context(|| format!("cannot listen on {}", settings.listen))?;
    run_on(socket, settings, stop, on_bound).await
}

/// Runs a replica on a bound socket, for callers that need the addresses of all replicas before
/// they start one.
///
/// # Errors
///
/// Returns an error when the data folder or the socket cannot be used or the disk fails.
pub async fn run_on<B>(
    socket: TcpListener,
    settings: Settings,
    stop: Stop,
    on_bound: B,
) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    serve(socket, settings, None, stop, on_bound).await
}

/// The address and the format of the API for operators and upstreams.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Address that the API is served on.
    pub listen: SocketAddr,
    /// Translation between the platform's HTTP calls and this crate's types.
    pub dialect: Rc<dyn Dialect>,
    /// Address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
}

/// Runs a replica with the API for operators and upstreams until `stop` is requested.
///
/// # Errors
///
/// Returns an error as [`run`] does.
pub async fn run_with(settings: Settings, endpoint: Endpoint, stop: Stop) -> anyhow::Result<()> {
    let socket = TcpListener::bind(settings.listen)
        .with_context(|| format!("cannot listen on {}", settings.listen))?;
    serve(socket, settings, Some(endpoint), stop, |_| ()).await
}

/// Opens the replica; tries again while its storage fails in a way that may pass.
async fn open(settings: &Settings, clock: &Rc<dyn Clock>) -> anyhow::Result<Node> {
    let mut is_logged = false;
    loop {
        match Node::open(settings, Rc::clone(clock)) {
            Ok(node) => return Ok(node),
            Err(halt) if halt.is_recoverable() => {
                if !is_logged {
                    warn!(reason = %halt, "storage_lost");
                }
                is_logged = true;
                compio::time::sleep(REOPEN_PAUSE).await;
            }
            Err(halt @ Halt::Unreadable(_)) => match replication::wait_for_upgrade(&halt).await {},
            Err(halt) => return Err(halt.into()),
        }
    }
}

/// Serves the metrics of a replica; one that cannot is of use without them.
async fn serve_metrics(
    address: SocketAddr,
    dispatch: &Rc<Service>,
    ended: &Stop,
) -> Option<JoinHandle<()>> {
    let server = Server::bind(address).await;
    let server = server.inspect_err(|error| warn!(%address, %error, "metrics_not_served"));
    let exporter = Rc::new(Exporter::new(Rc::clone(dispatch)));
    Some(spawn(server.ok()?.serve(exporter, ended.clone())))
}

async fn serve<B>(
    socket: TcpListener,
    settings: Settings,
    endpoint: Option<Endpoint>,
    stop: Stop,
    on_bound: B,
) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let clock: Rc<dyn Clock> = Rc::new(System);
    let Some(node) = stop.until(open(&settings, &clock)).await else {
        return Ok(());
    };
    let node = Rc::new(node?);
    let dispatch = Service::new(Rc::clone(&node), clock, &settings);
    let issuer = Issuer::new(Rc::clone(&node), Rc::new(System), settings.seats);
    let records = Records::new(Rc::clone(&node), Rc::new(System));
    let listener = Listener::adopt(socket, settings.secret.clone())?;
    let address = listener.address()?;
    info!(
        "control: {} listens on {address} at revision {}",
        settings.host,
        node.revision()
    );
    on_bound(address);
    let explainer = Rc::new(Explainer::new(
        Rc::clone(&node),
        Rc::clone(&dispatch),
        settings.zones.clone(),
    ));
    let ended = Stop::new();
    let mut background = vec![spawn({
        let dispatch = Rc::clone(&dispatch);
        async move { dispatch.run().await }
    })];
    if let Some(endpoint) = endpoint {
        let api = Api::new(
            Rc::clone(&node),
            Rc::clone(&dispatch),
            endpoint.dialect,
            endpoint.listen,
            Rc::clone(&explainer),
        );
        let server = Server::bind(endpoint.listen).await;
        let server = server.with_context(|| format!("cannot listen on {}", endpoint.listen))?;
        background.push(spawn(server.serve(Rc::new(api), ended.clone())));
        if let Some(metrics) = endpoint.metrics {
            background.extend(serve_metrics(metrics, &dispatch, &ended).await);
        }
    }
    let links = Rc::new(Links::new(Rc::clone(&node), &settings));
    let replication = Rc::new(Replication::new(Rc::clone(&node), links));
    let roles = Roles {
        control: Some(server::client(
            node,
            Rc::clone(&replication),
            issuer,
            records,
        )),
        peer: Some(explainer.client()),
    };
    let serving = listener
        .roles(roles)
        .dispatch(dispatch.handler())
        .serve()
        .fuse();
    let replicating = replication.run().fuse();
    pin_mut!(serving);
    let work = async {
        pin_mut!(replicating);
        select! {
            () = serving => Ok(()),
            result = replicating => result,
        }
    };
    let result = stop.until(work).await;
    if result.is_none() {
        replication.transfer_leadership().await;
    }
    let result = result.unwrap_or(Ok(()));
    drop(background);
    info!("control: {} stopped", settings.host);
    result
}
