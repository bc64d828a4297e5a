//! Incoming connections of peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use capnp::capability::Rc as CapRc;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::SettleRequest;
use crocushold_routing::SuspectKind;
use futures::future::AbortHandle;
use futures::future::abortable;

use crate::auth::Role;
use crate::auth::Transcript;
use crate::auth::random_challenge;
use crate::coordination::Request;
use crate::coordination::Response;
use crate::coordination::wire as codec;
use crate::identity::InstanceId;
use crate::message::Body;
use crate::message::Gossip;
use crate::message::Message;
use crate::node::Event;
use crate::peer_capnp::gate;
use crate::peer_capnp::session;
use crate::shell::connect::network;
use crate::shell::connect::read_challenge;
use crate::shell::core::Core;
use crate::shell::settings::Versions;
use crate::wire;

/// Counts of the incoming connections.
#[derive(Default)]
pub(crate) struct IncomingCounts {
    open: Cell<usize>,
    unauthenticated: Cell<usize>,
}

/// An incoming connection; counted until it is dropped.
struct IncomingConnection {
    core: Rc<Core>,
    authenticated: Cell<bool>,
    used: Cell<Millis>,
}

impl IncomingConnection {
    fn open(core: Rc<Core>) -> Option<Rc<IncomingConnection>> {
        let limits = &core.settings.limits;
        let incoming = &core.incoming;
        if incoming.open.get() >= limits.incoming
            || incoming.unauthenticated.get() >= limits.unauthenticated
        {
            return None;
        }
        incoming.open.set(incoming.open.get() + 1);
        incoming
            .unauthenticated
            .set(incoming.unauthenticated.get() + 1);
        let used = Cell::new(core.clock.now());
        Some(Rc::new(IncomingConnection {
            core,
            authenticated: Cell::new(false),
            used,
        }))
    }

    fn mark_authenticated(&self) {
        let unauthenticated = &self.core.incoming.unauthenticated;
        unauthenticated.set(unauthenticated.get() - 1);
        self.authenticated.set(true);
    }

    fn touch(&self) {
        self.used.set(self.core.clock.now());
    }

    /// Returns the time after which the connection is closed if no call is made.
    fn idle_timeout(&self) -> Millis {
        let limits = &self.core.settings.limits;
        if self.authenticated.get() {
            limits.idle_timeout + limits.idle_timeout
        } else {
            limits.handshake_timeout
        }
    }
}

impl Drop for IncomingConnection {
    fn drop(&mut self) {
        let incoming = &self.core.incoming;
        incoming.open.set(incoming.open.get() - 1);
        if !self.authenticated.get() {
            incoming
                .unauthenticated
                .set(incoming.unauthenticated.get() - 1);
        }
    }
}

/// Serves a connection until it ends, fails to authenticate in time, or is idle for too long.
pub(crate) fn serve(core: &Rc<Core>, stream: TcpStream) {
    let Some(connection) = IncomingConnection::open(core.clone()) else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let abort_handle: Rc<RefCell<Option<AbortHandle>>> = Rc::default();
    let gate = Gate {
        connection: Rc::downgrade(&connection),
        handshake: RefCell::new(None),
        abort_handle: abort_handle.clone(),
    };
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let network = network(stream, Side::Server, &core.settings.limits);
    let system = RpcSystem::new(network, Some(gate.client));
    let (running, handle) = abortable(system);
    *abort_handle.borrow_mut() = Some(handle.clone());
    let (watching, watch) = abortable(close_when_idle(connection.clone(), handle));
    task::spawn_local(watching);
    task::spawn_local(async move {
        let _ = running.await;
        watch.abort();
        drop(connection);
    });
}

async fn close_when_idle(connection: Rc<IncomingConnection>, handle: AbortHandle) {
    loop {
        let idle = connection.core.clock.now().since(connection.used.get());
        let idle_timeout = connection.idle_timeout();
        if idle >= idle_timeout {
            handle.abort();
            return;
        }
        task::sleep(Duration::from(Millis(idle_timeout.since(idle).0.max(1)))).await;
    }
}

