//! Request handling of the plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use crocushold_base::Clock;
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::Either;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use super::command::ServiceCommand;
use super::command::ServiceFault;
use super::command::ServiceSettings;
use super::command::ServiceStats;
use crate::handle::Handle;
use crate::handle::Standin;
use crate::port;
use crate::port::Call;
use crate::port::PortAction;
use crate::reply;

/// Maximum number of keys whose side effects are counted.
const MAX_KEYS: usize = 200_000;

/// Headers that can contain the key of a request; the first one present is used.
const KEY_HEADERS: [&str; 2] = ["idempotency-key", "x-marker"];

/// A plain service; see [`PlainService::start`].
pub struct PlainService {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    settings: ServiceSettings,
    fault: ServiceFault,
    remaining_faults: Option<u32>,
    stats: ServiceStats,
    effects: HashMap<String, u64>,
}

/// The response body of a request: its key, the key's number of side effects, and the request.
#[derive(Serialize)]
struct Receipt<'a> {
    marker: &'a str,
    effects: u64,
    method: String,
    path: &'a str,
    bytes: usize,
}

/// The response to `GET /load`.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct LoadReport {
    at_ms: u64,
    running: u64,
    waiting: u64,
    batch_limit: usize,
    #[serde(rename = "tokens-per-second")]
    token_rate: f64,
    kv_free: f64,
    models: Vec<String>,
    role: &'static str,
    fence: u64,
}

impl PlainService {
    /// Starts a plain service on `addr` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        addr: SocketAddr,
        settings: ServiceSettings,
    ) -> io::Result<Handle<PlainService>> {
        let state = State {
            settings,
            fault: ServiceFault::None,
            remaining_faults: None,
            stats: ServiceStats::default(),
            effects: HashMap::new(),
        };
        let service = PlainService {
            clock: Clock::start(),
            state: Mutex::new(state),
        };
        Handle::start(service, addr).await
    }

    /// Returns the number of side effects of `key`.
    pub fn effects(&self, key: &str) -> u64 {
        let state = port::lock(&self.state);
        state.effects.get(key).copied().unwrap_or(0)
    }

    async fn dispatch(self: Arc<Self>, call: Call) -> http_types::Result<Response> {
        if call.request.url().path() == "/load" {
            return Ok(self.load());
        }
        let _running = RunningCall::begin(&self.state);
        let (fault, settings) = port::lock(&self.state).begin_call();
        if fault == ServiceFault::Unavailable {
            return Ok(reply::error(StatusCode::ServiceUnavailable, "unavailable"));
        }
        if fault == ServiceFault::Resting {
            let mut response = reply::error(StatusCode::ServiceUnavailable, "unavailable");
            response.insert_header("retry-after", "3");
            return Ok(response);
        }
        if fault == ServiceFault::HangBefore {
            return hang(call.conn).await;
        }
        delay(settings.before_ms, &call.conn).await?;
        let key = key_of(&call).to_owned();
        let effects = port::lock(&self.state).record_effect(&key);
        match fault {
            ServiceFault::HangAfter => return hang(call.conn).await,
            ServiceFault::DropAfter => return Err(connection_aborted()),
            ServiceFault::CrashAfter => {
                call.apply(PortAction::Crash).await;
                return Err(connection_aborted());
            }
            _ => {}
        }
        task::sleep(Duration::from_millis(settings.after_ms)).await;
        port::lock(&self.state).stats.answered += 1;
        Ok(receipt(&call, &key, effects))
    }

    fn load(&self) -> Response {
        let mut state = port::lock(&self.state);
        state.stats.polls += 1;
        let report = LoadReport {
            at_ms: self.clock.now().0,
            running: state.stats.running,
            waiting: 0,
            batch_limit: state.settings.batch_limit,
            token_rate: 0.0,
            kv_free: 1.0,
            models: Vec::new(),
            role: "both",
            fence: 0,
        };
        reply::json(StatusCode::Ok, &report)
    }
}

