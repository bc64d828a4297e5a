//! Tests of nodes on loopback sockets: frozen peers, authentication, oversized messages, protocol
//! versions, calls.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::task;
use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::BorrowReply;
use crocushold_ownership::BorrowRequest;
use crocushold_ownership::ClaimId;
use crocushold_ownership::ClaimKey;
use crocushold_ownership::ClaimRequest;
use crocushold_ownership::ClaimState;
use crocushold_ownership::Entry;
use crocushold_ownership::GroupId;
use crocushold_ownership::Mark;
use crocushold_ownership::Member;
use crocushold_ownership::Outcome;
use crocushold_ownership::Record;
use crocushold_ownership::RequestDigest;
use crocushold_ownership::ReturnRequest;
use crocushold_ownership::SettleRequest;
use crocushold_ownership::TransferRequest;
use crocushold_ownership::ViewId;
use crocushold_ownership::Vote;
use crocushold_peers::CallError;
use crocushold_peers::Handler;
use crocushold_peers::Index;
use crocushold_peers::IndexEntry;
use crocushold_peers::Instance;
use crocushold_peers::Limits;
use crocushold_peers::ListedInstance;
use crocushold_peers::PartText;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::PlatformRead;
use crocushold_peers::PlatformRequest;
use crocushold_peers::ReadFailed;
use crocushold_peers::Request;
use crocushold_peers::Response;
use crocushold_peers::Settings;
use crocushold_peers::SharedKey;
use crocushold_peers::Started;
use crocushold_peers::Versions;

/// Maximum time that a test waits for an expected state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Deadline of the calls in these tests.
const DEADLINE: Millis = Millis(400);

/// Answers every claim and lends half of the requested units; records the requests.
#[derive(Default)]
struct Recorder(Mutex<Vec<Request>>);

impl Handler for Recorder {
    fn handle(&self, _from: Member, request: Request) -> Response {
        self.0
            .lock()
            .expect("no holder panics")
            .push(request.clone());
        match request {
            Request::Claim(_) => granted(),
            Request::Borrow(request) => Response::Lent(BorrowReply {
                units: request.units / 2.0,
                slots: request.slots,
            }),
            _ => Response::Done,
        }
    }
}

fn settings(number: u64, key: &[u8]) -> Settings {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let me = Instance::new(&format!("entry-{number}"), address, "stgo-a");
    Settings::new(me, SharedKey::new(key), number, number)
}

fn start(settings: Settings) -> (PeerHandle, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::default());
    let started = PeerNode::start(settings, recorder.clone()).expect("loopback can be listened on");
    let handle = started.handle.clone();
    task::spawn(answer(started));
    (handle, recorder)
}

/// Serves platform reads: for `entry-1` one part at revision 1; for all others the platform is
/// down.
async fn answer(started: Started) {
    let reads = started.handle.me().id.as_str() == "entry-1";
    while let Ok(request) = started.platform.recv().await {
        let failed = Err(ReadFailed::default());
        let team: Arc<str> = Arc::from("clara");
        let entry = IndexEntry {
            team: team.clone(),
            revision: 1,
        };
        let read = match request {
            PlatformRequest::ReadPart(team) => {
                let part = PartText {
                    team: team.clone(),
                    revision: 1,
                    text: Arc::from("[service chat]"),
                };
                PlatformRead::Part(team, Ok(part))
            }
            PlatformRequest::WatchIndex { .. } => continue,
            PlatformRequest::ReadIndex if reads => PlatformRead::Index(Ok(Index {
                revision: 1,
                parts: vec![entry],
            })),
            PlatformRequest::ReadIndex => PlatformRead::Index(failed),
        };
        started.handle.platform_read(read);
    }
}

fn introduce(handles: &[&PeerHandle], others: &[Instance]) {
    let mine = handles.iter().map(|handle| handle.me().clone());
    let listed: Vec<ListedInstance> = mine
        .chain(others.iter().cloned())
        .map(|instance| ListedInstance {
            instance,
            leaving: false,
        })
        .collect();
    for handle in handles {
        handle.instance_list(listed.clone());
    }
}

async fn wait_for(handle: &PeerHandle, what: &str, holds: impl Fn(&PeerHandle) -> bool) {
    let notices = handle.subscribe();
    let waiting = async {
        while !holds(handle) {
            notices.recv().await.expect("the node runs");
        }
    };
    assert!(timeout(TIMEOUT, waiting).await.is_ok(), "timed out: {what}");
}

/// An answer that contains a number, so that a lost field is noticed.
fn granted() -> Response {
    Response::Vote(Vote::InProgress {
        retry_after: Millis(7),
    })
}

fn try_of(claimant: &str) -> ClaimId {
    ClaimId {
        claimant: Member::new(claimant, 3),
        seq: 4,
    }
}

fn claim() -> Request {
    Request::Claim(ClaimRequest {
        key: ClaimKey(0x0123_4567_89ab_cdef_0011_2233_4455_6677),
        claim: try_of("entry-1"),
        digest: RequestDigest(8),
        account: AccountId(12),
        group: GroupId(5),
    })
}

