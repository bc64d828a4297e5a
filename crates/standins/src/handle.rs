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

/// Path of the commands.
const CONTROL_PATH: &str = "/control";

/// Path of the counters.
const STATS_PATH: &str = "/control/stats";

/// Path of the runs by marker.
const RUNS_PATH: &str = "/control/runs";

/// One kind of stand-in: what it answers, and the commands it takes.
pub trait Standin: Send + Sync + 'static {
    /// A command, as JSON on `POST /control`.
    type Command: DeserializeOwned + Send;

    /// The counters, as JSON on `GET /control/stats`.
    type Stats: Serialize;

    /// Answers one call. An error closes the connection without an answer.
    fn respond(self: Arc<Self>, call: Call) -> BoxFuture<'static, http_types::Result<Response>>;

    /// Applies a command; the result says what happens to the listening port.
    fn command(&self, command: Self::Command) -> PortAction;

    /// The present counters.
    fn stats(&self) -> Self::Stats;

    /// How often each marked request ran, or had its effect; JSON on `GET /control/runs`.
    fn runs_by_marker(&self) -> HashMap<String, u64> {
        HashMap::new()
    }

    /// Work that goes on while no call waits.
    fn background(self: Arc<Self>) -> BoxFuture<'static, ()> {
        futures::future::ready(()).boxed()
    }
}

/// A running stand-in. It stops when the handle is dropped.
pub struct Handle<S: Standin> {
    standin: Arc<S>,
    port: Arc<Port>,
    control: Port,
    background: Option<JoinHandle<()>>,
}

impl<S: Standin> Handle<S> {
    /// Starts `standin` on `addr` (port 0: any free one) and its control port beside it.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
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

    /// The address that the stand-in answers on.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// The address that takes commands also while the stand-in's own is down.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// The present counters.
    pub fn stats(&self) -> S::Stats {
        self.standin.stats()
    }

    /// Applies one command and waits until it is in force.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound again.
    pub async fn command(&self, command: S::Command) -> io::Result<()> {
        let action = self.standin.command(command);
        self.port.apply(action).await
    }

    /// Stops listening and closes every connection.
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
