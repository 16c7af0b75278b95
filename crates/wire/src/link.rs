//! The client side of links.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use compio::time::timeout;
use cyper_core::HyperStream;
use futures_util::AsyncReadExt;
use futures_util::io::ReadHalf;

use crate::control;
use crate::error::Error;
use crate::fleet_capnp;
use crate::fleet_capnp::gate;
use crate::handshake;
use crate::handshake::Purpose;
use crate::handshake::Secret;
use crate::meter::Metered;
use crate::peer;

/// Time that opening a TCP connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a call may take unless the call has a limit of its own.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until the listener accepts again after a failure.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest message in words of eight bytes.
const MAX_MESSAGE_WORDS: usize = 8 * 1024 * 1024;

/// An authenticated connection to another process.
///
/// Dropping the link closes the connection.
pub struct Link {
    control: Option<fleet_capnp::control::Client>,
    peer: Option<fleet_capnp::peer::Client>,
    open: Rc<Cell<bool>>,
    _driver: JoinHandle<()>,
}

impl Link {
    /// Connects, proves the fleet secret and requests the RPC capabilities of the other side.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`], [`Error::Timeout`] or [`Error::Unauthenticated`] when the link cannot
    /// be opened.
    pub async fn connect(address: SocketAddr, host: &str, secret: &Secret) -> Result<Self, Error> {
        let stream = dial(address, secret, Purpose::Rpc).await?;
        let network = network(stream, Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let open = Rc::new(Cell::new(true));
        let flag = Rc::clone(&open);
        let driver = spawn(async move {
            let _ = system.await;
            flag.set(false);
        });
        let mut request = gate.enter_request();
        request.get().set_host(host);
        let response = call(CALL_TIMEOUT, request.send().promise).await?;
        let roles = response.get()?;
        Ok(Self {
            control: roles
                .has_control()
                .then(|| roles.get_control())
                .transpose()?,
            peer: roles.has_peer().then(|| roles.get_peer()).transpose()?,
            open,
            _driver: driver,
        })
    }

    /// Returns whether the connection is still open.
    ///
    /// A connection whose other side no longer answers counts as open; only the timeout of a call
    /// shows the failure.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Returns the control replica on the other side.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Role`] when the other side is not a control replica.
    pub fn control(&self) -> Result<control::Client, Error> {
        self.control
            .clone()
            .map(control::Client::from)
            .ok_or(Error::Role)
    }

    /// Returns the proxy on the other side.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Role`] when the other side is not a proxy.
    pub fn peer(&self) -> Result<peer::Client, Error> {
        self.peer.clone().map(peer::Client::from).ok_or(Error::Role)
    }
}

/// Connects and proves the fleet secret for `purpose`.
///
/// # Errors
///
/// Returns [`Error::Io`], [`Error::Timeout`] or [`Error::Unauthenticated`] when the connection
/// cannot be opened.
pub async fn dial(
    address: SocketAddr,
    secret: &Secret,
    purpose: Purpose,
) -> Result<TcpStream, Error> {
    let connecting = TcpStream::connect(address);
    let mut stream = timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| Error::Timeout)??;
    let _ = stream.set_nodelay(true);
    handshake::connect(&mut stream, secret, purpose).await?;
    Ok(stream)
}

/// Waits for an RPC promise within a time limit.
///
/// # Errors
///
/// Returns [`Error::Timeout`] after `limit`, otherwise the error of the call.
pub async fn call<T, F>(limit: Duration, promise: F) -> Result<T, Error>
where
    F: Future<Output = Result<T, capnp::Error>>,
{
    match timeout(limit, promise).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(Error::Timeout),
    }
}

pub(crate) fn network(
    stream: TcpStream,
    side: Side,
) -> VatNetwork<ReadHalf<Metered<HyperStream<TcpStream>>>> {
    let (reader, writer) = Metered::new(HyperStream::new_plain(stream)).split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    VatNetwork::new(reader, writer, side, options)
}
