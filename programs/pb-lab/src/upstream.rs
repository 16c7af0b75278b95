//! A stand-in upstream that announces itself to proxies, has slots and can be made grey.

mod announcer;
mod fault;
mod ledger;
mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;

pub use fault::Fault;
pub use ledger::Arrival;
pub use ledger::Ledger;

/// Parameters of a stand-in upstream.
#[derive(Debug, Clone)]
pub struct Setup {
    /// ID.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Zone that it announces.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Requests that it executes at a time.
    pub slots: usize,
    /// Mean time that a request takes.
    pub work: Duration,
    /// Platform addresses of proxies to announce to.
    pub proxies: Vec<SocketAddr>,
    /// Seed of its random generator.
    pub seed: u64,
}

/// Runs a stand-in upstream until a stop is requested and its last request has ended.
///
/// The upstream counts executions in `ledger` and calls `bound` with the address it listens on.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn run<B>(setup: Setup, ledger: Ledger, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr),
{
    run_behind(setup, ledger, stop, |address| {
        bound(address);
        address
    })
    .await
}

/// Runs a stand-in upstream that announces the address which `bound` returns, such as that of a
/// relay in front of the upstream.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn run_behind<B>(setup: Setup, ledger: Ledger, stop: Stop, bound: B) -> anyhow::Result<()>
where
    B: FnOnce(SocketAddr) -> SocketAddr,
{
    let socket = Server::bind(setup.listen).await?;
    let address = bound(socket.address()?);
    let upstream = Rc::new(server::Upstream::new(&setup, ledger));
    let announcing = compio::runtime::spawn(announcer::run(
        setup,
        address,
        Rc::clone(&upstream),
        stop.clone(),
    ));
    let closing = Stop::new();
    let serving = compio::runtime::spawn(socket.serve(upstream, closing.clone()));
    let _ = announcing.await;
    closing.ask();
    let _ = serving.await;
    Ok(())
}
