//! Request handling and scheduling of the engine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::task;
use crocushold_base::Clock;
use futures::FutureExt;
use futures::future;
use futures::future::BoxFuture;
use futures::future::Either;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use super::answer::ActiveRequest;
use super::batch::JobId;
use super::command::EngineCommand;
use super::command::EngineSettings;
use super::core::EngineState;
use super::core::Order;
use super::request::CompletionKind;
use super::request::CompletionRequest;
use super::send;
use super::stats::EngineStats;
use super::text::ResponseText;
use crate::gate::Gate;
use crate::handle::Handle;
use crate::handle::Standin;
use crate::port;
use crate::port::Call;
use crate::port::PortAction;
use crate::reply;

/// Maximum delay that the batch catches up on; steps lost to longer delays aren't made up for.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// A model engine; see [`Engine::start`].
pub struct Engine {
    clock: Clock,
    gate: Gate,
    state: Mutex<EngineState>,
    work_tx: Sender<()>,
    work_rx: Receiver<()>,
    speed_change_tx: Sender<()>,
    speed_change_rx: Receiver<()>,
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
}

/// The reason why a completion isn't run.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    status: StatusCode,
    kind: &'static str,
}

impl Refusal {
    fn new(status: StatusCode, kind: &'static str) -> Refusal {
        Refusal { status, kind }
    }
}

impl Engine {
    /// Starts an engine on `addr` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(addr: SocketAddr, settings: EngineSettings) -> io::Result<Handle<Engine>> {
        let (work_tx, work_rx) = channel::bounded(1);
        let (speed_change_tx, speed_change_rx) = channel::bounded(1);
        let engine = Engine {
            clock: Clock::start(),
            gate: Gate::default(),
            state: Mutex::new(EngineState::new(settings)),
            work_tx,
            work_rx,
            speed_change_tx,
            speed_change_rx,
        };
        Handle::start(engine, addr).await
    }

    /// Returns how often requests with this marker ran.
    pub fn runs(&self, marker: &str) -> u64 {
        port::lock(&self.state).counters.runs(marker)
    }

    pub(super) fn record_complete(&self, tokens: u32) {
        port::lock(&self.state).counters.record_completion(tokens);
    }

    pub(super) fn record_failed(&self, id: JobId, tokens: u32) {
        let mut state = port::lock(&self.state);
        state.counters.record_failure(tokens);
        state.remove(id, self.clock.now());
    }

    pub(super) fn record_cancelled(&self, id: JobId, marker: &str, tokens: u32) {
        let mut state = port::lock(&self.state);
        state.counters.record_cancellation(marker, tokens);
        state.remove(id, self.clock.now());
    }

    async fn dispatch(self: Arc<Self>, call: Call) -> http_types::Result<Response> {
        if !self.gate.wait_open_for(&call.conn).await {
            return Err(port::connection_aborted().into());
        }
        let path = call.request.url().path().to_owned();
        match (call.request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                self.respond_to_completion(CompletionKind::Chat, call).await
            }
            (Method::Post, "/v1/completions") => {
                self.respond_to_completion(CompletionKind::Text, call).await
            }
            (Method::Get, "/v1/models") => Ok(self.models()),
            (Method::Get, "/load") => Ok(self.load()),
            (Method::Get, "/cache-events") => Ok(self.events(&call)),
            (Method::Post, "/orders") => Ok(self.order(&call)),
            _ => Ok(reply::error(StatusCode::NotFound, "not_found")),
        }
    }

    fn models(&self) -> Response {
        let models = port::lock(&self.state).models(self.clock.now());
        let entry = |id| ModelEntry {
            id,
            object: "model",
        };
        let list = ModelList {
            object: "list",
            data: models.into_iter().map(entry).collect(),
        };
        reply::json(StatusCode::Ok, &list)
    }

    fn load(&self) -> Response {
        let report = port::lock(&self.state).load(self.clock.now());
        reply::json(StatusCode::Ok, &report)
    }

    fn events(&self, call: &Call) -> Response {
        let Ok(EventQuery { after }) = call.request.query() else {
            return reply::error(StatusCode::BadRequest, "bad_query");
        };
        let page = port::lock(&self.state).events(after, self.clock.now());
        reply::json(StatusCode::Ok, &page)
    }

    fn order(&self, call: &Call) -> Response {
        let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
            return reply::error(StatusCode::BadRequest, "bad_order");
        };
        match port::lock(&self.state).order(order, self.clock.now()) {
            Ok(fence) => reply::json(StatusCode::Ok, &fence),
            Err(fence) => reply::json(StatusCode::Conflict, &fence),
        }
    }

    async fn respond_to_completion(
        self: Arc<Self>,
        kind: CompletionKind,
        call: Call,
    ) -> http_types::Result<Response> {
        let request = match CompletionRequest::read(kind, &call) {
            Ok(request) => request,
            Err(status) => return Ok(self.refuse(Refusal::new(status, "bad_request"))),
        };
        let run = match self.admit(&request) {
            Ok(run) => run,
            Err(refusal) => return Ok(self.refuse(refusal)),
        };
        let text = ResponseText::new(&request, &run.admitted);
        if request.stream {
            send::stream_answer(run, text, call.conn).await
        } else {
            send::whole_answer(run, text, call.conn).await
        }
    }

    fn admit(self: &Arc<Self>, request: &CompletionRequest) -> Result<ActiveRequest, Refusal> {
        let now = self.clock.now();
        let admitted = {
            let mut state = port::lock(&self.state);
            if state.faults.unavailable {
                return Err(Refusal::new(StatusCode::ServiceUnavailable, "unavailable"));
            }
            if !state.has_model(&request.model, now) {
                return Err(Refusal::new(StatusCode::NotFound, "model_not_found"));
            }
            state.admit(request, now)
        };
        let _ = self.work_tx.try_send(());
        Ok(ActiveRequest::new(
            Arc::clone(self),
            admitted,
            request.marker.clone(),
        ))
    }

    fn refuse(&self, refusal: Refusal) -> Response {
        port::lock(&self.state).counters.stats.refused += 1;
        reply::error(refusal.status, refusal.kind)
    }

    /// Runs the steps of the batch, forever.
    async fn run_batch(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            self.gate.wait_open().await;
            let begun = port::lock(&self.state).begin_step(self.clock.now());
            let Some(step) = begun else {
                let _ = self.work_rx.recv().await;
                due = Instant::now();
                continue;
            };
            let Some(ended) = self.wait_step_end(due + step).await else {
                due = Instant::now();
                continue;
            };
            due = ended;
            self.gate.wait_open().await;
            let advanced = port::lock(&self.state).end_step(step, self.clock.now());
            for progress in advanced {
                progress.wake();
            }
        }
    }

    /// Waits for the end of a step. Returns the start time of the next step, or `None` if the speed
    /// changed meanwhile and the step must begin again.
    ///
    /// A step that began at a thousandth of the speed takes a hundred seconds. If it continued
    /// after the speed was restored, the engine would hang because of a test that is over.
    async fn wait_step_end(&self, due: Instant) -> Option<Instant> {
        let ended = sleep_until(due).boxed();
        let speed_changed = self.speed_change_rx.recv().boxed();
        match future::select(ended, speed_changed).await {
            Either::Left((ended, _)) => Some(ended),
            Either::Right(_) => None,
        }
    }
}

