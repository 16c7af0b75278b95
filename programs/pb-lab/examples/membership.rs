//! Measures the traffic, processor time and memory of membership per proxy, and how fast changes
//! spread.
//!
//! Runs control and proxies in this process, each on a thread of its own. Announces upstreams that
//! do not exist and get no requests. Prints one JSON object.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::ensure;
use bpaf::Bpaf;
use compio::runtime::Runtime;
use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::fleet::Part;
use pb_proxy::Addresses;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use persimmonbend_wire::handshake;
use persimmonbend_wire::link::Link;
use persimmonbend_wire::peer::Client;
use serde_json::Value;
use serde_json::json;

/// Time between two announcements of the same upstream.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Time between the fleet's formation and the measurement of its steady state.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// Time after which the run ends with an error when a condition does not hold.
const TIMEOUT: Duration = Duration::from_secs(60);

const NANOS_PER_SECOND: f64 = 1e9;

/// Measures the cost of membership and the time in which changes spread
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Number of proxies
    #[bpaf(long, argument("COUNT"), fallback(4))]
    proxies: usize,
    /// Number of announced upstreams
    #[bpaf(long, argument("COUNT"), fallback(100))]
    upstreams: usize,
    /// Seconds for which the steady state is measured
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    seconds: u64,
}

/// A control replica and proxies, with a link to each proxy.
struct Fleet {
    files: Files,
    control: Option<Part>,
    control_address: SocketAddr,
    proxies: Vec<Part>,
    addresses: Vec<Addresses>,
    links: Vec<Link>,
    peers: Vec<Client>,
    runtime: Runtime,
}

impl Fleet {
    fn start(proxies: usize) -> anyhow::Result<Self> {
        let files = Files::create()?;
        let (control, control_address) = fleet::control(&files, "control-0")?;
        let mut fleet = Self {
            files,
            control: Some(control),
            control_address,
            proxies: Vec::new(),
            addresses: Vec::new(),
            links: Vec::new(),
            peers: Vec::new(),
            runtime: Runtime::new()?,
        };
        for number in 0..proxies {
            let name = format!("host-{number}");
            let (part, addresses) =
                fleet::proxy(&fleet.files, &name, "a", &[control_address], &[])?;
            fleet.proxies.push(part);
            fleet.addresses.push(addresses);
        }
        let text = std::fs::read_to_string(fleet.files.secret())?;
        let secret = handshake::Secret::from(text.trim().to_owned());
        for addresses in &fleet.addresses {
            let connecting = Link::connect(addresses.peers, "lab", &secret);
            let link = fleet.runtime.block_on(connecting)?;
            fleet.peers.push(link.peer()?);
            fleet.links.push(link);
        }
        Ok(fleet)
    }

    fn status(&self, proxy: usize) -> anyhow::Result<Value> {
        Ok(self.runtime.block_on(self.peers[proxy].status())?)
    }

    fn submit(&self, change: Change) -> anyhow::Result<()> {
        let operator = fleet::operator(&self.files, &[self.control_address])?;
        self.runtime.block_on(operator.submit(change, None))?;
        Ok(())
    }

    /// Returns the time until a condition holds at every proxy.
    fn wait<F>(&self, what: &str, started: Instant, mut condition: F) -> anyhow::Result<Duration>
    where
        F: FnMut(usize) -> anyhow::Result<bool>,
    {
        for proxy in 0..self.proxies.len() {
            while !condition(proxy)? {
                ensure!(
                    started.elapsed() < TIMEOUT,
                    "proxy {proxy}: timed out waiting for {what}"
                );
                thread::sleep(Duration::from_millis(1));
            }
        }
        Ok(started.elapsed())
    }

    /// Returns the time until a count in the status of every proxy has a value.
    fn wait_for_count(
        &self,
        field: &str,
        wanted: usize,
        started: Instant,
    ) -> anyhow::Result<Duration> {
        self.wait(field, started, |proxy| {
            Ok(self.status(proxy)?[field].as_u64() == Some(wanted as u64))
        })
    }

    /// Returns the received and sent bytes of each proxy's links.
    fn traffic(&self) -> anyhow::Result<Vec<(u64, u64)>> {
        let read = |proxy| {
            let status = self.status(proxy)?;
            let traffic = &status["control_bytes"];
            let received = traffic["received"]
                .as_u64()
                .context("the status has no byte counts")?;
            Ok((
                received,
                traffic["sent"]
                    .as_u64()
                    .context("the status has no byte counts")?,
            ))
        };
        (0..self.proxies.len()).map(read).collect()
    }
}

