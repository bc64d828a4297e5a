//! The engine's calls and its clock.

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

use super::answer::Run;
use super::batch::JobId;
use super::command::EngineCommand;
use super::command::EngineSettings;
use super::core::Core;
use super::core::Order;
use super::request::Completion;
use super::request::Form;
use super::send;
use super::stats::EngineStats;
use super::text::Texts;
use crate::gate::Gate;
use crate::handle::Handle;
use crate::handle::Standin;
use crate::port;
use crate::port::Call;
use crate::port::Effect;
use crate::reply;

/// A clock that is later than this doesn't make up for the lost steps.
const MAX_BACKLOG: Duration = Duration::from_millis(100);

/// A model engine's stand-in; see [`Engine::start`].
pub struct Engine {
    clock: Clock,
    gate: Gate,
    core: Mutex<Core>,
    work: Sender<()>,
    worked: Receiver<()>,
    retime: Sender<()>,
    retimed: Receiver<()>,
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

/// Why a completion isn't run.
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
    /// Starts an engine on `addr` (port 0: any free one).
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(addr: SocketAddr, settings: EngineSettings) -> io::Result<Handle<Engine>> {
        let (work, worked) = channel::bounded(1);
        let (retime, retimed) = channel::bounded(1);
        let engine = Engine {
            clock: Clock::start(),
            gate: Gate::default(),
            core: Mutex::new(Core::new(settings)),
            work,
            worked,
            retime,
            retimed,
        };
        Handle::start(engine, addr).await
    }

    /// How often a request with this marker ran.
    pub fn runs(&self, marker: &str) -> u64 {
        port::lock(&self.core).tally.runs(marker)
    }

    pub(super) fn settle_complete(&self, tokens: u32) {
        port::lock(&self.core).tally.completed(tokens);
    }

    pub(super) fn settle_failed(&self, id: JobId, tokens: u32) {
        let mut core = port::lock(&self.core);
        core.tally.failed(tokens);
        core.remove(id, self.clock.now());
    }

    pub(super) fn settle_cancelled(&self, id: JobId, marker: &str, tokens: u32) {
        let mut core = port::lock(&self.core);
        core.tally.cancelled(marker, tokens);
        core.remove(id, self.clock.now());
    }

    async fn dispatch(self: Arc<Self>, call: Call) -> http_types::Result<Response> {
        if !self.gate.pass_for(&call.conn).await {
            return Err(port::aborted().into());
        }
        let path = call.request.url().path().to_owned();
        match (call.request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.complete(Form::Chat, call).await,
            (Method::Post, "/v1/completions") => self.complete(Form::Text, call).await,
            (Method::Get, "/v1/models") => Ok(self.models()),
            (Method::Get, "/load") => Ok(self.load()),
            (Method::Get, "/cache-events") => Ok(self.events(&call)),
            (Method::Post, "/orders") => Ok(self.order(&call)),
            _ => Ok(reply::error(StatusCode::NotFound, "not_found")),
        }
    }

    fn models(&self) -> Response {
        let models = port::lock(&self.core).models(self.clock.now());
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
        let report = port::lock(&self.core).load(self.clock.now());
        reply::json(StatusCode::Ok, &report)
    }

    fn events(&self, call: &Call) -> Response {
        let Ok(EventQuery { after }) = call.request.query() else {
            return reply::error(StatusCode::BadRequest, "bad_query");
        };
        let page = port::lock(&self.core).events(after, self.clock.now());
        reply::json(StatusCode::Ok, &page)
    }

    fn order(&self, call: &Call) -> Response {
        let Ok(order) = serde_json::from_slice::<Order>(&call.body) else {
            return reply::error(StatusCode::BadRequest, "bad_order");
        };
        match port::lock(&self.core).order(order, self.clock.now()) {
            Ok(fence) => reply::json(StatusCode::Ok, &fence),
            Err(fence) => reply::json(StatusCode::Conflict, &fence),
        }
    }

