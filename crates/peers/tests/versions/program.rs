//! An entry instance that runs a program of version 1: the current node behind the schema of that
//! version.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use crocushold_base::Clock;
use crocushold_peers::Action;
use crocushold_peers::Body;
use crocushold_peers::Event;
use crocushold_peers::Gossip;
use crocushold_peers::Incarnation;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::Instance;
use crocushold_peers::InstanceId;
use crocushold_peers::Message;
use crocushold_peers::Node;
use crocushold_peers::NodeSettings;
use crocushold_peers::PartText;
use crocushold_peers::PlatformRead;
use crocushold_peers::ReadFailed;
use crocushold_peers::Role;
use crocushold_peers::SharedKey;
use crocushold_peers::Transcript;
use futures::future::AbortHandle;
use futures::future::abortable;

use crate::network;
use crate::peer_v1_capnp::gate;
use crate::peer_v1_capnp::session;
use crate::wire;

const VERSION: u16 = 1;
const TICK: Duration = Duration::from_millis(100);
const CHALLENGE: [u8; 32] = [5; 32];

/// A running program of version 1.
#[derive(Clone)]
pub(crate) struct OldProgram(Rc<Core>);

struct Core {
    me: Instance,
    start: u64,
    key: SharedKey,
    clock: Clock,
    node: RefCell<Node>,
    /// The part that its platform returns; `None` while the platform is down.
    platform: RefCell<Option<PartText>>,
    in_force: Cell<u64>,
    claims: Cell<usize>,
    sending: Cell<usize>,
    sessions: RefCell<BTreeMap<InstanceId, (SocketAddr, session::Client)>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl OldProgram {
    /// Starts the program on the executor of this thread.
    pub(crate) async fn start(name: &str, start: u64, key: SharedKey) -> OldProgram {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let me = Instance::new(name, address, "stgo-a");
        let clock = Clock::start();
        let incarnation = Incarnation::starting(start);
        let settings = NodeSettings::default();
        let node = Node::new(settings, me.clone(), incarnation, start, clock.now());
        let core = Rc::new(Core {
            me,
            start,
            key,
            clock,
            node: RefCell::new(node),
            platform: RefCell::default(),
            in_force: Cell::default(),
            claims: Cell::default(),
            sending: Cell::default(),
            sessions: RefCell::default(),
            tasks: RefCell::default(),
        });
        core.spawn(accept(core.clone(), listener));
        core.spawn(tick(core.clone()));
        OldProgram(core)
    }

    pub(crate) fn me(&self) -> &Instance {
        &self.0.me
    }

    pub(crate) fn feed(&self, event: Event) {
        self.0.feed(event);
    }

    /// Returns the live instances in its view.
    pub(crate) fn live(&self) -> Vec<String> {
        let view = self.0.node.borrow().member().view();
        let names = view.instances.iter().map(|i| i.id.as_str().to_owned());
        names.collect()
    }

    /// Returns the revision in force; zero if none.
    pub(crate) fn revision(&self) -> u64 {
        self.0.in_force.get()
    }

    /// Returns the number of claims that it was asked to vote on.
    pub(crate) fn claims(&self) -> usize {
        self.0.claims.get()
    }

    /// Publishes a part on the platform, which only this program reads.
    pub(crate) fn publish(&self, part: PartText) {
        *self.0.platform.borrow_mut() = Some(part);
        self.0.feed(Event::PlatformRead(self.0.read_index()));
    }

    /// Requests a vote from another instance, and returns its encoding.
    pub(crate) async fn claim(&self, peer: &Instance) -> capnp::Result<u16> {
        let session = self.0.session(peer).await?;
        let mut call = session.claim_request();
        let mut claim = call.get().init_claim();
        claim.set_key_low(9);
        claim.set_seq(4);
        let response = call.send().promise.await?;
        Ok(response.get()?.get_vote())
    }

    /// Leaves the membership and stops.
    pub(crate) async fn leave(self) {
        self.0.feed(Event::Leave);
        while self.0.sending.get() > 0 {
            task::yield_now().await;
        }
        self.kill();
    }

    /// Stops at once and closes all its connections.
    pub(crate) fn kill(self) {
        for task in self.0.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        self.0.sessions.borrow_mut().clear();
    }
}

async fn accept(core: Rc<Core>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let gate: gate::Client = capnp_rpc::new_client(Gate {
            core: core.clone(),
            handshake: RefCell::default(),
        });
        let system = RpcSystem::new(network(stream, Side::Server), Some(gate.client));
        core.spawn(async move {
            let _ = system.await;
        });
    }
}

