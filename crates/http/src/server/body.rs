//! Reading a request's body with limits on its size and duration.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::task;
use crocushold_base::Clock;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use futures::future::Abortable;
use futures::future::Aborted;
use http_types::Request;
use http_types::StatusCode;
use quick_error::quick_error;

use super::limits::ServerLimits;
use super::waits::Seat;
use super::waits::WaitGuard;
use super::waits::WaitKind;
use super::waits::Waits;
use crate::turn::Turn;

/// Bytes read at a time.
const READ_BYTES: usize = 8 * 1024;

/// Bytes that are reserved for a body in chunks before its length is known: the size of a long prompt.
const FIRST_RESERVATION: u64 = 64 * 1024;

/// Where a request comes from, set as an extension of the request.
#[derive(Clone)]
pub(crate) struct Inbound(pub(crate) Arc<Seat>);

impl Inbound {
    /// The seat of the connection on which a request arrived, or a new one if it didn't arrive at a server of this crate.
    fn seat(request: &Request) -> Arc<Seat> {
        let inbound = request.ext().get::<Inbound>();
        inbound.map_or_else(|| Waits::default().open(), |inbound| inbound.0.clone())
    }
}

/// Memory that was reserved for a request so far, set as an extension of the request.
#[derive(Clone, Copy, Default)]
struct ReservedBytes(u64);

impl ReservedBytes {
    fn of(request: &Request) -> u64 {
        let reserved = request.ext().get::<ReservedBytes>();
        reserved.copied().unwrap_or_default().0
    }
}

quick_error! {
    /// Why a request's body couldn't be read.
    #[derive(Debug)]
    pub enum BodyError {
        /// It is longer than the limit.
        TooLarge {
            display("the body is longer than the limit")
        }
        /// It didn't arrive within the timeout. Gives the bytes that did, and how long ago the last of them was read.
        Timeout(received: u64, silent: Millis) {
            display("the body didn't arrive in time: {received} bytes, the last of them {silent} ago")
        }
        /// The connection was closed before the announced length.
        Short {
            display("the body ended before its announced length")
        }
        /// The instance has no memory left for it.
        NoMemory {
            display("no memory is left for the body")
        }
        /// It came too slowly, and its memory or its connection was needed for another request.
        Slow {
            display("the body came too slowly")
        }
        /// The socket failed, or the chunked encoding is malformed.
        Io(cause: io::Error) {
            display("the body couldn't be read: {cause}")
            source(cause)
            from()
        }
    }
}

impl BodyError {
    /// The status to answer with.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PayloadTooLarge,
            BodyError::Timeout(..) => StatusCode::RequestTimeout,
            BodyError::NoMemory | BodyError::Slow => StatusCode::ServiceUnavailable,
            BodyError::Short | BodyError::Io(_) => StatusCode::BadRequest,
        }
    }
}

/// Reserves memory for a request whose body wasn't read yet, in bytes. If too little of the budget is free, requests that
/// come too slowly are ended; `None` if that doesn't help.
pub async fn reserve_memory(
    request: &mut Request,
    budget: &MemoryBudget,
    bytes: u64,
) -> Option<Reservation> {
    let seat = Inbound::seat(request);
    let reservation = seat.reserve(budget, bytes).await?;
    let reserved = ReservedBytes::of(request) + bytes;
    request.ext_mut().insert(ReservedBytes(reserved));
    Some(reservation)
}

/// Reads the whole body of a request, in memory that the caller of this function has bounded.
///
/// # Errors
///
/// Fails when the body is longer than `limits` allow, doesn't arrive in time, is truncated or is
/// malformed, or comes too slowly while its memory is needed. Answer with [`BodyError::status`]; the connection is closed
/// after that answer.
pub async fn read_body(request: &mut Request, limits: &ServerLimits) -> Result<Vec<u8>, BodyError> {
    let body = BodyBuffer {
        bytes: Vec::new(),
        memory: None,
    };
    let body = read_within(request, limits, body).await?;
    Ok(body.bytes)
}

/// A body and the memory that is reserved for it.
#[derive(Debug)]
pub struct ReservedBody {
    /// The whole body.
    pub bytes: Vec<u8>,
    /// The memory that it takes.
    pub reservation: Reservation,
}

