//! Runs a scenario on processes and sockets of this machine.
//!
//! Hosts and control replicas are processes. Stand-in upstreams are threads of the process that
//! runs the scenario, which therefore knows exactly which requests they executed. Besides the
//! expectations of the scenario, every run checks the invariants of the fleet.

mod client;
mod figures;
mod marks;
mod process;
mod relay;
mod testbed;

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::ensure;
use compio::runtime::spawn;

use crate::run::figures::Figures;
use crate::run::testbed::Testbed;
use crate::scenario::Scenario;

/// Time for the last requests to finish everywhere before the figures are read.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Runs a scenario file and prints its figures.
///
/// # Errors
///
/// Returns an error when the file cannot be read or parsed, a part of the fleet does not start, an
/// invariant is violated, or an expectation is missed.
pub async fn run(file: &Path, seed: u64) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(file);
    let text = text.with_context(|| format!("cannot read {}", file.display()))?;
    let scenario = Scenario::try_from(text.as_str());
    let scenario = scenario.with_context(|| format!("{}", file.display()))?;
    let figures = execute(&scenario, seed).await?;
    println!("{}", serde_json::to_string(&figures.to_json(&scenario))?);
    let missed: Vec<String> = scenario
        .expectations
        .iter()
        .filter(|expectation| !expectation.holds(figures.value(expectation.measure)))
        .map(ToString::to_string)
        .collect();
    let violations = figures.violations();
    ensure!(
        violations.is_empty(),
        "violated invariants: {}",
        violations.join("; ")
    );
    ensure!(
        missed.is_empty(),
        "missed expectations: {}",
        missed.join("; ")
    );
    Ok(())
}

async fn execute(scenario: &Scenario, seed: u64) -> anyhow::Result<Figures> {
    let mut testbed = Testbed::build(scenario, seed).await?;
    let start = Instant::now();
    let polling = spawn(client::poll_readiness(
        testbed.hosts(),
        start + scenario.length,
    ));
    let loads: Vec<_> = scenario
        .tenants
        .iter()
        .zip(1..)
        .map(|(tenant, number)| {
            let stream = testbed.stream(tenant, seed * 1_000 + number, scenario.length);
            spawn(client::run(stream))
        })
        .collect();
    for event in &scenario.events {
        compio::time::sleep_until(start + event.at).await;
        testbed.apply(&event.action).await?;
    }
    let mut samples = Vec::new();
    for load in loads {
        let taken = load.await.map_err(|_| anyhow::anyhow!("a load panicked"))?;
        samples.extend(taken);
    }
    let _ = polling.await;
    compio::time::sleep(SETTLE_TIME).await;
    let figures = Figures::new(scenario, start, &samples, &mut testbed).await;
    testbed.stop();
    Ok(figures)
}
