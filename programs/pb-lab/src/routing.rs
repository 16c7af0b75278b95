//! Benchmark that compares the routing settings of proxies on real sockets.
//!
//! Each row of the table is measured on its own fleet: proxies and upstreams on threads, one
//! service, open-loop arrivals. The wait is the client's latency without the time that the upstream
//! worked after it had a free slot. It includes queueing at the steward and at the upstream, and
//! the time on all sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use anyhow::bail;
use anyhow::ensure;
use bpaf::Bpaf;
use compio::runtime::spawn;
use cyper::Client;
use hdrhistogram::Histogram;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Service;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::fleet;
use crate::fleet::Files;
use crate::fleet::Part;
use crate::upstream::Ledger;
use crate::upstream::Setup;

/// Values of the proxy's `routing` setting.
const ROUTING_SETTINGS: [&str; 3] = ["uniform", "two_choices", "steward"];

/// Time of load before the measurement, in which connections and links are opened.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time for every proxy to know all hosts and upstreams.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait that histograms record, in microseconds; longer waits count as this value.
const MAX_WAIT_US: u64 = 60_000_000;

/// Zones that upstreams and proxies are spread over.
const ZONES: [&str; 2] = ["a", "b"];

/// Parameters of the benchmark.
#[derive(Debug, Clone, Bpaf)]
pub struct Bench {
    /// Proxies
    #[bpaf(long, argument("COUNT"), fallback(8))]
    proxies: usize,
    /// Upstreams
    #[bpaf(long, argument("COUNT"), fallback(13))]
    upstreams: usize,
    /// Requests that an upstream runs at a time
    #[bpaf(long, argument("COUNT"), fallback(3))]
    slots: usize,
    /// Mean time that a request takes, in milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(20))]
    work_ms: u64,
    /// Time of the measurement, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(8))]
    seconds: u64,
    /// Time that a steward has for its first answer, in milliseconds
    #[bpaf(long, argument("MILLIS"), fallback(4))]
    steward_timeout_ms: u64,
    /// Seed of arrivals and work
    #[bpaf(long, argument("SEED"), fallback(1))]
    seed: u64,
    /// Loads in percent of the capacity
    #[bpaf(long("load"), argument("PERCENT"), many)]
    loads: Vec<u32>,
    /// Routing settings to compare: uniform, two_choices, steward
    #[bpaf(long("way"), argument("WAY"), many)]
    routings: Vec<String>,
}

impl Bench {
    fn loads(&self) -> Vec<u32> {
        if self.loads.is_empty() {
            return vec![40, 60, 80];
        }
        self.loads.clone()
    }

    fn routings(&self) -> Vec<String> {
        if self.routings.is_empty() {
            return ROUTING_SETTINGS.iter().map(ToString::to_string).collect();
        }
        self.routings.clone()
    }

    /// Returns the arrivals per second for a load in percent of the capacity.
    fn per_second(&self, load: u32) -> anyhow::Result<f64> {
        let slots = u32::try_from(self.upstreams * self.slots)?;
        let work = Duration::from_millis(self.work_ms).as_secs_f64();
        Ok(f64::from(slots) / work * f64::from(load) / 100.0)
    }
}

/// Counts and waits of one row.
#[derive(Debug)]
struct Row {
    wait: Histogram<u64>,
    sent: u64,
    failed: u64,
}

/// Measures every load with every routing setting and prints a table.
///
/// # Errors
///
/// Returns an error when a fleet does not start or its proxies cannot be reached.
pub async fn run(bench: Bench) -> anyhow::Result<()> {
    println!(
        "| way | load % | requests | failed | wait p50 ms | p99 ms | p99.9 ms | granted % | late % | queued % | slot bytes/request |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in bench.loads() {
        for routing in bench.routings() {
            let testbed = Testbed::start(&bench, &routing).await?;
            let line = testbed.measure(&bench, &routing, load).await?;
            println!("{line}");
            testbed.end()?;
        }
    }
    Ok(())
}

