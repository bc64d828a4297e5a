//! Whether another instance's process runs.
//!
//! A collector or placer that is silent may be paused, short of processor time, or gone. Only the
//! last one is replaced at once: replacing the others would move the placer back and forth. The
//! system of a machine refuses datagrams to a port that no process has, whereas one that is paused
//! keeps its port.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use crocushold_base::Millis;
use futures::future::join_all;

#[cfg(test)]
mod tests;

/// How long a refusal is waited for: several round trips between availability zones.
const REFUSAL_TIMEOUT: Millis = Millis(50);

/// Returns those of `peers` at whose addresses no process receives datagrams. `own` is the IP address
/// of this instance.
pub(super) async fn find_gone(own: IpAddr, peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let questions = peers.into_iter().map(async |peer| {
        let refused = timeout(REFUSAL_TIMEOUT.into(), refusal(own, peer)).await;
        refused.unwrap_or(false).then_some(peer)
    });
    join_all(questions).await.into_iter().flatten().collect()
}

/// Waits until a datagram is refused. It is empty, which any version ignores. Other errors say nothing
/// about the process.
async fn refusal(own: IpAddr, peer: SocketAddr) -> bool {
    let received = async {
        let socket = UdpSocket::bind((own, 0)).await?;
        socket.connect(peer).await?;
        socket.send(&[]).await?;
        socket.recv(&mut [0]).await
    };
    received
        .await
        .is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}
