//! Starting, commanding and stopping a stand-in.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;

use async_std::task;
use async_std::task::JoinHandle;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::port::Call;
use crate::port::Endpoint;
use crate::port::Port;
use crate::port::PortAction;
use crate::reply;

/// Path that accepts commands.
const CONTROL_PATH: &str = "/control";

/// Path that returns the counters.
const STATS_PATH: &str = "/control/stats";

/// Path that returns the run counts by marker.
const RUNS_PATH: &str = "/control/runs";

/// The behavior of one kind of stand-in: its responses, commands and counters.
pub trait Standin: Send + Sync + 'static {
    /// Command type, received as JSON on `POST /control`.
    type Command: DeserializeOwned + Send;

    /// Counter type, returned as JSON on `GET /control/stats`.
    type Stats: Serialize;

    /// Responds to a request. An error closes the connection without a response.
    fn respond(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>>;

    /// Applies a command and returns what to do with the public listener.
    fn command(&self, command: Self::Command) -> PortAction;

    /// Returns the current counters.
    fn stats(&self) -> Self::Stats;

    /// Returns how often each marker ran or took effect; JSON on `GET /control/runs`.
    fn runs_by_marker(&self) -> HashMap<String, u64> {
        HashMap::new()
    }

    /// Runs in the background, independently of requests.
    fn background(self: Arc<Self>) -> BoxFuture<'static, ()> {
        futures::future::ready(()).boxed()
    }
}

/// A running stand-in, which stops when the handle is dropped.
pub struct Handle<S: Standin> {
    standin: Arc<S>,
    port: Arc<Port>,
    control: Port,
    background: Option<JoinHandle<()>>,
}

impl<S: Standin> Handle<S> {
    /// Starts `standin` on `addr` (port 0 selects a free port) and a control listener on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(standin: S, addr: SocketAddr) -> io::Result<Handle<S>> {
        let standin = Arc::new(standin);
        let cell = Arc::new(OnceLock::new());
        let port = Port::open(addr, endpoint(&standin, &cell, Listener::Public)).await?;
        let port = Arc::new(port);
        let _ = cell.set(Arc::downgrade(&port));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let control = Port::open(any, endpoint(&standin, &cell, Listener::Control)).await?;
        let background = task::spawn(Arc::clone(&standin).background());
        Ok(Handle {
            standin,
            port,
            control,
            background: Some(background),
        })
    }

    /// Returns the public address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the control address, which accepts commands even while the public listener is down.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// Returns the current counters.
    pub fn stats(&self) -> S::Stats {
        self.standin.stats()
    }

    /// Applies a command and waits until it has taken effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the public address can't be bound again.
    pub async fn command(&self, command: S::Command) -> io::Result<()> {
        let action = self.standin.command(command);
        self.port.apply(action).await
    }

    /// Stops listening and closes all connections.
    pub async fn stop(mut self) {
        let _ = self.port.apply(PortAction::Crash).await;
        let _ = self.control.apply(PortAction::Crash).await;
        if let Some(background) = self.background.take() {
            background.cancel().await;
        }
    }
}

impl<S: Standin> Deref for Handle<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.standin
    }
}

impl<S: Standin> Drop for Handle<S> {
    fn drop(&mut self) {
        self.port.shut_down();
        self.control.shut_down();
        if let Some(background) = self.background.take() {
            task::spawn(background.cancel());
        }
    }
}

/// The two listeners of a stand-in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Listener {
    Public,
    Control,
}

fn endpoint<S: Standin>(
    standin: &Arc<S>,
    port: &Arc<OnceLock<Weak<Port>>>,
    listener: Listener,
) -> Endpoint {
    let standin = Arc::clone(standin);
    let port = Arc::clone(port);
    Arc::new(move |mut call: Call| {
        let standin = Arc::clone(&standin);
        call.port = port.get().cloned().unwrap_or_default();
        match (call.request.method(), call.request.url().path()) {
            (Method::Post, CONTROL_PATH) => control(standin, call).boxed(),
            (Method::Get, STATS_PATH) => {
                let response = reply::json(StatusCode::Ok, &standin.stats());
                futures::future::ready(Ok(response)).boxed()
            }
            (Method::Get, RUNS_PATH) => {
                let response = reply::json(StatusCode::Ok, &standin.runs_by_marker());
                futures::future::ready(Ok(response)).boxed()
            }
            _ if listener == Listener::Control => {
                let response = reply::error(StatusCode::NotFound, "not_found");
                futures::future::ready(Ok(response)).boxed()
            }
            _ => standin.respond(call),
        }
    })
}

async fn control<S: Standin>(standin: Arc<S>, call: Call) -> http_types::Result<Response> {
    let command = match serde_json::from_slice(&call.body) {
        Ok(command) => command,
        Err(error) => {
            return Ok(reply::error(StatusCode::BadRequest, &error.to_string()));
        }
    };
    let action = standin.command(command);
    call.apply(action).await;
    Ok(Response::new(StatusCode::NoContent))
}