async fn tick(core: Rc<Core>) {
    loop {
        core.feed(Event::Tick);
        task::sleep(TICK).await;
    }
}

impl Core {
    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        let (running, handle) = abortable(work);
        task::spawn_local(running);
        self.tasks.borrow_mut().push(handle);
    }

    fn feed(self: &Rc<Self>, event: Event) -> Option<Message> {
        let actions = self.node.borrow_mut().handle(event, self.clock.now());
        let mut reply = None;
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, message),
                Action::Reply(message) => reply = Some(message),
                Action::InForce(snapshot) => self.set_in_force(snapshot.revision),
                Action::ReadIndex => self.answer(self.read_index()),
                Action::ReadPart(team) => {
                    let part = self.platform.borrow().clone();
                    let read = part.ok_or(ReadFailed::default());
                    self.answer(PlatformRead::Part(team, read));
                }
                Action::WatchIndex { .. } | Action::ViewChanged(_) | Action::Report(_) => {}
            }
        }
        reply
    }

    fn set_in_force(&self, revision: u64) {
        let former = self.in_force.replace(revision);
        assert!(revision >= former, "{revision} after {former}");
    }

    fn read_index(&self) -> PlatformRead {
        let part = self.platform.borrow();
        let index = part.as_ref().map(|part| Index {
            revision: part.revision,
            parts: vec![IndexEntry {
                team: part.team.clone(),
                revision: part.revision,
            }],
        });
        PlatformRead::Index(index.ok_or(ReadFailed::default()))
    }

    fn answer(self: &Rc<Self>, read: PlatformRead) {
        let core = self.clone();
        self.spawn(async move {
            core.feed(Event::PlatformRead(read));
        });
    }

    fn send(self: &Rc<Self>, to: Instance, message: Message) {
        let core = self.clone();
        self.sending.set(self.sending.get() + 1);
        self.spawn(async move {
            let answer = core.exchange(&to, &message).await;
            core.sending.set(core.sending.get() - 1);
            match answer {
                Ok(answer) if answer.body == Body::None => {}
                Ok(answer) => {
                    core.feed(Event::Message(to.id, answer));
                }
                Err(_) => {
                    core.sessions.borrow_mut().remove(&to.id);
                    core.feed(Event::Failed(to.id));
                }
            }
        });
    }

    async fn exchange(self: &Rc<Self>, to: &Instance, message: &Message) -> capnp::Result<Message> {
        let session = self.session(to).await?;
        let mut request = session.exchange_request();
        wire::write(message, request.get().init_message());
        let response = request.send().promise.await?;
        wire::read(response.get()?.get_message()?)
    }

    async fn session(self: &Rc<Self>, to: &Instance) -> capnp::Result<session::Client> {
        let known = self.sessions.borrow().get(&to.id).cloned();
        if let Some((_, session)) = known.filter(|(address, _)| *address == to.address) {
            return Ok(session);
        }
        let session = self.connect(to).await?;
        let entry = (to.address, session.clone());
        self.sessions.borrow_mut().insert(to.id.clone(), entry);
        Ok(session)
    }

    async fn connect(self: &Rc<Self>, to: &Instance) -> capnp::Result<session::Client> {
        let stream = TcpStream::connect(to.address).await;
        let stream = stream.map_err(|err| capnp::Error::disconnected(err.to_string()))?;
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        self.spawn(async move {
            let _ = system.await;
        });
        let mut hello = gate.hello_request();
        hello.get().set_min_version(VERSION);
        hello.get().set_max_version(VERSION);
        hello.get().set_id(self.me.id.as_str());
        hello.get().set_start(self.start);
        hello.get().set_challenge(&CHALLENGE);
        let answer = hello.send().promise.await?;
        let answer = answer.get()?;
        assert_eq!(answer.get_version(), VERSION);
        let transcript = transcript(&self.me.id, answer.get_challenge()?)?;
        let mut request = gate.authenticate_request();
        let proof = transcript.proof(&self.key, Role::Caller);
        request.get().set_proof(&proof);
        let answer = request.send().promise.await?;
        let answer = answer.get()?;
        assert!(transcript.verify(&self.key, Role::Callee, answer.get_proof()?));
        answer.get_session()
    }
}

