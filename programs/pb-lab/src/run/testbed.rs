//! The fleet that a scenario runs on: its processes, relays and upstreams, and the faults that can
//! be injected.

mod build;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use compio::runtime::spawn;
use cyper::Client;
use pb_ctl::fleet::Fleet;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Order;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Service;
use persimmonbend_core::key::Secret;
use persimmonbend_wire::handshake;
use persimmonbend_wire::link::Link;
use serde_json::Value;

use crate::fleet::Files;
use crate::fleet::Part;
use crate::run::client::Hosts;
use crate::run::client::Stream;
use crate::run::marks::Mark;
use crate::run::marks::Marks;
use crate::run::process::Process;
use crate::run::relay::Relay;
use crate::scenario;
use crate::scenario::Action;
use crate::upstream::Fault;
use crate::upstream::Ledger;

/// One stand-in upstream.
struct Upstream {
    part: Option<Part>,
    direct: SocketAddr,
    relay: Option<Relay>,
}

/// The fleet of a run.
pub struct Testbed {
    /// Requests that the upstreams received and executed.
    pub ledger: Ledger,
    /// Times of the events so far.
    pub marks: Marks,
    files: Files,
    processes: BTreeMap<String, Process>,
    control_relays: BTreeMap<String, Vec<Relay>>,
    upstreams: BTreeMap<String, Upstream>,
    /// Whether control and upstreams are reached through relays.
    relayed: bool,
    hosts: Hosts,
    peers: Vec<(String, SocketAddr)>,
    operator: Fleet,
    keys: BTreeMap<String, Secret>,
    services: Vec<Service>,
}

impl Testbed {
    /// Returns the hosts as the load balancer sees them.
    #[must_use]
    pub fn hosts(&self) -> Hosts {
        Rc::clone(&self.hosts)
    }

    /// Returns the load of a tenant.
    #[must_use]
    pub fn stream(&self, tenant: &scenario::Tenant, seed: u64, length: Duration) -> Stream {
        let route = if tenant.non_idempotent {
            "once"
        } else {
            "read"
        };
        Stream {
            tenant: tenant.name.clone(),
            key: self.keys[&tenant.name].clone(),
            path: format!("/{}/{route}", tenant.service),
            non_idempotent: tenant.non_idempotent,
            per_second: tenant.sends,
            length,
            hosts: self.hosts(),
            seed,
        }
    }

    /// Returns the dumps of the hosts that answer.
    pub async fn dumps(&self) -> Vec<Value> {
        let mut dumps = Vec::new();
        for (_, address) in &self.peers {
            let dumping = compio::time::timeout(Duration::from_secs(2), self.dump(*address));
            if let Ok(Ok(dump)) = dumping.await {
                dumps.push(dump);
            }
        }
        dumps
    }

    /// Performs the action of an event.
    ///
    /// # Errors
    ///
    /// Returns an error when the action names something that does not exist, or when an upstream or
    /// control does not accept it.
    pub async fn apply(&mut self, action: &Action) -> anyhow::Result<()> {
        match action {
            Action::Fault(upstream, fault) => self.set_fault(upstream, *fault).await?,
            Action::Silence(upstream) => {
                let relay = self.upstream(upstream)?.relay.as_ref();
                relay.context("the upstream has no relay")?.silence();
            }
            Action::Leave(upstream) => self.leave(upstream)?,
            Action::Drain(upstream) => self.drain(upstream).await?,
            Action::Kill(name) => {
                self.mark_interruption(name);
                self.process(name)?.kill();
            }
            Action::Stop(name) => self.process(name)?.stop(),
            Action::Start(name) => self.process(name)?.restart()?,
            Action::Freeze(name) => {
                self.mark_interruption(name);
                self.process(name)?.freeze();
            }
            Action::Thaw(name) => self.process(name)?.thaw(),
            Action::Cut(name) => self.cut(name, true)?,
            Action::Join(name) => self.cut(name, false)?,
            Action::Withdraw(tenant) => self.withdraw(tenant).await?,
            Action::Race => self.race().await,
        }
        Ok(())
    }

