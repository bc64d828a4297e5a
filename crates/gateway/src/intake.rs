//! Intake of a caller's request: its route, its account and its body.

use std::sync::Arc;

use async_std::io::Cursor;
use crocushold_base::Event;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use crocushold_http::BodyError;
use crocushold_http::RequestTarget;
use crocushold_http::ServerLimits;
use crocushold_http::keep_content_type;
use crocushold_http::read_reserved_body;
use crocushold_http::relay_headers;
use crocushold_routing::Fingerprint;
use crocushold_routing::RequestContent;
use http_types::Body;
use http_types::Headers;
use http_types::Method;
use http_types::Request;
use http_types::headers::HOST;
use log::info;
use twox_hash::XxHash3_64;

use crate::fleet::ENGINE_BOUND;
use crate::fleet::Need;
use crate::protocol::PromptPart;
use crate::protocol::RequestMeta;
use crate::protocol::Resumption;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::relay::RelayedRequest;
use crate::resumption::StreamKey;
use crate::room::Place;
use crate::room::ROOM_RETRY;
use crate::routes::Account;
use crate::routes::Repeat;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// `Retry-After` while the route has no service.
const UNSERVED_RETRY: Millis = Millis::from_secs(1);

/// `Retry-After` during shutdown: another instance can take the request at once, but callers
/// shouldn't all retry in the same moment.
pub(crate) const STOP_RETRY: Millis = Millis(50);

/// Maximum wait at a server in percent of the route's target. The rest is for the prefill.
const WAIT_LIMIT_PERCENT: u64 = 80;

/// Maximum wait at a server of a retried request, in percent of its remaining time.
const RETRY_WAIT_PERCENT: u64 = 25;

/// Minimum limit of a request that waits in line: twice what it may wait at an engine afterwards.
const MIN_LINE_LIMIT: Millis = Millis(2 * ENGINE_BOUND.0);

/// A request that is ready to be sent, possibly several times.
pub(crate) struct Job {
    /// Request ID, as sent by the caller.
    pub(crate) id: String,
    /// The route's name, for logs.
    pub(crate) route: String,
    pub(crate) repeat: Repeat,
    /// Version of the configuration under which the request is handled.
    pub(crate) version: u64,
    /// The caller's account.
    pub(crate) account: Option<String>,
    /// Maximum number of servers that the request is sent to.
    pub(crate) attempts: u32,
    pub(crate) need: Need,
    /// How long a stream may wait for an engine to begin it; `None` for other requests.
    pub(crate) line_limit: Option<Millis>,
    /// What is asked. It is the same for every retry.
    pub(crate) content: RequestContent,
    /// When the head of the request was complete.
    pub(crate) arrived: Millis,
    /// Deadline of the request.
    pub(crate) deadline: Millis,
    /// When the caller gives up, over all of its attempts.
    pub(crate) held_until: Millis,
    /// Name of the instance that relayed the request to this one, if any.
    pub(crate) entry: Option<String>,
    /// The stream that the caller takes up, if it does.
    pub(crate) resumption: Option<Resumption>,
    /// The stream that it takes up, or that it begins and that may be taken up; `None` if the caller
    /// doesn't say how the stream began.
    pub(crate) stream: Option<StreamKey>,
    outgoing: Outgoing,
    /// The room that the request takes, from its intake until its answer has ended.
    pub(crate) place: Option<Place>,
    /// The memory of the body, released when the answer has begun.
    reservation: Option<Reservation>,
}

/// The parts of the request that are sent to a backend server.
struct Outgoing {
    method: Method,
    target: RequestTarget,
    headers: Headers,
    body: SharedBody,
}

