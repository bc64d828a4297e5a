//! Open-loop load generator: sends each request when it is due, independent of earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use crocushold_standins::LengthDistribution;
use crocushold_standins::load;
use crocushold_standins::load::Exchange;
use crocushold_standins::load::GiveUp;
use crocushold_standins::load::Header;
use crocushold_standins::load::LoadClass;
use crocushold_standins::load::RequestOutcome;

use crate::arrivals::Arrival;
use crate::scenario::MODEL;
use crate::scenario::RequestKind;
use crate::scenario::Scenario;

/// Field in the body of a refusal which states that the request wasn't run.
const NOT_RUN_FIELD: &str = "\"ran\":\"no\"";

/// Addresses that requests are sent to, round robin.
#[derive(Clone, Debug)]
pub(crate) struct Endpoints {
    /// Targets of model requests.
    pub(crate) model: Vec<SocketAddr>,
    /// Targets of calls to the plain service.
    pub(crate) plain: Vec<SocketAddr>,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Index of its class.
    pub(crate) class: usize,
    /// Unique marker, by which the stand-ins count executions.
    pub(crate) marker: String,
    /// Due time in seconds from the start.
    pub(crate) due: f64,
    /// Seconds between the due time and sending: the load generator's own delay.
    pub(crate) send_delay: f64,
    /// How it ended; [`RequestOutcome::GaveUp`] when the run ended first.
    pub(crate) ending: RequestOutcome,
    /// Whether it was refused with a `Retry-After` header.
    pub(crate) has_retry_after: bool,
    /// Whether the refusal states that the request wasn't run.
    pub(crate) reported_not_run: bool,
    /// Seconds from the due time to the first token, or to the response head without streaming.
    pub(crate) first_token: Option<f64>,
    /// Gaps between tokens in microseconds.
    pub(crate) gaps: Vec<u32>,
    /// Seconds from the due time to the end.
    pub(crate) duration: f64,
    /// Number of tokens received.
    pub(crate) tokens: u64,
}

/// Sends all requests, and cancels those still open `end` seconds after `start`.
pub(crate) async fn send_all(
    scenario: &Arc<Scenario>,
    arrivals: &[Arrival],
    endpoints: &Endpoints,
    start: Instant,
    end: f64,
) -> Vec<RequestRecord> {
    let mut tasks = Vec::new();
    for (number, &arrival) in arrivals.iter().enumerate() {
        let due = start + Duration::from_secs_f64(arrival.due);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let class = &scenario.classes[arrival.class];
        let targets = match class.request_kind {
            RequestKind::Model { .. } => &endpoints.model,
            RequestKind::Plain { .. } => &endpoints.plain,
        };
        let endpoint = targets[number % targets.len()];
        let scenario = Arc::clone(scenario);
        tasks.push(task::spawn(async move {
            send(&scenario, number, arrival, endpoint, start, end).await
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.push(task.await);
    }
    all
}

async fn send(
    scenario: &Scenario,
    number: usize,
    arrival: Arrival,
    endpoint: SocketAddr,
    start: Instant,
    end: f64,
) -> RequestRecord {
    let marker = format!("{}.{number}", scenario.classes[arrival.class].name);
    let send_delay = start.elapsed().as_secs_f64() - arrival.due;
    let left = (end - start.elapsed().as_secs_f64()).max(0.0);
    let class = load_class(scenario, arrival, left);
    let exchange = load::send_one(endpoint, &class, &marker).await;
    record(arrival, marker, send_delay, exchange)
}

fn record(arrival: Arrival, marker: String, send_delay: f64, exchange: Exchange) -> RequestRecord {
    let refused = exchange.outcome == RequestOutcome::Refused;
    let body = String::from_utf8_lossy(exchange.response.body());
    RequestRecord {
        class: arrival.class,
        marker,
        due: arrival.due,
        send_delay,
        ending: exchange.outcome,
        has_retry_after: refused && exchange.response.header("retry-after").is_some(),
        reported_not_run: refused && body.contains(NOT_RUN_FIELD),
        first_token: exchange
            .first_token
            .map(|first_token| first_token.as_secs_f64() + send_delay),
        gaps: exchange.token_gaps,
        duration: exchange.duration.as_secs_f64() + send_delay,
        tokens: exchange.response.tokens(),
    }
}

fn load_class(scenario: &Scenario, arrival: Arrival, left: f64) -> LoadClass {
    let class = &scenario.classes[arrival.class];
    let (prompt_bytes, stream, path) = match class.request_kind {
        RequestKind::Model {
            prompt_bytes,
            stream,
            ..
        } => (prompt_bytes, stream, "/"),
        RequestKind::Plain { path, .. } => (40, false, path),
    };
    let header = Header {
        name: "x-class".to_owned(),
        value: class.name.to_owned(),
    };
    LoadClass {
        // The prompt prefix is derived from this name.
        name: format!("{}-{}", class.name, arrival.prefix),
        key: class.api_key(scenario.team),
        headers: if path == "/" {
            vec![header]
        } else {
            Vec::new()
        },
        kind: class.form(),
        path: path.to_owned(),
        model: MODEL.to_owned(),
        prompt: LengthDistribution::fixed(prompt_bytes),
        prefixes: 1,
        output: LengthDistribution::fixed(arrival.tokens.max(1)),
        stream,
        targets: class.targets,
        timeout_ms: class.timeout_ms,
        give_up: Some(GiveUp {
            share: 1.0,
            after_ms: (left * 1000.0) as u64,
        }),
        ..LoadClass::default()
    }
}
