//! Limits on the connections and handshakes of a port.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;

/// Upper bound of the connections of a port that run a handshake or serve RPC.
const MAX_CONNECTIONS: usize = 8_192;

/// Upper bound of the running handshakes of a port.
const MAX_HANDSHAKES: usize = 256;

/// Upper bound of the running handshakes from one address, so that a single sender cannot use up
/// [`MAX_HANDSHAKES`].
const MAX_HANDSHAKES_PER_ADDRESS: usize = 64;

/// Counts of the connections and running handshakes of a port.
///
/// A connection that the listener has passed to a frame handler no longer counts.
#[derive(Debug, Default)]
pub struct Admission {
    connections: Cell<usize>,
    handshakes: RefCell<BTreeMap<IpAddr, usize>>,
}

impl Admission {
    /// Returns a permit for a new connection, or `None` when a limit is reached.
    pub fn admit(self: &Rc<Self>, from: IpAddr) -> Option<Permit> {
        if self.connections.get() >= MAX_CONNECTIONS {
            return None;
        }
        let mut handshakes = self.handshakes.borrow_mut();
        if handshakes.values().sum::<usize>() >= MAX_HANDSHAKES {
            return None;
        }
        let from_address = handshakes.entry(from).or_default();
        if *from_address >= MAX_HANDSHAKES_PER_ADDRESS {
            return None;
        }
        *from_address += 1;
        self.connections.set(self.connections.get() + 1);
        Some(Permit {
            admission: Rc::clone(self),
            handshake: Cell::new(Some(from)),
        })
    }

    fn end_handshake(&self, from: IpAddr) {
        let mut handshakes = self.handshakes.borrow_mut();
        if let Some(count) = handshakes.get_mut(&from) {
            *count -= 1;
            if *count == 0 {
                handshakes.remove(&from);
            }
        }
    }
}

/// Permit for one connection, which counts towards the limits until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Rc<Admission>,
    handshake: Cell<Option<IpAddr>>,
}

impl Permit {
    /// Stops counting the connection as a running handshake.
    pub fn end_handshake(&self) {
        if let Some(from) = self.handshake.take() {
            self.admission.end_handshake(from);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end_handshake();
        let connections = &self.admission.connections;
        connections.set(connections.get() - 1);
    }
}
