//! Tenant rates and at-most-once requests over several proxies on loopback.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::fleet::Part;
use pb_lab::upstream::Setup;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::File;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Service;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use serde_json::json;

use crate::support::Fleet;
use crate::support::client::Client;
use crate::support::count;
use crate::support::wait_until;

/// Rate of the tenant in the test of rates.
const REQUESTS_PER_SECOND: f64 = 40.0;
/// Requests that the tenant may send at once in the test of rates.
const BURST_REQUESTS: u32 = 20;

/// Three proxies with one upstream behind them.
struct Fixture {
    fleet: Fleet,
    secret: Secret,
    upstream: Part,
    upstream_address: SocketAddr,
}

impl Fixture {
    fn start(per_second: f64, burst: u32, work: Duration) -> Self {
        let secret = Secret::generate(&mut rand::rng());
        let fleet = Fleet::start(Files::create().unwrap(), 3);
        fleet.configure(&secret);
        fleet.submit(Change::Publish {
            services: vec![service()],
        });
        let rate = Rate { per_second, burst };
        let id = "farm".to_owned();
        fleet.submit(Change::SetTenant {
            tenant: Tenant { id, rate },
        });
        let proxies = fleet.proxies.iter();
        let setup = Setup {
            id: "upstream-0".to_owned(),
            service: "herd".to_owned(),
            zone: "a".to_owned(),
            listen: "127.0.0.1:0".parse().unwrap(),
            slots: 50,
            work,
            proxies: proxies.map(|proxy| proxy.addresses.platform).collect(),
            seed: 1,
        };
        let (upstream, upstream_address) = fleet::upstream(setup, fleet.ledger.clone()).unwrap();
        let fixture = Self {
            fleet,
            secret,
            upstream,
            upstream_address,
        };
        let revision = fixture.fleet.revision();
        fixture.fleet.wait_for("the upstream", |status| {
            count(status, "upstreams") == 1 && count(status, "revision") == revision
        });
        for proxy in 0..3 {
            wait_until("status 200", || fixture.get(proxy) == 200);
        }
        fixture
    }

    /// Returns the status of a keyed GET, or 0 when no answer arrives.
    fn get(&self, proxy: usize) -> u16 {
        let mut client = Client::connect(self.client_address(proxy)).unwrap();
        let answer = client.get("/herd/register", &self.secret);
        answer.map_or(0, |answer| answer.status)
    }

    fn client_address(&self, proxy: usize) -> SocketAddr {
        self.fleet.proxies[proxy].addresses.callers
    }

    /// Sends a request to the non-idempotent route and returns its connection without reading the
    /// answer.
    fn start_post(
        &self,
        proxy: usize,
        request_id: &str,
        key: Option<&str>,
        body: &str,
    ) -> TcpStream {
        let secret = self.secret.reveal();
        let key = key.map_or(String::new(), |key| format!("idempotency-key: {key}\r\n"));
        let length = body.len();
        let request = format!(
            "POST /herd/lodge HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
             authorization: Bearer {secret}\r\nx-lab-request: {request_id}\r\n{key}\
             content-length: {length}\r\n\r\n{body}"
        );
        let mut stream = TcpStream::connect(self.client_address(proxy)).unwrap();
        let timeout = Some(Duration::from_secs(20));
        stream.set_read_timeout(timeout).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream
    }

    /// Returns the answer to a request to the non-idempotent route.
    fn post(&self, proxy: usize, request_id: &str, key: Option<&str>, body: &str) -> String {
        read_to_end(self.start_post(proxy, request_id, key, body))
    }

    fn end(self) {
        self.upstream.end().unwrap();
        self.fleet.end();
    }
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").unwrap().1
}

fn service() -> Service {
    let file: File = serde_json::from_value(json!({
        "service": "herd",
        "owner": "registry",
        "routes": [
            { "id": "register", "prefix": "/herd", "methods": ["GET"] },
            {
                "id": "lodge",
                "prefix": "/herd/lodge",
                "methods": ["POST"],
                "non_idempotent": true,
                "deadline_ms": 3_000,
            },
        ],
    }))
    .unwrap();
    Service::try_from(file).unwrap()
}

/// Sends requests, with 2 ms between them, until a point in time and returns how many were
/// admitted.
fn send_until(address: SocketAddr, secret: &Secret, until: Instant) -> u32 {
    let mut client = Client::connect(address).unwrap();
    let mut admitted = 0;
    while Instant::now() < until {
        let answer = client.get("/herd/register", secret).unwrap();
        assert!([200, 429, 503].contains(&answer.status), "{answer:?}");
        admitted += u32::from(answer.status == 200);
        thread::sleep(Duration::from_millis(2));
    }
    admitted
}

