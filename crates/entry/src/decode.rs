//! Decodes a caller's request into a job: its account, what it asks for, and its class.

use std::hash::Hasher;
use std::sync::Arc;

use crocushold_admission::Arrival;
use crocushold_base::AccountKey;
use crocushold_base::MemoryBudget;
use crocushold_base::Millis;
use crocushold_base::Reservation;
use crocushold_config::CallerLimits;
use crocushold_config::Class;
use crocushold_config::Resolved;
use crocushold_config::Target;
use crocushold_config::resolve_account;
use crocushold_http::BodyError;
use crocushold_http::RequestTarget;
use crocushold_http::ServerLimits;
use crocushold_http::keep_content_type;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use crocushold_http::request_path;
use crocushold_http::reserve_memory;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::RequestDigest;
use crocushold_routing::Fingerprint;
use crocushold_routing::RequestContent;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::headers::Headers;
use twox_hash::XxHash3_64;

use crate::active_config::ActiveConfig;
use crate::instance::wait_limits;
use crate::memory::footprint;
use crate::payload::Payload;
use crate::payload::PayloadError;
use crate::payload::set_priority;
use crate::pool::Requirements;
use crate::refusal::Reason;
use crate::refusal::Refusal;

/// Header with the caller's API key.
const AUTHORIZATION: &str = "authorization";

/// Header with the requested class, which may be of lower priority than the caller's own, never of
/// higher.
const CLASS: &str = "x-class";

/// Header with the caller's timeout, in milliseconds.
const TIMEOUT: &str = "x-timeout-ms";

/// Header that makes a request run at most once, and identifies it.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 255;

/// Time within which a server must begin a non-streamed response, for classes without a target for
/// the whole response.
const DEFAULT_RESPONSE_TIMEOUT: Millis = Millis::from_secs(600);

/// The same as a multiple of that target. The head of a non-streamed response arrives when the work
/// is complete.
const RESPONSE_TIMEOUT_FACTOR: u64 = 4;

/// Lower bound of that time. For callers a late response is better than not knowing whether the
/// request ran.
const MIN_RESPONSE_TIMEOUT: Millis = Millis::from_secs(10);

/// Retry delay when requests have used up the memory.
const MEMORY_RETRY_AFTER: Millis = Millis::from_secs(1);

/// Headers for this proxy only, which are not forwarded to backend servers.
const STRIPPED_HEADERS: [&str; 3] = [AUTHORIZATION, CLASS, TIMEOUT];

/// Tokens that a request counts as that is not a language-model request.
const PLAIN_CALL_TOKENS: u32 = 1;

/// A decoded request that can be queued and sent, several times if attempts fail.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) resolved: Resolved,
    pub(crate) arrival: Arrival,
    pub(crate) requirements: Requirements,
    /// Whether the response is a stream of server-sent events.
    pub(crate) stream: bool,
    /// The idempotency key of a request that must not run twice.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// What is asked. It is the same for a repeated request.
    pub(crate) content: RequestContent,
    /// Time within which a server must begin a non-streamed response.
    pub(crate) response_timeout: Millis,
    outgoing: OutgoingRequest,
    /// Releases the reserved memory when the job is dropped.
    _reservation: Option<Arc<Reservation>>,
}

/// Identifies a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdempotencyKey {
    pub(crate) key: ClaimKey,
    pub(crate) digest: RequestDigest,
    pub(crate) account: AccountId,
}

/// The request that is sent to the backend server.
#[derive(Clone, Debug)]
struct OutgoingRequest {
    method: Method,
    target: RequestTarget,
    headers: Headers,
    body: Vec<u8>,
}

/// The content of a model request, with the fingerprint of the whole still to be set.
fn unread_content(payload: &Payload) -> RequestContent {
    let parts = payload.parts.iter();
    let fingerprints =
        parts.map(|part| Fingerprint::of(&[payload.model.as_bytes(), &part.to_le_bytes()]));
    RequestContent {
        request: Fingerprint::of(&[]),
        parts: fingerprints.collect(),
    }
}

impl OutgoingRequest {
    /// Hash of the request, which distinguishes a repeat from a different request with the same
    /// idempotency key.
    fn digest(&self) -> RequestDigest {
        let mut hasher = XxHash3_64::new();
        hasher.write(self.method.to_string().as_bytes());
        hasher.write(b" ");
        hasher.write(self.target.as_str().as_bytes());
        hasher.write(b"\n");
        hasher.write(&self.body);
        RequestDigest(hasher.finish())
    }

