//! Room for requests in progress.
//!
//! A request holds its parsed head and the buffers of its answer for as long as its server takes and its caller reads.
//! Without a bound, many of them would exceed the memory of the machine.

use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use crocushold_http::reserve_memory;
use http_types::Headers;
use http_types::Request;

use crate::instance::Settings;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Memory of a request besides its head and its body: the state of its tasks, the bytes read behind it, the buffer of
/// its answer, and the read buffers of both connections.
const EXCHANGE_BYTES: usize = 48 * 1024;

/// Memory of a header besides its text, in each of the copies of a head.
const HEADER_OVERHEAD_BYTES: usize = 128;

/// Copies of a head while a request runs: the one that was parsed, and the one that is sent.
const HEAD_COPIES: usize = 2;

/// `Retry-After` where there is no room: some answers will have ended by then.
pub(crate) const ROOM_RETRY: Millis = Millis(500);

/// The room of an instance. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    memory: MemoryBudget,
    /// The part of it for bodies that are being read or wait for an answer to begin.
    bodies: MemoryBudget,
}

impl Room {
    pub(crate) fn new(settings: &Settings) -> Room {
        let memory = MemoryBudget::new(settings.request_memory());
        Room {
            bodies: memory.part(settings.body_memory()),
            memory,
        }
    }

    /// Memory of all requests.
    pub(crate) fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// The part of the memory for bodies.
    pub(crate) fn bodies(&self) -> &MemoryBudget {
        &self.bodies
    }

    /// Makes room for a request whose body wasn't read yet.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request for which no room is left.
    pub(crate) async fn enter(&self, request: &mut Request) -> Result<Place, Refusal> {
        let reserved = reserve_memory(request, &self.memory, exchange_bytes(request)).await;
        let reserved = reserved.ok_or(Refusal::later(Reason::Memory, ROOM_RETRY))?;
        Ok(Place { _memory: reserved })
    }
}

/// The room of a request until this is dropped. It is kept as an extension of the response until that has ended.
#[derive(Debug)]
pub(crate) struct Place {
    _memory: Reservation,
}

/// Maximum memory of a request besides its body, in bytes.
fn exchange_bytes(request: &Request) -> u64 {
    let headers: &Headers = request.as_ref();
    let headers = headers.iter().flat_map(|(name, values)| {
        let name = name.as_str().len();
        let values = values.iter();
        values.map(move |value| name + value.as_str().len() + HEADER_OVERHEAD_BYTES)
    });
    let head = headers.sum::<usize>() + request.url().as_str().len();
    (EXCHANGE_BYTES + HEAD_COPIES * head) as u64
}
