//! From a caller's request to a job: who sends it, what it asks for, which class it is.

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
use crocushold_http::ServerLimits;
use crocushold_http::read_body;
use crocushold_http::relay_headers;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::RequestDigest;
use crocushold_routing::Fingerprint;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use http_types::headers::Headers;
use twox_hash::XxHash3_64;

use crate::memory::footprint;
use crate::payload::Payload;
use crate::payload::PayloadError;
use crate::payload::set_priority;
use crate::pool::Need;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::world::World;

/// The caller's credential.
const AUTHORIZATION: &str = "authorization";

/// The class that the caller asks for; lower than its own, never higher.
const CLASS: &str = "x-class";

/// How the caller bounds its own wait, in milliseconds.
const TIMEOUT: &str = "x-timeout-ms";

/// Marks a request as one that runs at most once, and names it.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 255;

/// How long a server may take to begin an answer that isn't streamed, where its class has no target
/// for the whole of it.
const ANSWER_TIMEOUT: Millis = Millis::from_secs(600);

/// The same as a multiple of that target: the head of such an answer comes with the end of the work.
const ANSWER_FACTOR: u64 = 4;

/// The least such bound. A late confirmation is worth more than not to know whether it was made.
const ANSWER_FLOOR: Millis = Millis::from_secs(10);

/// When to come back while requests fill the memory.
const FULL_RETRY: Millis = Millis::from_secs(1);

/// Headers that are the router's own business and don't reach a backend server.
const PRIVATE: [&str; 3] = [AUTHORIZATION, CLASS, TIMEOUT];

/// Tokens that a plain call counts as.
const PLAIN_TOKENS: u32 = 1;

/// A request that is ready to be queued and, later, to be sent more than once.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) resolved: Resolved,
    pub(crate) arrival: Arrival,
    pub(crate) need: Need,
    /// Whether the answer is a stream of server-sent events.
    pub(crate) stream: bool,
    /// The idempotency key, for a request that must not run twice.
    pub(crate) once: Option<Once>,
    /// What is asked, for whom: a request that comes again has the same.
    pub(crate) content: Fingerprint,
    /// How long a server may take to begin an answer that isn't a stream.
    pub(crate) answer_timeout: Millis,
    outgoing: Outgoing,
    /// Held until the request has ended, for its drop alone.
    _reservation: Option<Arc<Reservation>>,
}

/// Names a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Once {
    pub(crate) key: ClaimKey,
    pub(crate) digest: RequestDigest,
    pub(crate) account: AccountId,
}

/// What goes to the backend server.
#[derive(Clone, Debug)]
struct Outgoing {
    method: Method,
    target: String,
    headers: Headers,
    body: Vec<u8>,
}

impl Outgoing {
    /// A hash of what is asked for, which tells a repeat from another request under the same key.
    fn digest(&self) -> RequestDigest {
        let mut hasher = XxHash3_64::new();
        hasher.write(self.method.to_string().as_bytes());
        hasher.write(b" ");
        hasher.write(self.target.as_bytes());
        hasher.write(b"\n");
        hasher.write(&self.body);
        RequestDigest(hasher.finish())
    }

    fn content(&self, account: &str) -> Fingerprint {
        Fingerprint::of(&[
            self.method.as_ref().as_bytes(),
            self.target.as_bytes(),
            account.as_bytes(),
            &self.body,
        ])
    }
}

impl Job {
    /// Makes the request for the server at `address`.
    pub(crate) fn request(&self, address: std::net::SocketAddr) -> Request {
        let text = format!("http://{address}{}", self.outgoing.target);
        let url = Url::parse(&text).expect("an address and the path of a parsed URL make a URL");
        let mut request = Request::new(self.outgoing.method, url);
        relay_headers(&self.outgoing.headers, request.as_mut());
        request.set_body(self.outgoing.body.clone());
        request
    }
}

/// Whether a path belongs to the interface of language-model servers.
pub(crate) fn is_model_call(method: Method, path: &str) -> bool {
    let paths = ["/v1/chat/completions", "/v1/completions"];
    method == Method::Post && paths.contains(&path)
}

/// Reads the key of a request.
pub(crate) fn key_of(request: &Request) -> Result<&str, Refusal> {
    let header = request.header(AUTHORIZATION).map(|values| values.as_str());
    let key = header.and_then(|text| text.strip_prefix("Bearer "));
    key.ok_or_else(|| {
        let text = "send a key in the header \"authorization: Bearer KEY\"";
        Refusal::not_run(Reason::Unauthorized, text)
    })
}

/// What a request is decoded and classified with.
pub(crate) struct Intake<'a> {
    pub(crate) world: &'a World,
    /// Whose key the request bears.
    pub(crate) account: AccountKey,
    pub(crate) memory: &'a MemoryBudget,
    pub(crate) limits: &'a CallerLimits,
    pub(crate) arrived: Millis,
}

