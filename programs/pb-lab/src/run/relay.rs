//! A TCP relay that simulates network faults by dropping bytes.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// Most bytes read at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards connections to a target and can be made to drop their bytes.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    cut: AtomicBool,
    /// Bytes of connections that were opened in an earlier epoch are dropped.
    epoch: AtomicU64,
}

impl Relay {
    /// Opens a relay to `target` on a port chosen by the kernel.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = Arc::clone(&relay.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(other) = TcpStream::connect(target) {
                    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                    let epoch = state.epoch.load(Ordering::SeqCst);
                    forward(&stream, &other, &state, epoch);
                    forward(&other, &stream, &state, epoch);
                }
            }
        });
        Ok(relay)
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops the bytes of all connections while `cut` is true.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::SeqCst);
    }

    /// Drops the bytes of all open connections from now on; new connections work.
    pub fn silence(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward(from: &TcpStream, to: &TcpStream, state: &Arc<State>, epoch: u64) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let state = Arc::clone(state);
    thread::spawn(move || {
        let mut bytes = [0; BUFFER_BYTES];
        loop {
            let read = match from.read(&mut bytes) {
                Ok(0) | Err(_) => break,
                Ok(read) => read,
            };
            let silent = state.epoch.load(Ordering::SeqCst) > epoch;
            if silent || state.cut.load(Ordering::SeqCst) {
                continue;
            }
            if to.write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        let silent = state.epoch.load(Ordering::SeqCst) > epoch;
        if !silent {
            let _ = to.shutdown(Shutdown::Both);
        }
    });
}