fn settle() -> Request {
    Request::Settle(SettleRequest {
        key: ClaimKey(9),
        claim: try_of("entry-2"),
        digest: RequestDigest(8),
        account: AccountId(12),
        outcome: Outcome::Completed { status: 201 },
    })
}

/// A transfer with one record in each state, and a mark in which no field has its default.
fn transfer() -> Request {
    let states = [
        ClaimState::NotRun,
        ClaimState::InProgress,
        ClaimState::Unknown,
        ClaimState::Done { status: 409 },
    ];
    let entries = states.into_iter().zip(1..).map(|(state, at)| Entry {
        key: ClaimKey(at),
        record: Record {
            digest: RequestDigest(at as u64),
            account: AccountId(13),
            claim: (state != ClaimState::Unknown).then(|| try_of("entry-3")),
            time: Millis(70),
            state,
        },
    });
    Request::Transfer(TransferRequest {
        view: ViewId(11),
        entries: entries.collect(),
        mark: Some(Mark {
            seq: 2,
            warm: true,
            hold: Millis(500),
            lost: vec![Member::new("entry-4", 1)],
            leaving: true,
        }),
    })
}

fn give_back() -> Request {
    Request::Return(ReturnRequest {
        account: AccountId(6),
        kept: 1,
    })
}

async fn meet(handles: &[&PeerHandle]) {
    introduce(handles, &[]);
    for handle in handles {
        wait_for(handle, "all see each other", |h| {
            h.view().live() == handles.len()
        })
        .await;
    }
}

#[test]
fn calls_reach_the_peers_handler() {
    task::block_on(async {
        let (one, _) = start(settings(1, b"key"));
        let (two, recorder) = start(settings(2, b"key"));
        meet(&[&one, &two]).await;
        let two_id = &two.me().id;
        assert_eq!(one.call(two_id, claim(), DEADLINE).await, Ok(granted()));
        let borrow = Request::Borrow(BorrowRequest {
            account: AccountId(6),
            units: 40.0,
            slots: 3,
            held: 2,
        });
        let lent = Response::Lent(BorrowReply {
            units: 20.0,
            slots: 3,
        });
        assert_eq!(one.call(two_id, borrow.clone(), DEADLINE).await, Ok(lent));
        let others = [settle(), transfer(), give_back()];
        for request in &others {
            let done = one.call(two_id, request.clone(), DEADLINE).await;
            assert_eq!(done, Ok(Response::Done));
        }
        let mut expected = vec![claim(), borrow];
        expected.extend(others);
        let asked = recorder.0.lock().unwrap().clone();
        assert_eq!(asked, expected);
    });
}

/// One of four instances accepts connections but never answers. A caller waits for its deadline a
/// few times; then calls to that instance must fail at once, and calls to the others must never be
/// slower.
#[test]
fn a_frozen_peer_costs_its_callers_little() {
    task::block_on(async {
        let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = frozen.local_addr().unwrap();
        let frozen = Instance::new("entry-9", address, "stgo-a");
        let nodes: Vec<_> = (1..=3).map(|n| start(settings(n, b"key")).0).collect();
        let handles: Vec<&PeerHandle> = nodes.iter().collect();
        introduce(&handles, std::slice::from_ref(&frozen));
        for handle in &handles {
            wait_for(handle, "three see each other", |h| h.view().live() == 3).await;
        }
        let mut refused = 0;
        for _ in 0..20 {
            let outcome = nodes[0].call(&frozen.id, claim(), DEADLINE).await;
            refused += usize::from(outcome == Err(CallError::CircuitOpen));
            let began = Instant::now();
            let other = nodes[0].call(&nodes[1].me().id, claim(), DEADLINE).await;
            assert!(other.is_ok(), "{other:?}");
            assert!(began.elapsed() < Duration::from(DEADLINE));
        }
        assert!(refused >= 14, "only {refused} of 20 calls failed at once");
    });
}

/// An instance with another key lists the fleet, is listed by it, and calls it. Neither side may
/// add the other to its view, no call may reach a handler, and the configuration must not be
/// disclosed.
#[test]
fn an_instance_with_another_key_is_isolated() {
    task::block_on(async {
        let (one, recorder) = start(settings(1, b"key"));
        let (two, _) = start(settings(2, b"key"));
        let (outsider, outsider_recorder) = start(settings(3, b"another key"));
        introduce(&[&one, &two, &outsider], &[]);
        wait_for(&one, "two see each other", |h| h.view().live() == 2).await;
        wait_for(&two, "the configuration", |h| h.config().is_some()).await;
        // An open circuit means that earlier connection attempts of the membership were rejected.
        let is_refused = |outcome: &Result<Response, CallError>| {
            matches!(outcome, Err(CallError::Connect(_) | CallError::CircuitOpen))
        };
        for peer in [&one, &two] {
            let outcome = outsider.call(&peer.me().id, claim(), DEADLINE).await;
            assert!(is_refused(&outcome), "{outcome:?}");
            let outcome = peer.call(&outsider.me().id, claim(), DEADLINE).await;
            assert!(is_refused(&outcome), "{outcome:?}");
        }
        assert!(recorder.0.lock().unwrap().is_empty());
        assert!(outsider_recorder.0.lock().unwrap().is_empty());
        assert_eq!(outsider.view().live(), 1);
        assert!(outsider.config().is_none());
        assert_eq!(one.view().live(), 2);
    });
}