/// A body that several attempts read without copying it.
#[derive(Clone)]
struct SharedBody(Arc<Vec<u8>>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Job {
    /// Decodes, authorizes and reads a request.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of a request that isn't allowed or can't be read.
    pub(crate) async fn read(
        shared: &Shared,
        request: &mut Request,
        meta: RequestMeta,
        arrived: Millis,
    ) -> Result<Job, Refusal> {
        // A connection whose last answer began before the shutdown carries requests until that
        // answer has ended. A request accepted now would be cut when the process exits.
        if shared.is_stopping() {
            return Err(refuse_stopping());
        }
        let read = async {
            let table = first_table(shared, &meta).await?;
            let job = Job::resolve(&table, request, meta, arrived)?;
            let body_bytes = table.limits().body_bytes;
            drop(table);
            job.with_body(shared, request, body_bytes).await
        };
        let read = shared.unless_stopping(read).await;
        read.unwrap_or_else(|| Err(refuse_stopping()))
    }

    /// Reads a request that another instance has accepted and relays.
    ///
    /// # Errors
    ///
    /// Returns the final refusal of a request that can't be read.
    pub(crate) async fn read_relayed(
        shared: &Shared,
        request: &mut Request,
        relayed: RelayedRequest,
        arrived: Millis,
    ) -> Result<Job, Refusal> {
        let meta = shared.protocol.request(request.as_ref());
        let parts = part_fingerprints(&relayed.need.service, &meta.prompt);
        let job = Job {
            id: relayed.id,
            route: relayed.route,
            repeat: relayed.repeat,
            version: relayed.version,
            account: relayed.account,
            attempts: relayed.attempts,
            need: relayed.need,
            // It has waited at the instance that accepted it.
            line_limit: None,
            content: unread_content(parts),
            arrived,
            deadline: arrived + relayed.remaining,
            held_until: arrived + relayed.held,
            entry: Some(relayed.entry),
            resumption: None,
            stream: relayed.stream,
            outgoing: Outgoing::new(request, received_target(request)?),
            place: None,
            reservation: None,
        };
        // The instance that accepted it has checked its length.
        job.with_body(shared, request, u64::MAX).await
    }

    async fn with_body(
        mut self,
        shared: &Shared,
        request: &mut Request,
        body_bytes: u64,
    ) -> Result<Job, Refusal> {
        self.place = Some(shared.room.enter(&self.need.service, request).await?);
        let defaults = ServerLimits::default();
        let remaining = self.deadline.since(shared.clock.now());
        let limits = ServerLimits {
            body_bytes,
            body_timeout: defaults.body_timeout.min(remaining),
            wait: shared.settings.wait,
            ..defaults
        };
        let body = read_reserved_body(request, &limits, shared.room.bodies()).await;
        let body = body.map_err(|error| {
            let event = Event::new("body-incomplete")
                .with("request", &self.id)
                .with("cause", &error);
            info!("{event}");
            refuse_body(&error)
        })?;
        self.reservation = Some(body.reservation);
        self.outgoing.body = SharedBody(Arc::new(body.bytes));
        self.content.request = self.outgoing.fingerprint(self.account.as_deref());
        Ok(self)
    }

    fn resolve(
        table: &RouteTable,
        request: &Request,
        meta: RequestMeta,
        arrived: Millis,
    ) -> Result<Job, Refusal> {
        let target = received_target(request)?;
        let host = request.header(HOST).map_or("", |values| values.as_str());
        let route = table
            .route(host, target.path())
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
        let hash = XxHash3_64::oneshot(id.as_bytes());
        let service = route
            .service(hash)
            .ok_or(Refusal::later(Reason::NoServer, UNSERVED_RETRY))?;
        let timeout = meta.timeout.unwrap_or(Millis::MAX);
        let rank = table.rank(route, account);
        let stream = stream_key(route.repeat, account, meta.resumption.as_ref(), &id);
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
                software: None,
            },
            line_limit: line_limit(table, route, timeout),
            content: unread_content(part_fingerprints(service, &meta.prompt)),
            arrived,
            deadline: arrived + timeout.min(route.timeout),
            held_until: arrived + meta.timeout.unwrap_or(route.timeout),
            entry: None,
            stream,
            resumption: meta.resumption,
            outgoing: Outgoing::new(request, target),
            place: None,
            reservation: None,
        })
    }

    /// Builds the request for a server, without the headers set by the [`Protocol`](crate::protocol::Protocol).
    pub(crate) fn request(&self) -> Request {
        let mut request = self.outgoing.target.request(self.outgoing.method);
        relay_headers(&self.outgoing.headers, request.as_mut());
        let body = self.outgoing.body.clone();
        let length = body.0.len();
        if length > 0 {
            let body = Body::from_reader(Cursor::new(body), Some(length));
            keep_content_type(&mut request, |request| request.set_body(body));
        }
        request
    }
}

impl Outgoing {
    fn new(request: &Request, target: RequestTarget) -> Outgoing {
        let mut headers = target.request(request.method());
        relay_headers(request.as_ref(), headers.as_mut());
        let headers: &Headers = headers.as_ref();
        Outgoing {
            method: request.method(),
            target,
            headers: headers.clone(),
            body: SharedBody(Arc::default()),
        }
    }

    fn fingerprint(&self, account: Option<&str>) -> Fingerprint {
        let account = account.unwrap_or_default();
        Fingerprint::of(&[
            self.method.as_ref().as_bytes(),
            self.target.as_str().as_bytes(),
            account.as_bytes(),
            self.body.as_ref(),
        ])
    }
}

/// The target of a request, which selects its route and is sent as it was received.
fn received_target(request: &Request) -> Result<RequestTarget, Refusal> {
    let target = RequestTarget::of(request).cloned();
    target.ok_or(Refusal::new(Reason::BadRequest))
}

