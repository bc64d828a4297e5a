//! Detecting connections whose peer or network path is gone.
//!
//! A connection that only waits for an answer sends nothing, so nothing in it fails when the peer
//! has lost its power or the path is cut. Keep-alive probes make the kernel send something.

use std::io;
use std::os::fd::AsRawFd;
use std::time::Duration;

use crocushold_base::Millis;
use socket2::SockRef;
use socket2::TcpKeepalive;

/// Time without data after which the first keep-alive probe is sent, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Ends a connection whose peer has acknowledged nothing for `limit`, neither data nor keep-alive
/// probes.
///
/// With `TCP_USER_TIMEOUT` set, it alone decides when probes give up, so their count has no effect.
///
/// # Errors
///
/// Fails if the socket is closed.
pub(crate) fn end_unacknowledged(socket: &impl AsRawFd, limit: Millis) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit.into()))
}

#[cfg(test)]
mod tests;