/// Reads until the connection is closed, and checks that nothing was disclosed.
fn assert_closed(stream: &mut TcpStream) {
    let timeout = stream.set_read_timeout(Some(TIMEOUT));
    timeout.expect("not zero");
    let mut answer = Vec::new();
    // A reset counts as closed; a timeout doesn't.
    if let Err(err) = stream.read_to_end(&mut answer) {
        assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    }
    let refusal = String::from_utf8_lossy(&answer);
    assert!(!refusal.contains("entry-1"), "{refusal}");
}

fn with_handshake(span: Millis) -> Settings {
    let limits = Limits {
        handshake_timeout: span,
        ..Limits::default()
    };
    Settings {
        limits,
        ..settings(1, b"key")
    }
}

/// A client connects and sends nothing, to use up the instance's connections.
#[test]
fn silent_connections_are_closed() {
    let (one, _) = start(with_handshake(Millis(300)));
    let mut outsider = TcpStream::connect(one.me().address).unwrap();
    assert_closed(&mut outsider);
}

/// A client announces a message of a gigabyte, to use up the instance's memory. The connection must
/// be closed at once, not only when the handshake times out.
#[test]
fn oversized_messages_close_the_connection() {
    let (one, _) = start(with_handshake(Millis::from_secs(600)));
    let mut outsider = TcpStream::connect(one.me().address).unwrap();
    let words: u32 = 1 << 27;
    outsider.write_all(&0_u32.to_le_bytes()).unwrap();
    outsider.write_all(&words.to_le_bytes()).unwrap();
    assert_closed(&mut outsider);
    task::block_on(async {
        let (two, _) = start(settings(2, b"key"));
        meet(&[&one, &two]).await;
    });
}

/// During an upgrade, a program of the first version and one of the newest run side by side: they
/// must see each other, share the configuration and call each other.
#[test]
fn an_old_and_a_new_version_work_side_by_side() {
    task::block_on(async {
        let (new, _) = start(settings(1, b"key"));
        let (old, recorder) = start(Settings {
            versions: Versions {
                oldest: 1,
                newest: 1,
            },
            ..settings(2, b"key")
        });
        meet(&[&new, &old]).await;
        wait_for(&old, "the configuration", |h| h.config().is_some()).await;
        let outcome = new.call(&old.me().id, claim(), DEADLINE).await;
        assert!(outcome.is_ok(), "{outcome:?}");
        let outcome = old.call(&new.me().id, claim(), DEADLINE).await;
        assert!(outcome.is_ok(), "{outcome:?}");
        assert_eq!(recorder.0.lock().unwrap().len(), 1);
    });
}

#[test]
fn versions_without_overlap_do_not_connect() {
    task::block_on(async {
        let (one, _) = start(settings(1, b"key"));
        let (future, _) = start(Settings {
            versions: Versions {
                oldest: 30,
                newest: 31,
            },
            ..settings(2, b"key")
        });
        introduce(&[&one, &future], &[]);
        let outcome = future.call(&one.me().id, claim(), DEADLINE).await;
        assert!(matches!(outcome, Err(CallError::Connect(_))), "{outcome:?}");
    });
}

/// Another instance took over the listed address.
#[test]
fn a_call_never_reaches_another_instance_at_the_same_address() {
    task::block_on(async {
        let (one, _) = start(settings(1, b"key"));
        let (two, recorder) = start(settings(2, b"key"));
        let wrong = Instance::new("entry-7", two.me().address, "stgo-a");
        introduce(&[&one], std::slice::from_ref(&wrong));
        let mut outcome = Err(CallError::NoPeer);
        for _ in 0..100 {
            outcome = one.call(&wrong.id, claim(), DEADLINE).await;
            if outcome != Err(CallError::NoPeer) {
                break;
            }
            task::yield_now().await;
        }
        let found = two.me().id.clone();
        assert_eq!(outcome, Err(CallError::Replaced(found)));
        assert!(recorder.0.lock().unwrap().is_empty());
    });
}

#[test]
fn a_stopped_node_answers_calls_with_an_error() {
    task::block_on(async {
        let (one, _) = start(settings(1, b"key"));
        one.stop().await;
        let me = one.me().id.clone();
        let stopped = async {
            while one.call(&me, claim(), DEADLINE).await != Err(CallError::Stopped) {
                task::yield_now().await;
            }
        };
        assert!(timeout(TIMEOUT, stopped).await.is_ok());
    });
}
