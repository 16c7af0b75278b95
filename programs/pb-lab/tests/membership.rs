//! Proxies on loopback that exchange membership, upstreams, configuration and withdrawals.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pb_lab::fleet::Files;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Order;
use persimmonbend_core::key::Secret;
use serde_json::json;

use crate::support::Fleet;
use crate::support::client;
use crate::support::client::Client;
use crate::support::count;
use crate::support::relay::Relay;
use crate::support::wait_until;

/// Guards against a proxy that finds the fleet only while control runs, and against stopped proxies
/// that still count as live.
#[test]
fn hosts_discover_each_other_through_control_and_through_seeds() {
    let mut fleet = Fleet::start(Files::create().unwrap(), 4);
    fleet.wait_for("4 live hosts", |status| count(status, "hosts_live") == 4);
    fleet.wait_for("ready proxies", |status| status["ready"] == true);
    fleet.stop_control();
    let seeds = [fleet.proxies[0].addresses.peers];
    let added = fleet.add_proxy("host-9", &seeds);
    fleet.wait_for("5 live hosts", |status| count(status, "hosts_live") == 5);
    fleet.stop_proxy(added);
    fleet.wait_for("4 live hosts again", |status| {
        count(status, "hosts_live") == 4
    });
    fleet.end();
}

/// Guards against announcements that stay on the proxy that received them.
#[test]
fn proxies_know_upstreams_that_announce_themselves_to_another_proxy() {
    let fleet = Fleet::start(Files::create().unwrap(), 3);
    fleet.wait_for("3 live hosts", |status| count(status, "hosts_live") == 3);
    let platform = fleet.proxies[0].addresses.platform;
    let upstream = fleet.add_upstream("upstream-0", &[platform], Duration::from_millis(1));
    fleet.wait_for("the upstream", |status| count(status, "upstreams") == 1);
    upstream.end().unwrap();
    fleet.end();
}

/// Returns the status of a keyed request, or 0 when no answer arrives.
fn request_status(address: SocketAddr, secret: &Secret) -> u16 {
    client::get(address, "/herd/register", secret).map_or(0, |answer| answer.status)
}

/// Guards against proxies that depend on control: one that never reached it gets the configuration
/// from its peers, and a withdrawal sent to one proxy takes effect on open connections of all and
/// reaches control once it runs again.
#[test]
fn configuration_and_withdrawals_spread_without_control() {
    let secret = Secret::generate(&mut rand::rng());
    let mut fleet = Fleet::start(Files::create().unwrap(), 3);
    fleet.configure(&secret);
    let unreachable_control = Relay::open().address;
    let seeds = json!({ "seeds": [fleet.proxies[0].addresses.peers] });
    fleet.add_proxy_with("host-9", &[unreachable_control], &seeds);
    let platforms: Vec<SocketAddr> = fleet
        .proxies
        .iter()
        .map(|proxy| proxy.addresses.platform)
        .collect();
    let upstream = fleet.add_upstream("upstream-0", &platforms, Duration::from_millis(1));
    let revision = fleet.revision();
    fleet.wait_for("the published revision", |status| {
        count(status, "revision") == revision && status["ready"] == true
    });
    for proxy in &fleet.proxies[..3] {
        let address = proxy.addresses.callers;
        wait_until("status 200", || request_status(address, &secret) == 200);
    }
    fleet.stop_control();
    let late_joiner = fleet.add_proxy_with("host-8", &[unreachable_control], &seeds);
    fleet.wait_for("5 live hosts and readiness", |status| {
        count(status, "hosts_live") == 5 && status["ready"] == true
    });
    assert_eq!(
        count(&fleet.status(&fleet.proxies[late_joiner]), "revision"),
        revision
    );
    let mut clients = Vec::new();
    for proxy in &fleet.proxies {
        let address = proxy.addresses.callers;
        wait_until("status 200", || request_status(address, &secret) == 200);
        let mut client = Client::connect(address).unwrap();
        assert_eq!(client.get("/herd/register", &secret).unwrap().status, 200);
        clients.push(client);
    }
    fleet.withdraw_at(1, secret.digest());
    for client in &mut clients {
        wait_until("the refusal of the withdrawn key", || {
            let answer = client.get("/herd/register", &secret).unwrap();
            answer.status == 401 && answer.text.contains("key_withdrawn")
        });
    }
    fleet.restart_control();
    wait_until("the withdrawal to be recorded by control", || {
        fleet.revision() > revision
    });
    let status = request_status(fleet.proxies[0].addresses.callers, &secret);
    assert_eq!(status, 401);
    upstream.end().unwrap();
    fleet.end();
}

