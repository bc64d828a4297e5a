//! Accepting a bounded number of connections.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
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
use crocushold_base::Clock;
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

use super::hangup::Hangup;
use super::limits::ListenerLimits;
use super::limits::OverloadPolicy;
use super::overload::Overload;
use super::refusal::over_limit;
use super::serve::serve_seat;
use super::stop::StopSignal;
use super::waits::EndedWaits;
use super::waits::Waits;
use crate::connection::Connection;
use crate::transmit::Transmit;

/// The delay after a failed accept. Without free file descriptors every accept fails immediately,
/// and the loop would spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// The most connections above the limit that are answered at a time; further ones are closed
/// without an answer.
const MAX_REFUSALS: usize = 64;

/// How long a refused caller may take to read its answer and close the connection.
const REFUSAL_TIMEOUT: Millis = Millis(500);

/// How many bytes a refused caller may send in that time.
const MAX_REFUSED_BYTES: usize = 64 * 1024;

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    shared: Arc<Shared>,
    /// Closed once every clone of `alive`, one for each connection, is dropped.
    all_closed: Receiver<()>,
    alive: Sender<()>,
}

#[derive(Debug)]
struct Shared {
    /// The limits on connections accepted from now on.
    limits: Mutex<Arc<ListenerLimits>>,
    stop: StopSignal,
    connections: AtomicUsize,
    refusals: AtomicUsize,
    clock: Clock,
    overload: Mutex<Overload>,
    turned_away: AtomicU64,
    waits: Waits,
}

impl Shared {
    /// Decides whether a connection that was accepted at `accepted`, and whose task starts now, is closed unread.
    fn turns_away(&self, limits: &ListenerLimits, accepted: Millis) -> bool {
        if limits.overload != OverloadPolicy::CloseUnread {
            return false;
        }
        let now = self.clock.now();
        self.overload().turns_away(now.since(accepted), now)
    }

