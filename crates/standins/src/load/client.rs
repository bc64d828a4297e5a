//! Connections to the entry addresses.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that has been idle for longer isn't used again.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// A connection, and whether it has carried a request before.
pub(super) struct EntryConnection {
    pub(super) stream: TcpStream,
    pub(super) entry: usize,
}

struct IdleConnection {
    conn: EntryConnection,
    since: Instant,
}

/// The entry addresses, taken in turn, with their idle connections.
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

    /// An address for the `host` header.
    pub(super) fn host(&self) -> SocketAddr {
        self.entries[0]
    }

    /// A connection to the next entry that takes one, as a balancer would choose it.
    ///
    /// # Errors
    ///
    /// Fails when every entry refuses.
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

    /// Keeps a connection whose answer was whole for a later request.
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
            // The other side may have closed it: a request sent then would look like one cut.
            let mut byte = [0];
            let closed = conn.stream.peek(&mut byte).now_or_never().is_some();
            if !closed && since.elapsed() < MAX_IDLE {
                return Some(conn);
            }
        }
        None
    }
}