/// Guards against keys that stay usable on a proxy which could not learn of their withdrawal.
///
/// The loss of control alone leaves the proxies ready. When they lose each other too, they refuse
/// keyed requests and still serve open routes.
#[test]
fn isolated_proxies_refuse_keyed_requests_until_contact_returns() {
    let secret = Secret::generate(&mut rand::rng());
    let mut fleet = Fleet::start(Files::create().unwrap(), 0);
    fleet.configure(&secret);
    let control_relay = Relay::open();
    control_relay.set_target(fleet.control_address);
    let mut relays = Vec::new();
    for number in 0..3 {
        let relay = Relay::open();
        let settings = json!({ "advertise_peers": relay.address, "isolation_ms": 2_000 });
        let name = format!("host-{number}");
        let at = fleet.add_proxy_with(&name, &[control_relay.address], &settings);
        relay.set_target(fleet.proxies[at].addresses.peers);
        relays.push(relay);
    }
    let platform = fleet.proxies[0].addresses.platform;
    let upstream = fleet.add_upstream("upstream-0", &[platform], Duration::from_millis(1));
    fleet.wait_for("3 live hosts and the upstream", |status| {
        count(status, "hosts_live") == 3 && count(status, "upstreams") == 1
    });
    control_relay.set_dropping(true);
    thread::sleep(Duration::from_secs(5));
    fleet.wait_for("readiness without control", |status| {
        status["ready"] == true
    });
    for relay in &relays {
        relay.set_dropping(true);
    }
    fleet.wait_for("isolation", |status| status["isolated"] == true);
    for proxy in &fleet.proxies {
        let callers = proxy.addresses.callers;
        let keyed = client::get(callers, "/herd/register", &secret).unwrap();
        assert_eq!(keyed.status, 503);
        assert!(keyed.text.contains("isolated"), "{}", keyed.text);
        let open = client::get(callers, "/herd/open/1", &secret).unwrap();
        assert_eq!(open.status, 200);
        let ready = client::get(proxy.addresses.platform, "/ready", &secret).unwrap();
        assert_eq!(ready.status, 503);
    }
    for relay in &relays {
        relay.set_dropping(false);
    }
    for proxy in &fleet.proxies {
        let callers = proxy.addresses.callers;
        wait_until("status 200", || request_status(callers, &secret) == 200);
    }
    upstream.end().unwrap();
    fleet.end();
}

