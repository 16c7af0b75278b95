//! Bounds on the connections of a port before and after the handshake.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;

/// Connections of one port at a time.
const MAX_CONNECTIONS: usize = 8_192;

/// Handshakes of one port under way at a time.
const MAX_HANDSHAKES: usize = 256;

/// Handshakes from one address under way at a time, so that one sender cannot use up the rest.
const MAX_HANDSHAKES_PER_ADDRESS: usize = 64;

/// What a port carries now.
#[derive(Debug, Default)]
pub struct Admission {
    connections: Cell<usize>,
    handshakes: RefCell<BTreeMap<IpAddr, usize>>,
}

impl Admission {
    /// Returns a place for a new connection, or `None` when the port is full.
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

/// The place of one connection, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Rc<Admission>,
    handshake: Cell<Option<IpAddr>>,
}

impl Permit {
    /// Notes that the handshake is over.
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
