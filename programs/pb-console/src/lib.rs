//! The operators' pages: what the fleet does, and the actions of the person on call.
//!
//! [`server::Console`] turns a browser's request into a page; [`view::View`] gathers what the
//! pages show; [`perform`] carries out confirmed actions.

pub mod action;
pub mod chart;
pub mod form;
pub mod html;
pub mod page;
pub mod perform;
pub mod server;
pub mod session;
pub mod settings;
pub mod view;

use std::net::SocketAddr;
use std::rc::Rc;

use log::info;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;

use crate::server::Console;
use crate::settings::Settings;

/// Runs the console until `stop` is asked for; tells `bound` the address it listens on.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn run<B>(settings: Settings, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    let server = Server::bind(settings.listen).await?;
    info!("console: listens on {}", server.address()?);
    bound(server.address()?);
    let console = Console::new(settings, Rc::new(System));
    server.serve(Rc::new(console), stop).await;
    Ok(())
}
