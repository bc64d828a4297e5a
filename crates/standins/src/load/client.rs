//! The pool of connections to the entry addresses.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::io;
use async_std::net::TcpStream;
use futures::FutureExt;

use crate::port;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum idle time of a connection that is reused.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// A connection and the index of its entry address.
pub(super) struct EntryConnection {
    pub(super) stream: TcpStream,
    pub(super) entry: usize,
}

struct IdleConnection {
    conn: EntryConnection,
    since: Instant,
}

/// The entry addresses, selected round-robin, with their idle connections.
pub(super) struct Client {
    entries: Vec<SocketAddr>,
    idle: Vec<Mutex<Vec<IdleConnection>>>,
    next_entry: AtomicUsize,
    keep_alive: bool,
}

impl Client {
    pub(super) fn new(entries: Vec<SocketAddr>, keep_alive: bool) -> Client {
        let idle = entries.iter().map(|_| Mutex::new(Vec::new())).collect();
        Client {
            entries,
            idle,
            next_entry: AtomicUsize::new(0),
            keep_alive,
        }
    }

    /// Returns the address for the `host` header.
    pub(super) fn host(&self) -> SocketAddr {
        self.entries[0]
    }

    /// Returns a connection to the next entry address that accepts one, as a load balancer would.
    ///
    /// # Errors
    ///
    /// Returns the last error if no entry address accepts a connection.
    pub(super) async fn connect(&self) -> io::Result<EntryConnection> {
        let mut last_error = io::Error::from(io::ErrorKind::NotConnected);
        for _ in 0..self.entries.len() {
            let entry = self.next_entry.fetch_add(1, Ordering::Relaxed) % self.entries.len();
            if let Some(conn) = self.take_idle(entry) {
                return Ok(conn);
            }
            match self.connect_to(entry).await {
                Ok(conn) => return Ok(conn),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn release(&self, conn: EntryConnection) {
        if !self.keep_alive {
            return;
        }
        let since = Instant::now();
        let entry = conn.entry;
        port::lock(&self.idle[entry]).push(IdleConnection { conn, since });
    }

    async fn connect_to(&self, entry: usize) -> io::Result<EntryConnection> {
        let connecting = TcpStream::connect(self.entries[entry]);
        let stream = io::timeout(CONNECT_TIMEOUT, connecting).await?;
        stream.set_nodelay(true)?;
        Ok(EntryConnection { stream, entry })
    }

    fn take_idle(&self, entry: usize) -> Option<EntryConnection> {
        let mut idle = port::lock(&self.idle[entry]);
        while let Some(IdleConnection { conn, since }) = idle.pop() {
            // The server may have closed it; a request sent on it would be recorded as cut.
            let mut byte = [0];
            let closed = conn.stream.peek(&mut byte).now_or_never().is_some();
            if !closed && since.elapsed() < MAX_IDLE {
                return Some(conn);
            }
        }
        None
    }
}
