//! A listening port that can be closed, reopened and cut while it is in use.

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

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// How often, and how many times, a closed port tries to bind its old address again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);
const MAX_REBIND_ATTEMPTS: u32 = 100;

/// One request as a stand-in sees it: the head, the whole body, and the connection it came on.
pub struct Call {
    /// The head; its body has been taken out.
    pub request: Request,
    /// The whole request body.
    pub body: Vec<u8>,
    /// The caller's connection, for watching it and for answers that break the protocol.
    pub conn: TcpStream,
    pub(crate) port: Weak<Port>,
}

impl Call {
    /// The value of the first header of this name, if any.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.as_str())
    }

    /// Applies an effect to the port that the call came on; after a crash this never returns.
    pub(crate) async fn apply(&self, action: PortAction) {
        if let Some(port) = self.port.upgrade() {
            let _ = port.apply(action).await;
        }
    }
}

/// What a command does to the listening port.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PortAction {
    /// Nothing.
    #[default]
    None,
    /// New connections are refused; open ones live on.
    Refuse,
    /// New connections are refused and open ones are closed, as when a process dies.
    Crash,
    /// The port listens again, at the same address.
    Reopen,
}

pub(crate) type ResponseFuture = BoxFuture<'static, http_types::Result<Response>>;
pub(crate) type Endpoint = Arc<dyn Fn(Call) -> ResponseFuture + Send + Sync>;

/// A listening port of one stand-in.
pub(crate) struct Port {
    addr: SocketAddr,
    endpoint: Endpoint,
    acceptor: Mutex<Option<Acceptor>>,
    conns: Arc<Connections>,
}

/// A listener in use: the task that accepts, and a second descriptor to stop it by.
///
/// Closing the listener isn't enough: a process that is being forked elsewhere holds a copy of the
/// descriptor until it has executed its program, and for so long the kernel would go on taking
/// connections. Shutting the socket down ends that for every copy.
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
    /// Binds `addr` and starts to accept.
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

    /// Applies the effect of a command.
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

    /// Stops listening and closes each connection without waiting for it.
    pub(crate) fn shut_down(&self) {
        if let Some(acceptor) = lock(&self.acceptor).take() {
            task::spawn(acceptor.stop().cancel());
        }
        self.conns.close_all();
    }

    async fn close(&self) {
        let acceptor = lock(&self.acceptor).take();
        if let Some(acceptor) = acceptor {
            // A task of its own: a command that came over this very port may be aborted half-way.
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
            // Out of descriptors, most likely: without a pause this loop would spin.
            task::sleep(REBIND_INTERVAL).await;
            continue;
        };
        conns.spawn(conn, Arc::clone(&endpoint));
    }
}

/// The open connections of one port.
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
        // Without it a token waits for the acknowledgement of the one before.
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

/// The error of a call that ends without an answer.
pub(crate) fn connection_aborted() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Waits until the caller closes its side of the connection, or the connection breaks.
///
/// A caller that only stops sending counts as one that left, as with the usual engines. Bytes of a
/// further request that arrive early end the watch: it then waits for ever.
pub(crate) async fn client_disconnected(conn: TcpStream) {
    let mut byte = [0];
    match conn.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures::future::pending().await,
    }
}

/// Locks a mutex whose data stays usable when another thread panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
