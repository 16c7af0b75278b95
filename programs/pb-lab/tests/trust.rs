//! Random bytes, wrong secrets and silent connections on the ports of a proxy and of control.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use compio::runtime::Runtime;
use pb_lab::fleet::Files;
use persimmonbend_core::key::Secret;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake;
use persimmonbend_wire::link::Link;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::support::Fleet;
use crate::support::client;
use crate::support::count;
use crate::support::wait_until;

/// Seed of the random bytes.
const SEED: u64 = 7;

/// Number of connections that are opened and send nothing.
const SILENT_CONNECTIONS: usize = 200;

/// Sends bytes and waits up to a second for an answer or the end of the connection.
fn send(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    let _ = stream.write_all(bytes);
    let mut answer = [0; 1_024];
    let _ = stream.read(&mut answer);
}

/// Returns malformed requests, broken handshakes and random bytes.
fn garbage() -> Vec<Vec<u8>> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut all = vec![
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"pbend/1".to_vec(),
        b"POST /announce HTTP/1.1\r\nhost: t\r\ncontent-length: 9\r\n\r\n{\"id\":1}}".to_vec(),
        b"POST /announce HTTP/1.1\r\nhost: t\r\ncontent-length: 999999999\r\n\r\n".to_vec(),
        [b"pbend/1".to_vec(), vec![0; 500]].concat(),
        [b"pbend/1".to_vec(), vec![255; 500]].concat(),
    ];
    for length in [1, 40, 300, 70_000] {
        all.push((0..length).map(|_| rng.random()).collect());
    }
    all
}

/// Guards against input that stops a proxy or control before it is authenticated, and against a
/// link with a wrong fleet secret. After all of it, the proxy and control still answer.
#[test]
fn garbage_on_any_port_stops_neither_proxy_nor_control() {
    let secret = Secret::generate(&mut rand::rng());
    let fleet = Fleet::start(Files::create().unwrap(), 1);
    fleet.configure(&secret);
    let addresses = fleet.proxies[0].addresses;
    let upstream = fleet.add_upstream("upstream-0", &[addresses.platform], Duration::ZERO);
    fleet.wait_for("the upstream", |status| count(status, "upstreams") == 1);
    let ports = [
        addresses.callers,
        addresses.platform,
        addresses.peers,
        fleet.control_address,
    ];
    for port in ports {
        for bytes in garbage() {
            send(port, &bytes);
        }
    }
    Runtime::new().unwrap().block_on(async {
        let fleet_secret = fleet.secret();
        let other_secret = handshake::Secret::from("another secret of a fleet".to_owned());
        for port in [addresses.peers, fleet.control_address] {
            let refused = Link::connect(port, "stranger", &other_secret).await;
            assert!(matches!(refused.err(), Some(Error::Unauthenticated)));
        }
        let link = Link::connect(addresses.peers, "test", &fleet_secret)
            .await
            .unwrap();
        let peer = link.peer().unwrap();
        for bytes in garbage() {
            assert!(peer.gossip(&bytes).await.is_err());
        }
    });
    wait_until("status 200", || {
        let answer = client::get(addresses.callers, "/herd/1", &secret);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    assert!(fleet.revision() > 0);
    upstream.end().unwrap();
    fleet.end();
}

/// Guards against silent connections that hold the handshake slots of their address forever: a link
/// is accepted after their handshakes time out.
#[test]
fn silent_connections_do_not_block_links_forever() {
    let fleet = Fleet::start(Files::create().unwrap(), 1);
    let peers = fleet.proxies[0].addresses.peers;
    let connections: Vec<TcpStream> = (0..SILENT_CONNECTIONS)
        .map(|_| TcpStream::connect(peers).unwrap())
        .collect();
    let runtime = Runtime::new().unwrap();
    let secret = fleet.secret();
    wait_until("a new link", || {
        let link = runtime.block_on(Link::connect(peers, "test", &secret));
        link.is_ok()
    });
    drop(connections);
    fleet.end();
}
