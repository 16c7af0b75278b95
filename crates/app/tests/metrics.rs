//! `docs/operators/metrics.md` lists every metric, and a sender sends metrics over UDP.

#![allow(clippy::unwrap_used)]

use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

use persimmonbend_app::metrics;
use persimmonbend_app::metrics::Kind;
use persimmonbend_app::metrics::Sender;

#[test]
fn operators_page_lists_every_metric() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/metrics.md");
    let page = std::fs::read_to_string(file).unwrap();
    let prefix = format!("| `{}.", metrics::PREFIX);
    let found: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with(&prefix))
        .collect();
    let expected: Vec<String> = metrics::ALL
        .iter()
        .map(|metric| {
            let kind = match metric.kind {
                Kind::Counter => "counter",
                Kind::Gauge => "gauge",
            };
            format!("{prefix}{}` | {kind} | {} |", metric.name, metric.about)
        })
        .collect();
    assert_eq!(found, expected, "expected:\n{}", expected.join("\n"));
}

#[test]
fn metrics_reach_the_receiver() {
    let receiver = UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let sender = Sender::connect(receiver.local_addr().unwrap(), "host-0").unwrap();
    sender.send(metrics::FAILED, 3, Some(("code", "shed")));
    sender.send(metrics::READY, 1, None);
    let mut received = Vec::new();
    for _ in 0..2 {
        let mut buffer = [0; 512];
        let length = receiver.recv(&mut buffer).unwrap();
        received.push(String::from_utf8_lossy(&buffer[..length]).into_owned());
    }
    assert_eq!(
        received,
        [
            "persimmonbend.requests.failed:3|c|#host:host-0,code:shed",
            "persimmonbend.host.ready:1|g|#host:host-0",
        ]
    );
}
