//! Interoperability of programs with different schemas, over real sockets.
//!
//! The older one is a program with the schema of version 1, and the newer one a caller whose schema
//! extends the current one. Both schemas are in `versions/`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use async_std::task;
use capnp::ErrorKind;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::GroupId;
use crocushold_ownership::Member;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::Vote;
use crocushold_peers::CallError;
use crocushold_peers::Event;
use crocushold_peers::Handler;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::Instance;
use crocushold_peers::ListedInstance;
use crocushold_peers::PartText;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::PlatformRead;
use crocushold_peers::PlatformRequest;
use crocushold_peers::ReadFailed;
use crocushold_peers::Request;
use crocushold_peers::Response;
use crocushold_peers::Role;
use crocushold_peers::Settings;
use crocushold_peers::SharedKey;
use crocushold_peers::Started;
use crocushold_peers::Transcript;
use futures::AsyncReadExt;
use program::OldProgram;
use program::part;

#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, dead_code, missing_docs)]
#[allow(unreachable_pub)]
#[rustfmt::skip]
#[path = "versions/generated/peer_next_capnp.rs"]
mod peer_next_capnp;
#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, dead_code, missing_docs)]
#[allow(unreachable_pub)]
#[rustfmt::skip]
#[path = "versions/generated/peer_v1_capnp.rs"]
mod peer_v1_capnp;
#[path = "versions/program.rs"]
mod program;
#[path = "versions/wire.rs"]
mod wire;

/// Maximum time that a test waits for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of the programs is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Deadline of the calls in these tests.
const DEADLINE: Millis = Millis(1000);

/// More consecutive calls than open the circuit of a failing peer.
const MANY_CALLS: usize = 8;

/// The encoding of [`Vote::Granted`].
const GRANTED: u16 = 1;

const KEY: &[u8] = b"the key of both programs";

fn network(stream: TcpStream, side: Side) -> Box<VatNetwork<futures::io::ReadHalf<TcpStream>>> {
    let (input, output) = stream.split();
    Box::new(VatNetwork::new(input, output, side, ReaderOptions::new()))
}

/// Grants every claim and records its account.
#[derive(Default)]
struct Recorder(Mutex<Vec<AccountId>>);

impl Handler for Recorder {
    fn handle(&self, _from: Member, request: Request) -> Response {
        let Request::Claim(claim) = request else {
            return Response::Done;
        };
        self.0.lock().expect("no holder panics").push(claim.account);
        Response::Vote(Vote::Granted)
    }
}

/// Starts a current program whose platform returns one part, or is down.
fn start(name: &str, start: u64, platform: Option<PartText>) -> (PeerHandle, Arc<Recorder>) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let me = Instance::new(name, address, "stgo-a");
    let settings = Settings::new(me, SharedKey::new(KEY), start, start);
    let recorder = Arc::new(Recorder::default());
    let started = PeerNode::start(settings, recorder.clone()).expect("loopback can be listened on");
    let handle = started.handle.clone();
    task::spawn(answer(started, platform));
    (handle, recorder)
}

async fn answer(started: Started, platform: Option<PartText>) {
    while let Ok(request) = started.platform.recv().await {
        let part = platform.clone().ok_or(ReadFailed::default());
        let read = match request {
            PlatformRequest::ReadPart(team) => PlatformRead::Part(team, part),
            PlatformRequest::WatchIndex { .. } => continue,
            PlatformRequest::ReadIndex => PlatformRead::Index(part.map(|part| Index {
                revision: part.revision,
                parts: vec![IndexEntry {
                    team: part.team,
                    revision: part.revision,
                }],
            })),
        };
        started.handle.platform_read(read);
    }
}

/// A program of either version.
#[derive(Clone)]
enum Program {
    Old(OldProgram),
    Current(PeerHandle),
}

impl Program {
    fn me(&self) -> &Instance {
        match self {
            Program::Old(old) => old.me(),
            Program::Current(handle) => handle.me(),
        }
    }

    fn live(&self) -> Vec<String> {
        match self {
            Program::Old(old) => old.live(),
            Program::Current(handle) => {
                let view = handle.view();
                let names = view.instances.iter().map(|i| i.id.as_str().to_owned());
                names.collect()
            }
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Program::Old(old) => old.revision(),
            Program::Current(handle) => handle.config().map_or(0, |config| config.revision),
        }
    }

    fn list(&self, listed: Vec<ListedInstance>) {
        match self {
            Program::Old(old) => old.feed(Event::InstanceList(listed)),
            Program::Current(handle) => handle.instance_list(listed),
        }
    }
}