fn main() -> anyhow::Result<()> {
    let arguments = arguments().run();
    let before = resident_kib()?;
    let started = Instant::now();
    let mut fleet = Fleet::start(arguments.proxies)?;
    let secrets = [(); 2].map(|()| Secret::generate(&mut rand::rng()));
    configure(&fleet, &secrets)?;
    let hosts = fleet.wait_for_count("hosts_live", arguments.proxies, started)?;
    let stop = Arc::new(AtomicBool::new(false));
    let announcer = announce(&fleet, arguments.upstreams, &stop);
    let started = Instant::now();
    let upstreams = fleet.wait_for_count("upstreams", arguments.upstreams, started)?;
    thread::sleep(SETTLING_TIME);

    let steady = measure_steady_state(&fleet, Duration::from_secs(arguments.seconds))?;
    let resident = resident_kib()?;
    let in_force = measure_propagation(&fleet)?;
    let mut clients = connect_clients(&fleet, &secrets[0])?;
    let started = Instant::now();
    let digest = secrets[0].digest();
    fleet.submit(Change::WithdrawKey { digest })?;
    let by_control = fleet.wait("the withdrawal", started, |proxy| {
        Ok(get(&mut clients[proxy], &secrets[0])? == 401)
    })?;
    if let Some(control) = fleet.control.take() {
        control.end()?;
    }
    let mut clients = connect_clients(&fleet, &secrets[1])?;
    let started = Instant::now();
    let withdrawal = fleet.peers[0].withdraw(secrets[1].digest(), "lab");
    fleet.runtime.block_on(withdrawal)?;
    let by_peers = fleet.wait("the withdrawal", started, |proxy| {
        Ok(get(&mut clients[proxy], &secrets[1])? == 401)
    })?;
    let started = Instant::now();
    let mut socket = BufReader::new(TcpStream::connect(fleet.addresses[0].platform)?);
    post(&mut socket, &announcement(0, u64::MAX >> 1, "draining"))?;
    let drained = fleet.wait_for_count("upstreams_taking", arguments.upstreams - 1, started)?;
    stop.store(true, Ordering::SeqCst);

    println!(
        "{}",
        json!({
            "proxies": arguments.proxies,
            "upstreams": arguments.upstreams,
            "hosts_known_ms": millis(hosts),
            "upstreams_known_ms": millis(upstreams),
            "steady": steady,
            "resident_kib_per_proxy": (resident - before) / arguments.proxies as u64,
            "in_force_ms": millis(in_force),
            "withdrawal_by_control_ms": millis(by_control),
            "withdrawal_by_peers_ms": millis(by_peers),
            "drain_ms": millis(drained),
        })
    );
    let _ = announcer.join();
    for part in &mut fleet.proxies {
        part.ask_to_stop();
    }
    for part in fleet.proxies.drain(..) {
        part.end()?;
    }
    Ok(())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn configure(fleet: &Fleet, secrets: &[Secret]) -> anyhow::Result<()> {
    let file: File = serde_json::from_value(json!({
        "service": "herd",
        "owner": "registry",
        "routes": [{ "id": "register", "prefix": "/herd", "methods": ["GET"] }],
    }))?;
    let service = Service::try_from(file).map_err(|faults| anyhow::anyhow!("{faults}"))?;
    let services = vec![service];
    fleet.submit(Change::Publish { services })?;
    set_tenant(fleet, 1)?;
    for secret in secrets {
        fleet.submit(Change::IssueKey {
            digest: secret.digest(),
            tenant: "farm".to_owned(),
            label: String::new(),
        })?;
    }
    Ok(())
}

fn set_tenant(fleet: &Fleet, burst: u32) -> anyhow::Result<()> {
    let per_second = 1_000.0;
    let rate = Rate { per_second, burst };
    let id = "farm".to_owned();
    let tenant = Tenant { id, rate };
    fleet.submit(Change::SetTenant { tenant })
}

/// Returns the time from the submission of a change until it is in force on every proxy.
fn measure_propagation(fleet: &Fleet) -> anyhow::Result<Duration> {
    let revision = fleet.status(0)?["revision"]
        .as_u64()
        .context("the status has no revision")?;
    let started = Instant::now();
    set_tenant(fleet, 1_000)?;
    fleet.wait("the change", started, |proxy| {
        Ok(fleet.status(proxy)?["revision"].as_u64() > Some(revision))
    })
}

/// Returns the bytes a second and the share of a core of a proxy while upstreams only renew.
fn measure_steady_state(fleet: &Fleet, time: Duration) -> anyhow::Result<Value> {
    let started = Instant::now();
    let before = fleet.traffic()?;
    let processor = processor_nanos()?;
    thread::sleep(time);
    let after = fleet.traffic()?;
    let processor = processor_nanos()? - processor;
    let seconds = started.elapsed().as_secs_f64();
    let rates = before.iter().zip(&after).map(|(before, after)| {
        let received = (after.0 - before.0) as f64 / seconds;
        (received, (after.1 - before.1) as f64 / seconds)
    });
    let rates: Vec<(f64, f64)> = rates.collect();
    let count = rates.len() as f64;
    let both = rates.iter().map(|(received, sent)| received + sent);
    Ok(json!({
        "received_bytes_per_second": rates.iter().map(|rate| rate.0).sum::<f64>() / count,
        "sent_bytes_per_second": rates.iter().map(|rate| rate.1).sum::<f64>() / count,
        "worst_both_bytes_per_second": both.fold(0.0, f64::max),
        "core_share": processor as f64 / NANOS_PER_SECOND / seconds / count,
        "vouched": fleet.status(0)?["vouched"],
        "links": fleet.status(0)?["links"],
    }))
}

/// Returns the processor time of all proxy threads, which are named after their hosts.
fn processor_nanos() -> anyhow::Result<u64> {
    let mut sum = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let folder = task?.path();
        let name = std::fs::read_to_string(folder.join("comm"))?;
        if !name.starts_with("host-") {
            continue;
        }
        let text = std::fs::read_to_string(folder.join("schedstat"))?;
        let nanos = text
            .split_whitespace()
            .next()
            .context("schedstat has no processor time")?;
        sum += nanos.parse::<u64>()?;
    }
    Ok(sum)
}

