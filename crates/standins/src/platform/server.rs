//! Request handling of the platform.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::future;
use crocushold_base::Clock;
use crocushold_base::Millis;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::BoxFuture;
use futures::future::Either;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use http_types::mime;
use serde::Deserialize;

use super::budget::ReadBudget;
use super::command::PlatformCommand;
use super::command::PlatformSettings;
use super::command::PlatformStats;
use super::config::ConfigHistory;
use super::instances::DelayedInstanceList;
use crate::gate::Gate;
use crate::handle::Handle;
use crate::handle::Standin;
use crate::port;
use crate::port::Call;
use crate::port::PortAction;
use crate::reply;

const CONFIG_PATH: &str = "/v1/config";
const WATCH_PATH: &str = "/v1/config/watch";
const PARTS_PATH: &str = "/v1/config/parts/";
const INSTANCES_PATH: &str = "/v1/instances";

/// Maximum wait of a watch, regardless of the requested wait.
const MAX_WATCH_WAIT: Millis = Millis::from_secs(120);

/// The platform; see [`Platform::start`].
pub struct Platform {
    clock: Clock,
    gate: Gate,
    state: Mutex<State>,
}

struct State {
    config: ConfigHistory,
    instances: DelayedInstanceList,
    budget: ReadBudget,
    stats: PlatformStats,
    watchers: Vec<oneshot::Sender<()>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Platform {
    /// Starts a platform on `addr` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        addr: SocketAddr,
        settings: PlatformSettings,
    ) -> io::Result<Handle<Platform>> {
        let mut config = ConfigHistory::new();
        for (team, text) in settings.parts {
            config.publish(&team, Some(text));
        }
        let state = State {
            config,
            instances: DelayedInstanceList::new(settings.instances),
            budget: ReadBudget::new(settings.read_budget),
            stats: PlatformStats::default(),
            watchers: Vec::new(),
        };
        let platform = Platform {
            clock: Clock::start(),
            gate: Gate::default(),
            state: Mutex::new(state),
        };
        Handle::start(platform, addr).await
    }

    async fn dispatch(self: Arc<Self>, call: Call) -> http_types::Result<Response> {
        let conn = call.conn.clone();
        if !self.gate.wait_open_for(&conn).await {
            return Err(port::connection_aborted().into());
        }
        let answer = self.route(call).await;
        // Checked again, since a watch that started before the freeze must not respond either.
        if !self.gate.wait_open_for(&conn).await {
            return Err(port::connection_aborted().into());
        }
        answer
    }

    async fn route(&self, call: Call) -> http_types::Result<Response> {
        let path = call.request.url().path().to_owned();
        if call.request.method() != Method::Get || !is_known_path(&path) {
            return Ok(reply::error(StatusCode::NotFound, "not_found"));
        }
        if !self.acquire_read() {
            return Ok(budget_exceeded());
        }
        match path.as_str() {
            CONFIG_PATH => Ok(self.index()),
            WATCH_PATH => self.watch(call).await,
            INSTANCES_PATH => Ok(self.list()),
            _ => Ok(self.part(&path[PARTS_PATH.len()..])),
        }
    }

    fn acquire_read(&self) -> bool {
        let now = self.clock.now();
        let mut state = port::lock(&self.state);
        let granted = state.budget.try_acquire(now);
        state.stats.reads += u64::from(granted);
        granted
    }

    fn index(&self) -> Response {
        let mut state = port::lock(&self.state);
        state.stats.indexes += 1;
        reply::json(StatusCode::Ok, &state.config.view().index())
    }

    fn list(&self) -> Response {
        let now = self.clock.now();
        let mut state = port::lock(&self.state);
        state.stats.lists += 1;
        reply::json(StatusCode::Ok, state.instances.view(now))
    }

