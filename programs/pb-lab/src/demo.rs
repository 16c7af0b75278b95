//! Demo of a small fleet with load and one grey upstream, in one process.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use anyhow::ensure;
use compio::runtime::spawn;
use cyper::Client;
use pb_ctl::fleet::Fleet;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use serde_json::Value;
use serde_json::json;

use crate::ejection;
use crate::ejection::Ejection;
use crate::fleet;
use crate::fleet::Files;
use crate::fleet::Part;
use crate::load;
use crate::load::Stream;
use crate::report::Summary;
use crate::report::Tally;
use crate::upstream::Fault;
use crate::upstream::Ledger;
use crate::upstream::Setup;

const PROXY_COUNT: usize = 3;
const UPSTREAM_COUNT: usize = 6;
const SLOTS_PER_UPSTREAM: usize = 3;
/// Mean time that an upstream takes for a request.
const WORK_TIME: Duration = Duration::from_millis(5);
const TENANTS: [&str; 2] = ["clinic-etna", "farm-noto"];
/// ID of the upstream that becomes grey.
const GREY_UPSTREAM: &str = "upstream-0";

/// Forms that one tenant files per second, each sent twice concurrently with the same idempotency
/// key.
const FORMS_PER_SECOND: f64 = 5.0;

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Time from the start of the load until the upstream becomes grey.
const GREY_DELAY: Duration = Duration::from_secs(3);
/// Look-ups per second of one tenant.
const LOOKUPS_PER_SECOND: f64 = 100.0;

/// Time for every proxy to apply a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the demo and prints its steps and the summary, or only the summary if `json` is true.
///
/// # Errors
///
/// Returns an error when a part of the fleet fails, an answer is wrong, a non-idempotent request
/// ran twice, a key reached an upstream, or no request was answered.
pub async fn run(json: bool) -> anyhow::Result<()> {
    let print = |text: &str| {
        if !json {
            println!("{text}");
        }
    };
    let ledger = Ledger::new();
    let testbed = Testbed::start(&ledger)?;
    print(&format!(
        "started 1 control replica, {PROXY_COUNT} proxies and {UPSTREAM_COUNT} upstreams"
    ));
    let keys = testbed.publish().await?;
    print("published one service with two routes, two tenants and their keys");

    let start = Instant::now();
    let streams = TENANTS.iter().zip(keys).zip(1..);
    let loads: Vec<_> = streams
        .flat_map(|((tenant, key), seed)| testbed.streams(tenant, &key, seed))
        .map(|stream| spawn(load::run(stream)))
        .collect();
    compio::time::sleep(GREY_DELAY).await;
    testbed.make_grey(0).await?;
    let grey_since = Instant::now();
    print("made upstream-0 grey: it answers 2 s late");

    let mut total = Tally::new();
    for load in loads {
        match load.await {
            Ok(tally) => total.merge(&tally?),
            Err(_) => bail!("a load panicked"),
        }
    }
    let ejections = ejection::read(&testbed.dumps().await);
    let summary = Summary {
        detection_ms: ejection::detection(&ejections, GREY_UPSTREAM, grey_since).map(millis),
        false_ejections: Some(false_ejections(&ejections, start, grey_since)),
        ..summarize(&total, ledger.duplicates())
    };
    print(&describe(&summary));
    let keys_seen = ledger.keys_seen();
    testbed.end()?;
    if json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    }
    ensure!(
        total.wrong == 0,
        "{} answers were neither a refusal nor the complete answer to their request",
        total.wrong
    );
    ensure!(
        summary.duplicates_run == 0,
        "a non-idempotent request ran more than once"
    );
    ensure!(
        keys_seen == 0,
        "upstreams received a key of a client {keys_seen} times"
    );
    ensure!(total.complete > 0, "no request was answered");
    Ok(())
}

struct Testbed {
    files: Files,
    control: Part,
    proxies: Vec<Part>,
    upstreams: Vec<Part>,
    upstream_addresses: Vec<SocketAddr>,
    addresses: Vec<pb_proxy::Addresses>,
    operator: Fleet,
}

impl Testbed {
    fn start(ledger: &Ledger) -> anyhow::Result<Self> {
        let files = Files::create()?;
        let (control, control_address) = fleet::control(&files, "control-0")?;
        let operator = fleet::operator(&files, &[control_address])?;
        let mut proxies = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..PROXY_COUNT {
            let (part, address) = fleet::proxy(
                &files,
                &format!("host-{number}"),
                "a",
                &[control_address],
                &[],
            )?;
            proxies.push(part);
            addresses.push(address);
        }
        let mut upstreams = Vec::new();
        let mut upstream_addresses = Vec::new();
        for number in 0..UPSTREAM_COUNT {
            let setup = setup(number, &addresses)?;
            let (part, address) = fleet::upstream(setup, ledger.clone())?;
            upstreams.push(part);
            upstream_addresses.push(address);
        }
        Ok(Self {
            files,
            control,
            proxies,
            upstreams,
            upstream_addresses,
            addresses,
            operator,
        })
    }

