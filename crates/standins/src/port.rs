//! A listener that can be closed and reopened, and whose connections can be closed, while in use.

use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use futures::StreamExt;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::future::BoxFuture;
use http_types::Request;
use http_types::Response;

/// Maximum number of bytes read of a request body.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Delay between attempts to bind the previous address again, and after a failed accept.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of attempts to bind the previous address again.
const MAX_REBIND_ATTEMPTS: u32 = 100;

/// A received request: the head, the complete body, and its connection.
pub struct Call {
    /// The request without its body.
    pub request: Request,
    /// The complete request body.
    pub body: Vec<u8>,
    /// The client's connection, to detect disconnects and to write responses that violate HTTP.
    pub conn: TcpStream,
    pub(crate) port: Weak<Port>,
}

impl Call {
    /// Returns the value of the header with this name, if present.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.as_str())
    }

    /// Applies an action to the stand-in's public port. [`PortAction::Crash`] also closes
    /// the connection of this request if it was received on that port, so it gets no response.
    pub(crate) async fn apply(&self, action: PortAction) {
        if let Some(port) = self.port.upgrade() {
            let _ = port.apply(action).await;
        }
    }
}

/// An action on the public listener, requested by a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PortAction {
    /// Leaves the listener as it is.
    #[default]
    None,
    /// Refuses new connections and keeps open ones.
    Refuse,
    /// Refuses new connections and closes open ones, as when a process is killed.
    Crash,
    /// Listens again on the same address.
    Reopen,
}

pub(crate) type ResponseFuture = BoxFuture<'static, http_types::Result<Response>>;
pub(crate) type Endpoint = Arc<dyn Fn(Call) -> ResponseFuture + Send + Sync>;

/// A listener of a stand-in and its connections.
pub(crate) struct Port {
    addr: SocketAddr,
    endpoint: Endpoint,
    acceptor: Mutex<Option<Acceptor>>,
    conns: Arc<Connections>,
}

/// The accept task and a duplicate descriptor of its listener, used to stop it.
///
/// Closing the listener isn't sufficient: a concurrently forked process holds a copy of the
/// descriptor until `exec`, and the kernel keeps accepting connections until then. Shutting the
/// socket down stops this for every copy.
struct Acceptor {
    task: JoinHandle<()>,
    socket: std::net::TcpStream,
}

impl Acceptor {
    fn stop(self) -> JoinHandle<()> {
        let _ = self.socket.shutdown(Shutdown::Both);
        self.task
    }
}

impl Port {
    /// Binds `addr` and starts accepting connections.
    pub(crate) async fn open(addr: SocketAddr, endpoint: Endpoint) -> io::Result<Port> {
        let listener = std::net::TcpListener::bind(addr)?;
        let port = Port {
            addr: listener.local_addr()?,
            endpoint,
            acceptor: Mutex::new(None),
            conns: Arc::new(Connections::default()),
        };
        port.start_accepting(listener)?;
        Ok(port)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Applies an action and waits until it has taken effect.
    pub(crate) async fn apply(&self, action: PortAction) -> io::Result<()> {
        match action {
            PortAction::None => Ok(()),
            PortAction::Refuse => {
                self.close().await;
                Ok(())
            }
            PortAction::Crash => {
                self.close().await;
                self.conns.close_all();
                Ok(())
            }
            PortAction::Reopen => self.reopen().await,
        }
    }

    /// Stops listening and closes all connections without waiting.
    pub(crate) fn shut_down(&self) {
        if let Some(acceptor) = lock(&self.acceptor).take() {
            task::spawn(acceptor.stop().cancel());
        }
        self.conns.close_all();
    }

    async fn close(&self) {
        let acceptor = lock(&self.acceptor).take();
        if let Some(acceptor) = acceptor {
            // A separate task, because a command received on this port may itself be aborted.
            task::spawn(acceptor.stop().cancel()).await;
        }
    }

    async fn reopen(&self) -> io::Result<()> {
        if lock(&self.acceptor).is_some() {
            return Ok(());
        }
        for _ in 1..MAX_REBIND_ATTEMPTS {
            if let Ok(listener) = std::net::TcpListener::bind(self.addr) {
                return self.start_accepting(listener);
            }
            task::sleep(REBIND_INTERVAL).await;
        }
        self.start_accepting(std::net::TcpListener::bind(self.addr)?)
    }

    fn start_accepting(&self, listener: std::net::TcpListener) -> io::Result<()> {
        let socket = std::net::TcpStream::from(OwnedFd::from(listener.try_clone()?));
        let listener = TcpListener::from(listener);
        let endpoint = Arc::clone(&self.endpoint);
        let conns = Arc::clone(&self.conns);
        let task = task::spawn(accept_connections(listener, endpoint, conns));
        *lock(&self.acceptor) = Some(Acceptor { task, socket });
        Ok(())
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.shut_down();
    }
}

async fn accept_connections(listener: TcpListener, endpoint: Endpoint, conns: Arc<Connections>) {
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(conn) = accepted else {
            // Most likely out of descriptors; the delay keeps this from being a busy loop.
            task::sleep(REBIND_INTERVAL).await;
            continue;
        };
        conns.spawn(conn, Arc::clone(&endpoint));
    }
}

