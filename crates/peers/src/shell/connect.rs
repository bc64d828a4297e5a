//! Outgoing authenticated connections to peers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReader;
use async_std::io::BufWriter;
use async_std::net::TcpStream;
use async_std::task;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use futures::future::AbortHandle;
use futures::future::abortable;

use crate::auth::CHALLENGE_BYTES;
use crate::auth::Challenge;
use crate::auth::Role;
use crate::auth::Transcript;
use crate::auth::random_challenge;
use crate::identity::Instance;
use crate::peer_capnp::gate;
use crate::peer_capnp::session;
use crate::shell::error::CallError;
use crate::shell::settings::Limits;
use crate::shell::settings::Settings;
use crate::wire;

/// Returns the limits on messages read from a connection.
pub(crate) fn reader_options(limits: &Limits) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(limits.message_bytes / 8))
        .nesting_limit(limits.nesting);
    options
}

/// Creates the two-party network of a stream.
pub(crate) fn network(
    stream: TcpStream,
    side: Side,
    limits: &Limits,
) -> Box<VatNetwork<BufReader<futures::io::ReadHalf<TcpStream>>>> {
    let (input, output) = stream.split();
    Box::new(VatNetwork::new(
        BufReader::new(input),
        BufWriter::new(output),
        side,
        reader_options(limits),
    ))
}

/// A mutually authenticated connection. Closed when dropped.
pub(crate) struct Connection {
    pub(crate) session: session::Client,
    pub(crate) version: u16,
    pub(crate) address: SocketAddr,
    open: Rc<Cell<bool>>,
    system: AbortHandle,
}

impl Connection {
    /// Returns whether the connection is open, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Aborts the connection's task unless the handshake succeeds.
struct AbortGuard(Option<AbortHandle>);

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if let Some(system) = &self.0 {
            system.abort();
        }
    }
}

/// Connects to a peer and authenticates both ends, within the handshake timeout.
///
/// # Errors
///
/// [`CallError::Connect`] if the connection or the handshake fails, [`CallError::Replaced`] if
/// another instance answers.
pub(crate) async fn connect(settings: &Settings, peer: &Instance) -> Result<Connection, CallError> {
    let span = Duration::from(settings.limits.handshake_timeout);
    let opening = open(settings, peer);
    let opened = timeout(span, opening).await;
    opened.unwrap_or_else(|_| Err(CallError::Connect("the handshake timed out".into())))
}

async fn open(settings: &Settings, peer: &Instance) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(peer.address).await;
    let stream = stream.map_err(|err| CallError::Connect(err.to_string()))?;
    // With Nagle's algorithm, probes would wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let mut system = RpcSystem::new(network(stream, Side::Client, &settings.limits), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let open = Rc::new(Cell::new(true));
    let (running, handle) = abortable(system);
    let is_open = open.clone();
    task::spawn_local(async move {
        let _ = running.await;
        is_open.set(false);
    });
    let mut guard = AbortGuard(Some(handle));
    let (session, version) = handshake(settings, peer, &gate).await?;
    let system = guard.0.take().expect("the guard was set above");
    Ok(Connection {
        session,
        version,
        address: peer.address,
        open,
        system,
    })
}

async fn handshake(
    settings: &Settings,
    peer: &Instance,
    gate: &gate::Client,
) -> Result<(session::Client, u16), CallError> {
    let transcript = hello(settings, gate).await.map_err(connect_error)?;
    let mut request = gate.authenticate_request();
    let proof = transcript.proof(&settings.key, Role::Caller);
    request.get().set_proof(&proof);
    let response = request.send().promise.await.map_err(connect_error)?;
    let answer = response.get().map_err(connect_error)?;
    let proof = answer.get_proof().map_err(connect_error)?;
    if !transcript.verify(&settings.key, Role::Callee, proof) {
        return Err(CallError::Connect("the peer's proof is invalid".into()));
    }
    let found = wire::read_id(answer.get_id().map_err(connect_error)?).map_err(connect_error)?;
    if found != peer.id {
        return Err(CallError::Replaced(found));
    }
    let session = answer.get_session().map_err(connect_error)?;
    Ok((session, transcript.version))
}

async fn hello(settings: &Settings, gate: &gate::Client) -> capnp::Result<Transcript> {
    let caller_challenge = random_challenge(&mut rand::rng());
    let mut request = gate.hello_request();
    let mut hello = request.get();
    hello.set_min_version(settings.versions.oldest);
    hello.set_max_version(settings.versions.newest);
    hello.set_id(settings.me.id.as_str());
    hello.set_start(settings.start);
    hello.set_challenge(&caller_challenge);
    let response = request.send().promise.await?;
    let answer = response.get()?;
    let version = answer.get_version();
    let supported = settings.versions.oldest..=settings.versions.newest;
    if !supported.contains(&version) {
        return Err(wire::malformed("version"));
    }
    Ok(Transcript {
        version,
        caller: settings.me.id.clone(),
        caller_challenge,
        callee_challenge: read_challenge(answer.get_challenge()?)?,
    })
}

/// Reads a challenge.
pub(crate) fn read_challenge(bytes: &[u8]) -> capnp::Result<Challenge> {
    let bytes: &[u8; CHALLENGE_BYTES] =
        bytes.try_into().map_err(|_| wire::malformed("challenge"))?;
    Ok(*bytes)
}

#[allow(clippy::needless_pass_by_value)] // signature required by map_err
fn connect_error(err: capnp::Error) -> CallError {
    CallError::Connect(err.to_string())
}