/// Maximum wait at a server with which the request is still sent.
///
/// Only the least urgent requests are refused for a long queue. Servers put more urgent requests
/// ahead of them, so the wait doesn't apply to those, and a live request is never refused in favour
/// of batch work.
fn wait_limit(table: &RouteTable, route: &Route, timeout: Millis) -> Option<Millis> {
    table
        .is_least_urgent(route)
        .then(|| longest_wait(route, timeout))
}

/// How long a request may wait in the placer's line and for an engine to begin it; `None` if it
/// doesn't wait in line.
///
/// Live streams don't: their engines are kept for them, their prompts are short, and what they bear
/// before the first event is hardly longer than a wait in line by itself.
fn line_limit(table: &RouteTable, route: &Route, timeout: Millis) -> Option<Millis> {
    let waits = route.repeat.is_stream() && !table.is_live(route);
    let limit = longest_wait(route, timeout);
    Some(limit).filter(|&limit| waits && limit >= MIN_LINE_LIMIT)
}

/// The longest wait for the beginning of the prefill with which an answer is of use to the caller.
fn longest_wait(route: &Route, timeout: Millis) -> Millis {
    // A request whose timeout is below the route's by more than the route's target is taken for a
    // retry after a refusal: a late answer is worth more to it than a second refusal. A smaller
    // difference may be the caller's own timeout, and the longer limit would let queues grow to
    // twice the intended length.
    let is_retry = timeout + route.target < route.timeout;
    if is_retry {
        Millis(timeout.0 * RETRY_WAIT_PERCENT / 100)
    } else {
        Millis(route.target.0 * WAIT_LIMIT_PERCENT / 100)
    }
}

/// The configuration in force. A request that arrives while the first one is being read waits for
/// it, for as long as it may.
async fn first_table(shared: &Shared, meta: &RequestMeta) -> Result<Arc<RouteTable>, Refusal> {
    if let Some(table) = shared.table() {
        return Ok(table);
    }
    shared.start.wait_for_read(meta.timeout).await;
    shared.table().ok_or_else(|| {
        let id = meta.id.as_deref().unwrap_or_default();
        let returns = shared.start.returns();
        let delay = returns.unconfigured(shared.clock.now(), shared.return_draw(id));
        Refusal::later(Reason::NoConfiguration, delay)
    })
}

fn stream_key(
    repeat: Repeat,
    account: Option<&Account>,
    resumption: Option<&Resumption>,
    id: &str,
) -> Option<StreamKey> {
    let first_attempt = match resumption {
        Some(resumption) if repeat.is_stream() => resumption.first_attempt.as_deref()?,
        None if repeat == Repeat::ResumableStream => id,
        _ => return None,
    };
    let account = account.map(|account| account.name.as_str());
    Some(StreamKey::new(account, first_attempt))
}

/// Hash of the prompt parts that other requests may share, which are all but the last.
///
/// Servers cache the prompts they have prefilled. Requests with the same prefix go to the same
/// server as far as its load allows, so that the prefix is prefilled once.
fn shared_prefix(prompt: &[PromptPart]) -> Option<u32> {
    let (_, common) = prompt.split_last()?;
    if common.is_empty() {
        return None;
    }
    let bytes: Vec<u8> = common
        .iter()
        .flat_map(|part| part.id.to_le_bytes())
        .collect();
    // Half of the hash is enough: it is gossiped by the hundred, and a wrong hint costs little.
    Some(XxHash3_64::oneshot(&bytes) as u32)
}

/// The content of a request whose body hasn't been read yet.
fn unread_content(parts: Arc<[Fingerprint]>) -> RequestContent {
    RequestContent {
        request: Fingerprint::of(&[]),
        parts,
    }
}

/// Fingerprints of the prompt parts that other requests for the service may share, which are all but
/// the last.
fn part_fingerprints(service: &str, prompt: &[PromptPart]) -> Arc<[Fingerprint]> {
    let common = prompt.split_last().map_or(&[][..], |(_, common)| common);
    let parts = common.iter();
    let fingerprints =
        parts.map(|part| Fingerprint::of(&[service.as_bytes(), &part.id.to_le_bytes()]));
    fingerprints.collect()
}

/// The refusal of a request that hasn't been sent to a server when the shutdown leaves no time for that.
fn refuse_stopping() -> Refusal {
    Refusal::later(Reason::Stopping, STOP_RETRY)
}

/// The refusal of a request whose body wasn't received. It didn't run.
fn refuse_body(error: &BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::new(Reason::BodyTooLarge),
        BodyError::Timeout(..) => Refusal::new(Reason::BodyTimeout),
        BodyError::NoMemory => Refusal::later(Reason::Memory, ROOM_RETRY),
        BodyError::Slow => Refusal::later(Reason::SlowBody, ROOM_RETRY),
        BodyError::Short | BodyError::Io(_) => Refusal::new(Reason::BadRequest),
    }
}