/// Returns the resident memory of this process.
fn resident_kib() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value.context("/proc/self/status has no VmRSS")?.parse()?)
}

fn announcement(number: usize, sequence: u64, stage: &str) -> String {
    json!({
        "id": format!("upstream-{number}"),
        "service": format!("service-{}", number % 15),
        "address": format!("10.0.{}.{}:8000", number / 250, number % 250 + 1),
        "zone": "a",
        "slots": 3,
        "incarnation": 1,
        "sequence": sequence,
        "stage": stage,
    })
    .to_string()
}

/// Announces every upstream once each interval, spread evenly, through one proxy each.
fn announce(fleet: &Fleet, upstreams: usize, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let platforms: Vec<SocketAddr> = fleet
        .addresses
        .iter()
        .map(|address| address.platform)
        .collect();
    let stop = Arc::clone(stop);
    let pause = RENEWAL_INTERVAL / u32::try_from(upstreams).unwrap_or(u32::MAX);
    thread::spawn(move || {
        let connections = platforms.iter().map(TcpStream::connect);
        let mut connections: Vec<BufReader<TcpStream>> =
            connections.flatten().map(BufReader::new).collect();
        let started = Instant::now();
        let mut sent = 0;
        while !stop.load(Ordering::SeqCst) {
            let number = sent % upstreams;
            let text = announcement(number, (sent / upstreams) as u64 + 1, "ready");
            let at = number % connections.len();
            if post(&mut connections[at], &text).is_err() {
                return;
            }
            sent += 1;
            let due = started + pause * u32::try_from(sent).unwrap_or(u32::MAX);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    })
}

fn post(connection: &mut BufReader<TcpStream>, body: &str) -> io::Result<u16> {
    let length = body.len();
    let request =
        format!("POST /announce HTTP/1.1\r\nhost: lab\r\ncontent-length: {length}\r\n\r\n{body}");
    connection.get_mut().write_all(request.as_bytes())?;
    read_status(connection)
}

/// Returns a connection to the client port of each proxy, over which the key was accepted.
fn connect_clients(fleet: &Fleet, secret: &Secret) -> anyhow::Result<Vec<BufReader<TcpStream>>> {
    let mut clients = Vec::new();
    for addresses in &fleet.addresses {
        let mut connection = BufReader::new(TcpStream::connect(addresses.callers)?);
        ensure!(
            get(&mut connection, secret)? != 401,
            "a proxy refused the key with status 401"
        );
        clients.push(connection);
    }
    Ok(clients)
}

fn get(connection: &mut BufReader<TcpStream>, secret: &Secret) -> io::Result<u16> {
    let key = secret.reveal();
    let request = format!("GET /herd HTTP/1.1\r\nhost: lab\r\nauthorization: Bearer {key}\r\n\r\n");
    connection.get_mut().write_all(request.as_bytes())?;
    read_status(connection)
}

/// Reads an answer to its end and returns its status.
fn read_status(connection: &mut BufReader<TcpStream>) -> io::Result<u16> {
    let mut line = String::new();
    connection.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut length = 0;
    loop {
        line.clear();
        connection.read_line(&mut line)?;
        let field = line.trim_end().to_lowercase();
        if field.is_empty() {
            break;
        }
        if let Some(value) = field.strip_prefix("content-length: ") {
            length = value.parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    connection.read_exact(&mut body)?;
    status.ok_or(io::ErrorKind::InvalidData.into())
}
