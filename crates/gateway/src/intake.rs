//! From a caller's request to what is sent: its route, its account, its body.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io::Cursor;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use crocushold_http::BodyError;
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use crocushold_routing::Fingerprint;
use http_types::Body;
use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::HOST;
use twox_hash::XxHash3_64;

use crate::fleet::Need;
use crate::protocol::PromptPart;
use crate::protocol::RequestMeta;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::routes::Repeat;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// When to come back while no configuration is known. The first read takes well under a second.
const START_RETRY: Millis = Millis::from_secs(1);

/// When to come back to another instance: at once, but not in the same moment as everybody.
const STOP_RETRY: Millis = Millis(50);

/// When to come back while bodies fill the memory: some of their answers have begun by then.
const FULL_RETRY: Millis = Millis(500);

/// What is reserved for a body that comes in chunks, until its length is known: a long prompt.
const UNANNOUNCED: u64 = 64 * 1024;

/// The part of the target that a request may wait at a server, in percent; the rest is for its reading.
const FRESH_LIMIT: u64 = 80;

/// The part of the time left that a request may wait that came back, in percent.
const RETURNED_PART: u64 = 25;

/// A request that is ready to be sent, more than once if need be.
pub(crate) struct Job {
    /// Names the request, as the caller gave it.
    pub(crate) id: String,
    /// The route's name, for logs.
    pub(crate) route: String,
    pub(crate) repeat: Repeat,
    /// The version of the configuration that it is handled by.
    pub(crate) version: u64,
    /// The caller's account.
    pub(crate) account: Option<String>,
    /// Most servers that it is sent to.
    pub(crate) attempts: u32,
    pub(crate) need: Need,
    /// What is asked, for whom: a request that comes again has the same.
    pub(crate) content: Fingerprint,
    /// When its head had come.
    pub(crate) arrived: Millis,
    /// When its time is over.
    pub(crate) ends: Millis,
    outgoing: Outgoing,
    /// Held until the answer has begun, for their drop alone.
    reserved: Vec<Reservation>,
}

/// What goes to a backend server.
struct Outgoing {
    method: Method,
    target: String,
    headers: Headers,
    body: SharedBody,
}

