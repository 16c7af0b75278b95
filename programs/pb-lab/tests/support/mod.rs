//! A fleet on loopback ports, with helpers that change it and read its status.

#![allow(dead_code)]

pub mod client;
pub mod relay;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::Runtime;
use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::fleet::Part;
use pb_lab::upstream::Ledger;
use pb_lab::upstream::Setup;
use pb_proxy::Addresses;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Digest;
use persimmonbend_core::key::Secret;
use persimmonbend_wire::handshake;
use persimmonbend_wire::link::Link;
use serde_json::Value;
use serde_json::json;

/// Time after which a test fails when a condition does not hold.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A proxy of the fleet.
pub struct Proxy {
    /// Thread of the proxy, until it is stopped.
    pub part: Option<Part>,
    pub addresses: Addresses,
}

/// A control replica, proxies, and the executions at their upstreams.
pub struct Fleet {
    pub files: Files,
    pub control: Option<Part>,
    pub control_address: SocketAddr,
    pub proxies: Vec<Proxy>,
    pub ledger: Ledger,
    runtime: Runtime,
}

impl Fleet {
    /// Starts one control replica and proxies that are configured with its address alone.
    pub fn start(files: Files, proxies: usize) -> Self {
        let (control, control_address) = fleet::control(&files, "control-0").unwrap();
        let mut fleet = Self {
            files,
            control: Some(control),
            control_address,
            proxies: Vec::new(),
            ledger: Ledger::new(),
            runtime: Runtime::new().unwrap(),
        };
        for number in 0..proxies {
            fleet.add_proxy(&format!("host-{number}"), &[]);
        }
        fleet
    }

    /// Adds a proxy with seeds and returns its index.
    pub fn add_proxy(&mut self, name: &str, seeds: &[SocketAddr]) -> usize {
        let control = [self.control_address];
        self.add_proxy_with(name, &control, &json!({ "seeds": seeds }))
    }

    /// Adds a proxy with further settings and returns its index.
    pub fn add_proxy_with(
        &mut self,
        name: &str,
        control: &[SocketAddr],
        extra_settings: &Value,
    ) -> usize {
        let started = fleet::proxy_with(&self.files, name, "a", control, extra_settings);
        let (part, addresses) = started.unwrap();
        self.proxies.push(Proxy {
            part: Some(part),
            addresses,
        });
        self.proxies.len() - 1
    }

    /// Starts an upstream of the service `herd` that announces itself to `proxies`.
    pub fn add_upstream(&self, id: &str, proxies: &[SocketAddr], work: Duration) -> Part {
        let setup = Setup {
            id: id.to_owned(),
            service: "herd".to_owned(),
            zone: "a".to_owned(),
            listen: "127.0.0.1:0".parse().unwrap(),
            slots: 50,
            work,
            proxies: proxies.to_vec(),
            seed: 1,
        };
        fleet::upstream(setup, self.ledger.clone()).unwrap().0
    }

    /// Stops control and waits until it has ended.
    pub fn stop_control(&mut self) {
        self.control.take().unwrap().end().unwrap();
    }

    /// Starts control again on the address that it had.
    pub fn restart_control(&mut self) {
        let started = fleet::control_at(&self.files, "control-0", self.control_address);
        self.control = Some(started.unwrap().0);
    }

    /// Stops a proxy and waits until it has ended.
    pub fn stop_proxy(&mut self, index: usize) {
        self.proxies[index].part.take().unwrap().end().unwrap();
    }

    /// Stops the proxies that still run at the same time, then control.
    pub fn end(mut self) {
        for proxy in &mut self.proxies {
            if let Some(part) = &mut proxy.part {
                part.ask_to_stop();
            }
        }
        for proxy in &mut self.proxies {
            if let Some(part) = proxy.part.take() {
                part.end().unwrap();
            }
        }
        if let Some(control) = self.control.take() {
            control.end().unwrap();
        }
    }

    /// Publishes a service with an open and a keyed route and issues a key for the latter.
    pub fn configure(&self, secret: &Secret) {
        let rate = Rate {
            per_second: 10_000.0,
            burst: 10_000,
        };
        let id = "farm".to_owned();
        let tenant = Tenant { id, rate };
        self.submit(Change::Publish {
            services: vec![service()],
        });
        self.submit(Change::SetTenant { tenant });
        self.submit(Change::IssueKey {
            digest: secret.digest(),
            tenant: "farm".to_owned(),
            label: String::new(),
        });
    }

    /// Submits a change and checks that control accepts it.
    pub fn submit(&self, change: Change) {
        let operator = fleet::operator(&self.files, &[self.control_address]).unwrap();
        let outcome = self
            .runtime
            .block_on(operator.submit(change, None))
            .unwrap();
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    }

    /// Sends the withdrawal of a key to one proxy.
    pub fn withdraw_at(&self, proxy: usize, digest: Digest) {
        let address = self.proxies[proxy].addresses.peers;
        self.runtime.block_on(async {
            let link = Link::connect(address, "test", &self.secret())
                .await
                .unwrap();
            let peer = link.peer().unwrap();
            peer.withdraw(digest, "test").await.unwrap();
        });
    }

    /// Returns the status of a proxy.
    pub fn status(&self, proxy: &Proxy) -> Value {
        self.runtime.block_on(async {
            let secret = self.secret();
            let link = Link::connect(proxy.addresses.peers, "test", &secret).await;
            let link = link.unwrap();
            link.peer().unwrap().status().await.unwrap()
        })
    }

    /// Returns the last revision that control accepted.
    pub fn revision(&self) -> u64 {
        self.runtime.block_on(async {
            let link = Link::connect(self.control_address, "test", &self.secret()).await;
            let link = link.unwrap();
            let control = link.control().unwrap();
            control.snapshot().await.unwrap().revision()
        })
    }

    /// Waits until a condition holds for the status of every running proxy.
    pub fn wait_for<F: Fn(&Value) -> bool>(&self, what: &str, condition: F) {
        let started = Instant::now();
        let mut last = Value::Null;
        while started.elapsed() < TIMEOUT {
            let running = self.proxies.iter().filter(|proxy| proxy.part.is_some());
            let all = running.map(|proxy| self.status(proxy));
            match all.into_iter().find(|status| !condition(status)) {
                None => return,
                Some(status) => last = status,
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("timed out waiting for {what} on every proxy; last status: {last}");
    }

    /// Returns the fleet secret.
    pub fn secret(&self) -> handshake::Secret {
        let text = std::fs::read_to_string(self.files.secret()).unwrap();
        handshake::Secret::from(text.trim().to_owned())
    }
}

/// Returns a numeric field of a status.
pub fn count(status: &Value, field: &str) -> u64 {
    status[field].as_u64().unwrap()
}

/// Waits until a condition holds.
pub fn wait_until<F: FnMut() -> bool>(what: &str, mut condition: F) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

fn service() -> Service {
    let file: File = serde_json::from_value(json!({
        "service": "herd",
        "owner": "registry",
        "routes": [
            { "id": "register", "prefix": "/herd", "methods": ["GET", "PUT"] },
            { "id": "open", "prefix": "/herd/open", "methods": ["GET"], "open": true },
        ],
    }))
    .unwrap();
    Service::try_from(file).unwrap()
}
