//! The console: HTML pages that show the state of the fleet and let the operator on call act.
//!
//! [`server::Console`] answers the requests of browsers, [`view::View`] collects the data of the
//! overview from control and the proxies, and [`perform`] carries out actions.

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

/// Runs the console until `stop` is requested; calls `bound` with the address it listens on.
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