/// Reads the whole body of a request, in memory of `budget` that is reserved before it is allocated.
///
/// # Errors
///
/// As [`read_body`], and when too little of the budget is free.
pub async fn read_reserved_body(
    request: &mut Request,
    limits: &ServerLimits,
    budget: &MemoryBudget,
) -> Result<ReservedBody, BodyError> {
    let announced = request.len().map(|length| length as u64);
    if announced.is_some_and(|length| length > limits.body_bytes) {
        return Err(BodyError::TooLarge);
    }
    let first = announced.unwrap_or(FIRST_RESERVATION);
    let reservation = reserve_memory(request, budget, first).await;
    let reservation = reservation.ok_or(BodyError::NoMemory)?;
    let body = BodyBuffer {
        bytes: Vec::with_capacity(first as usize),
        memory: Some((budget.clone(), reservation)),
    };
    let body = read_within(request, limits, body).await?;
    let (_, reservation) = body.memory.expect("the buffer keeps its reservation");
    Ok(ReservedBody {
        bytes: body.bytes,
        reservation,
    })
}

/// A body that grows with the bytes that were received.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// The budget and the part of it that the buffer takes; `None` where its memory is bounded elsewhere.
    memory: Option<(MemoryBudget, Reservation)>,
}

impl BodyBuffer {
    /// Appends bytes of a body of at most `limit` bytes.
    async fn append(
        &mut self,
        bytes: &[u8],
        limit: u64,
        wait: &WaitGuard,
    ) -> Result<(), BodyError> {
        let length = (self.bytes.len() + bytes.len()) as u64;
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        let capacity = self.bytes.capacity() as u64;
        if let Some((budget, reservation)) = &mut self.memory
            && length > capacity
        {
            // Both buffers exist while the bytes are copied.
            let larger = capacity.saturating_mul(2).min(limit).max(length);
            let reserved = wait.reserve(budget, larger).await;
            let reserved = reserved.ok_or(BodyError::NoMemory)?;
            self.bytes.reserve_exact(larger as usize - self.bytes.len());
            *reservation = reserved;
            wait.add_reserved(larger - capacity);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

/// How much of a body has arrived, and when its last bytes did.
struct Progress {
    clock: Clock,
    bytes: AtomicU64,
    last: AtomicU64,
}

impl Progress {
    fn start() -> Progress {
        let clock = Clock::start();
        Progress {
            last: AtomicU64::new(clock.now().0),
            bytes: AtomicU64::new(0),
            clock,
        }
    }

    fn record(&self, count: usize) {
        self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        self.last.store(self.clock.now().0, Ordering::Relaxed);
    }

    fn timeout(&self) -> BodyError {
        let last = Millis(self.last.load(Ordering::Relaxed));
        let silent = self.clock.now().since(last);
        BodyError::Timeout(self.bytes.load(Ordering::Relaxed), silent)
    }
}

/// Reads a body into `body`, unless it is ended in favour of another request.
async fn read_within(
    request: &mut Request,
    limits: &ServerLimits,
    body: BodyBuffer,
) -> Result<BodyBuffer, BodyError> {
    if request.len() == Some(0) {
        return Ok(body);
    }
    let seat = Inbound::seat(request);
    let (wait, registration) = seat.begin(WaitKind::Body, &limits.wait);
    wait.set_reserved(ReservedBytes::of(request));
    let progress = Progress::start();
    let read = read_bounded(request, limits.body_bytes, body, wait, &progress);
    let read = timeout(limits.body_timeout.into(), read);
    match Abortable::new(read, registration).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(progress.timeout()),
        Err(Aborted) => Err(BodyError::Slow),
    }
}

async fn read_bounded(
    request: &mut Request,
    limit: u64,
    mut body: BodyBuffer,
    mut wait: WaitGuard,
    progress: &Progress,
) -> Result<BodyBuffer, BodyError> {
    let announced = request.len();
    if announced.is_some_and(|length| length as u64 > limit) {
        return Err(BodyError::TooLarge);
    }
    // On the heap, as the future would hold it for as long as its task.
    let mut chunk = vec![0; READ_BYTES].into_boxed_slice();
    let mut turn = Turn::default();
    loop {
        // The timeout and other tasks get their turn beside a caller that sends without a pause.
        if turn.is_over() {
            task::yield_now().await;
            turn.begin();
        }
        let count = request.read(&mut chunk).await?;
        if count == 0 {
            break;
        }
        wait.record(count);
        progress.record(count);
        body.append(&chunk[..count], limit, &wait).await?;
        turn.record(count);
    }
    // A connection that is closed early ends a body with a length without an error.
    if announced.is_some_and(|length| length != body.bytes.len()) {
        return Err(BodyError::Short);
    }
    Ok(body)
}