impl Intake<'_> {
    /// Decodes and classifies a request.
    ///
    /// # Errors
    ///
    /// The refusal of a request that is malformed or not allowed.
    pub(crate) async fn read(&self, request: &mut Request) -> Result<Job, Refusal> {
        let reservation = self.reserve(request)?;
        let limits = ServerLimits {
            body_bytes: self.limits.body_bytes,
            body_timeout: self.limits.body_timeout,
            ..ServerLimits::default()
        };
        let body = read_body(request, &limits).await;
        let body = body.map_err(|error| refuse_body(&error))?;
        let job = if is_model_call(request.method(), request.url().path()) {
            self.model_job(request, &body)
        } else {
            self.plain_job(request, body)
        };
        let job = job?;
        let account = &self.world.catalog.accounts[job.resolved.account].name;
        Ok(Job {
            once: self.once(request, &job)?,
            content: job.outgoing.content(account),
            _reservation: Some(Arc::new(reservation)),
            ..job
        })
    }

    fn model_job(&self, request: &Request, body: &[u8]) -> Result<Job, Refusal> {
        let payload = Payload::decode(body).map_err(|error| malformed(&error))?;
        let resolved = self.resolve(request, Target::Model(&payload.model))?;
        let class = &self.world.catalog.classes[resolved.class];
        let body = set_priority(body, class.priority.tier()).map_err(|error| malformed(&error))?;
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
            need: need(&resolved, class, payload.prefix, payload.prompt_tokens),
            stream: payload.stream,
            answer_timeout: answer_timeout(class),
            outgoing: outgoing(request, body),
            once: None,
            content: Fingerprint::of(&[]),
            _reservation: None,
        })
    }

    fn plain_job(&self, request: &Request, body: Vec<u8>) -> Result<Job, Refusal> {
        let method = request.method().to_string();
        let target = Target::Path {
            method: &method,
            path: request.url().path(),
        };
        let resolved = self.resolve(request, target)?;
        let class = &self.world.catalog.classes[resolved.class];
        Ok(Job {
            resolved,
            arrival: Arrival {
                class: resolved.class,
                account: resolved.account,
                max_tokens: PLAIN_TOKENS,
                bytes: u32::try_from(body.len()).unwrap_or(u32::MAX),
                deadline: deadline(request, self.arrived),
                ..Arrival::default()
            },
            need: need(&resolved, class, None, 0),
            stream: false,
            answer_timeout: answer_timeout(class),
            outgoing: outgoing(request, body),
            once: None,
            content: Fingerprint::of(&[]),
            _reservation: None,
        })
    }

    fn resolve(&self, request: &Request, target: Target<'_>) -> Result<Resolved, Refusal> {
        let wanted = request.header(CLASS).map(|values| values.as_str());
        let resolved = resolve_account(&self.world.catalog, self.account, target, wanted);
        resolved.map_err(Refusal::from_config)
    }

    /// The idempotency key of a request that must not run twice. A repeat of an idempotent one does
    /// no harm, so that its key needs no claim.
    fn once(&self, request: &Request, job: &Job) -> Result<Option<Once>, Refusal> {
        let Some(header) = request.header(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        if job.resolved.idempotent {
            return Ok(None);
        }
        let key = header.as_str();
        if key.is_empty() || key.len() > MAX_KEY {
            let text = format!("an idempotency key has 1 to {MAX_KEY} bytes");
            return Err(Refusal::not_run(Reason::BadRequest, text));
        }
        let account = &self.world.catalog.accounts[job.resolved.account].name;
        Ok(Some(Once {
            key: ClaimKey::new(account, key),
            digest: job.outgoing.digest(),
            account: AccountId::from_name(account),
        }))
    }

    /// Reserves memory for the head and the body: its announced length, or the bound when it has none.
    fn reserve(&self, request: &Request) -> Result<Reservation, Refusal> {
        let announced = request
            .len()
            .map_or(self.limits.body_bytes, |len| len as u64);
        let bytes = footprint(request, announced.min(self.limits.body_bytes));
        self.memory.reserve(bytes).ok_or_else(|| {
            let text = "the instance has no memory left for the request";
            Refusal::not_run(Reason::Overloaded, text).retry_after(FULL_RETRY)
        })
    }
}

fn refuse_body(error: &BodyError) -> Refusal {
    let reason = match error.status() {
        StatusCode::PayloadTooLarge => Reason::BodyTooLarge,
        _ => Reason::BadRequest,
    };
    Refusal::not_run(reason, error.to_string())
}

fn malformed(error: &PayloadError) -> Refusal {
    Refusal::not_run(Reason::BadRequest, error.to_string())
}

fn need(resolved: &Resolved, class: &Class, prefix: Option<u64>, tokens: u32) -> Need {
    Need {
        model: resolved.model,
        prefix,
        tier: class.priority.index() as u8,
        idempotent: resolved.idempotent,
        tokens,
    }
}

fn answer_timeout(class: &Class) -> Millis {
    let bound = |target: Millis| Millis(target.0.saturating_mul(ANSWER_FACTOR)).max(ANSWER_FLOOR);
    class.targets.whole_answer.map_or(ANSWER_TIMEOUT, bound)
}

fn deadline(request: &Request, now: Millis) -> Millis {
    let header = request.header(TIMEOUT).map(|values| values.as_str());
    let span = header.and_then(|text| text.parse().ok()).map(Millis);
    span.map_or(Millis::MAX, |span| now + span)
}

fn outgoing(request: &Request, body: Vec<u8>) -> Outgoing {
    let mut headers = Request::new(Method::Get, request.url().clone());
    relay_headers(request.as_ref(), headers.as_mut());
    for name in PRIVATE {
        headers.remove_header(name);
    }
    let url = request.url();
    let query = url.query().map(|query| format!("?{query}"));
    let headers: &Headers = headers.as_ref();
    Outgoing {
        method: request.method(),
        target: format!("{}{}", url.path(), query.unwrap_or_default()),
        headers: headers.clone(),
        body,
    }
}