/// Guards against a host that sends requests to an upstream after an order took it out of use or
/// after it left.
#[test]
fn a_drained_or_ejected_upstream_gets_no_requests_from_any_host() {
    let secret = Secret::generate(&mut rand::rng());
    let fleet = Fleet::start(Files::create().unwrap(), 3);
    fleet.configure(&secret);
    let platform = [fleet.proxies[0].addresses.platform];
    let first = fleet.add_upstream("upstream-0", &platform, Duration::from_millis(1));
    let second = fleet.add_upstream("upstream-1", &platform, Duration::from_millis(1));
    fleet.wait_for("both upstreams", |status| count(status, "upstreams") == 2);
    let answers_from = |id: &str| {
        let mut count = 0;
        for proxy in &fleet.proxies {
            for _ in 0..20 {
                let answer = client::get(proxy.addresses.callers, "/herd/1", &secret).unwrap();
                assert_eq!(answer.status, 200, "{}", answer.text);
                count += u32::from(answer.text.contains(id));
            }
        }
        count
    };
    for proxy in &fleet.proxies {
        let address = proxy.addresses.callers;
        wait_until("status 200", || request_status(address, &secret) == 200);
    }
    assert!(answers_from("upstream-0") > 0);
    let submit_order = |order| {
        fleet.submit(Change::Steer {
            upstream: "upstream-0".to_owned(),
            order,
        });
        let revision = fleet.revision();
        fleet.wait_for("the revision of the order", |status| {
            count(status, "revision") == revision
        });
    };
    submit_order(Order::Drain);
    assert_eq!(answers_from("upstream-0"), 0);
    submit_order(Order::Eject);
    assert_eq!(answers_from("upstream-0"), 0);
    submit_order(Order::Restore);
    wait_until("requests to the restored upstream", || {
        answers_from("upstream-0") > 0
    });
    first.end().unwrap();
    assert_eq!(answers_from("upstream-0"), 0);
    second.end().unwrap();
    fleet.end();
}

/// Guards against requests that fail because an upstream or a proxy stops while it serves them.
#[test]
fn stopping_an_upstream_and_a_proxy_under_load_fails_no_request() {
    let secret = Secret::generate(&mut rand::rng());
    let mut fleet = Fleet::start(Files::create().unwrap(), 3);
    fleet.configure(&secret);
    let platforms: Vec<SocketAddr> = fleet
        .proxies
        .iter()
        .map(|proxy| proxy.addresses.platform)
        .collect();
    let work = Duration::from_millis(30);
    let leaving = fleet.add_upstream("upstream-0", &platforms[..1], work);
    let staying = fleet.add_upstream("upstream-1", &platforms, work);
    fleet.wait_for("both upstreams", |status| count(status, "upstreams") == 2);
    for proxy in &fleet.proxies {
        let address = proxy.addresses.callers;
        wait_until("status 200", || request_status(address, &secret) == 200);
    }
    let targets: Vec<(SocketAddr, SocketAddr)> = fleet
        .proxies
        .iter()
        .map(|proxy| (proxy.addresses.callers, proxy.addresses.platform))
        .collect();
    let stop = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let send_until_stopped =
            |worker: usize| send_until_stopped(worker, &targets, &secret, &stop);
        let workers: Vec<_> = (0..6)
            .map(|worker| scope.spawn(move || send_until_stopped(worker)))
            .collect();
        thread::sleep(Duration::from_millis(500));
        leaving.end().unwrap();
        fleet.stop_proxy(2);
        thread::sleep(Duration::from_millis(300));
        stop.store(true, Ordering::SeqCst);
        let answers = workers.into_iter().map(|worker| worker.join().unwrap());
        answers.sum::<u32>()
    });
    assert!(answers > 50, "only {answers} requests were answered");
    staying.end().unwrap();
    fleet.end();
}

/// Sends requests over keep-alive connections to ready proxies in turn, until `stop` is set.
///
/// Returns the number of answers. Each of `targets` has the client address and the platform address
/// of a proxy.
fn send_until_stopped(
    worker: usize,
    targets: &[(SocketAddr, SocketAddr)],
    secret: &Secret,
    stop: &AtomicBool,
) -> u32 {
    let mut answers = 0;
    let mut next = worker;
    while !stop.load(Ordering::SeqCst) {
        next += 1;
        let (callers, platform) = targets[next % targets.len()];
        let ready = client::get(platform, "/ready", secret);
        if !ready.is_ok_and(|answer| answer.status == 200) {
            continue;
        }
        let mut client = Client::connect(callers).unwrap();
        for _ in 0..10 {
            let answer = client.get("/herd/1", secret).unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text);
            answers += 1;
            if answer.last {
                break;
            }
        }
    }
    answers
}
