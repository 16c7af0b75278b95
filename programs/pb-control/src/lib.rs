//! The control replica: accepts changes, syncs them and hands them to the fleet.

pub mod error;
pub mod issuer;
pub mod leadership;
pub mod node;
pub mod records;
pub mod server;
pub mod settings;

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use log::info;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_wire::listener::Listener;
use persimmonbend_wire::listener::Roles;

use crate::issuer::Issuer;
use crate::node::Node;
use crate::records::Records;
use crate::settings::Settings;

/// Runs a replica until `stop` is asked for; tells `bound` the address it listens on.
///
/// # Errors
///
/// Returns an error when the data folder cannot be used or the address cannot be bound.
pub async fn run<B>(settings: Settings, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let node = Rc::new(Node::open(&settings, Rc::new(System))?);
    let issuer = Issuer::new(Rc::clone(&node), Rc::new(System), settings.seats);
    let records = Records::new(Rc::clone(&node), Rc::new(System));
    let listener = Listener::bind(settings.listen, settings.secret.clone()).await;
    let listener = listener.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let address = listener.address()?;
    info!(
        "control: {} listens on {address} at revision {}",
        settings.host,
        node.revision()
    );
    bound(address);
    let roles = Roles {
        control: Some(server::client(node, issuer, records)),
        peer: None,
    };
    stop.until(listener.roles(roles).serve()).await;
    info!("control: {} stopped", settings.host);
    Ok(())
}