/// The open connections of a port.
#[derive(Default)]
struct Connections {
    open: Mutex<OpenConnections>,
}

#[derive(Default)]
struct OpenConnections {
    last_id: u64,
    live: HashMap<u64, OpenConnection>,
}

struct OpenConnection {
    conn: TcpStream,
    abort: AbortHandle,
}

impl Connections {
    fn spawn(self: &Arc<Connections>, conn: TcpStream, endpoint: Endpoint) {
        // With Nagle's algorithm, each token would wait until the previous one is acknowledged.
        let _ = conn.set_nodelay(true);
        let (abort, registration) = AbortHandle::new_pair();
        let id = self.insert(conn.clone(), abort);
        let conns = Arc::clone(self);
        let serving = Abortable::new(serve(conn, endpoint), registration);
        task::spawn(async move {
            let _ = serving.await;
            lock(&conns.open).live.remove(&id);
        });
    }

    fn insert(&self, conn: TcpStream, abort: AbortHandle) -> u64 {
        let mut open = lock(&self.open);
        open.last_id += 1;
        let id = open.last_id;
        open.live.insert(id, OpenConnection { conn, abort });
        id
    }

    fn close_all(&self) {
        for (_, open) in lock(&self.open).live.drain() {
            open.abort.abort();
            let _ = open.conn.shutdown(Shutdown::Both);
        }
    }
}

async fn serve(conn: TcpStream, endpoint: Endpoint) {
    let io = conn.clone();
    let served = async_h1::accept(io, |request| {
        let endpoint = Arc::clone(&endpoint);
        let conn = conn.clone();
        async move {
            let call = read_call(request, conn).await?;
            endpoint(call).await
        }
    });
    let _ = served.await;
    let _ = conn.shutdown(Shutdown::Both);
}

async fn read_call(mut request: Request, conn: TcpStream) -> http_types::Result<Call> {
    let mut body = Vec::new();
    let reader = request.take_body();
    reader.take(MAX_BODY_BYTES).read_to_end(&mut body).await?;
    Ok(Call {
        request,
        body,
        conn,
        port: Weak::new(),
    })
}

/// Returns the error of a request that ends without a response.
pub(crate) fn connection_aborted() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Waits until the client closes its side of the connection or the connection fails.
///
/// A half-closed connection counts as a disconnect, as in common engines. If bytes of a pipelined
/// request arrive, the disconnect can't be detected any more and the future never completes.
pub(crate) async fn client_disconnected(conn: TcpStream) {
    let mut byte = [0];
    match conn.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures::future::pending().await,
    }
}

/// Locks a mutex and ignores poisoning: the data stays usable when another thread panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
