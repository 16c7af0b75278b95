//! Three control replicas on loopback: changes, the loss of a leader and a wiped disk.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::fleet::Part;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::id::Revision;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;
use persimmonbend_wire::members::Order;
use serde_json::Value;

const NAMES: [&str; 3] = ["control-0", "control-1", "control-2"];
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which a condition that does not hold fails the test.
const MAX_POLLS: usize = 200;

/// Three control replicas with one log; stopped ones have no part.
struct Cluster {
    files: Files,
    parts: Vec<Option<Part>>,
    addresses: Vec<SocketAddr>,
}

impl Cluster {
    fn start() -> Self {
        let files = Files::create().unwrap();
        let started = fleet::controls(&files, &NAMES).unwrap();
        let (parts, addresses): (Vec<_>, Vec<_>) = started.into_iter().unzip();
        Self {
            files,
            parts: parts.into_iter().map(Some).collect(),
            addresses,
        }
    }

    fn stop(&mut self, index: usize) {
        self.parts[index].take().unwrap().end().unwrap();
    }

    /// Starts a stopped replica on the address that it had.
    fn restart(&mut self, index: usize) {
        let replicas: Vec<_> = NAMES.into_iter().zip(self.addresses.clone()).collect();
        let started = fleet::control_again(&self.files, NAMES[index], &replicas);
        self.parts[index] = Some(started.unwrap().0);
    }

    async fn link(&self, index: usize) -> Result<(Link, Client), Error> {
        let secret = std::fs::read_to_string(self.files.secret()).unwrap();
        let secret = Secret::from(secret.trim().to_owned());
        let link = Link::connect(self.addresses[index], "test", &secret).await?;
        let control = link.control()?;
        Ok((link, control))
    }

    /// Returns the status of a replica, or `None` when it does not answer.
    async fn status(&self, index: usize) -> Option<Value> {
        let (_link, control) = self.link(index).await.ok()?;
        control.status().await.ok()
    }

