//! A backend server at the socket level, for faults that no engine shows.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::any_address;

/// How long a connection attempt may take before the listener's backlog counts as full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the server waits for a byte before the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A listening socket that accepts connections only on request.
pub struct RawServer {
    listener: TcpListener,
}

impl RawServer {
    /// Listens without accepting connections.
    pub fn start() -> RawServer {
        let listener = TcpListener::bind(any_address()).unwrap();
        RawServer { listener }
    }

    /// Returns the listening address.
    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Fills the backlog of the listener so that further connection attempts hang, as in a network
    /// partition that drops packets. They hang for as long as the result is alive.
    pub fn fill_backlog(&self) -> Vec<TcpStream> {
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr(), CONNECT_TIMEOUT) {
            waiting.push(stream);
        }
        waiting
    }

    /// Accepts connections until one carries a request, and reads its head. Polls for load reports
    /// are closed.
    pub fn accept(&self) -> TcpStream {
        loop {
            let (stream, _) = self.listener.accept().unwrap();
            if let Some(stream) = read_head(stream) {
                return stream;
            }
        }
    }

    /// Accepts connections until one carries a request whose target contains `path`, and reads its head. Returns the request
    /// line as well.
    pub fn accept_line(&self, path: &str) -> (TcpStream, String) {
        loop {
            let (mut stream, _) = self.listener.accept().unwrap();
            let head = read_whole_head(&mut stream).unwrap_or_default();
            let line = head.lines().next().unwrap_or_default();
            if line.contains(path) {
                return (stream, line.to_owned());
            }
        }
    }

    /// Closes each connection after its request's head for as long as the test runs. Returns their
    /// count.
    pub fn cut_all(self) -> Arc<AtomicUsize> {
        let cuts = Arc::new(AtomicUsize::new(0));
        let counted = cuts.clone();
        thread::spawn(move || {
            loop {
                drop(self.accept());
                counted.fetch_add(1, Ordering::Relaxed);
            }
        });
        cuts
    }

    /// Returns whether a request waits to be accepted.
    pub fn has_request(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        let mut found = false;
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(false).unwrap();
            found |= read_head(stream).is_some();
        }
        self.listener.set_nonblocking(false).unwrap();
        found
    }
}

/// Reads the head of a request. Returns `None` if it is a poll or ends early.
fn read_head(mut stream: TcpStream) -> Option<TcpStream> {
    let head = read_whole_head(&mut stream)?;
    (!head.starts_with("GET ")).then_some(stream)
}

/// Reads the head of a request. Returns `None` if it ends early.
fn read_whole_head(stream: &mut TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Reads the remaining `length` body bytes of a request and answers it with status 200 and the body
/// `ok`.
pub fn answer_rest(mut stream: TcpStream, length: usize) {
    let mut left = length;
    let mut chunk = vec![0; 64 * 1024];
    while left > 0 {
        let count = stream.read(&mut chunk).unwrap();
        assert!(count > 0, "the request was cut");
        left -= count.min(left);
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        .unwrap();
}

/// Waits until the peer closes the connection, and discards what it still sends.
pub fn wait_cut(mut stream: TcpStream) {
    let mut chunk = vec![0; 64 * 1024];
    while stream.read(&mut chunk).is_ok_and(|count| count > 0) {}
}