    fn fingerprint(&self, account: &str) -> Fingerprint {
        Fingerprint::of(&[
            self.method.as_ref().as_bytes(),
            self.target.as_str().as_bytes(),
            account.as_bytes(),
            &self.body,
        ])
    }
}

impl Job {
    /// Builds the request for a server.
    pub(crate) fn request(&self) -> Request {
        let mut request = self.outgoing.target.request(self.outgoing.method);
        relay_headers(&self.outgoing.headers, request.as_mut());
        let body = self.outgoing.body.clone();
        keep_content_type(&mut request, |request| request.set_body(body));
        request
    }
}

/// Whether the path belongs to the API of language-model servers.
pub(crate) fn is_model_call(method: Method, path: &str) -> bool {
    let paths = ["/v1/chat/completions", "/v1/completions"];
    method == Method::Post && paths.contains(&path)
}

/// Returns the API key of a request.
pub(crate) fn api_key(request: &Request) -> Result<&str, Refusal> {
    let header = request.header(AUTHORIZATION).map(|values| values.as_str());
    let key = header.and_then(|text| text.strip_prefix("Bearer "));
    key.ok_or_else(|| {
        let text = "send a key in the header \"authorization: Bearer KEY\"";
        Refusal::not_run(Reason::Unauthorized, text)
    })
}

/// What is needed to decode and classify a request.
pub(crate) struct RequestDecoder<'a> {
    pub(crate) config: &'a ActiveConfig,
    /// The account of the request's API key.
    pub(crate) account: AccountKey,
    pub(crate) memory: &'a MemoryBudget,
    pub(crate) limits: &'a CallerLimits,
    pub(crate) arrived: Millis,
}

impl RequestDecoder<'_> {
    /// Decodes and classifies a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is malformed or not allowed.
    pub(crate) async fn decode(&self, request: &mut Request) -> Result<Job, Refusal> {
        let reservation = self.reserve(request).await?;
        let remaining = deadline(request, self.arrived).since(self.arrived);
        let limits = ServerLimits {
            body_bytes: self.limits.body_bytes,
            body_timeout: self.limits.body_timeout.min(remaining),
            wait: wait_limits(self.limits),
            ..ServerLimits::default()
        };
        let body = read_body(request, &limits).await;
        let body = body.map_err(|error| body_refusal(&error))?;
        let job = if is_model_call(request.method(), request_path(request)) {
            self.model_job(request, &body)
        } else {
            self.plain_job(request, body)
        };
        let job = job?;
        let account = &self.config.catalog.accounts[job.resolved.account].name;
        Ok(Job {
            idempotency_key: self.idempotency_key(request, &job)?,
            content: RequestContent {
                request: job.outgoing.fingerprint(account),
                ..job.content
            },
            _reservation: Some(Arc::new(reservation)),
            ..job
        })
    }

    fn model_job(&self, request: &Request, body: &[u8]) -> Result<Job, Refusal> {
        let payload = Payload::decode(body).map_err(|error| payload_refusal(&error))?;
        let resolved = self.resolve(request, Target::Model(&payload.model))?;
        let class = &self.config.catalog.classes[resolved.class];
        let body =
            set_priority(body, class.priority.tier()).map_err(|error| payload_refusal(&error))?;
        let max_tokens = payload.max_tokens.unwrap_or(u32::MAX);
        Ok(Job {
            resolved,
            arrival: Arrival {
                class: resolved.class,
                account: resolved.account,
                model: resolved.model,
                prompt_tokens: payload.prompt_tokens,
                max_tokens,
                bytes: u32::try_from(body.len()).unwrap_or(u32::MAX),
                deadline: deadline(request, self.arrived),
            },
            requirements: requirements(&resolved, class, payload.prefix, payload.prompt_tokens),
            stream: payload.stream,
            response_timeout: response_timeout(class),
            outgoing: outgoing(request, body)?,
            idempotency_key: None,
            content: unread_content(&payload),
            _reservation: None,
        })
    }

    fn plain_job(&self, request: &Request, body: Vec<u8>) -> Result<Job, Refusal> {
        let method = request.method().to_string();
        let target = Target::Path {
            method: &method,
            path: request_path(request),
        };
        let resolved = self.resolve(request, target)?;
        let class = &self.config.catalog.classes[resolved.class];
        Ok(Job {
            resolved,
            arrival: Arrival {
                class: resolved.class,
                account: resolved.account,
                max_tokens: PLAIN_CALL_TOKENS,
                bytes: u32::try_from(body.len()).unwrap_or(u32::MAX),
                deadline: deadline(request, self.arrived),
                ..Arrival::default()
            },
            requirements: requirements(&resolved, class, None, 0),
            stream: false,
            response_timeout: response_timeout(class),
            outgoing: outgoing(request, body)?,
            idempotency_key: None,
            content: Fingerprint::of(&[]).into(),
            _reservation: None,
        })
    }

    fn resolve(&self, request: &Request, target: Target<'_>) -> Result<Resolved, Refusal> {
        let wanted = request.header(CLASS).map(|values| values.as_str());
        let resolved = resolve_account(&self.config.catalog, self.account, target, wanted);
        resolved.map_err(Refusal::from_config)
    }

    /// Returns the idempotency key of a request that must not run twice. Repeating an idempotent
    /// request does no harm, so the key of such a request isn't claimed.
    fn idempotency_key(
        &self,
        request: &Request,
        job: &Job,
    ) -> Result<Option<IdempotencyKey>, Refusal> {
        let Some(header) = request.header(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        if job.resolved.idempotent {
            return Ok(None);
        }
        let key = header.as_str();
        if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY {
            let text = format!("an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY} bytes");
            return Err(Refusal::not_run(Reason::BadRequest, text));
        }
        let account = &self.config.catalog.accounts[job.resolved.account].name;
        Ok(Some(IdempotencyKey {
            key: ClaimKey::new(account, key),
            digest: job.outgoing.digest(),
            account: AccountId::from_name(account),
        }))
    }

    /// Reserves memory for the head and the body. A body without a declared length counts with the
    /// maximum.
    async fn reserve(&self, request: &mut Request) -> Result<Reservation, Refusal> {
        let announced = request
            .len()
            .map_or(self.limits.body_bytes, |len| len as u64);
        let bytes = footprint(request, announced.min(self.limits.body_bytes));
        let reservation = reserve_memory(request, self.memory, bytes).await;
        reservation.ok_or_else(|| {
            let text = "the instance has no memory left for the request";
            Refusal::not_run(Reason::Overloaded, text).retry_after(MEMORY_RETRY_AFTER)
        })
    }
}

