//! Probing whether a process listens at an address, and whether the path to it is open.

use std::io;
use std::io::ErrorKind;

use async_std::future::timeout;
use async_std::net::SocketAddr;
use async_std::net::TcpStream;
use crocushold_base::Millis;

/// How long a server may take to accept or refuse a connection. One that doesn't answer within that
/// time may be busy and counts as listening.
const PROBE_TIMEOUT: Millis = Millis(250);

/// Whether an address refuses connections because no process listens there. An address that accepts
/// the connection or doesn't answer within 250 ms doesn't count as refusing.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = connect(address).await;
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether an address accepts connections within 250 ms. `None` if this process lacks the resources
/// to find out.
pub async fn accepts_connections(address: SocketAddr) -> Option<bool> {
    match connect(address).await {
        Ok(_) => Some(true),
        Err(error) => is_path_failure(&error).then_some(false),
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(PROBE_TIMEOUT.into(), TcpStream::connect(address)).await;
    connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Whether a connection failed because of the server or the network path to it, and not for lack of
/// this process's own resources, such as file descriptors.
pub fn is_path_failure(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::TimedOut
    )
}