    /// Waits for a leader and returns its index.
    async fn wait_for_leader(&self) -> usize {
        for _ in 0..MAX_POLLS {
            for index in 0..NAMES.len() {
                if let Some(status) = self.status(index).await
                    && status["leader"] == true
                {
                    return index;
                }
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no replica became leader in time");
    }

    /// Submits the change with a given number until it is accepted and returns its revision.
    ///
    /// The number sets the change ID and the burst of the tenant.
    async fn submit(&self, number: u32) -> Revision {
        let operator = fleet::operator(&self.files, &self.addresses).unwrap();
        for _ in 0..MAX_POLLS {
            let id = format!("change-{number}");
            let rate = Rate {
                per_second: 1.0,
                burst: number,
            };
            let tenant = Tenant {
                id: "farm".to_owned(),
                rate,
            };
            let change = Change::SetTenant { tenant };
            match operator.submit_as(id, change, None).await {
                Ok(Outcome::Accepted { revision }) => return revision,
                Ok(other) => panic!("{other:?}"),
                Err(_) => compio::time::sleep(POLL_INTERVAL).await,
            }
        }
        panic!("change-{number} was not accepted in time");
    }

    /// Waits until a condition holds for the status of a replica and returns that status.
    async fn wait_for_status(
        &self,
        index: usize,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> Value {
        for _ in 0..MAX_POLLS {
            if let Some(status) = self.status(index).await
                && condition(&status)
            {
                return status;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "{}: timed out waiting for {what}; last status: {:?}",
            NAMES[index],
            self.status(index).await
        );
    }

    /// Sends a change of the members to the leader until one accepts it.
    async fn change_members(&self, order: Order) {
        for _ in 0..MAX_POLLS {
            let leader = self.wait_for_leader().await;
            if let Ok((_link, control)) = self.link(leader).await
                && control.members(&order).await.is_ok()
            {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no leader accepted {order:?} in time");
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Guards against changes that are lost, or applied twice when they are resent, after each of three
/// leaders stops.
#[test]
fn accepted_changes_survive_the_loss_of_a_leader() {
    block_on(async {
        let mut cluster = Cluster::start();
        for round in 1..=3 {
            assert_eq!(cluster.submit(round).await, Revision::from(round));
            assert_eq!(
                cluster.submit(round).await,
                Revision::from(round),
                "a resent change keeps its revision"
            );
            let leader = cluster.wait_for_leader().await;
            cluster.stop(leader);
            let other = (leader + 1) % NAMES.len();
            cluster
                .wait_for_status(other, "contact with a new leader", |status| {
                    status["current"] == true
                })
                .await;
            cluster.restart(leader);
        }
        for index in 0..NAMES.len() {
            cluster
                .wait_for_status(index, "revision 3", |status| status["revision"] == 3)
                .await;
        }
    });
}

/// Guards against a follower that sends clients to a wrong leader, and against a replica without a
/// quorum that still claims to be current or to lead.
#[test]
fn a_follower_names_the_leader_and_an_isolated_replica_is_not_current() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.submit(1).await;
        let leader = cluster.wait_for_leader().await;
        let other = (leader + 1) % NAMES.len();
        cluster
            .wait_for_status(other, "revision 1", |status| status["revision"] == 1)
            .await;
        let (_link, control) = cluster.link(other).await.unwrap();
        let order = Order::Promote {
            host: NAMES[other].to_owned(),
        };
        match control.members(&order).await {
            Err(Error::NotLeader(hint)) => assert_eq!(hint, cluster.addresses[leader].to_string()),
            other => panic!("{other:?}"),
        }
        cluster.stop(leader);
        cluster.stop((leader + 2) % NAMES.len());
        let is_isolated = |status: &Value| status["current"] == false && status["leader"] == false;
        cluster
            .wait_for_status(other, "a status that is not current", is_isolated)
            .await;
    });
}

/// Guards against a replica without its log that keeps its old identity or can never vote again: it
/// starts without members, is added anew, and votes after its old entry is removed.
#[test]
fn a_replica_with_a_wiped_disk_rejoins_as_a_new_member() {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.submit(1).await;
        let leader = cluster.wait_for_leader().await;
        let wiped = (leader + 1) % NAMES.len();
        let before = cluster
            .wait_for_status(wiped, "revision 1", |status| status["revision"] == 1)
            .await;
        let old_storage = before["replica"]["id"]["storage"].as_u64().unwrap();
        cluster.stop(wiped);
        std::fs::remove_dir_all(cluster.files.folder().join(NAMES[wiped])).unwrap();
        cluster.restart(wiped);
        cluster.submit(2).await;
        let rejoined = cluster.status(wiped).await.unwrap();
        assert_eq!(rejoined["replica"]["members"], serde_json::json!([]));

        let host = NAMES[wiped].to_owned();
        cluster
            .change_members(Order::Add { host: host.clone() })
            .await;
        let storage = old_storage;
        let remove = Order::Remove {
            host: host.clone(),
            storage,
        };
        cluster.change_members(remove).await;
        cluster.change_members(Order::Promote { host }).await;
        cluster
            .wait_for_status(wiped, "revision 2", |status| status["revision"] == 2)
            .await;
        let second = (wiped + 1) % NAMES.len();
        cluster.stop(second);
        assert_eq!(cluster.submit(3).await, 3);
    });
}

/// Guards against a replica that knows only the hosts connected to itself.
#[test]
fn every_replica_reports_the_configuration_in_force_on_each_host() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.submit(1).await;
        let mut proxies = Vec::new();
        for index in 0..2 {
            let name = format!("host-{index}");
            let control = &cluster.addresses[index..=index];
            let (part, _) = fleet::proxy(&cluster.files, &name, "a", control, &[]).unwrap();
            proxies.push(part);
        }
        cluster.submit(2).await;
        let in_force = |status: &Value| {
            let hosts = status["hosts"].as_array().unwrap();
            hosts.len() == 2 && hosts.iter().all(|host| host["revision"] == 2)
        };
        for index in 0..NAMES.len() {
            cluster
                .wait_for_status(index, "revision 2 on both hosts", in_force)
                .await;
        }
        for proxy in proxies {
            proxy.end().unwrap();
        }
    });
}