    /// Kills the processes and asks the upstreams to stop.
    pub fn stop(self) {
        drop(self.processes);
        for (_, mut upstream) in self.upstreams {
            if let Some(part) = &mut upstream.part {
                part.ask_to_stop();
            }
        }
        drop(self.files);
    }

    async fn dump(&self, address: SocketAddr) -> anyhow::Result<Value> {
        let secret = std::fs::read_to_string(self.files.secret())?;
        let secret = handshake::Secret::from(secret.trim().to_owned());
        let link = Link::connect(address, "run", &secret).await?;
        Ok(link.peer()?.dump().await?)
    }

    async fn set_fault(&mut self, name: &str, fault: Fault) -> anyhow::Result<()> {
        let url = format!("http://{}/_lab/fault", self.upstream(name)?.direct);
        let response = Client::new()?.post(url)?.json(&fault)?.send().await?;
        anyhow::ensure!(
            response.status().is_success(),
            "{name} did not accept the fault"
        );
        let mark = Mark::now(name);
        match fault {
            Fault::None => self.marks.heals.push(mark),
            _ => self.marks.faults.push(mark),
        }
        Ok(())
    }

    fn leave(&mut self, name: &str) -> anyhow::Result<()> {
        let upstream = self.upstreams.get_mut(name).context("no such upstream")?;
        if let Some(part) = &mut upstream.part {
            part.ask_to_stop();
        }
        self.marks.drains.push(Mark::now(name));
        Ok(())
    }

    async fn drain(&mut self, name: &str) -> anyhow::Result<()> {
        let upstream = name.to_owned();
        let order = Order::Drain;
        submit(&self.operator, Change::Steer { upstream, order }).await?;
        self.marks.drains.push(Mark::now(name));
        Ok(())
    }

    async fn withdraw(&mut self, tenant: &str) -> anyhow::Result<()> {
        let secret = self.keys.get(tenant).context("no such tenant")?;
        let digest = secret.digest();
        submit(&self.operator, Change::WithdrawKey { digest }).await?;
        self.marks.withdrawals.push(Mark::now(tenant));
        Ok(())
    }

    /// Publishes the services twice concurrently against one revision.
    async fn race(&mut self) {
        let Ok(base) = self.operator.config().await.map(|config| config.revision()) else {
            return;
        };
        let publish = || {
            let operator = self.operator.clone();
            let services = self.services.clone();
            spawn(async move {
                operator
                    .submit(Change::Publish { services }, Some(base))
                    .await
            })
        };
        let (left, right) = (publish(), publish());
        let outcomes = [left.await, right.await];
        let accepted = |outcome: &&Result<anyhow::Result<Outcome>, _>| {
            matches!(outcome, Ok(Ok(Outcome::Accepted { .. })))
        };
        if outcomes.iter().filter(accepted).count() > 1 {
            self.marks.races_accepted_twice += 1;
        }
    }

    fn cut(&mut self, name: &str, cut: bool) -> anyhow::Result<()> {
        let relays = self.control_relays.get(name).context("no such host")?;
        relays.iter().for_each(|relay| relay.cut(cut));
        Ok(())
    }

    fn mark_interruption(&mut self, name: &str) {
        self.marks.interruptions.push(Mark::now(name));
    }

    fn process(&mut self, name: &str) -> anyhow::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .with_context(|| format!("there is no {name}"))
    }

    fn upstream(&self, name: &str) -> anyhow::Result<&Upstream> {
        self.upstreams
            .get(name)
            .with_context(|| format!("there is no upstream {name}"))
    }
}

async fn submit(operator: &Fleet, change: Change) -> anyhow::Result<u64> {
    match operator.submit(change, None).await? {
        Outcome::Accepted { revision } => Ok(revision),
        other => bail!("a change was not accepted: {other:?}"),
    }
}
