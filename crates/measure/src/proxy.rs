//! The baseline: a round-robin proxy with a FIFO queue and a concurrency limit per server, without
//! request classes or latency targets.

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::Millis;
use crocushold_http::AnswerEnd;
use crocushold_http::Client;
use crocushold_http::Hangup;
use crocushold_http::Listener;
use crocushold_http::ListenerLimits;
use crocushold_http::Observer;
use crocushold_http::PoolLimits;
use crocushold_http::RequestTarget;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use futures::channel::oneshot;
use futures::future::Either;
use futures::future::select;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::MeasureResult;

/// Status of the response after the client closed the connection; it reaches nobody.
const CLIENT_CLOSED: StatusCode = StatusCode::RequestTimeout;

/// Timeout for the response head, long because a response that isn't streamed sends its head only
/// at the end.
const HEAD_TIMEOUT: Millis = Millis::from_secs(600);

/// Free slots of the servers, and the queue of requests that wait for one.
struct Slots {
    free: Vec<u32>,
    next_server: usize,
    waiters: VecDeque<oneshot::Sender<Slot>>,
}

struct Proxy {
    servers: Vec<SocketAddr>,
    slots: Mutex<Slots>,
    client: Client,
}

/// A concurrency slot of one server, released on drop.
struct Slot {
    proxy: Arc<Proxy>,
    server: usize,
}

/// Runs the proxy until the process ends. Prints its address as `listening=ADDRESS`.
///
/// # Errors
///
/// Fails when the listener can't be bound, or the address can't be printed.
pub async fn run(servers: &[SocketAddr], concurrency: u32) -> MeasureResult<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, ListenerLimits::default()).await?;
    let mut out = std::io::stdout();
    writeln!(out, "listening={}", listener.local_addr()?)?;
    out.flush()?;
    let proxy = Arc::new(Proxy {
        servers: servers.to_vec(),
        slots: Mutex::new(Slots {
            free: vec![concurrency; servers.len()],
            next_server: 0,
            waiters: VecDeque::new(),
        }),
        client: Client::new(PoolLimits::default()),
    });
    let handler = move |request, hangup| handle(proxy.clone(), request, hangup);
    listener.run(handler).await;
    Ok(())
}

async fn handle(proxy: Arc<Proxy>, mut request: Request, hangup: Hangup) -> Response {
    let body = match read_body(&mut request, &ServerLimits::default()).await {
        Ok(body) => body,
        Err(error) => return Response::new(error.status()),
    };
    let forwarding = std::pin::pin!(forward(proxy, &request, body));
    let disconnected = std::pin::pin!(hangup.wait());
    match select(forwarding, disconnected).await {
        Either::Left((response, _)) => response,
        Either::Right(_) => Response::new(CLIENT_CLOSED),
    }
}

async fn forward(proxy: Arc<Proxy>, request: &Request, body: Vec<u8>) -> Response {
    let Ok(slot) = proxy.clone().acquire().await else {
        return Response::new(StatusCode::ServiceUnavailable);
    };
    let address = proxy.servers[slot.server];
    let Some(target) = RequestTarget::of(request) else {
        return Response::new(StatusCode::BadRequest);
    };
    let mut outgoing = target.request(request.method());
    relay_headers(request.as_ref(), outgoing.as_mut());
    outgoing.set_body(body);
    let limits = SendLimits {
        head_timeout: HEAD_TIMEOUT,
        ..SendLimits::default()
    };
    let sent = proxy
        .client
        .send(address, outgoing, &limits, Reuse::Allowed);
    let Ok(answer) = sent.await else {
        return Response::new(StatusCode::BadGateway);
    };
    let mut response = Response::new(answer.status);
    relay_headers(&answer.headers, response.as_mut());
    let content_type = response.content_type();
    response.set_body(answer.body.into_body(slot));
    // `set_body` overwrites the content type.
    if let Some(content_type) = content_type {
        response.set_content_type(content_type);
    }
    response
}

impl Proxy {
    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot in FIFO order.
    async fn acquire(self: Arc<Proxy>) -> Result<Slot, oneshot::Canceled> {
        let (sender, receiver) = oneshot::channel();
        self.lock().waiters.push_back(sender);
        self.dispatch();
        receiver.await
    }

    fn dispatch(self: &Arc<Proxy>) {
        loop {
            let mut slots = self.lock();
            let Some((sender, server)) = slots.next_assignment() else {
                return;
            };
            drop(slots);
            let proxy = self.clone();
            // When the receiver is gone, dropping the slot releases it.
            let _ = sender.send(Slot { proxy, server });
        }
    }
}

impl Slots {
    /// Removes the first live waiter from the queue, and takes a slot of the next server in
    /// round-robin order that has a free one.
    fn next_assignment(&mut self) -> Option<(oneshot::Sender<Slot>, usize)> {
        while self.waiters.front().is_some_and(|w| w.is_canceled()) {
            self.waiters.pop_front();
        }
        let count = self.free.len();
        let mut order = (0..count).map(|step| (self.next_server + step) % count);
        let server = order.find(|&server| self.free[server] > 0)?;
        let sender = self.waiters.pop_front()?;
        self.free[server] -= 1;
        self.next_server = (server + 1) % count;
        Some((sender, server))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.proxy.lock().free[self.server] += 1;
        self.proxy.dispatch();
    }
}

impl Observer for Slot {
    fn chunk(&mut self, _bytes: &[u8]) {}

    fn end(&mut self, _end: AnswerEnd) {}
}