fn transcript(caller: &InstanceId, answer: &[u8]) -> capnp::Result<Transcript> {
    let answer = answer.try_into();
    Ok(Transcript {
        version: VERSION,
        caller: caller.clone(),
        caller_challenge: CHALLENGE,
        callee_challenge: answer.map_err(|_| capnp::Error::failed("challenge".into()))?,
    })
}

struct Gate {
    core: Rc<Core>,
    handshake: RefCell<Option<Transcript>>,
}

impl gate::Server for Gate {
    async fn hello(
        self: capnp::capability::Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> capnp::Result<()> {
        let hello = params.get()?;
        assert!((hello.get_min_version()..=hello.get_max_version()).contains(&VERSION));
        let caller = InstanceId::new(hello.get_id()?.to_str()?);
        // This end is the callee, so the caller's challenge goes first.
        let theirs = transcript(&caller, hello.get_challenge()?)?;
        *self.handshake.borrow_mut() = Some(Transcript {
            caller_challenge: theirs.callee_challenge,
            callee_challenge: CHALLENGE,
            ..theirs
        });
        results.get().set_version(VERSION);
        results.get().set_challenge(&CHALLENGE);
        Ok(())
    }

    async fn authenticate(
        self: capnp::capability::Rc<Self>,
        params: gate::AuthenticateParams,
        mut results: gate::AuthenticateResults,
    ) -> capnp::Result<()> {
        let core = &self.core;
        let handshake = self.handshake.borrow_mut().take();
        let transcript = handshake.expect("a handshake came first");
        let proof = params.get()?.get_proof()?;
        if !transcript.verify(&core.key, Role::Caller, proof) {
            return Err(capnp::Error::failed("not admitted".into()));
        }
        let mut out = results.get();
        out.set_proof(&transcript.proof(&core.key, Role::Callee));
        out.set_id(core.me.id.as_str());
        out.set_start(core.start);
        out.set_session(capnp_rpc::new_client(Session {
            core: core.clone(),
            peer: transcript.caller,
        }));
        Ok(())
    }
}

struct Session {
    core: Rc<Core>,
    peer: InstanceId,
}

impl session::Server for Session {
    async fn exchange(
        self: capnp::capability::Rc<Self>,
        params: session::ExchangeParams,
        mut results: session::ExchangeResults,
    ) -> capnp::Result<()> {
        let message = wire::read(params.get()?.get_message()?)?;
        let event = Event::Message(self.peer.clone(), message);
        let reply = self.core.feed(event).unwrap_or(Message {
            gossip: Gossip::default(),
            body: Body::None,
        });
        wire::write(&reply, results.get().init_message());
        Ok(())
    }

    async fn claim(
        self: capnp::capability::Rc<Self>,
        _params: session::ClaimParams,
        mut results: session::ClaimResults,
    ) -> capnp::Result<()> {
        self.core.claims.set(self.core.claims.get() + 1);
        results.get().set_vote(crate::GRANTED);
        Ok(())
    }
}

/// A part of the configuration.
pub(crate) fn part(revision: u64, text: &str) -> PartText {
    PartText {
        team: Arc::from("clara"),
        revision,
        text: Arc::from(text),
    }
}
