//! The proxy on a platform, whose requests are placed by the dispatcher on the control leader.
//!
//! The proxy of service files asks stewards among the proxies for slots. A gateway asks the
//! dispatcher, receives its configuration as one
//! [`Publication`](persimmonbend_core::publication::Publication), and uses a [`Dialect`] for the
//! headers of clients and upstreams.

mod bodies;
pub mod checks;
pub mod clients;
pub mod deputy;
pub mod detour;
pub mod dialect;
mod end_check;
pub mod exchange;
mod feed;
pub mod forward;
pub mod memory;
pub mod meters;
pub mod paths;
pub mod placement;
pub mod record;
pub mod relay;
mod rest;
pub mod settings;
pub mod spool;
pub mod state;
mod wait;
pub mod zones;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use compio::runtime::spawn;
use compio::time::timeout;
use persimmonbend_app::http::Limits;
use persimmonbend_app::http::Server;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_wire::listener::Listener;
use tracing::info;
use tracing::warn;

use crate::gateway::deputy::Deputy;
use crate::gateway::dialect::Dialect;
use crate::gateway::meters::Exporter;
use crate::gateway::settings::Settings;
use crate::gateway::state::State;

/// Time between two sweeps of idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time before the end of the grace period at which requests that still run are abandoned, so that the last frames
/// and log lines are written and the process has ended by then.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end at which requests whose upstreams have not answered get an error, so that it is written.
const GIVING_UP_TIME: Duration = Duration::from_millis(100);

/// Share of the grace period in which requests are sent for the first time; the rest is left for their answers.
const SENDING_SHARE: f64 = 0.5;

/// Time between two looks whether requests of other hosts still run, before this one ends.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a gateway until `stop` is requested and its last request or the grace period has ended.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run(settings: Settings, dialect: Rc<dyn Dialect>, stop: Stop) -> anyhow::Result<()> {
    let clients = bind(settings.clients).await?;
    let checks = bind(settings.checks).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let relay = Listener::bind(settings.relay, settings.secret.clone()).await;
    let relay = relay.with_context(|| format!("cannot listen on {}", settings.relay))?;
    info!(
        host = settings.host,
        zone = settings.zone,
        clients = %settings.clients,
        seeds = ?settings.seeds.borrow(),
        trusted_network = settings.secret.is_open(),
        "started"
    );
    let grace = settings.grace;
    let state = Rc::new(State::new(settings, dialect, Rc::new(System), stop));
    let deputy = Rc::new(Deputy::default());
    let ended = Stop::new();
    let mut background = vec![
        spawn(feed::run(Rc::clone(&state))),
        spawn(placement::run(Rc::clone(&state))),
        spawn(sweep(Rc::clone(&state))),
        spawn(paths::run(Rc::clone(&state))),
        spawn(
            relay
                .dispatch(relay::handler(&state, &deputy))
                .detour(detour::handler(&state))
                .serve(),
        ),
        spawn({
            let state = Rc::clone(&state);
            async move { deputy.run(&state).await }
        }),
        spawn(checks.serve(
            Rc::new(checks::Endpoint::new(Rc::clone(&state))),
            ended.clone(),
        )),
    ];
    if let Some(metrics) = metrics {
        let exporter = Rc::new(Exporter::new(Rc::clone(&state)));
        background.push(spawn(metrics.serve(exporter, ended.clone())));
    }
    let closing = spawn(close_after_notice(Rc::clone(&state)));
    let sending = spawn(end_sends(Rc::clone(&state), grace));
    let serving = clients.serve(
        Rc::new(clients::Endpoint::new(Rc::clone(&state))),
        state.closing().clone(),
    );
    let until_grace = async {
        state.stop().asked().await;
        let left = grace.saturating_sub(GRACE_MARGIN);
        compio::time::sleep(left.saturating_sub(GIVING_UP_TIME)).await;
        state.giving_up().ask();
        compio::time::sleep(GIVING_UP_TIME).await;
    };
    let until_idle = async {
        serving.await;
        while state.running().get() > 0 {
            compio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    futures_util::pin_mut!(until_idle, until_grace);
    let _ = futures_util::future::select(until_idle, until_grace).await;
    if state.running().get() > 0 {
        warn!(running = state.running().get(), "stopped_with_requests");
    }
    state.placer().announce_stop();
    compio::time::sleep(FLUSH_TIME).await;
    drop((closing, sending));
    drop(background);
    info!(host = state.settings().host, "stopped");
    Ok(())
}

/// Time after the notice period for which requests are read that clients sent before its end.
pub(crate) const LINGER: Duration = Duration::from_millis(200);

/// Time for the last frames to be written before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(20);

async fn bind(address: SocketAddr) -> anyhow::Result<Server> {
    let server = Server::bind(address).await;
    let server = server.with_context(|| format!("cannot listen on {address}"))?;
    Ok(server.limits(Limits {
        linger: LINGER,
        ..Limits::default()
    }))
}

async fn sweep(state: Rc<State>) {
    loop {
        compio::time::sleep(SWEEP_INTERVAL).await;
        state.pool().remove_expired(state.now());
    }
}

/// Closes the client port after the notice period, in which the load balancer sees that the host
/// is not ready.
async fn close_after_notice(state: Rc<State>) {
    state.stop().asked().await;
    let notice = state.settings().notice;
    info!(
        running = state.running().get(),
        notice_ms = u64::try_from(notice.as_millis()).unwrap_or(u64::MAX),
        "stopping"
    );
    let _ = timeout(notice, std::future::pending::<()>()).await;
    state.closing().ask();
}

/// Ends the time in which a stopping host sends requests that wait for a slot. A request that is sent later may be cut
/// by the end of the process; one that is refused can be served by another host.
async fn end_sends(state: Rc<State>, grace: Duration) {
    state.stop().asked().await;
    let reading = state.settings().notice + LINGER;
    compio::time::sleep(grace.mul_f64(SENDING_SHARE).max(reading)).await;
    state.last_send().ask();
}
