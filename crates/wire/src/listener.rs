//! The server side of links.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::spawn;
use log::info;
use log::warn;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::System;
use persimmonbend_core::throttle::Throttle;

use crate::admission::Admission;
use crate::admission::Permit;
use crate::error::Error;
use crate::fleet_capnp::control;
use crate::fleet_capnp::gate;
use crate::fleet_capnp::peer;
use crate::handshake;
use crate::handshake::Purpose;
use crate::handshake::Secret;
use crate::link;

/// RPC capabilities that a process offers over authenticated links.
#[derive(Clone, Default)]
pub struct Roles {
    /// The control replica, if the process is one.
    pub control: Option<control::Client>,
    /// The proxy, if the process is one.
    pub peer: Option<peer::Client>,
}

/// Callback that serves an authenticated connection which carries frames.
pub type Handler = Rc<dyn Fn(TcpStream, SocketAddr)>;

/// Accepts links on one port.
pub struct Listener {
    socket: TcpListener,
    secret: Secret,
    roles: Roles,
    slots: Option<Handler>,
    dispatch: Option<Handler>,
    detour: Option<Handler>,
    admission: Rc<Admission>,
    throttle: RefCell<Throttle>,
}

impl Listener {
    /// Binds a port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the address cannot be bound.
    pub async fn bind(address: SocketAddr, secret: Secret) -> Result<Self, Error> {
        Ok(Self::new(TcpListener::bind(address).await?, secret))
    }

    /// Creates a listener on a bound socket.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the socket cannot be used.
    pub fn adopt(socket: std::net::TcpListener, secret: Secret) -> Result<Self, Error> {
        socket.set_nonblocking(true)?;
        Ok(Self::new(TcpListener::from_std(socket)?, secret))
    }

    fn new(socket: TcpListener, secret: Secret) -> Self {
        Self {
            socket,
            secret,
            roles: Roles::default(),
            slots: None,
            dispatch: None,
            detour: None,
            admission: Rc::default(),
            throttle: RefCell::new(Throttle::new()),
        }
    }

    /// Sets the capabilities that the process serves.
    #[must_use]
    pub fn roles(mut self, roles: Roles) -> Self {
        self.roles = roles;
        self
    }

    /// Sets the handler of slot connections.
    #[must_use]
    pub fn slots(mut self, handler: Handler) -> Self {
        self.slots = Some(handler);
        self
    }

    /// Sets the handler of connections to the dispatcher.
    #[must_use]
    pub fn dispatch(mut self, handler: Handler) -> Self {
        self.dispatch = Some(handler);
        self
    }

    /// Sets the handler of connections for requests of other hosts.
    #[must_use]
    pub fn detour(mut self, handler: Handler) -> Self {
        self.detour = Some(handler);
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] when the operating system reports no address.
    pub fn address(&self) -> Result<SocketAddr, Error> {
        Ok(self.socket.local_addr()?)
    }

    /// Accepts links until the future is dropped.
    pub async fn serve(self) {
        let shared = Rc::new(self);
        loop {
            match shared.socket.accept().await {
                Ok((stream, from)) => {
                    let Some(permit) = shared.admission.admit(from.ip()) else {
                        shared.log_dropped(
                            from,
                            "the port has reached a limit on connections or handshakes",
                        );
                        continue;
                    };
                    let shared = Rc::clone(&shared);
                    spawn(async move { shared.serve_connection(stream, from, &permit).await })
                        .detach();
                }
                Err(error) => {
                    warn!("wire: accept failed: {error}");
                    compio::time::sleep(link::ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream, from: SocketAddr, permit: &Permit) {
        let _ = stream.set_nodelay(true);
        let purpose = handshake::accept(&mut stream, &self.secret).await;
        permit.end_handshake();
        match purpose {
            Ok(Purpose::Rpc) => serve_rpc(stream, self.roles.clone()).await,
            Ok(Purpose::Slots) => self.hand_to(self.slots.as_ref(), stream, from),
            Ok(Purpose::Dispatch) => self.hand_to(self.dispatch.as_ref(), stream, from),
            Ok(Purpose::Detour) => self.hand_to(self.detour.as_ref(), stream, from),
            Err(error) => self.log_dropped(from, &error.to_string()),
        }
    }

    fn hand_to(&self, handler: Option<&Handler>, stream: TcpStream, from: SocketAddr) {
        match handler {
            Some(handler) => handler(stream, from),
            None => self.log_dropped(from, "this process serves no connections for this purpose"),
        }
    }

    /// Logs a dropped connection, at a limited rate.
    fn log_dropped(&self, from: SocketAddr, reason: &str) {
        match self.throttle.borrow_mut().admit(System.now()) {
            Some(0) => warn!("wire: dropped a connection from {from}: {reason}"),
            Some(suppressed) => {
                warn!("wire: dropped a connection from {from}: {reason}; {suppressed} more before");
            }
            None => {}
        }
    }
}

fn serve_rpc(stream: TcpStream, roles: Roles) -> impl Future<Output = ()> {
    let network = link::network(stream, Side::Server);
    let gate: gate::Client = capnp_rpc::new_client(Gate { roles });
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    async move {
        if let Err(error) = system.await {
            info!("wire: a link ended: {error}");
        }
    }
}

struct Gate {
    roles: Roles,
}

impl gate::Server for Gate {
    async fn enter(
        self: capnp::capability::Rc<Self>,
        _params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), capnp::Error> {
        let mut results = results.get();
        if let Some(control) = &self.roles.control {
            results.set_control(control.clone());
        }
        if let Some(peer) = &self.roles.peer {
            results.set_peer(peer.clone());
        }
        Ok(())
    }
}
