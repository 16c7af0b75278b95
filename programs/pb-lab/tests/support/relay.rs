//! A TCP relay that can drop all bytes, as a network partition does.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Pause after bytes that were read and dropped.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A port whose connections are forwarded to a target.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    /// Opens a relay without a target, which closes new connections until it has one.
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            target: Arc::default(),
            dropping: Arc::default(),
        };
        let target = Arc::clone(&relay.target);
        let dropping = Arc::clone(&relay.dropping);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = *target.lock().unwrap();
                let Some(Ok(other)) = target.map(TcpStream::connect) else {
                    continue;
                };
                forward(&stream, &other, &dropping);
                forward(&other, &stream, &dropping);
            }
        });
        relay
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = Some(target);
    }

    /// Sets whether bytes are dropped, on open connections and on new ones.
    ///
    /// A connection that lost bytes stays broken; new ones work once nothing is dropped any more.
    pub fn set_dropping(&self, dropping: bool) {
        self.dropping.store(dropping, Ordering::SeqCst);
    }
}

/// Copies bytes in one direction on a thread of its own, until either side closes.
fn forward(from: &TcpStream, to: &TcpStream, dropping: &Arc<AtomicBool>) {
    let mut from = from.try_clone().unwrap();
    let mut to = to.try_clone().unwrap();
    let dropping = Arc::clone(dropping);
    thread::spawn(move || {
        let mut bytes = [0; 16 * 1024];
        loop {
            match from.read(&mut bytes) {
                Ok(0) | Err(_) => break,
                Ok(_) if dropping.load(Ordering::SeqCst) => thread::sleep(READ_INTERVAL),
                Ok(length) if to.write_all(&bytes[..length]).is_err() => break,
                Ok(_) => {}
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
