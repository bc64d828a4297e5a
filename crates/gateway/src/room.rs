//! Room for requests in progress: memory, and the connections that the requests of one service may hold.
//!
//! A request holds its connection, its parsed head and the buffers of its answer for as long as its server takes and its
//! caller reads. Without a bound, the requests of one service that hangs would hold all connections and exceed the memory
//! of the machine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use crocushold_http::AnswerMemory;
use crocushold_http::RequestTarget;
use crocushold_http::reserve_memory;
use http_types::Headers;
use http_types::Request;
use http_types::Response;

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

/// What the requests in progress of a service hold.
#[derive(Debug)]
struct ServiceRoom {
    running: usize,
    memory: MemoryBudget,
}

/// The room of an instance. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    memory: MemoryBudget,
    /// The part of it for bodies that are being read or wait for an answer to begin.
    bodies: MemoryBudget,
    /// Services with requests in progress.
    services: Arc<Mutex<HashMap<String, ServiceRoom>>>,
    service_limit: ServiceLimit,
}

/// What the requests in progress of one service may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServiceLimit {
    pub(crate) connections: usize,
    /// Memory besides bodies, in bytes.
    pub(crate) memory: u64,
}

impl Room {
    pub(crate) fn new(settings: &Settings) -> Room {
        let memory = MemoryBudget::new(settings.request_memory());
        Room {
            bodies: memory.part(settings.body_memory()),
            memory,
            services: Arc::default(),
            service_limit: settings.service_limit(),
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

    /// Makes room for a request of a service, whose body wasn't read yet.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request for which no room is left.
    pub(crate) async fn enter(
        &self,
        service: &str,
        request: &mut Request,
    ) -> Result<Place, Refusal> {
        let (counted, memory) = self.count(service)?;
        let bytes = exchange_bytes(request);
        let reserved = reserve_memory(request, &memory, bytes).await;
        let reserved = reserved.ok_or(Refusal::later(Reason::Memory, ROOM_RETRY))?;
        Ok(Place {
            bytes,
            _counted: counted,
            _memory: reserved,
        })
    }

    /// Counts a request of a service. Returns the memory that requests of the service may take.
    fn count(&self, service: &str) -> Result<(Counted, MemoryBudget), Refusal> {
        let mut services = self.services();
        let room = services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceRoom {
                running: 0,
                memory: self.memory.part(self.service_limit.memory),
            });
        if room.running >= self.service_limit.connections {
            return Err(Refusal::later(Reason::ServiceFull, ROOM_RETRY));
        }
        room.running += 1;
        let counted = Counted {
            room: self.clone(),
            service: service.to_owned(),
        };
        Ok((counted, room.memory.clone()))
    }

    fn services(&self) -> MutexGuard<'_, HashMap<String, ServiceRoom>> {
        let services = self.services.lock();
        services.unwrap_or_else(PoisonError::into_inner)
    }
}

/// The room of a request until this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    /// Memory of the request besides its body, in bytes.
    bytes: u64,
    _counted: Counted,
    _memory: Reservation,
}

impl Place {
    /// Keeps the place until the response of the request has ended.
    pub(crate) fn hold_until_end(self, response: &mut Response) {
        let extensions = response.ext_mut();
        extensions.insert(AnswerMemory(self.bytes));
        extensions.insert(self);
    }
}

/// A request among those of its service.
#[derive(Debug)]
struct Counted {
    room: Room,
    service: String,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut services = self.room.services();
        if let Some(room) = services.get_mut(&self.service) {
            room.running -= 1;
            if room.running == 0 {
                services.remove(&self.service);
            }
        }
    }
}

/// Maximum memory of a request besides its body, in bytes.
fn exchange_bytes(request: &Request) -> u64 {
    let headers: &Headers = request.as_ref();
    let headers = headers.iter().flat_map(|(name, values)| {
        let name = name.as_str().len();
        let values = values.iter();
        values.map(move |value| name + value.as_str().len() + HEADER_OVERHEAD_BYTES)
    });
    let head = headers.sum::<usize>()
        + RequestTarget::of(request).map_or(0, |target| target.as_str().len());
    (EXCHANGE_BYTES + HEAD_COPIES * head) as u64
}