/// A body that several sends read without a copy each.
#[derive(Clone)]
struct SharedBody(Arc<Vec<u8>>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Job {
    /// Decodes, authorises and reads a request.
    ///
    /// # Errors
    ///
    /// The final refusal of a request that isn't allowed or can't be read.
    pub(crate) async fn read(
        shared: &Shared,
        request: &mut Request,
        meta: RequestMeta,
        arrived: Millis,
    ) -> Result<Job, Refusal> {
        // A connection whose last answer began before the stop carries requests until that answer has
        // ended. One that is taken then would be cut by the end of the process.
        if shared.is_stopping() {
            return Err(Refusal::later(Reason::Stopping, STOP_RETRY));
        }
        let table = shared
            .table()
            .ok_or(Refusal::later(Reason::NoConfiguration, START_RETRY))?;
        let mut job = Job::resolve(&table, request, meta, arrived)?;
        let limits = ServerLimits {
            body_bytes: table.limits().body_bytes,
            ..ServerLimits::default()
        };
        drop(table);
        let announced = request.len().map_or(UNANNOUNCED, |length| length as u64);
        job.reserved.push(reserve(shared, announced)?);
        let body = read_body(request, &limits).await;
        let body = body.map_err(|error| refuse_body(&error))?;
        let more = (body.len() as u64).saturating_sub(announced);
        if more > 0 {
            job.reserved.push(reserve(shared, more)?);
        }
        job.outgoing.body = SharedBody(Arc::new(body));
        job.content = job.outgoing.content(job.account.as_deref());
        Ok(job)
    }

    fn resolve(
        table: &RouteTable,
        request: &Request,
        meta: RequestMeta,
        arrived: Millis,
    ) -> Result<Job, Refusal> {
        let host = request.header(HOST).map_or("", |values| values.as_str());
        let route = table
            .route(host, request.url().path())
            .ok_or(Refusal::new(Reason::NoRoute))?;
        let account = match (&meta.key, route.public || !table.requires_keys()) {
            (Some(key), true) => table.account(key),
            (None, true) => None,
            (key, false) => {
                let account = key.as_deref().and_then(|key| table.account(key));
                Some(account.ok_or(Refusal::new(Reason::BadKey))?)
            }
        };
        let id = meta.id.unwrap_or_default();
        let draw = XxHash3_64::oneshot(id.as_bytes());
        let service = route
            .service(draw)
            .ok_or(Refusal::later(Reason::NoServer, START_RETRY))?;
        let timeout = meta.timeout.unwrap_or(Millis::MAX);
        let rank = table.rank(route, account);
        Ok(Job {
            id,
            route: route.name.clone(),
            repeat: route.repeat,
            version: table.version(),
            account: account.map(|account| account.name.clone()),
            attempts: route.attempts,
            need: Need {
                service: service.to_owned(),
                model: meta.model,
                prefix: shared_prefix(&meta.prompt),
                priority: rank,
                idempotent: route.repeat.is_idempotent(),
                prompt_tokens: meta.prompt_tokens,
                unique_tokens: meta
                    .prompt
                    .last()
                    .map_or(meta.prompt_tokens, |part| part.tokens),
                max_output_tokens: meta.output_tokens,
                expected_output_tokens: meta.expected_tokens.unwrap_or(meta.output_tokens),
                max_pause: Some(route.gap).filter(|_| table.is_live(route)),
                wait_limit: wait_limit(table, route, timeout),
                regions: table.regions(route, account),
            },
            content: Fingerprint::of(&[]),
            arrived,
            ends: arrived + timeout.min(route.timeout),
            outgoing: Outgoing::new(request),
            reserved: Vec::new(),
        })
    }

    /// Makes the request for the server at `address`; the caller adds what the server is told.
    pub(crate) fn request(&self, address: SocketAddr) -> Request {
        let text = format!("http://{address}{}", self.outgoing.target);
        let url = Url::parse(&text).expect("an address and the path of a parsed URL make a URL");
        let mut request = Request::new(self.outgoing.method, url);
        relay_headers(&self.outgoing.headers, request.as_mut());
        let body = self.outgoing.body.clone();
        let length = body.0.len();
        if length > 0 {
            request.set_body(Body::from_reader(Cursor::new(body), Some(length)));
            // Setting a body sets its own type, which the caller's goes before.
            match self.outgoing.headers.get(CONTENT_TYPE) {
                Some(values) => request.insert_header(CONTENT_TYPE, values),
                None => request.remove_header(CONTENT_TYPE),
            };
        }
        request
    }
}

impl Outgoing {
    fn new(request: &Request) -> Outgoing {
        let mut headers = Request::new(Method::Get, request.url().clone());
        relay_headers(request.as_ref(), headers.as_mut());
        let headers: &Headers = headers.as_ref();
        let url = request.url();
        let query = url.query().map(|query| format!("?{query}"));
        Outgoing {
            method: request.method(),
            target: format!("{}{}", url.path(), query.unwrap_or_default()),
            headers: headers.clone(),
            body: SharedBody(Arc::default()),
        }
    }

    fn content(&self, account: Option<&str>) -> Fingerprint {
        let account = account.unwrap_or_default();
        Fingerprint::of(&[
            self.method.as_ref().as_bytes(),
            self.target.as_bytes(),
            account.as_bytes(),
            self.body.as_ref(),
        ])
    }
}

/// The longest wait at a server that a request may meet.
///
/// Only the least urgent requests are turned away for a long queue. The servers' own queues put more
/// urgent ones before them, so that the wait doesn't hold for those, and a live request is never
/// refused in favour of batch work.
fn wait_limit(table: &RouteTable, route: &Route, timeout: Millis) -> Option<Millis> {
    if !table.is_least_urgent(route) {
        return None;
    }
    // A request that has less than the route's timeout by more than the route's target is taken for one that was
    // refused before: a late answer is worth more to it than a second refusal. A smaller difference may be the
    // caller's own timeout, and the longer limit would let queues grow to twice the intended length.
    let returned = timeout + route.target < route.timeout;
    let limit = if returned {
        Millis(timeout.0 * RETURNED_PART / 100)
    } else {
        Millis(route.target.0 * FRESH_LIMIT / 100)
    };
    Some(limit)
}

/// Reserves memory for a body.
///
/// Without it a flood of long bodies would take more memory than the machine has, and the process would
/// be killed with every answer that it relays.
fn reserve(shared: &Shared, bytes: u64) -> Result<Reservation, Refusal> {
    let reserved = shared.memory.reserve(bytes);
    reserved.ok_or(Refusal::later(Reason::Memory, FULL_RETRY))
}

/// A hash of the parts of a prompt that other requests may share: all but the last.
///
/// A server keeps what it has read of a prompt. Requests that begin alike go to the same server, as
/// far as its load allows, so that the common part is read once.
fn shared_prefix(prompt: &[PromptPart]) -> Option<u32> {
    let (_, common) = prompt.split_last()?;
    if common.is_empty() {
        return None;
    }
    let bytes: Vec<u8> = common
        .iter()
        .flat_map(|part| part.id.to_le_bytes())
        .collect();
    // Half of the hash: it goes to other instances by the hundred, and a wrong hint costs little.
    Some(XxHash3_64::oneshot(&bytes) as u32)
}

fn refuse_body(error: &BodyError) -> Refusal {
    Refusal::new(match error.status() {
        StatusCode::PayloadTooLarge => Reason::BodyTooLarge,
        StatusCode::RequestTimeout => Reason::BodyTimeout,
        _ => Reason::BadRequest,
    })
}