impl Standin for PlainService {
    type Command = ServiceCommand;
    type Stats = ServiceStats;

    fn respond(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>> {
        self.dispatch(call).boxed()
    }

    fn command(&self, command: ServiceCommand) -> PortAction {
        port::lock(&self.state).apply(command)
    }

    fn stats(&self) -> ServiceStats {
        let state = port::lock(&self.state);
        state.stats.clone()
    }

    fn runs_by_marker(&self) -> HashMap<String, u64> {
        port::lock(&self.state).effects.clone()
    }
}

impl State {
    /// Counts a request; returns the fault to inject and the settings.
    fn begin_call(&mut self) -> (ServiceFault, ServiceSettings) {
        self.stats.calls += 1;
        let mut fault = self.fault;
        match &mut self.remaining_faults {
            None => {}
            Some(0) => fault = ServiceFault::None,
            Some(times) => *times -= 1,
        }
        (fault, self.settings.clone())
    }

    /// Records a side effect and returns how many `key` has had, or 1 if it isn't counted.
    fn record_effect(&mut self, key: &str) -> u64 {
        self.stats.effects += 1;
        let known = self.effects.contains_key(key);
        if key.is_empty() || (!known && self.effects.len() >= MAX_KEYS) {
            self.stats.uncounted += 1;
            return 1;
        }
        let effects = self.effects.entry(key.to_owned()).or_insert(0);
        *effects += 1;
        if *effects > 1 {
            self.stats.repeated.insert(key.to_owned(), *effects);
        } else {
            self.stats.keys += 1;
        }
        *effects
    }

    fn apply(&mut self, command: ServiceCommand) -> PortAction {
        match command {
            ServiceCommand::Delay {
                before_ms,
                after_ms,
            } => {
                self.settings.before_ms = before_ms;
                self.settings.after_ms = after_ms;
            }
            ServiceCommand::Fault { fault, times } => {
                self.fault = fault;
                self.remaining_faults = times;
            }
            ServiceCommand::Crash => return PortAction::Crash,
            ServiceCommand::Refuse { on: true } => return PortAction::Refuse,
            ServiceCommand::Refuse { on: false } | ServiceCommand::Restart => {
                return PortAction::Reopen;
            }
            ServiceCommand::Clear => {
                self.fault = ServiceFault::None;
                return PortAction::Reopen;
            }
        }
        PortAction::None
    }
}

/// Counts a request as running until dropped.
struct RunningCall<'a> {
    state: &'a Mutex<State>,
}

impl<'a> RunningCall<'a> {
    fn begin(state: &'a Mutex<State>) -> RunningCall<'a> {
        port::lock(state).stats.running += 1;
        RunningCall { state }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        port::lock(self.state).stats.running -= 1;
    }
}

/// Delays the side effect; returns an error if the client disconnects meanwhile, which prevents it.
async fn delay(ms: u64, conn: &TcpStream) -> http_types::Result<()> {
    if ms == 0 {
        return Ok(());
    }
    let disconnected = port::client_disconnected(conn.clone());
    let slept = task::sleep(Duration::from_millis(ms));
    match futures::future::select(slept.boxed(), disconnected.boxed()).await {
        Either::Left(_) => Ok(()),
        Either::Right(_) => Err(connection_aborted()),
    }
}

/// Sends no response and waits until the client disconnects.
async fn hang(conn: TcpStream) -> http_types::Result<Response> {
    port::client_disconnected(conn).await;
    Err(connection_aborted())
}

fn connection_aborted() -> http_types::Error {
    port::connection_aborted().into()
}

fn key_of(call: &Call) -> &str {
    let mut named = KEY_HEADERS.iter().filter_map(|name| call.header(name));
    named.next().unwrap_or("")
}

fn receipt(call: &Call, key: &str, effects: u64) -> Response {
    let receipt = Receipt {
        marker: key,
        effects,
        method: call.request.method().to_string(),
        path: call.request.url().path(),
        bytes: call.body.len(),
    };
    reply::json(StatusCode::Ok, &receipt)
}
