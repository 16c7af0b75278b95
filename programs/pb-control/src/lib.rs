//! The control replica: accepts changes, syncs them and hands them to the fleet.

pub mod error;
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
use futures_util::FutureExt;
use futures_util::pin_mut;
use futures_util::select;
use log::info;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::listener::Roles;

use crate::issuer::Issuer;
use crate::links::Links;
use crate::node::Node;
use crate::records::Records;
use crate::replication::Replication;
use crate::settings::Settings;

/// Runs a replica until `stop` is asked for; tells `bound` the address it listens on.
///
/// # Errors
///
/// Returns an error when the data folder cannot be used, the address cannot be bound or the disk
/// fails.
pub async fn run<B>(settings: Settings, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let socket = TcpListener::bind(settings.listen)
        .with_context(|| format!("cannot listen on {}", settings.listen))?;
    run_on(socket, settings, stop, bound).await
}

/// Runs a replica on a bound socket, for callers that must know all addresses beforehand.
///
/// # Errors
///
/// Returns an error when the data folder or the socket cannot be used or the disk fails.
pub async fn run_on<B>(
    socket: TcpListener,
    settings: Settings,
    stop: Stop,
    bound: B,
) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let node = Rc::new(Node::open(&settings, Rc::new(System))?);
    let issuer = Issuer::new(Rc::clone(&node), Rc::new(System), settings.seats);
    let records = Records::new(Rc::clone(&node), Rc::new(System));
    let listener = Listener::adopt(socket, settings.secret.clone())?;
    let address = listener.address()?;
    info!(
        "control: {} listens on {address} at revision {}",
        settings.host,
        node.revision()
    );
    bound(address);
    let links = Rc::new(Links::new(Rc::clone(&node), &settings));
    let replication = Rc::new(Replication::new(Rc::clone(&node), links));
    let roles = Roles {
        control: Some(server::client(
            node,
            Rc::clone(&replication),
            issuer,
            records,
        )),
        peer: None,
    };
    let serving = listener.roles(roles).serve().fuse();
    let replicating = replication.run().fuse();
    let work = async {
        pin_mut!(serving, replicating);
        select! {
            () = serving => Ok(()),
            result = replicating => result,
        }
    };
    let result = stop.until(work).await.unwrap_or(Ok(()));
    info!("control: {} stopped", settings.host);
    result
}