struct Testbed {
    files: Files,
    control: Part,
    proxies: Vec<Part>,
    upstreams: Vec<Part>,
    addresses: Vec<pb_proxy::Addresses>,
}

impl Testbed {
    async fn start(bench: &Bench, routing: &str) -> anyhow::Result<Self> {
        let files = Files::create()?;
        let (control, control_address) = fleet::control(&files, "control-0")?;
        let mut testbed = Self {
            files,
            control,
            proxies: Vec::new(),
            upstreams: Vec::new(),
            addresses: Vec::new(),
        };
        for number in 0..bench.proxies {
            let seeds: Vec<SocketAddr> = testbed
                .addresses
                .iter()
                .map(|address| address.peers)
                .collect();
            let extra = json!({
                "seeds": seeds,
                "routing": routing,
                "steward_timeout_ms": bench.steward_timeout_ms,
            });
            let name = format!("host-{number}");
            let zone = ZONES[number % ZONES.len()];
            let (part, addresses) =
                fleet::proxy_with(&testbed.files, &name, zone, &[control_address], &extra)?;
            testbed.proxies.push(part);
            testbed.addresses.push(addresses);
        }
        testbed.publish(control_address).await?;
        for number in 0..bench.upstreams {
            let setup = testbed.setup(bench, number)?;
            let (part, _) = fleet::upstream(setup, Ledger::new())?;
            testbed.upstreams.push(part);
        }
        testbed.wait_until_complete(bench).await?;
        Ok(testbed)
    }

    fn setup(&self, bench: &Bench, number: usize) -> anyhow::Result<Setup> {
        Ok(Setup {
            id: format!("upstream-{number}"),
            service: "herd".to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            listen: "127.0.0.1:0".parse()?,
            slots: bench.slots,
            work: Duration::from_millis(bench.work_ms),
            proxies: self
                .addresses
                .iter()
                .map(|address| address.platform)
                .collect(),
            seed: bench.seed + u64::try_from(number)?,
        })
    }

    async fn publish(&self, control: SocketAddr) -> anyhow::Result<()> {
        let operator = fleet::operator(&self.files, &[control])?;
        let file: File = serde_json::from_value(json!({
            "service": "herd",
            "owner": "lab",
            "routes": [{ "id": "all", "prefix": "/herd", "open": true, "deadline_ms": 10_000 }],
        }))?;
        let service = Service::try_from(file).map_err(|faults| anyhow!("{faults}"))?;
        let base = operator.config().await?.revision();
        let change = Change::Publish {
            services: vec![service],
        };
        match operator.submit(change, Some(base)).await? {
            Outcome::Accepted { .. } => Ok(()),
            other => bail!("the service was not accepted: {other:?}"),
        }
    }

