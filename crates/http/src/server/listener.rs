//! Accepting a bounded number of connections.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_h1::server::Encoder;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::Shutdown;
use async_std::net::SocketAddr;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Event;
use crocushold_base::Millis;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use log::debug;
use log::warn;

use super::connection::serve_until;
use super::hangup::Hangup;
use super::limits::ListenerLimits;
use super::refusal::overload;
use super::stop::StopSignal;
use crate::transmit::Transmit;
use crate::wire::Wire;

/// How long to wait after a failed accept: without free file descriptors it fails at once, again
/// and again.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Connections above the limit that are being told so at a time; further ones are just closed.
const MAX_REFUSALS: usize = 64;

/// How long a refused connection may take to read its answer and close.
const REFUSAL_TIMEOUT: Millis = Millis(500);

/// How much a refused connection may send meanwhile.
const REFUSAL_BYTES: usize = 64 * 1024;

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    shared: Arc<Shared>,
    /// Closed once every connection's clone of `alive` is gone.
    ended: Receiver<()>,
    alive: Sender<()>,
}

#[derive(Debug)]
struct Shared {
    /// Those of the connections that are still to come.
    limits: Mutex<Arc<ListenerLimits>>,
    stop: StopSignal,
    connections: AtomicUsize,
    refusals: AtomicUsize,
}

impl Shared {
    fn limits(&self) -> Arc<ListenerLimits> {
        let limits = self.limits.lock();
        limits.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Stops a listener and tells its state.
#[derive(Clone, Debug)]
pub struct ListenerHandle {
    shared: Arc<Shared>,
}

impl ListenerHandle {
    /// Starts a graceful stop: no further connections, idle ones are closed, requests in progress
    /// are answered and their connections closed after it.
    pub fn stop(&self) {
        self.shared.stop.stop();
    }

    /// Sets the bounds on connections that are accepted from now on; open ones keep theirs.
    pub fn set_limits(&self, limits: ListenerLimits) {
        let held = self.shared.limits.lock();
        *held.unwrap_or_else(PoisonError::into_inner) = Arc::new(limits);
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

impl Listener {
    /// Binds a listening socket.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(address: SocketAddr, limits: ListenerLimits) -> io::Result<Listener> {
        let listener = TcpListener::bind(address).await?;
        let (alive, ended) = bounded(1);
        Ok(Listener {
            listener,
            shared: Arc::new(Shared {
                limits: Mutex::new(Arc::new(limits)),
                stop: StopSignal::new(),
                connections: AtomicUsize::new(0),
                refusals: AtomicUsize::new(0),
            }),
            ended,
            alive,
        })
    }

    /// The address that is listened on.
    ///
    /// # Errors
    ///
    /// Fails when the socket doesn't tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// A handle that outlives [`Listener::run`].
    pub fn handle(&self) -> ListenerHandle {
        ListenerHandle {
            shared: self.shared.clone(),
        }
    }

    /// Accepts connections until it is stopped, then waits for those in progress.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request, Hangup) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        self.run_per_connection(move || handler.clone()).await;
    }

    /// Like [`Listener::run`], with a handler of its own for each connection. It is dropped when the
    /// connection has ended, so what belongs to a connection can be kept in it.
    pub async fn run_per_connection<M, H, F>(self, make: M)
    where
        M: Fn() -> H,
        H: Fn(Request, Hangup) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let stop = self.shared.stop.clone();
        loop {
            let accept = std::pin::pin!(self.listener.accept());
            let stopped = std::pin::pin!(stop.wait());
            match select(stopped, accept).await {
                Either::Left(_) => break,
                Either::Right((Ok((stream, _)), _)) => self.admit(stream, &make),
                Either::Right((Err(error), _)) => {
                    warn!("{}", Event::new("accept-failed").with("error", &error));
                    task::sleep(ACCEPT_PAUSE.into()).await;
                }
            }
        }
        self.accept_backlog(&make);
        let ended = self.ended.clone();
        drop(self);
        // Nothing is ever sent; the channel closes with the last connection.
        let _ = ended.recv().await;
    }

    /// Takes in the connections that the kernel has already accepted; closing the socket would reset
    /// them.
    fn accept_backlog<M, H, F>(&self, make: &M)
    where
        M: Fn() -> H,
        H: Fn(Request, Hangup) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
            self.admit(stream, make);
        }
    }

    fn admit<M, H, F>(&self, stream: TcpStream, make: &M)
    where
        M: Fn() -> H,
        H: Fn(Request, Hangup) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let limits = self.shared.limits();
        let Some(slot) = Slot::take(&self.shared, limits.max_connections, &self.alive) else {
            self.refuse(stream);
            return;
        };
        let handler = make();
        task::spawn(async move {
            let served = serve_until(stream, &limits.server, &slot.shared.stop, handler).await;
            if let Err(error) = served {
                debug!("{}", Event::new("connection-cut").with("cause", error));
            }
            drop(slot);
        });
    }

    fn refuse(&self, stream: TcpStream) {
        let shared = self.shared.clone();
        if shared.refusals.fetch_add(1, Ordering::Relaxed) >= MAX_REFUSALS {
            shared.refusals.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let response = overload(&shared.limits());
        task::spawn(async move {
            let _ = timeout(REFUSAL_TIMEOUT.into(), tell(stream, response)).await;
            shared.refusals.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Writes an answer without reading the request, then waits for the caller to close.
async fn tell(stream: TcpStream, response: Response) {
    let wire = Wire::new(stream);
    let encoder = Encoder::new(response, Method::Get);
    if Transmit::new(encoder, wire.clone(), REFUSAL_TIMEOUT)
        .await
        .is_ok()
    {
        let _ = wire.stream().shutdown(Shutdown::Write);
        let _ = wire.discard(REFUSAL_BYTES).await;
    }
}

/// One of the connections that a listener allows, given back when dropped.
struct Slot {
    shared: Arc<Shared>,
    _alive: Sender<()>,
}

impl Slot {
    fn take(shared: &Arc<Shared>, limit: usize, alive: &Sender<()>) -> Option<Slot> {
        if shared.connections.fetch_add(1, Ordering::Relaxed) >= limit {
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(Slot {
            shared: shared.clone(),
            _alive: alive.clone(),
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
