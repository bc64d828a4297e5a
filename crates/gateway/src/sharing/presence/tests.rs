//! Tests with sockets of this machine.

use std::net::Ipv4Addr;
use std::net::UdpSocket;

use async_std::task;

use super::find_gone;

/// Guards against taking a paused process, which receives nothing but has its port, for one that is gone.
#[test]
fn only_a_port_without_a_process_is_gone() {
    let own = Ipv4Addr::LOCALHOST;
    let paused = UdpSocket::bind((own, 0)).expect("a port");
    let ended = UdpSocket::bind((own, 0)).expect("a port");
    let [paused_at, ended_at] =
        [&paused, &ended].map(|socket| socket.local_addr().expect("it is bound"));
    drop(ended);
    let peers = vec![paused_at, ended_at];
    let gone = task::block_on(find_gone(own.into(), peers));
    assert_eq!(gone, [ended_at]);
}