    async fn wait_until_complete(&self, bench: &Bench) -> anyhow::Result<()> {
        let started = Instant::now();
        loop {
            let statuses = self.statuses().await?;
            let is_complete = |status: &Value| {
                status["upstreams"] == bench.upstreams
                    && status["hosts_live"] == bench.proxies
                    && status["ready"] == true
            };
            if statuses.iter().all(is_complete) {
                return Ok(());
            }
            ensure!(
                started.elapsed() < START_TIMEOUT,
                "not every proxy knows all hosts and upstreams: {statuses:?}"
            );
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn statuses(&self) -> anyhow::Result<Vec<Value>> {
        let secret = Secret::from(std::fs::read_to_string(self.files.secret())?);
        let mut statuses = Vec::new();
        for address in &self.addresses {
            let link = Link::connect(address.peers, "lab", &secret).await?;
            statuses.push(link.peer()?.status().await?);
        }
        Ok(statuses)
    }

    async fn slots(&self) -> anyhow::Result<Slots> {
        let statuses = self.statuses().await?;
        let sum = |field: &str| {
            let counts = statuses.iter();
            counts
                .filter_map(|status| status["slots"][field].as_u64())
                .sum()
        };
        Ok(Slots {
            granted: sum("granted"),
            queued: sum("queued"),
            late: sum("late"),
            bytes: sum("bytes_written"),
        })
    }

    async fn measure(&self, bench: &Bench, routing: &str, load: u32) -> anyhow::Result<String> {
        let per_second = bench.per_second(load)?;
        let callers: Vec<SocketAddr> = self
            .addresses
            .iter()
            .map(|address| address.callers)
            .collect();
        send(&callers, per_second, WARM_UP, bench.seed).await?;
        let before = self.slots().await?;
        let time = Duration::from_secs(bench.seconds);
        let row = send(&callers, per_second, time, bench.seed + 1).await?;
        let after = self.slots().await?;
        let share = |count: u64| percent(count, row.sent);
        Ok(format!(
            "| {routing} | {load} | {} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.2} | {:.1} | {:.0} |",
            row.sent,
            row.failed,
            row.quantile(0.5),
            row.quantile(0.99),
            row.quantile(0.999),
            share(after.granted - before.granted),
            share(after.late - before.late),
            share(after.queued - before.queued),
            share(after.bytes - before.bytes) / 100.0,
        ))
    }

    fn end(mut self) -> anyhow::Result<()> {
        for part in self.upstreams.iter_mut().chain(&mut self.proxies) {
            part.ask_to_stop();
        }
        for part in self.upstreams.into_iter().chain(self.proxies) {
            part.end()?;
        }
        self.control.end()
    }
}

/// Counters of the slot protocol, summed over the proxies.
#[derive(Debug, Clone, Copy)]
struct Slots {
    granted: u64,
    queued: u64,
    late: u64,
    bytes: u64,
}

impl Row {
    #[allow(clippy::cast_precision_loss)]
    fn quantile(&self, quantile: f64) -> f64 {
        self.wait.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

async fn send(
    callers: &[SocketAddr],
    per_second: f64,
    time: Duration,
    seed: u64,
) -> anyhow::Result<Row> {
    let client = Client::new()?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let row = Rc::new(RefCell::new(Row {
        wait: Histogram::new_with_max(MAX_WAIT_US, 3)?,
        sent: 0,
        failed: 0,
    }));
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = Vec::new();
    while due < time {
        due += Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / per_second);
        compio::time::sleep_until(started + due).await;
        let proxy = callers[rng.random_range(0..callers.len())];
        running.push(spawn(measure_request(
            client.clone(),
            proxy,
            Rc::clone(&row),
        )));
    }
    for task in running {
        let _ = task.await;
    }
    let row = Rc::try_unwrap(row).map_err(|_| anyhow!("a request is still running"))?;
    Ok(row.into_inner())
}

async fn measure_request(client: Client, proxy: SocketAddr, row: Rc<RefCell<Row>>) {
    let started = Instant::now();
    let work = send_request(&client, proxy).await;
    let total = started.elapsed();
    let mut row = row.borrow_mut();
    row.sent += 1;
    match work {
        Some(work) => {
            let wait = total.saturating_sub(work).as_micros();
            row.wait
                .saturating_record(u64::try_from(wait).unwrap_or(u64::MAX).max(1));
        }
        None => row.failed += 1,
    }
}

/// Sends a request and returns the time that the upstream worked, if the answer is complete.
async fn send_request(client: &Client, proxy: SocketAddr) -> Option<Duration> {
    let request = client.get(format!("http://{proxy}/herd/register")).ok()?;
    let response = request.send().await.ok()?;
    let header = response.headers().get("x-lab-work-us")?;
    let work = header.to_str().ok()?.parse().ok()?;
    response.bytes().await.ok()?;
    Some(Duration::from_micros(work))
}

#[allow(clippy::cast_precision_loss)]
fn percent(count: u64, all: u64) -> f64 {
    100.0 * count as f64 / all.max(1) as f64
}
