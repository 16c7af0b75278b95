//! Finds out whether a process listens at an address.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;

/// Time limit for a new connection to an upstream. A round trip takes one or two milliseconds; an upstream
/// that does not accept in time is given up for another one.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// What became of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// It was opened.
    Accepts,
    /// It was refused: nothing listens there.
    Refuses,
    /// It was not opened in time, or failed in another way.
    Silent,
}

/// Opens a connection to an address and closes it.
pub async fn check(address: SocketAddr) -> Port {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Port::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Port::Refuses,
        _ => Port::Silent,
    }
}

/// Returns whether an address accepts connections; one that is silent is tried once more.
pub async fn accepts(address: SocketAddr) -> bool {
    match check(address).await {
        Port::Accepts => true,
        Port::Refuses => false,
        Port::Silent => check(address).await == Port::Accepts,
    }
}
