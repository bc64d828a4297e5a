//! Sending a plan's requests when they are due, whatever became of the earlier ones.

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
use crate::shape::MODEL;
use crate::shape::Shape;
use crate::shape::Work;

/// Text in a refusal that states that the request wasn't run.
const NOT_RUN: &str = "\"ran\":\"no\"";

/// Where requests go.
#[derive(Clone, Debug)]
pub(crate) struct Entries {
    /// For models, in turn.
    pub(crate) model: Vec<SocketAddr>,
    /// For plain calls, in turn.
    pub(crate) plain: Vec<SocketAddr>,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// Its class, as an index.
    pub(crate) class: usize,
    /// Its marker.
    pub(crate) marker: String,
    /// When it was due, in seconds.
    pub(crate) due: f64,
    /// How much later it was sent, in seconds: the generator's own delay.
    pub(crate) late: f64,
    /// How it ended; [`RequestOutcome::GaveUp`] when the run ended first.
    pub(crate) ending: RequestOutcome,
    /// Whether a refusal says when to come back.
    pub(crate) hinted: bool,
    /// Whether a refusal states that the request wasn't run.
    pub(crate) unrun: bool,
    /// Seconds from due until the first token, or the head of an answer that isn't streamed.
    pub(crate) first: Option<f64>,
    /// Gaps between tokens in microseconds.
    pub(crate) gaps: Vec<u32>,
    /// Seconds from due until the end.
    pub(crate) whole: f64,
    /// Tokens that came.
    pub(crate) tokens: u64,
}

/// Sends all, and cuts off what is open at `end` seconds.
pub(crate) async fn drive(
    shape: &Arc<Shape>,
    plan: &[Arrival],
    entries: &Entries,
    start: Instant,
    end: f64,
) -> Vec<Sent> {
    let mut tasks = Vec::new();
    for (number, &arrival) in plan.iter().enumerate() {
        let due = start + Duration::from_secs_f64(arrival.at);
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let class = &shape.classes[arrival.class];
        let targets = match class.work {
            Work::Model { .. } => &entries.model,
            Work::Plain { .. } => &entries.plain,
        };
        let entry = targets[number % targets.len()];
        let shape = Arc::clone(shape);
        tasks.push(task::spawn(async move {
            send(&shape, number, arrival, entry, start, end).await
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.push(task.await);
    }
    all
}

async fn send(
    shape: &Shape,
    number: usize,
    arrival: Arrival,
    entry: SocketAddr,
    start: Instant,
    end: f64,
) -> Sent {
    let marker = format!("{}.{number}", shape.classes[arrival.class].name);
    let late = start.elapsed().as_secs_f64() - arrival.at;
    let left = (end - start.elapsed().as_secs_f64()).max(0.0);
    let class = load_class(shape, arrival, left);
    let exchange = load::send_one(entry, &class, &marker).await;
    sent(arrival, marker, late, exchange)
}

fn sent(arrival: Arrival, marker: String, late: f64, exchange: Exchange) -> Sent {
    let refused = exchange.outcome == RequestOutcome::Refused;
    let body = String::from_utf8_lossy(exchange.response.body());
    Sent {
        class: arrival.class,
        marker,
        due: arrival.at,
        late,
        ending: exchange.outcome,
        hinted: refused && exchange.response.header("retry-after").is_some(),
        unrun: refused && body.contains(NOT_RUN),
        first: exchange.first_token.map(|first| first.as_secs_f64() + late),
        gaps: exchange.token_gaps,
        whole: exchange.duration.as_secs_f64() + late,
        tokens: exchange.response.tokens(),
    }
}

fn load_class(shape: &Shape, arrival: Arrival, left: f64) -> LoadClass {
    let class = &shape.classes[arrival.class];
    let (prompt, stream, path) = match class.work {
        Work::Model { prompt, stream, .. } => (prompt, stream, "/"),
        Work::Plain { path, .. } => (40, false, path),
    };
    let header = Header {
        name: "x-class".to_owned(),
        value: class.name.to_owned(),
    };
    LoadClass {
        // The prompt's prefix is made from this name.
        name: format!("{}-{}", class.name, arrival.prefix),
        key: class.key(shape.team),
        headers: if path == "/" {
            vec![header]
        } else {
            Vec::new()
        },
        kind: class.form(),
        path: path.to_owned(),
        model: MODEL.to_owned(),
        prompt: LengthDistribution::fixed(prompt),
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