    async fn complete(self: Arc<Self>, form: Form, call: Call) -> http_types::Result<Response> {
        let request = match Completion::read(form, &call) {
            Ok(request) => request,
            Err(status) => return Ok(self.refuse(Refusal::new(status, "bad_request"))),
        };
        let run = match self.begin(&request) {
            Ok(run) => run,
            Err(refusal) => return Ok(self.refuse(refusal)),
        };
        let texts = Texts::new(&request, &run.started);
        if request.stream {
            send::stream_answer(run, texts, call.conn).await
        } else {
            send::whole_answer(run, texts, call.conn).await
        }
    }

    fn begin(self: &Arc<Self>, request: &Completion) -> Result<Run, Refusal> {
        let now = self.clock.now();
        let started = {
            let mut core = port::lock(&self.core);
            if core.faults.unavailable {
                return Err(Refusal::new(StatusCode::ServiceUnavailable, "unavailable"));
            }
            if !core.has_model(&request.model, now) {
                return Err(Refusal::new(StatusCode::NotFound, "model_not_found"));
            }
            core.start(request, now)
        };
        let _ = self.work.try_send(());
        Ok(Run::new(Arc::clone(self), started, request.marker.clone()))
    }

    fn refuse(&self, refusal: Refusal) -> Response {
        port::lock(&self.core).tally.counts.refused += 1;
        reply::error(refusal.status, refusal.kind)
    }

    /// Steps the batch for as long as the engine lives.
    async fn drive(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            self.gate.pass().await;
            let begun = port::lock(&self.core).begin_step(self.clock.now());
            let Some(step) = begun else {
                let _ = self.worked.recv().await;
                due = Instant::now();
                continue;
            };
            let Some(ended) = self.wait_step(due + step).await else {
                due = Instant::now();
                continue;
            };
            due = ended;
            self.gate.pass().await;
            let woken = port::lock(&self.core).end_step(step, self.clock.now());
            for progress in woken {
                progress.wake();
            }
        }
    }

    /// Waits for a step's end; the moment from which the next step counts, or none when the speed
    /// changed meanwhile.
    ///
    /// A step that was begun at a thousandth of the speed lasts a hundred seconds. If it went on after
    /// the speed was put back, the engine would hang for a test that is over.
    async fn wait_step(&self, due: Instant) -> Option<Instant> {
        let ended = wait_until(due).boxed();
        let retimed = self.retimed.recv().boxed();
        match future::select(ended, retimed).await {
            Either::Left((ended, _)) => Some(ended),
            Either::Right(_) => None,
        }
    }
}

impl Standin for Engine {
    type Command = EngineCommand;
    type Stats = EngineStats;

    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>> {
        self.dispatch(call).boxed()
    }

    fn command(&self, command: EngineCommand) -> Effect {
        match command {
            EngineCommand::Hang { on } => self.gate.set_shut(on),
            EngineCommand::Clear => self.gate.set_shut(false),
            _ => {}
        }
        let retimes = command.changes_speed();
        let effect = port::lock(&self.core).command(command);
        if retimes {
            // A full channel holds a notice already.
            let _ = self.retime.try_send(());
        }
        effect
    }

    fn stats(&self) -> EngineStats {
        let core = port::lock(&self.core);
        let (running, waiting) = core.occupancy();
        EngineStats {
            running: running as u64,
            waiting: waiting as u64,
            ..core.tally.counts.clone()
        }
    }

    fn all_runs(&self) -> HashMap<String, u64> {
        port::lock(&self.core).tally.all_runs()
    }

    fn background(self: Arc<Self>) -> BoxFuture<'static, ()> {
        self.drive().boxed()
    }
}

/// Waits for a step's end; the moment from which the next step counts.
async fn wait_until(due: Instant) -> Instant {
    let now = Instant::now();
    if let Some(left) = due.checked_duration_since(now) {
        task::sleep(left).await;
        return due;
    }
    task::yield_now().await;
    due.max(now.checked_sub(MAX_BACKLOG).unwrap_or(now))
}
