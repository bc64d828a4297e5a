#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::net::TcpListener;
use std::net::TcpStream;

use socket2::SockRef;

use super::*;

/// Guards against connections on a path that is cut, which stay open until the deadline of their
/// request: without probes nothing is sent, and without the time limit probes go on for minutes.
#[test]
fn connections_are_probed_and_end_without_acknowledgements() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    end_unacknowledged(&stream, Millis(4000)).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.keepalive_time().unwrap(), PROBE_INTERVAL);
    assert_eq!(socket.keepalive_interval().unwrap(), PROBE_INTERVAL);
    let limit = socket.tcp_user_timeout().unwrap();
    assert_eq!(limit, Some(Duration::from_secs(4)));
}