fn body_refusal(error: &BodyError) -> Refusal {
    let refusal = |reason| Refusal::not_run(reason, error.to_string());
    match error.status() {
        StatusCode::PayloadTooLarge => refusal(Reason::BodyTooLarge),
        StatusCode::ServiceUnavailable => {
            refusal(Reason::Overloaded).retry_after(MEMORY_RETRY_AFTER)
        }
        _ => refusal(Reason::BadRequest),
    }
}

fn payload_refusal(error: &PayloadError) -> Refusal {
    Refusal::not_run(Reason::BadRequest, error.to_string())
}

fn requirements(
    resolved: &Resolved,
    class: &Class,
    prefix: Option<u64>,
    tokens: u32,
) -> Requirements {
    Requirements {
        model: resolved.model,
        prefix,
        tier: class.priority.index() as u8,
        idempotent: resolved.idempotent,
        tokens,
    }
}

fn response_timeout(class: &Class) -> Millis {
    let bound = |target: Millis| {
        Millis(target.0.saturating_mul(RESPONSE_TIMEOUT_FACTOR)).max(MIN_RESPONSE_TIMEOUT)
    };
    class
        .targets
        .whole_answer
        .map_or(DEFAULT_RESPONSE_TIMEOUT, bound)
}

fn deadline(request: &Request, now: Millis) -> Millis {
    let header = request.header(TIMEOUT).map(|values| values.as_str());
    let span = header.and_then(|text| text.parse().ok()).map(Millis);
    span.map_or(Millis::MAX, |span| now + span)
}

fn outgoing(request: &Request, body: Vec<u8>) -> Result<OutgoingRequest, Refusal> {
    let target = RequestTarget::of(request).cloned();
    let target =
        target.ok_or_else(|| Refusal::not_run(Reason::BadRequest, "the request has no target"))?;
    let mut headers = target.request(request.method());
    relay_headers(request.as_ref(), headers.as_mut());
    for name in STRIPPED_HEADERS {
        headers.remove_header(name);
    }
    let headers: &Headers = headers.as_ref();
    Ok(OutgoingRequest {
        method: request.method(),
        target,
        headers: headers.clone(),
        body,
    })
}