/// The interface offered before the caller has proved that it holds the key.
struct Gate {
    connection: std::rc::Weak<IncomingConnection>,
    handshake: RefCell<Option<Handshake>>,
    abort_handle: Rc<RefCell<Option<AbortHandle>>>,
}

impl Gate {
    fn refuse(&self, reason: &str) -> capnp::Error {
        if let Some(handle) = self.abort_handle.borrow().as_ref() {
            handle.abort();
        }
        capnp::Error::failed(reason.into())
    }

    fn connection(&self) -> capnp::Result<Rc<IncomingConnection>> {
        let connection = self.connection.upgrade();
        connection.ok_or_else(|| capnp::Error::disconnected("closed".into()))
    }

    fn negotiate(
        &self,
        params: &gate::HelloParams,
        results: &mut gate::HelloResults,
    ) -> capnp::Result<()> {
        let connection = self.connection()?;
        let hello = params.get()?;
        let theirs = Versions {
            oldest: hello.get_min_version(),
            newest: hello.get_max_version(),
        };
        let agreed = connection.core.settings.versions.agree(theirs);
        let version = agreed.ok_or_else(|| self.refuse("no common version"))?;
        let callee_challenge = random_challenge(&mut rand::rng());
        let mut out = results.get();
        out.set_version(version);
        out.set_challenge(&callee_challenge);
        let transcript = Transcript {
            version,
            caller: wire::read_id(hello.get_id()?)?,
            caller_challenge: read_challenge(hello.get_challenge()?)?,
            callee_challenge,
        };
        let start = hello.get_start();
        *self.handshake.borrow_mut() = Some(Handshake { transcript, start });
        Ok(())
    }

    fn authenticate_caller(
        &self,
        params: &gate::AuthenticateParams,
        results: &mut gate::AuthenticateResults,
    ) -> capnp::Result<()> {
        let connection = self.connection()?;
        let settings = &connection.core.settings;
        let proof = params.get()?.get_proof()?;
        // A challenge admits only one attempt.
        let handshake = self.handshake.borrow_mut().take();
        let proved = handshake.filter(|g| g.transcript.verify(&settings.key, Role::Caller, proof));
        let Some(handshake) = proved else {
            connection.core.count_failed_proof();
            return Err(self.refuse("not admitted"));
        };
        if !connection.authenticated.get() {
            connection.mark_authenticated();
        }
        let transcript = handshake.transcript;
        let mut out = results.get();
        out.set_proof(&transcript.proof(&settings.key, Role::Callee));
        out.set_id(settings.me.id.as_str());
        out.set_start(settings.start);
        out.set_session(capnp_rpc::new_client(Session {
            connection: Rc::downgrade(&connection),
            member: Member::new(transcript.caller.as_str(), handshake.start),
            peer: transcript.caller,
            version: transcript.version,
        }));
        Ok(())
    }
}

impl gate::Server for Gate {
    async fn hello(
        self: CapRc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> capnp::Result<()> {
        self.negotiate(&params, &mut results)
    }

    async fn authenticate(
        self: CapRc<Self>,
        params: gate::AuthenticateParams,
        mut results: gate::AuthenticateResults,
    ) -> capnp::Result<()> {
        self.authenticate_caller(&params, &mut results)
    }
}

/// Claims of an unauthenticated caller, to be proved.
struct Handshake {
    transcript: Transcript,
    /// Wall-clock time at which its process started, in milliseconds.
    start: u64,
}

/// The interface offered to an authenticated peer.
struct Session {
    connection: std::rc::Weak<IncomingConnection>,
    peer: InstanceId,
    member: Member,
    version: u16,
}

impl Session {
    fn connection(&self) -> capnp::Result<Rc<IncomingConnection>> {
        let connection = self.connection.upgrade();
        let connection = connection.ok_or_else(|| capnp::Error::disconnected("closed".into()))?;
        connection.touch();
        Ok(connection)
    }

