//! Benchmark of claims and outcomes of execution records at control replicas that sync their files.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use persimmonbend_core::key::Digest;
use persimmonbend_core::record::Answer;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Outcome;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Verdict;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;

use crate::fleet;
use crate::fleet::Files;

/// Longest latency that histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Time for a leader to be elected.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two searches for a leader.
const ELECTION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Size of the stored answers.
const ANSWER_BYTES: usize = 200;

/// Parameters of the benchmark.
#[derive(Debug, Clone, Copy, Bpaf)]
pub struct Plan {
    /// Number of claims, sent one after the other
    #[bpaf(long, argument("N"), fallback(2_000))]
    pub claims: u64,
    /// Number of control replicas
    #[bpaf(long, argument("N"), fallback(1))]
    pub replicas: usize,
}

/// Claims and completes records sequentially and prints the latencies.
///
/// # Errors
///
/// Returns an error when a replica does not start, no leader is elected or a claim is refused.
pub async fn run(plan: Plan) -> anyhow::Result<()> {
    let files = Files::create()?;
    let names: Vec<String> = (0..plan.replicas).map(|n| format!("control-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let replicas = fleet::controls(&files, &names)?;
    let addresses: Vec<SocketAddr> = replicas.iter().map(|(_, address)| *address).collect();
    let measured = measure(&files, &addresses, plan).await;
    for (replica, _) in replicas {
        replica.end()?;
    }
    let (claims, outcomes) = measured?;
    print("claim", &claims);
    print("outcome", &outcomes);
    Ok(())
}

async fn measure(
    files: &Files,
    replicas: &[SocketAddr],
    plan: Plan,
) -> anyhow::Result<(Histogram<u64>, Histogram<u64>)> {
    let secret = std::fs::read_to_string(files.secret())?;
    let secret = Secret::from(secret.trim().to_owned());
    let (_link, client) = leader(replicas, &secret).await?;
    let mut claims = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
    let mut outcomes = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
    for number in 0..plan.claims {
        let (claimed, completed) = measure_one(&client, number).await?;
        claims.record(micros(claimed))?;
        outcomes.record(micros(completed))?;
    }
    Ok((claims, outcomes))
}

/// Waits for a leader and returns a link to it.
async fn leader(replicas: &[SocketAddr], secret: &Secret) -> anyhow::Result<(Link, Client)> {
    let until = Instant::now() + ELECTION_TIMEOUT;
    while Instant::now() < until {
        for address in replicas {
            let link = Link::connect(*address, "lab", secret).await?;
            let client = link.control()?;
            if client.ping().await? {
                return Ok((link, client));
            }
        }
        compio::time::sleep(ELECTION_POLL_INTERVAL).await;
    }
    bail!("no leader was elected")
}

async fn measure_one(client: &Client, number: u64) -> anyhow::Result<(Duration, Duration)> {
    let claim = claim(number);
    let started = Instant::now();
    let verdict = client.claim(&claim, Duration::ZERO).await;
    let claimed = started.elapsed();
    if verdict.context("a claim failed")? != Verdict::Fresh {
        bail!("claim {number} is not fresh");
    }
    let outcome = Outcome::Answered {
        answer: Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; ANSWER_BYTES],
        },
    };
    let started = Instant::now();
    client.complete(&claim, &outcome).await?;
    Ok((claimed, started.elapsed()))
}

fn claim(number: u64) -> Claim {
    Claim {
        name: Name {
            tenant: "farm".to_owned(),
            route: "herd/lodge".to_owned(),
            key: format!("{number:032x}"),
        },
        request: Digest::from([0; 32]),
        owner: Owner {
            host: "lab".to_owned(),
            attempt: number,
        },
        execution_timeout: Duration::from_secs(10),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_US)
}

fn print(what: &str, histogram: &Histogram<u64>) {
    let p50 = histogram.value_at_quantile(0.5);
    let p99 = histogram.value_at_quantile(0.99);
    let count = histogram.len();
    println!("{what}: p50 {p50} us, p99 {p99} us, {count} calls");
}