/// The running programs, and the highest revision that each instance has had in force.
#[derive(Default)]
struct Programs {
    programs: Vec<Program>,
    highest: BTreeMap<String, u64>,
}

impl Programs {
    /// Adds a program, replacing one with the same name, and passes the instance list to all.
    fn add(&mut self, program: Program) {
        let id = program.me().id.clone();
        self.programs.retain(|other| other.me().id != id);
        self.programs.push(program);
        self.introduce();
    }

    fn introduce(&self) {
        let listed = self.programs.iter().map(|program| ListedInstance {
            instance: program.me().clone(),
            leaving: false,
        });
        let listed: Vec<ListedInstance> = listed.collect();
        for program in &self.programs {
            program.list(listed.clone());
        }
    }

    /// Waits until `holds` for all programs. Meanwhile no instance may return to an earlier
    /// revision, not even one whose program is replaced, and all instances in `stable` must see
    /// each other.
    async fn wait(&mut self, what: &str, stable: &[&str], holds: impl Fn(&Program) -> bool) {
        let began = Instant::now();
        loop {
            self.check(stable);
            if self.programs.iter().all(&holds) {
                return;
            }
            assert!(began.elapsed() < TIMEOUT, "timed out: {what}");
            task::sleep(POLL_INTERVAL).await;
        }
    }

    fn check(&mut self, stable: &[&str]) {
        for program in &self.programs {
            let name = program.me().id.as_str();
            let revision = program.revision();
            let highest = self.highest.entry(name.to_owned()).or_default();
            // A program that has just started has no configuration in force yet.
            assert!(revision == 0 || revision >= *highest, "{name} went back");
            *highest = revision.max(*highest);
            if stable.contains(&name) {
                let live = program.live();
                let all = stable.iter().all(|other| live.iter().any(|id| id == other));
                assert!(all, "{name} sees {live:?}");
            }
        }
    }

    async fn wait_agreed(&mut self, live: usize, revision: u64, stable: &[&str]) {
        let what = format!("{live} live at revision {revision}");
        self.wait(&what, stable, |program| {
            program.live().len() == live && program.revision() == revision
        })
        .await;
    }
}

fn claim(account: u64) -> Request {
    Request::Claim(ClaimRequest {
        key: ClaimKey(7),
        claim: ClaimId {
            claimant: Member::new("entry-1", 1),
            seq: 1,
        },
        digest: RequestDigest(8),
        account: AccountId(account),
        group: GroupId(5),
    })
}

fn give_back() -> Request {
    Request::Return(ReturnRequest {
        account: AccountId(6),
        kept: 1,
    })
}

/// Of three instances two still run the older program, and these are replaced one after the other.
/// First a change reaches the current program only through an older one, whose answers lack the
/// newer fields; then the platform goes back to its first text, which the replacements read, one
/// after a planned stop and one after a crash. No instance may return to that text, and the
/// instances that aren't being replaced must see each other all the time.
#[test]
fn an_upgrade_keeps_the_members_and_the_revision() {
    task::block_on(async {
        let key = SharedKey::new(KEY);
        let first = part(1, "[service chat]");
        let (current, _) = start("entry-1", 1, Some(first.clone()));
        let two = OldProgram::start("entry-2", 2, key.clone()).await;
        let three = OldProgram::start("entry-3", 3, key).await;
        let mut programs = Programs::default();
        programs.add(Program::Current(current.clone()));
        programs.add(Program::Old(two.clone()));
        programs.add(Program::Old(three.clone()));
        programs.wait_agreed(3, 1, &[]).await;
        two.publish(part(2, "[service chat]\nkind = model"));
        let all = ["entry-1", "entry-2", "entry-3"];
        programs.wait_agreed(3, 2, &all).await;

        two.leave().await;
        let (second, _) = start("entry-2", 12, Some(first.clone()));
        programs.add(Program::Current(second.clone()));
        programs.wait_agreed(3, 2, &["entry-1", "entry-3"]).await;
        let vote = second.call(&three.me().id, claim(12), DEADLINE).await;
        assert_eq!(vote, Ok(Response::Vote(Vote::Granted)));
        assert_eq!(three.claims(), 1);

        three.kill();
        let (third, recorder) = start("entry-3", 13, Some(first));
        programs.add(Program::Current(third.clone()));
        programs.wait_agreed(3, 2, &["entry-1", "entry-2"]).await;
        let vote = current.call(&third.me().id, claim(12), DEADLINE).await;
        assert_eq!(vote, Ok(Response::Vote(Vote::Granted)));
        assert_eq!(*recorder.0.lock().unwrap(), [AccountId(12)]);
    });
}