    fn coordinate(&self, request: Request) -> capnp::Result<Response> {
        let connection = self.connection()?;
        Ok(connection.core.handler.handle(self.member, request))
    }
}

fn unimplemented() -> capnp::Error {
    capnp::Error::unimplemented("the handler refused".into())
}

impl session::Server for Session {
    async fn exchange(
        self: CapRc<Self>,
        params: session::ExchangeParams,
        mut results: session::ExchangeResults,
    ) -> capnp::Result<()> {
        let connection = self.connection()?;
        let message = wire::read(params.get()?.get_message()?)?;
        let event = Event::Message(self.peer.clone(), message);
        let reply = connection.core.feed(event);
        let reply = reply.unwrap_or(Message {
            gossip: Gossip::default(),
            body: Body::None,
        });
        wire::write(&reply, self.version, results.get().init_message());
        Ok(())
    }

    async fn claim(
        self: CapRc<Self>,
        params: session::ClaimParams,
        mut results: session::ClaimResults,
    ) -> capnp::Result<()> {
        let input = params.get()?;
        let claim = codec::read_claim(input.get_claim()?)?;
        let answer = self.coordinate(Request::Claim(ClaimRequest {
            key: claim.key,
            claim: claim.id,
            digest: claim.digest,
            account: claim.account,
            group: GroupId(input.get_group()),
        }))?;
        let Response::Vote(vote) = answer else {
            return Err(unimplemented());
        };
        let vote = codec::encode_vote(vote);
        let mut out = results.get();
        out.set_vote(vote.kind);
        out.set_status(vote.status);
        out.set_retry_ms(vote.retry.0);
        Ok(())
    }

    async fn settle(
        self: CapRc<Self>,
        params: session::SettleParams,
        _results: session::SettleResults,
    ) -> capnp::Result<()> {
        let input = params.get()?;
        let claim = codec::read_claim(input.get_claim()?)?;
        let answer = self.coordinate(Request::Settle(SettleRequest {
            key: claim.key,
            claim: claim.id,
            digest: claim.digest,
            account: claim.account,
            outcome: codec::decode_outcome(input.get_outcome(), input.get_status()),
        }))?;
        done(answer)
    }

    async fn transfer(
        self: CapRc<Self>,
        params: session::TransferParams,
        _results: session::TransferResults,
    ) -> capnp::Result<()> {
        let request = codec::read_transfer(params.get()?)?;
        done(self.coordinate(Request::Transfer(request))?)
    }

    async fn borrow(
        self: CapRc<Self>,
        params: session::BorrowParams,
        mut results: session::BorrowResults,
    ) -> capnp::Result<()> {
        let input = params.get()?;
        let answer = self.coordinate(Request::Borrow(BorrowRequest {
            account: AccountId(input.get_account()),
            units: input.get_units(),
            slots: input.get_slots(),
            held: input.get_held(),
        }))?;
        let Response::Lent(reply) = answer else {
            return Err(unimplemented());
        };
        results.get().set_units(reply.units);
        results.get().set_slots(reply.slots);
        Ok(())
    }

    async fn give_back(
        self: CapRc<Self>,
        params: session::GiveBackParams,
        _results: session::GiveBackResults,
    ) -> capnp::Result<()> {
        let input = params.get()?;
        let answer = self.coordinate(Request::Return(ReturnRequest {
            account: AccountId(input.get_account()),
            kept: input.get_kept(),
        }))?;
        done(answer)
    }

    async fn suspect(
        self: CapRc<Self>,
        params: session::SuspectParams,
        _results: session::SuspectResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let kind = if params.get_parts() {
            SuspectKind::Part
        } else {
            SuspectKind::Request
        };
        let list = params.get_suspicions()?;
        let suspicions = list.iter().map(codec::read_suspicion);
        let suspicions = suspicions.collect::<capnp::Result<Vec<_>>>()?;
        done(self.coordinate(Request::Suspect(kind, suspicions))?)
    }
}

fn done(answer: Response) -> capnp::Result<()> {
    match answer {
        Response::Done => Ok(()),
        _ => Err(unimplemented()),
    }
}