    fn overload(&self) -> MutexGuard<'_, Overload> {
        let overload = self.overload.lock();
        overload.unwrap_or_else(PoisonError::into_inner)
    }

    fn limits(&self) -> Arc<ListenerLimits> {
        let limits = self.limits.lock();
        limits.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Controls a running listener.
#[derive(Clone, Debug)]
pub struct ListenerHandle {
    shared: Arc<Shared>,
}

impl ListenerHandle {
    /// Starts a graceful shutdown: no further connections are accepted, idle ones are closed, and
    /// those with a request in progress are closed after its answer.
    pub fn stop(&self) {
        self.shared.stop.stop();
    }

    /// Sets the limits on connections accepted from now on; open ones keep theirs.
    pub fn set_limits(&self, limits: ListenerLimits) {
        let current = self.shared.limits.lock();
        *current.unwrap_or_else(PoisonError::into_inner) = Arc::new(limits);
    }

    /// The number of connections that were closed unread so far.
    pub fn turned_away(&self) -> u64 {
        self.shared.turned_away.load(Ordering::Relaxed)
    }

    /// The numbers of waits for callers that were ended in favour of others so far.
    pub fn ended_waits(&self) -> EndedWaits {
        self.shared.waits.ended()
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
        let (alive, all_closed) = bounded(1);
        Ok(Listener {
            listener,
            shared: Arc::new(Shared {
                limits: Mutex::new(Arc::new(limits)),
                stop: StopSignal::new(),
                connections: AtomicUsize::new(0),
                refusals: AtomicUsize::new(0),
                clock: Clock::start(),
                overload: Mutex::default(),
                turned_away: AtomicU64::new(0),
                waits: Waits::default(),
            }),
            all_closed,
            alive,
        })
    }

    /// The local address of the listening socket.
    ///
    /// # Errors
    ///
    /// Fails when the socket doesn't report its address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// A handle that stays valid after [`Listener::run`] has consumed the listener.
    pub fn handle(&self) -> ListenerHandle {
        ListenerHandle {
            shared: self.shared.clone(),
        }
    }

    /// Accepts connections until the listener is stopped, then waits until all of them are closed.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request, Hangup) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        self.run_per_connection(move || handler.clone()).await;
    }

    /// Like [`Listener::run`], with a separate handler for each connection. It is dropped when the
    /// connection ends, so it can hold the state of a connection.
    pub async fn run_per_connection<M, H, F>(self, make_handler: M)
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
                Either::Right((Ok((stream, _)), _)) => self.admit(stream, &make_handler),
                Either::Right((Err(error), _)) => {
                    warn!("{}", Event::new("accept-failed").with("error", &error));
                    task::sleep(ACCEPT_RETRY_DELAY.into()).await;
                }
            }
        }
        self.accept_backlog(&make_handler);
        let all_closed = self.all_closed.clone();
        drop(self);
        // Nothing is sent on this channel; it is closed with the last connection.
        let _ = all_closed.recv().await;
    }

    /// Accepts the connections that are already in the kernel's backlog; closing the socket would
    /// reset them.
    fn accept_backlog<M, H, F>(&self, make_handler: &M)
    where
        M: Fn() -> H,
        H: Fn(Request, Hangup) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
            self.admit(stream, make_handler);
        }
    }

    fn admit<M, H, F>(&self, stream: TcpStream, make_handler: &M)
    where
        M: Fn() -> H,
        H: Fn(Request, Hangup) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let limits = self.shared.limits();
        let Some(slot) = self.take_slot(limits.max_connections) else {
            self.refuse(stream);
            return;
        };
        let handler = make_handler();
        let accepted = self.shared.clock.now();
        task::spawn(async move {
            if slot.shared.turns_away(&limits, accepted) {
                slot.shared.turned_away.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let observed = |request, hangup| {
                let unanswered = UnansweredRequest::new(&slot.shared);
                let answer = handler(request, hangup);
                async move {
                    let answer = answer.await;
                    unanswered.end();
                    answer
                }
            };
            let seat = slot.shared.waits.open();
            let stop = &slot.shared.stop;
            let served = serve_seat(stream, seat, &limits.server, stop, observed).await;
            if let Err(error) = served {
                debug!("{}", Event::new("connection-cut").with("cause", error));
            }
            drop(slot);
        });
    }

    /// Takes a place for a connection, which may be the place of one that waits for its caller.
    fn take_slot(&self, limit: usize) -> Option<ConnectionSlot> {
        let waits = &self.shared.waits;
        let take = || {
            let limit = limit.saturating_add(waits.leaving());
            ConnectionSlot::take(&self.shared, limit, &self.alive)
        };
        take().or_else(|| if waits.make_room() { take() } else { None })
    }

    fn refuse(&self, stream: TcpStream) {
        let shared = self.shared.clone();
        if shared.limits().overload == OverloadPolicy::CloseUnread {
            shared.turned_away.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if shared.refusals.fetch_add(1, Ordering::Relaxed) >= MAX_REFUSALS {
            shared.refusals.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let response = over_limit(&shared.limits());
        task::spawn(async move {
            let _ = timeout(REFUSAL_TIMEOUT.into(), send_refusal(stream, response)).await;
            shared.refusals.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Writes an answer without reading the request, then waits for the caller to close the connection.
async fn send_refusal(stream: TcpStream, response: Response) {
    let connection = Connection::new(stream);
    let encoder = Encoder::new(response, Method::Get);
    if Transmit::new(encoder, connection.clone(), REFUSAL_TIMEOUT)
        .await
        .is_ok()
    {
        let _ = connection.stream().shutdown(Shutdown::Write);
        let _ = connection.discard(MAX_REFUSED_BYTES).await;
    }
}

/// A request that was read and whose answer hasn't begun.
struct UnansweredRequest {
    shared: Arc<Shared>,
    answered: bool,
}

impl UnansweredRequest {
    fn new(shared: &Arc<Shared>) -> UnansweredRequest {
        shared.overload().request_read();
        UnansweredRequest {
            shared: shared.clone(),
            answered: false,
        }
    }

    /// Ends as the answer begins; dropped otherwise, it is a request whose caller has left.
    fn end(mut self) {
        self.answered = true;
    }
}

impl Drop for UnansweredRequest {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.overload().request_ended(self.answered, now);
    }
}

/// A place among the connections that a listener allows, released when dropped.
struct ConnectionSlot {
    shared: Arc<Shared>,
    _alive: Sender<()>,
}

impl ConnectionSlot {
    fn take(shared: &Arc<Shared>, limit: usize, alive: &Sender<()>) -> Option<ConnectionSlot> {
        if shared.connections.fetch_add(1, Ordering::Relaxed) >= limit {
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(ConnectionSlot {
            shared: shared.clone(),
            _alive: alive.clone(),
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
