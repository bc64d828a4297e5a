//! A client that shows the bytes of an answer as they came.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;
use serde_json::Value;

/// Longest wait for anything that is expected to happen.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An answer, read until the connection closed.
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

/// Any free port.
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

/// Opens a connection and sends bytes on it.
pub(crate) async fn send(addr: SocketAddr, request: &str) -> TcpStream {
    let mut conn = TcpStream::connect(addr).await.unwrap();
    conn.write_all(request.as_bytes()).await.unwrap();
    conn
}

/// Reads an answer until the connection closes.
pub(crate) async fn read_to_close(mut conn: TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    let read = future::timeout(TIMEOUT, conn.read_to_end(&mut bytes)).await;
    // A reset after the last byte is a close too.
    let _ = read.expect("the connection closes in time");
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    RawResponse {
        status: head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0),
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "never came true: {what}");
        task::sleep(Duration::from_millis(1)).await;
    }
}
