//! Calls to peers, with connections, deadlines and circuit breakers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use crocushold_base::Clock;
use crocushold_base::Millis;
use futures::lock::Mutex;

use crate::identity::Instance;
use crate::identity::InstanceId;
use crate::peer_capnp::session;
use crate::shell::circuit::CircuitBreaker;
use crate::shell::connect::Connection;
use crate::shell::connect::connect;
use crate::shell::error::CallError;
use crate::shell::settings::Settings;

/// A session with a peer and its negotiated protocol version.
pub(crate) struct PeerSession {
    pub(crate) client: session::Client,
    pub(crate) version: u16,
}

/// State kept for one peer.
#[derive(Default)]
struct Client {
    connection: Mutex<Option<Connection>>,
    circuit: RefCell<CircuitBreaker>,
    pending: Cell<usize>,
    last_used: Cell<Millis>,
}

/// Counts a call as pending until it is dropped.
struct PendingCall<'a>(&'a Cell<usize>);

impl<'a> PendingCall<'a> {
    fn enter(pending: &'a Cell<usize>) -> PendingCall<'a> {
        pending.set(pending.get() + 1);
        PendingCall(pending)
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Clients of the peers that were called recently.
pub(crate) struct Clients {
    settings: Rc<Settings>,
    clock: Clock,
    clients: RefCell<BTreeMap<InstanceId, Rc<Client>>>,
}

impl Clients {
    pub(crate) fn new(settings: Rc<Settings>, clock: Clock) -> Clients {
        Clients {
            settings,
            clock,
            clients: RefCell::default(),
        }
    }

    /// Makes a call within `deadline`, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub(crate) async fn call<T, F>(
        &self,
        peer: &Instance,
        deadline: Millis,
        make: impl FnOnce(PeerSession) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let limits = &self.settings.limits;
        let client = self.client(&peer.id)?;
        if client.pending.get() >= limits.pending_calls {
            return Err(CallError::Busy);
        }
        if !client.circuit.borrow_mut().admit(limits, self.clock.now()) {
            return Err(CallError::CircuitOpen);
        }
        let _waiting = PendingCall::enter(&client.pending);
        let attempt = self.connect_and_call(&client, peer, make);
        let outcome = timeout(Duration::from(deadline), attempt).await;
        let outcome = outcome.unwrap_or(Err(CallError::Deadline));
        self.record_outcome(&client, &outcome);
        outcome
    }

    async fn connect_and_call<T, F>(
        &self,
        client: &Client,
        peer: &Instance,
        make: impl FnOnce(PeerSession) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let session = self.session(client, peer).await?;
        let answer = make(session).await;
        answer.map_err(CallError::from_answer)
    }

    async fn session(&self, client: &Client, peer: &Instance) -> Result<PeerSession, CallError> {
        let mut slot = client.connection.lock().await;
        let usable = |c: &Connection| c.is_open() && c.address == peer.address;
        if !slot.as_ref().is_some_and(usable) {
            *slot = None;
            *slot = Some(connect(&self.settings, peer).await?);
        }
        let connection = slot.as_ref().expect("connected above");
        Ok(PeerSession {
            client: connection.session.clone(),
            version: connection.version,
        })
    }

    fn record_outcome<T>(&self, client: &Client, outcome: &Result<T, CallError>) {
        let now = self.clock.now();
        let mut circuit = client.circuit.borrow_mut();
        // During an upgrade, an older program answers that it doesn't know a call. If that counted
        // as a failure, the circuit would open for a healthy peer, block other calls and probes,
        // and the peer would be considered dead. An answer of any kind shows that the peer and the
        // connection work.
        if outcome.as_ref().err().is_none_or(CallError::is_answer) {
            circuit.succeeded();
            return;
        }
        circuit.failed(&self.settings.limits, now);
        // The connection of a peer that doesn't answer is dropped, so that no state for its
        // outstanding answers is kept here, and the next trial call opens a new one.
        if let Some(mut slot) = client.connection.try_lock() {
            *slot = None;
        }
    }

    fn client(&self, id: &InstanceId) -> Result<Rc<Client>, CallError> {
        let mut clients = self.clients.borrow_mut();
        if !clients.contains_key(id) && clients.len() >= self.settings.limits.outgoing {
            evict(&mut clients)?;
        }
        let client = clients.entry(id.clone()).or_default().clone();
        client.last_used.set(self.clock.now());
        Ok(client)
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        let now = self.clock.now();
        let idle = self.settings.limits.idle_timeout;
        let is_used = |c: &Client| c.pending.get() > 0 || now.since(c.last_used.get()) < idle;
        self.clients.borrow_mut().retain(|_, c| is_used(c));
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.clients.borrow_mut().clear();
    }
}

fn evict(clients: &mut BTreeMap<InstanceId, Rc<Client>>) -> Result<(), CallError> {
    let unused = clients.iter().filter(|(_, c)| c.pending.get() == 0);
    let oldest = unused.min_by_key(|(_, c)| c.last_used.get());
    let id = oldest.map(|(id, _)| id.clone()).ok_or(CallError::Busy)?;
    clients.remove(&id);
    Ok(())
}