    async fn publish(&self) -> anyhow::Result<Vec<Secret>> {
        let base = self.operator.config().await?.revision();
        let services = vec![service()?];
        self.submit(Change::Publish { services }, Some(base))
            .await?;
        let mut keys = Vec::new();
        let mut revision = 0;
        for tenant in TENANTS {
            let rate = Rate {
                per_second: 200.0,
                burst: 200,
            };
            let tenant = tenant.to_owned();
            let set = Tenant {
                id: tenant.clone(),
                rate,
            };
            self.submit(Change::SetTenant { tenant: set }, None).await?;
            let secret = Secret::generate(&mut rand::rng());
            let issue = Change::IssueKey {
                digest: secret.digest(),
                tenant,
                label: "demo".to_owned(),
            };
            revision = self.submit(issue, None).await?;
            keys.push(secret);
        }
        self.wait_until_applied(revision).await?;
        Ok(keys)
    }

    async fn submit(&self, change: Change, base: Option<u64>) -> anyhow::Result<u64> {
        match self.operator.submit(change, base).await? {
            Outcome::Accepted { revision } => Ok(revision),
            other => bail!("the change was not accepted: {other:?}"),
        }
    }

    async fn wait_until_applied(&self, revision: u64) -> anyhow::Result<()> {
        let (_link, control) = self.operator.leader().await?;
        let waiting = async {
            loop {
                let status = control.status().await?;
                let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
                let current = hosts
                    .iter()
                    .filter(|host| host["revision"] == revision)
                    .count();
                if current == PROXY_COUNT {
                    return Ok(());
                }
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        match compio::time::timeout(APPLY_TIMEOUT, waiting).await {
            Ok(result) => result,
            Err(_) => bail!("revision {revision} is not in force on every proxy"),
        }
    }

    /// Returns the load of one tenant: look-ups in the register, and forms that are sent twice.
    fn streams(&self, tenant: &str, key: &Secret, seed: u64) -> [Stream; 3] {
        let lookups = Stream {
            name: tenant.to_owned(),
            key: Some(key.clone()),
            path: "/herd/register".to_owned(),
            method: hyper::Method::GET,
            idempotency: false,
            per_second: LOOKUPS_PER_SECOND,
            duration: LOAD_TIME,
            proxies: self
                .addresses
                .iter()
                .map(|address| address.callers)
                .collect(),
            seed,
        };
        let forms = Stream {
            name: format!("{tenant}-return"),
            path: "/returns/lodge".to_owned(),
            method: hyper::Method::POST,
            idempotency: true,
            per_second: FORMS_PER_SECOND,
            ..lookups.clone()
        };
        [lookups, forms.clone(), forms]
    }

    async fn dumps(&self) -> Vec<Value> {
        let mut dumps = Vec::new();
        for addresses in &self.addresses {
            if let Ok((_link, proxy)) = self.operator.proxy(addresses.peers).await {
                dumps.extend(proxy.dump().await);
            }
        }
        dumps
    }

    async fn make_grey(&self, number: usize) -> anyhow::Result<()> {
        let url = format!("http://{}/_lab/fault", self.upstream_addresses[number]);
        let request = Client::new()?
            .post(url)?
            .json(&Fault::Slow { by_ms: 2_000 })?;
        let response = request.send().await?;
        ensure!(
            response.status().is_success(),
            "the upstream did not accept the fault"
        );
        Ok(())
    }

    fn end(mut self) -> anyhow::Result<()> {
        for part in self.upstreams.iter_mut().chain(&mut self.proxies) {
            part.ask_to_stop();
        }
        for part in self.upstreams.into_iter().chain(self.proxies) {
            part.end()?;
        }
        self.control.end()?;
        drop(self.files);
        Ok(())
    }
}

fn setup(number: usize, proxies: &[pb_proxy::Addresses]) -> anyhow::Result<Setup> {
    Ok(Setup {
        id: format!("upstream-{number}"),
        service: "herd".to_owned(),
        zone: "a".to_owned(),
        listen: "127.0.0.1:0".parse()?,
        slots: SLOTS_PER_UPSTREAM,
        work: WORK_TIME,
        proxies: proxies.iter().map(|address| address.platform).collect(),
        seed: u64::try_from(number)?,
    })
}

fn service() -> anyhow::Result<Service> {
    let file: File = serde_json::from_value(json!({
        "service": "herd",
        "owner": "registry",
        "routes": [
            { "id": "register", "prefix": "/herd", "methods": ["GET"], "deadline_ms": 1_500 },
            { "id": "returns", "prefix": "/returns", "methods": ["POST"], "non_idempotent": true },
        ],
    }))?;
    Service::try_from(file).map_err(|faults| anyhow::anyhow!("{faults}"))
}

fn false_ejections(ejections: &[Ejection], start: Instant, grey_since: Instant) -> u64 {
    let is_grey =
        |ejection: &Ejection| ejection.upstream == GREY_UPSTREAM && ejection.at >= grey_since;
    let false_ejections = ejection::false_ejections(ejections, start, is_grey);
    u64::try_from(false_ejections).unwrap_or(u64::MAX)
}

fn describe(summary: &Summary) -> String {
    match summary.detection_ms {
        Some(time) => format!("the fleet ejected {GREY_UPSTREAM} after {time} ms"),
        None => format!("the fleet did not eject {GREY_UPSTREAM}"),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn summarize(total: &Tally, duplicates_run: u64) -> Summary {
    Summary {
        requests: total.requests,
        complete: total.complete,
        refused_not_run: total.refused_not_run,
        unknown: total.unknown,
        duplicates_run,
        wrongful_refusals: total.refused_not_run,
        detection_ms: None,
        false_ejections: None,
        added_latency_p50_ms: total.added_ms(0.5),
        added_latency_p99_ms: total.added_ms(0.99),
    }
}