    fn part(&self, team: &str) -> Response {
        let mut state = port::lock(&self.state);
        state.stats.parts += 1;
        let view = state.config.view();
        let Some(part) = view.parts.get(team) else {
            return reply::error(StatusCode::NotFound, "no_such_part");
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(part.text.as_ref());
        response.set_content_type(mime::PLAIN);
        response.insert_header("x-revision", part.revision.to_string());
        response.insert_header("x-text-revision", view.number.to_string());
        response
    }

    async fn watch(&self, call: Call) -> http_types::Result<Response> {
        let query: WatchQuery = match call.request.query() {
            Ok(query) => query,
            Err(_) => return Ok(reply::error(StatusCode::BadRequest, "bad_query")),
        };
        let _waiting = WaitingWatch::begin(&self.state);
        let wait = Duration::from(Millis(query.wait_ms).min(MAX_WATCH_WAIT));
        let changed = future::timeout(wait, self.changed(query.after));
        let disconnected = port::client_disconnected(call.conn);
        match futures::future::select(changed.boxed(), disconnected.boxed()).await {
            Either::Left(_) => {
                let state = port::lock(&self.state);
                Ok(reply::json(StatusCode::Ok, &state.config.view().index()))
            }
            Either::Right(_) => Err(port::connection_aborted().into()),
        }
    }

    /// Waits until a revision newer than `after` is visible to readers.
    async fn changed(&self, after: u64) {
        loop {
            let woken = {
                let mut state = port::lock(&self.state);
                if state.config.view().number > after {
                    return;
                }
                let (wake, woken) = oneshot::channel();
                state.watchers.retain(|watcher| !watcher.is_canceled());
                state.watchers.push(wake);
                woken
            };
            let _ = woken.await;
        }
    }
}

impl Standin for Platform {
    type Command = PlatformCommand;
    type Stats = PlatformStats;

    fn respond(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>> {
        self.dispatch(call).boxed()
    }

    fn command(&self, command: PlatformCommand) -> PortAction {
        if let PlatformCommand::Frozen { on } = command {
            self.gate.set_closed(on);
            return PortAction::None;
        }
        let now = self.clock.now();
        let mut state = port::lock(&self.state);
        let action = state.apply(command, now);
        for watcher in state.watchers.drain(..) {
            let _ = watcher.send(());
        }
        action
    }

    fn stats(&self) -> PlatformStats {
        let state = port::lock(&self.state);
        PlatformStats {
            refused: state.budget.refused(),
            peak: state.budget.peak(),
            revision: state.config.newest(),
            ..state.stats.clone()
        }
    }
}

impl State {
    fn apply(&mut self, command: PlatformCommand, now: Millis) -> PortAction {
        match command {
            PlatformCommand::Part { team, text } => self.config.publish(&team, Some(text)),
            PlatformCommand::RemovePart { team } => self.config.publish(&team, None),
            PlatformCommand::Instances { instances } => self.instances.set(instances, now),
            PlatformCommand::InstanceState { id, state } => {
                self.instances.set_state(&id, state, now);
            }
            PlatformCommand::Lag { ms } => self.instances.set_lag(Millis(ms)),
            PlatformCommand::Down { on: true } => return PortAction::Crash,
            PlatformCommand::Down { on: false } => return PortAction::Reopen,
            PlatformCommand::Stale { revision } => self.config.pin(revision),
            PlatformCommand::GoBack { revision, reuse } => self.config.roll_back(revision, reuse),
            // Handled in `Standin::command`, before the state is locked.
            PlatformCommand::Frozen { .. } => {}
            PlatformCommand::Budget { reads } => self.budget.set_limit(reads),
        }
        PortAction::None
    }
}

/// Counts a watch as waiting until dropped.
struct WaitingWatch<'a> {
    state: &'a Mutex<State>,
}

impl<'a> WaitingWatch<'a> {
    fn begin(state: &'a Mutex<State>) -> WaitingWatch<'a> {
        let mut locked = port::lock(state);
        locked.stats.watches += 1;
        locked.stats.waiting += 1;
        WaitingWatch { state }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        port::lock(self.state).stats.waiting -= 1;
    }
}

fn is_known_path(path: &str) -> bool {
    matches!(path, CONFIG_PATH | WATCH_PATH | INSTANCES_PATH) || path.starts_with(PARTS_PATH)
}

fn budget_exceeded() -> Response {
    let mut response = reply::error(StatusCode::TooManyRequests, "read_budget");
    response.insert_header("retry-after", "1");
    response
}
