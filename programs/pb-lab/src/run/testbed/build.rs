//! Starts and configures the fleet of a scenario.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use serde_json::Value;
use serde_json::json;

use crate::fleet;
use crate::fleet::Files;
use crate::fleet::Part;
use crate::run::client::Host;
use crate::run::marks::Marks;
use crate::run::process::Addresses;
use crate::run::process::Process;
use crate::run::process::Role;
use crate::run::relay::Relay;
use crate::run::testbed::Testbed;
use crate::run::testbed::Upstream;
use crate::run::testbed::submit;
use crate::scenario;
use crate::scenario::Action;
use crate::scenario::Scenario;
use crate::upstream;
use crate::upstream::Ledger;
use crate::upstream::Setup;

/// Time for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Time between two checks whether the fleet is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Most hosts that one upstream announces itself to.
const PROXIES_PER_UPSTREAM: usize = 4;

/// Hosts whose addresses are in the settings of every host.
const SEED_COUNT: usize = 3;

/// Ports of hosts and, for [`PEER_PORT`], of control replicas; each has its own IP address.
const CLIENT_PORT: u16 = 7_500;
const PLATFORM_PORT: u16 = 7_501;
const PEER_PORT: u16 = 7_502;

/// Notice period of a planned stop, in milliseconds; longer than the load balancer takes to notice
/// that the host isn't ready.
const STOP_NOTICE_MS: u64 = 1_000;

impl Testbed {
    /// Starts the fleet of a scenario and publishes its configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when a process or an upstream does not start or the fleet does not become
    /// ready.
    pub async fn build(scenario: &Scenario, seed: u64) -> anyhow::Result<Self> {
        let files = Files::create()?;
        let mut addresses = Addresses::new();
        let control = (0..scenario.control)
            .map(|_| Ok(SocketAddr::new(addresses.next()?, PEER_PORT)))
            .collect::<anyhow::Result<Vec<SocketAddr>>>()?;
        let operator = fleet::operator(&files, &control)?;
        let mut testbed = Self {
            ledger: Ledger::new(),
            marks: Marks::default(),
            files,
            processes: BTreeMap::new(),
            control_relays: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            relayed: scenario
                .events
                .iter()
                .any(|event| needs_relay(&event.action)),
            hosts: Rc::default(),
            peers: Vec::new(),
            operator,
            keys: BTreeMap::new(),
            services: services(scenario)?,
        };
        testbed.start_control(&control, scenario.hosts)?;
        testbed.wait_for_leader().await?;
        testbed.start_hosts(scenario, &control, addresses)?;
        testbed.start_upstreams(scenario, seed)?;
        let revision = testbed.configure(scenario).await?;
        testbed.wait_until_ready(scenario, revision).await?;
        Ok(testbed)
    }

    fn start_control(&mut self, addresses: &[SocketAddr], seats: usize) -> anyhow::Result<()> {
        let replica = |(number, address): (usize, &SocketAddr)| json!({ "host": format!("control-{number}"), "address": address });
        let replicas: Vec<Value> = addresses.iter().enumerate().map(replica).collect();
        for (number, address) in addresses.iter().enumerate() {
            let name = format!("control-{number}");
            let settings = json!({
                "host": name,
                "listen": address,
                "data": self.files.folder().join(&name),
                "secret_file": self.files.secret(),
                "replicas": replicas,
                "seats": seats,
            });
            let process = Process::start(&name, Role::Control, self.files.folder(), &settings)?;
            self.processes.insert(name, process);
        }
        Ok(())
    }

    fn start_hosts(
        &mut self,
        scenario: &Scenario,
        control: &[SocketAddr],
        mut addresses: Addresses,
    ) -> anyhow::Result<()> {
        let hosts = (0..scenario.hosts).map(|_| addresses.next());
        let hosts = hosts.collect::<anyhow::Result<Vec<IpAddr>>>()?;
        let peers = hosts.iter().map(|host| SocketAddr::new(*host, PEER_PORT));
        let seeds: Vec<SocketAddr> = peers.take(SEED_COUNT).collect();
        for (number, host) in hosts.into_iter().enumerate() {
            let callers = SocketAddr::new(host, CLIENT_PORT);
            let platform = SocketAddr::new(host, PLATFORM_PORT);
            let peers = SocketAddr::new(host, PEER_PORT);
            let name = format!("host-{number}");
            let relays = control.iter().filter(|_| self.relayed);
            let relays = relays.map(|address| Relay::open(*address));
            let relays = relays.collect::<std::io::Result<Vec<Relay>>>()?;
            let control_addresses: Vec<SocketAddr> = match self.relayed {
                true => relays.iter().map(Relay::address).collect(),
                false => control.to_vec(),
            };
            let settings = json!({
                "host": name,
                "zone": zone(number, scenario.zones),
                "callers": callers,
                "platform": platform,
                "peers": peers,
                "control": control_addresses,
                "seeds": seeds,
                "secret_file": self.files.secret(),
                "stop_notice_ms": STOP_NOTICE_MS,
            });
            let process = Process::start(&name, Role::Proxy, self.files.folder(), &settings)?;
            self.processes.insert(name.clone(), process);
            self.control_relays.insert(name.clone(), relays);
            self.peers.push((name, peers));
            self.hosts.borrow_mut().push(Host {
                callers,
                platform,
                ready: true,
            });
        }
        Ok(())
    }

