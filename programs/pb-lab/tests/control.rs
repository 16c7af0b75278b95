//! Three control replicas on loopback: changes, the loss of a leader, a wiped disk.

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
const PAUSE: Duration = Duration::from_millis(100);
const PATIENCE: usize = 200;

struct Group {
    files: Files,
    parts: Vec<Option<Part>>,
    addresses: Vec<SocketAddr>,
}

impl Group {
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

    fn stop(&mut self, at: usize) {
        self.parts[at].take().unwrap().end().unwrap();
    }

    fn start_again(&mut self, at: usize) {
        let replicas: Vec<_> = NAMES.into_iter().zip(self.addresses.clone()).collect();
        let started = fleet::control_again(&self.files, NAMES[at], &replicas);
        self.parts[at] = Some(started.unwrap().0);
    }

    async fn link(&self, at: usize) -> Result<(Link, Client), Error> {
        let secret = std::fs::read_to_string(self.files.secret()).unwrap();
        let secret = Secret::from(secret.trim().to_owned());
        let link = Link::connect(self.addresses[at], "test", &secret).await?;
        let control = link.control()?;
        Ok((link, control))
    }

    async fn status(&self, at: usize) -> Option<Value> {
        let (_link, control) = self.link(at).await.ok()?;
        control.status().await.ok()
    }

    async fn leader(&self) -> usize {
        for _ in 0..PATIENCE {
            for at in 0..NAMES.len() {
                if let Some(status) = self.status(at).await
                    && status["leader"] == true
                {
                    return at;
                }
            }
            compio::time::sleep(PAUSE).await;
        }
        panic!("no replica leads");
    }

    async fn change(&self, number: u32) -> Revision {
        let operator = fleet::operator(&self.files, &self.addresses).unwrap();
        for _ in 0..PATIENCE {
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
                Err(_) => compio::time::sleep(PAUSE).await,
            }
        }
        panic!("no change was accepted");
    }

    async fn wait(&self, at: usize, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..PATIENCE {
            if let Some(status) = self.status(at).await
                && holds(&status)
            {
                return status;
            }
            compio::time::sleep(PAUSE).await;
        }
        panic!("{}: {what}: {:?}", NAMES[at], self.status(at).await);
    }

    /// Gives an order to the leader until it is taken.
    async fn order(&self, order: Order) {
        for _ in 0..PATIENCE {
            let leader = self.leader().await;
            if let Ok((_link, control)) = self.link(leader).await
                && control.members(&order).await.is_ok()
            {
                return;
            }
            compio::time::sleep(PAUSE).await;
        }
        panic!("{order:?} is not taken");
    }
}

fn run<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

#[test]
fn changes_outlive_the_loss_of_each_leader() {
    run(async {
        let mut group = Group::start();
        for round in 1..=3 {
            assert_eq!(group.change(round).await, Revision::from(round));
            assert_eq!(group.change(round).await, Revision::from(round), "resent");
            let leader = group.leader().await;
            group.stop(leader);
            let other = (leader + 1) % NAMES.len();
            group
                .wait(other, "another leader", |one| one["current"] == true)
                .await;
            group.start_again(leader);
        }
        for at in 0..NAMES.len() {
            group
                .wait(at, "revision 3", |one| one["revision"] == 3)
                .await;
        }
    });
}

#[test]
fn a_follower_names_the_leader_and_one_cut_off_says_so() {
    run(async {
        let mut group = Group::start();
        group.change(1).await;
        let leader = group.leader().await;
        let other = (leader + 1) % NAMES.len();
        group
            .wait(other, "revision 1", |one| one["revision"] == 1)
            .await;
        let (_link, control) = group.link(other).await.unwrap();
        let order = Order::Promote {
            host: NAMES[other].to_owned(),
        };
        match control.members(&order).await {
            Err(Error::NotLeader(hint)) => assert_eq!(hint, group.addresses[leader].to_string()),
            other => panic!("{other:?}"),
        }
        group.stop(leader);
        group.stop((leader + 2) % NAMES.len());
        let alone = |one: &Value| one["current"] == false && one["leader"] == false;
        group.wait(other, "not current", alone).await;
    });
}

#[test]
fn a_wiped_disk_comes_back_as_a_new_member() {
    run(async {
        let mut group = Group::start();
        group.change(1).await;
        let leader = group.leader().await;
        let wiped = (leader + 1) % NAMES.len();
        let before = group
            .wait(wiped, "revision 1", |one| one["revision"] == 1)
            .await;
        let lost = before["replica"]["id"]["storage"].as_u64().unwrap();
        group.stop(wiped);
        std::fs::remove_dir_all(group.files.folder().join(NAMES[wiped])).unwrap();
        group.start_again(wiped);
        group.change(2).await;
        let blank = group.status(wiped).await.unwrap();
        assert_eq!(blank["replica"]["members"], serde_json::json!([]));

        let host = NAMES[wiped].to_owned();
        group.order(Order::Add { host: host.clone() }).await;
        let storage = lost;
        let remove = Order::Remove {
            host: host.clone(),
            storage,
        };
        group.order(remove).await;
        group.order(Order::Promote { host }).await;
        group
            .wait(wiped, "revision 2", |one| one["revision"] == 2)
            .await;
        let second = (wiped + 1) % NAMES.len();
        group.stop(second);
        assert_eq!(group.change(3).await, 3);
    });
}

#[test]
fn every_replica_tells_which_configuration_each_host_has_in_force() {
    run(async {
        let group = Group::start();
        group.change(1).await;
        let mut proxies = Vec::new();
        for at in 0..2 {
            let name = format!("host-{at}");
            let control = &group.addresses[at..=at];
            let (part, _) = fleet::proxy(&group.files, &name, "a", control, &[]).unwrap();
            proxies.push(part);
        }
        group.change(2).await;
        let in_force = |one: &Value| {
            let hosts = one["hosts"].as_array().unwrap();
            hosts.len() == 2 && hosts.iter().all(|host| host["revision"] == 2)
        };
        for at in 0..NAMES.len() {
            group.wait(at, "revision 2 on both hosts", in_force).await;
        }
        for proxy in proxies {
            proxy.end().unwrap();
        }
    });
}
