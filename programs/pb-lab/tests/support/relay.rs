//! A relay that carries connections to a target until it is cut.

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

const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A port that leads to another one.
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    /// Opens a relay without a target.
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

    /// Sets where the relay leads.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = Some(target);
    }

    /// Swallows every byte from now on, or carries new connections again.
    pub fn set_dropping(&self, dropping: bool) {
        self.dropping.store(dropping, Ordering::SeqCst);
    }
}

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