    fn start_upstreams(&mut self, scenario: &Scenario, seed: u64) -> anyhow::Result<()> {
        let platforms: Vec<SocketAddr> = self
            .hosts
            .borrow()
            .iter()
            .map(|host| host.platform)
            .collect();
        for service in &scenario.services {
            for number in 0..service.upstreams {
                let to = platforms.iter().cycle().skip(number * PROXIES_PER_UPSTREAM);
                let setup = Setup {
                    id: format!("{}-{number}", service.name),
                    service: service.name.clone(),
                    zone: zone(number, scenario.zones),
                    listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                    slots: service.slots,
                    work: service.work,
                    proxies: to
                        .take(PROXIES_PER_UPSTREAM.min(platforms.len()))
                        .copied()
                        .collect(),
                    seed: seed * 1_000 + u64::try_from(number)?,
                };
                let id = setup.id.clone();
                let upstream = start_upstream(setup, self.ledger.clone(), self.relayed)?;
                self.upstreams.insert(id, upstream);
            }
        }
        Ok(())
    }

    async fn wait_for_leader(&self) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            match self.operator.leader().await {
                Err(error) if Instant::now() > until => return Err(error),
                Err(_) => compio::time::sleep(POLL_INTERVAL).await,
                Ok(_) => return Ok(()),
            }
        }
    }

    async fn configure(&mut self, scenario: &Scenario) -> anyhow::Result<u64> {
        let services = self.services.clone();
        let mut revision = submit(&self.operator, Change::Publish { services }).await?;
        for tenant in &scenario.tenants {
            let set = Tenant {
                id: tenant.name.clone(),
                rate: Rate {
                    per_second: tenant.rate,
                    burst: tenant.burst,
                },
            };
            submit(&self.operator, Change::SetTenant { tenant: set }).await?;
            let secret = Secret::generate(&mut rand::rng());
            let issue = Change::IssueKey {
                digest: secret.digest(),
                tenant: tenant.name.clone(),
                label: "run".to_owned(),
            };
            revision = submit(&self.operator, issue).await?;
            self.keys.insert(tenant.name.clone(), secret);
        }
        Ok(revision)
    }

    async fn wait_until_ready(&self, scenario: &Scenario, revision: u64) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let dumps = self.dumps().await;
            let current = |dump: &&Value| {
                let status = &dump["status"];
                let upstreams = dump["upstreams"].as_array().map_or(0, Vec::len);
                status["revision"] == revision
                    && status["ready"] == true
                    && upstreams == self.upstreams.len()
                    && status["hosts_live"] == scenario.hosts
            };
            let ready = dumps.iter().filter(current).count();
            if ready == scenario.hosts {
                return Ok(());
            }
            if Instant::now() > until {
                let states: Vec<String> = dumps.iter().map(state).collect();
                bail!(
                    "only {ready} of {} hosts became ready at revision {revision}: {}",
                    scenario.hosts,
                    states.join(", ")
                );
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns whether an action needs the connections to pass through relays.
const fn needs_relay(action: &Action) -> bool {
    matches!(
        action,
        Action::Silence(_) | Action::Cut(_) | Action::Join(_)
    )
}

fn start_upstream(setup: Setup, ledger: Ledger, relayed: bool) -> anyhow::Result<Upstream> {
    let name = setup.id.clone();
    let (part, (direct, relay)) = Part::start(&name, move |stop, report| {
        upstream::run_behind(setup, ledger, stop, move |direct| {
            let relay = relayed.then(|| Relay::open(direct).ok()).flatten();
            let announced = relay.as_ref().map_or(direct, Relay::address);
            report((direct, relay));
            announced
        })
    })?;
    Ok(Upstream {
        part: Some(part),
        direct,
        relay,
    })
}

fn services(scenario: &Scenario) -> anyhow::Result<Vec<Service>> {
    let service = |service: &scenario::Service| {
        let name = &service.name;
        let file: File = serde_json::from_value(json!({
            "service": name,
            "owner": "lab",
            "floor": service.floor,
            "routes": [
                { "id": "read", "prefix": format!("/{name}/read"), "methods": ["GET"] },
                {
                    "id": "once",
                    "prefix": format!("/{name}/once"),
                    "methods": ["POST"],
                    "non_idempotent": true,
                },
            ],
        }))?;
        Service::try_from(file).map_err(|faults| anyhow::anyhow!("{faults}"))
    };
    scenario.services.iter().map(service).collect()
}

fn zone(number: usize, zones: usize) -> String {
    format!("zone-{}", number % zones)
}

fn state(dump: &Value) -> String {
    let status = &dump["status"];
    let upstreams = dump["upstreams"].as_array().map_or(0, Vec::len);
    format!(
        "{} revision {} ready {} upstreams {upstreams} hosts {}",
        status["host"], status["revision"], status["ready"], status["hosts_live"]
    )
}