impl Standin for Engine {
    type Command = EngineCommand;
    type Stats = EngineStats;

    fn respond(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>> {
        self.dispatch(call).boxed()
    }

    fn command(&self, command: EngineCommand) -> PortAction {
        match command {
            EngineCommand::Hang { on } => self.gate.set_closed(on),
            EngineCommand::Clear => self.gate.set_closed(false),
            _ => {}
        }
        let changes_speed = command.changes_speed();
        let action = port::lock(&self.state).command(command);
        if changes_speed {
            // If the channel is full, a notification is already pending.
            let _ = self.speed_change_tx.try_send(());
        }
        action
    }

    fn stats(&self) -> EngineStats {
        let state = port::lock(&self.state);
        let (running, waiting) = state.occupancy();
        EngineStats {
            running: running as u64,
            waiting: waiting as u64,
            ..state.counters.stats.clone()
        }
    }

    fn runs_by_marker(&self) -> HashMap<String, u64> {
        port::lock(&self.state).counters.runs_by_marker()
    }

    fn background(self: Arc<Self>) -> BoxFuture<'static, ()> {
        self.run_batch().boxed()
    }
}

/// Sleeps until the end of a step. Returns the start time of the next step.
async fn sleep_until(due: Instant) -> Instant {
    let now = Instant::now();
    if let Some(left) = due.checked_duration_since(now) {
        task::sleep(left).await;
        return due;
    }
    task::yield_now().await;
    due.max(now.checked_sub(MAX_BACKLOG).unwrap_or(now))
}
