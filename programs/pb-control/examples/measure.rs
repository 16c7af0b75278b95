//! Measures control replicas on loopback: commits, restarts and losses of the leader.
//!
//! `cargo run --release -p pb-control --example measure`

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use compio::time::sleep;
use pb_control::node::Node;
use pb_control::settings::File;
use pb_control::settings::Settings;
use persimmonbend_app::settings;
use persimmonbend_app::stop::Stop;
use persimmonbend_core::clock::System;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Submission;
use persimmonbend_core::config::Tenant;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::link::Link;
use serde_json::json;

const COMMITS: usize = 500;
const RESTART_CHANGES: [usize; 3] = [100, 1_000, 10_000];
const LEADER_LOSSES: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Replica {
    address: SocketAddr,
    settings: Settings,
    stop: Stop,
    running: JoinHandle<anyhow::Result<()>>,
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn main() -> anyhow::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        for replicas in [1, 3] {
            measure_commits(replicas).await?;
        }
        for changes in RESTART_CHANGES {
            measure_restart(changes).await?;
        }
        measure_leader_losses().await
    })
}

async fn measure_commits(count: usize) -> anyhow::Result<()> {
    let folder = folder()?;
    let replicas = start(&folder.0, count)?;
    let (_, _link, leader) = find_leader(&replicas).await;
    let mut times = Vec::new();
    for number in 0..COMMITS {
        let started = Instant::now();
        leader.submit(&submission(number)).await?;
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let (p50, p99) = (times[COMMITS / 2], times[COMMITS * 99 / 100]);
    println!("commit, {count} replicas, {COMMITS} changes: p50 {p50:?}, p99 {p99:?}");
    stop(replicas).await
}

async fn measure_restart(changes: usize) -> anyhow::Result<()> {
    let folder = folder()?;
    let settings = settings_of(&folder.0, "control-0", "127.0.0.1:0".parse()?, &[])?;
    submit_changes(&settings, changes).await?;
    let started = Instant::now();
    let node = Node::open(&settings, Rc::new(System))?;
    let took = started.elapsed();
    println!(
        "restart after {changes} changes: {took:?}, revision {}",
        node.revision()
    );
    Ok(())
}

async fn measure_leader_losses() -> anyhow::Result<()> {
    for _ in 0..LEADER_LOSSES {
        let folder = folder()?;
        let mut replicas = start(&folder.0, 3)?;
        let (index, link, _) = find_leader(&replicas).await;
        drop(link);
        let leader_replica = replicas.remove(index);
        leader_replica.stop.ask();
        let started = Instant::now();
        let _ = leader_replica.running.await;
        let (_, _link, leader) = find_leader(&replicas).await;
        leader.submit(&submission(0)).await?;
        println!(
            "loss of the leader to a commit by the next: {:?}",
            started.elapsed()
        );
        stop(replicas).await?;
    }
    Ok(())
}

async fn submit_changes(settings: &Settings, changes: usize) -> anyhow::Result<()> {
    let node = Rc::new(Node::open(settings, Rc::new(System))?);
    let driver = Rc::clone(&node);
    let driving = spawn(async move {
        loop {
            if driver.advance().is_err() {
                return;
            }
            let _ = compio::time::timeout(POLL_INTERVAL, driver.wait_for_work()).await;
        }
    });
    for number in 0..changes {
        node.submit(submission(number)).await?;
    }
    driving.cancel().await;
    Ok(())
}

async fn find_leader(replicas: &[Replica]) -> (usize, Link, Client) {
    loop {
        for (index, replica) in replicas.iter().enumerate() {
            let secret = &replica.settings.secret;
            if let Ok(link) = Link::connect(replica.address, "measure", secret).await
                && let Ok(control) = link.control()
                && control.ping().await.unwrap_or(false)
            {
                return (index, link, control);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn start(folder: &Path, count: usize) -> anyhow::Result<Vec<Replica>> {
    let mut sockets = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..count {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        addresses.push((format!("control-{number}"), socket.local_addr()?));
        sockets.push(socket);
    }
    let mut replicas = Vec::new();
    for ((host, address), socket) in addresses.iter().zip(sockets) {
        let settings = settings_of(folder, host, *address, &addresses)?;
        let stop = Stop::new();
        let running = pb_control::run_on(socket, settings.clone(), stop.clone(), |_| ());
        replicas.push(Replica {
            address: *address,
            settings,
            stop,
            running: spawn(running),
        });
    }
    Ok(replicas)
}

async fn stop(replicas: Vec<Replica>) -> anyhow::Result<()> {
    for replica in replicas {
        replica.stop.ask();
        let ended = replica.running.await;
        ended.map_err(|_| anyhow::anyhow!("a replica panicked"))??;
    }
    Ok(())
}

fn settings_of(
    folder: &Path,
    host: &str,
    listen: SocketAddr,
    replicas: &[(String, SocketAddr)],
) -> anyhow::Result<Settings> {
    let replica =
        |(host, address): &(String, SocketAddr)| json!({ "host": host, "address": address });
    let document = json!({
        "host": host,
        "listen": listen,
        "data": folder.join(host),
        "secret_file": folder.join("secret"),
        "replicas": replicas.iter().map(replica).collect::<Vec<_>>(),
    });
    let checked = settings::parse::<File, Settings>(&document.to_string());
    checked.map_err(|faults| anyhow::anyhow!("{faults:?}"))
}

fn submission(number: usize) -> Submission {
    let rate = Rate {
        per_second: 10.0,
        burst: 20,
    };
    let id = format!("tenant-{}", number % 100);
    Submission {
        id: format!("change-{number}"),
        base: None,
        operator: "measure".to_owned(),
        change: Change::SetTenant {
            tenant: Tenant { id, rate },
        },
    }
}

fn folder() -> anyhow::Result<Folder> {
    let name = format!("pb-control-{:016x}", rand::random::<u64>());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    let secret = format!("{:032x}", rand::random::<u128>());
    std::fs::write(folder.join("secret"), secret)?;
    Ok(Folder(folder))
}