/// Guards against a quota that each host grants by itself: a tenant that sends through three
/// proxies gets its burst and its rate once, not three times.
#[test]
fn a_tenant_is_limited_to_its_rate_over_all_hosts_together() {
    let fixture = Fixture::start(
        REQUESTS_PER_SECOND,
        BURST_REQUESTS,
        Duration::from_millis(1),
    );
    let started = Instant::now();
    let until = started + Duration::from_secs(3);
    let senders: Vec<_> = (0..3)
        .map(|proxy| {
            let address = fixture.client_address(proxy);
            let secret = fixture.secret.clone();
            thread::spawn(move || send_until(address, &secret, until))
        })
        .collect();
    let admitted: u32 = senders
        .into_iter()
        .map(|sender| sender.join().unwrap())
        .sum();
    let elapsed = started.elapsed().as_secs_f64();
    let max_admitted = f64::from(BURST_REQUESTS) + REQUESTS_PER_SECOND * elapsed;
    println!("admitted {admitted} of at most {max_admitted:.1} in {elapsed:.2} s");
    assert!(f64::from(admitted) <= max_admitted);
    assert!(
        admitted > BURST_REQUESTS,
        "the tenant got no more than its burst"
    );
    fixture.end();
}

/// Guards against a non-idempotent request that runs twice because clients send it through several
/// proxies at once, or send it again after they closed the connection.
#[test]
fn a_request_sent_again_through_another_proxy_runs_once() {
    let fixture = Fixture::start(1_000.0, 1_000, Duration::from_millis(100));
    let requests: Vec<_> = (0..3)
        .map(|proxy| fixture.start_post(proxy, "return-1", Some("key-1"), "42 sheep"))
        .collect();
    let answers: Vec<String> = requests.into_iter().map(read_to_end).collect();
    for answer in &answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(body(answer), body(&answers[0]));
    }
    let replayed = |answer: &&String| answer.contains("x-persimmonbend-replayed: true");
    assert_eq!(answers.iter().filter(replayed).count(), 2);

    drop(fixture.start_post(0, "return-2", Some("key-2"), "hung up"));
    let again = fixture.post(1, "return-2", Some("key-2"), "hung up");
    assert!(again.starts_with("HTTP/1.1 200"), "{again}");

    let other = fixture.post(2, "return-1", Some("key-1"), "43 sheep");
    assert!(other.contains("idempotency_key_reused"), "{other}");
    let without = fixture.post(2, "return-3", None, "42 sheep");
    assert!(without.contains("idempotency_key_missing"), "{without}");
    let ledger = &fixture.fleet.ledger;
    assert_eq!(ledger.executions("return-1"), 1);
    assert_eq!(ledger.executions("return-2"), 1);
    assert_eq!(ledger.executions("return-3"), 0);
    assert_eq!(ledger.duplicates(), 0);
    fixture.end();
}

/// Guards against a second execution after the upstream read the request and never answered.
#[test]
fn a_request_that_may_have_run_is_not_run_again() {
    let fixture = Fixture::start(1_000.0, 1_000, Duration::from_millis(1));
    let mut stream = TcpStream::connect(fixture.upstream_address).unwrap();
    let fault = r#"{"fault":"silent"}"#;
    let length = fault.len();
    let request = format!(
        "POST /_lab/fault HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{fault}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    assert!(read_to_end(stream).starts_with("HTTP/1.1 200"));
    let first = fixture.post(0, "return-1", Some("key-1"), "42 sheep");
    assert!(first.contains("x-persimmonbend-ran: unknown"), "{first}");
    let again = fixture.post(1, "return-1", Some("key-1"), "42 sheep");
    assert!(again.contains("may_have_run"), "{again}");
    assert_eq!(fixture.fleet.ledger.executions("return-1"), 1);
    fixture.end();
}

/// Guards against an execution without a record while control is stopped, and against a refusal
/// that lasts once control runs again.
#[test]
fn a_request_that_cannot_be_recorded_is_refused_as_not_run() {
    let mut fixture = Fixture::start(1_000.0, 1_000, Duration::from_millis(1));
    fixture.fleet.stop_control();
    for attempt in 0..3 {
        let answer = fixture.post(attempt % 3, "return-1", Some("key-1"), "42 sheep");
        assert!(answer.contains("x-persimmonbend-ran: no"), "{answer}");
    }
    assert_eq!(fixture.fleet.ledger.executions("return-1"), 0);
    fixture.fleet.restart_control();
    wait_until("status 200", || {
        let answer = fixture.post(1, "return-1", Some("key-1"), "42 sheep");
        answer.starts_with("HTTP/1.1 200")
    });
    assert_eq!(fixture.fleet.ledger.executions("return-1"), 1);
    fixture.end();
}