/// A current program calls an older one by a newer method, more often than a failing peer is
/// called. Each time it must learn that the peer doesn't support the call, while calls that both
/// support, including probes, keep working. The older program's claim contains no account, which is
/// read as the default account.
#[test]
fn a_call_that_an_older_program_lacks_does_not_open_its_circuit() {
    task::block_on(async {
        let (current, recorder) = start("entry-1", 1, None);
        let old = OldProgram::start("entry-2", 2, SharedKey::new(KEY)).await;
        let mut programs = Programs::default();
        programs.add(Program::Current(current.clone()));
        programs.add(Program::Old(old.clone()));
        let both = |program: &Program| program.live().len() == 2;
        programs.wait("both see each other", &[], both).await;
        let id = &old.me().id;
        for _ in 0..MANY_CALLS {
            let outcome = current.call(id, give_back(), DEADLINE).await;
            assert_eq!(outcome, Err(CallError::Unsupported));
        }
        let vote = current.call(id, claim(12), DEADLINE).await;
        assert_eq!(vote, Ok(Response::Vote(Vote::Granted)));
        assert_eq!(old.claim(current.me()).await.unwrap(), GRANTED);
        assert_eq!(*recorder.0.lock().unwrap(), [AccountId::default()]);
        programs.check(&["entry-1", "entry-2"]);
    });
}

/// Opens an authenticated session as a newer program.
async fn newer_session(peer: &Instance) -> capnp::Result<peer_next_capnp::session::Client> {
    let stream = TcpStream::connect(peer.address).await.expect("it listens");
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let gate: peer_next_capnp::gate::Client = system.bootstrap(Side::Server);
    task::spawn_local(system);
    let mut hello = gate.hello_request();
    let caller_challenge = [6; 32];
    hello.get().set_min_version(1);
    hello.get().set_max_version(3);
    hello.get().set_id("entry-9");
    hello.get().set_start(9);
    hello.get().set_challenge(&caller_challenge);
    let answer = hello.send().promise.await?;
    let answer = answer.get()?;
    assert_eq!(answer.get_version(), 2);
    let transcript = Transcript {
        version: 2,
        caller: Instance::new("entry-9", peer.address, "stgo-a").id,
        caller_challenge,
        callee_challenge: answer.get_challenge()?.try_into().expect("32 bytes"),
    };
    let mut request = gate.authenticate_request();
    let proof = transcript.proof(&SharedKey::new(KEY), Role::Caller);
    request.get().set_proof(&proof);
    let answer = request.send().promise.await?;
    answer.get()?.get_session()
}

/// Writes a newer program's gossip, with fields that the current one doesn't know.
fn write_gossip(mut gossip: peer_next_capnp::gossip::Builder<'_>) {
    gossip.set_start(9);
    gossip.set_load(77);
    gossip.reborrow().init_notes(1).set(0, "a note");
    // An instance with a status that was added later and can't be interpreted.
    let mut update = gossip.init_updates(1).get(0);
    update.set_id("entry-8");
    update.set_address("127.0.0.1:9");
    update.set_zone("stgo-a");
    update.set_status(9);
}

/// A newer program sends fields, a body, a member's status and a call that the current one doesn't
/// know. The body must be answered with none and the call with "unimplemented"; the connection must
/// stay open, and a probe that follows on it must be answered.
#[test]
fn what_a_newer_program_adds_does_not_disconnect_it() {
    task::block_on(async {
        let (current, _) = start("entry-1", 1, None);
        let session = newer_session(current.me()).await.unwrap();
        let mut request = session.exchange_request();
        let mut message = request.get().init_message();
        write_gossip(message.reborrow().init_gossip());
        message.set_hint("what to do");
        let answer = request.send().promise.await.unwrap();
        let answer = answer.get().unwrap().get_message().unwrap();
        assert_eq!(answer.get_gossip().unwrap().get_load(), 0);
        let body = answer.which().unwrap();
        assert!(matches!(body, peer_next_capnp::message::None(())));

        let mut request = session.inspect_request();
        request.get().set_topic("load");
        let refused = request.send().promise.await.err();
        assert_eq!(refused.unwrap().kind, ErrorKind::Unimplemented);

        let mut request = session.exchange_request();
        let mut message = request.get().init_message();
        write_gossip(message.reborrow().init_gossip());
        message.set_probe("entry-1");
        let answer = request.send().promise.await.unwrap();
        let answer = answer.get().unwrap().get_message().unwrap();
        assert_eq!(answer.get_gossip().unwrap().get_start(), 1);
        let body = answer.which().unwrap();
        assert!(matches!(body, peer_next_capnp::message::Ack(_)));
        let live = Program::Current(current).live();
        assert!(!live.contains(&"entry-8".to_owned()), "{live:?}");
    });
}
