//! An HTTP client that returns the bytes of a response as received.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use serde_json::Value;

/// Timeout for expected events.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A response, read until the connection closed.
pub(crate) struct RawResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

/// Returns a loopback address with port 0, which selects a free port.
pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) async fn get(addr: SocketAddr, path: &str) -> RawResponse {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    read_to_close(send(addr, &request).await).await
}

pub(crate) async fn post(addr: SocketAddr, path: &str, headers: &str, body: &str) -> RawResponse {
    read_to_close(send(addr, &post_request(path, headers, body)).await).await
}

pub(crate) fn post_request(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Opens a connection and sends `request`.
pub(crate) async fn send(addr: SocketAddr, request: &str) -> TcpStream {
    let mut conn = TcpStream::connect(addr).await.unwrap();
    conn.write_all(request.as_bytes()).await.unwrap();
    conn
}

/// Reads a response until the connection closes.
pub(crate) async fn read_to_close(mut conn: TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    let read = future::timeout(TIMEOUT, conn.read_to_end(&mut bytes)).await;
    // A connection reset counts as a close.
    let _ = read.expect("the connection should close before the timeout");
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    RawResponse {
        status: head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0),
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    }
}

/// Waits until a condition holds; panics after the timeout.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until: {what}");
        task::sleep(Duration::from_millis(1)).await;
    }
}
