//! A program that speaks the protocol but doesn't hold the key, as caller and as callee.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ReturnRequest;
use crocushold_peers::CallError;
use crocushold_peers::Instance;
use crocushold_peers::ListedInstance;
use crocushold_peers::Request;

#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, dead_code, missing_docs)]
#[allow(unreachable_pub)]
#[rustfmt::skip]
#[path = "../src/generated/peer_capnp.rs"]
mod peer_capnp;

mod common;

use common::connect;
use common::network;
use common::say_hello;
use common::start;
use peer_capnp::gate;
use peer_capnp::session;

/// Maximum time that a test waits for an expected state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The caller sends a hello and invalid proofs, and also tries to authenticate without a hello. It
/// must receive no session, and neither the name nor a proof of the instance.
#[test]
fn a_caller_without_the_key_gets_no_session() {
    task::block_on(async {
        let node = start();
        for says_hello in [true, false] {
            for proof in [[0_u8; 32].as_slice(), &[]] {
                let (gate, _) = connect(node.me().address).await;
                if says_hello {
                    say_hello(&gate).await;
                }
                let mut request = gate.authenticate_request();
                request.get().set_proof(proof);
                let answer = timeout(TIMEOUT, request.send().promise).await;
                assert!(matches!(answer, Ok(Err(_))), "the caller was authenticated");
            }
        }
    });
}

/// A server without the key that accepts every caller and counts the calls that it receives.
struct RogueServer {
    calls: Rc<Cell<usize>>,
}

impl gate::Server for RogueServer {
    async fn hello(
        self: Rc<Self>,
        _params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> capnp::Result<()> {
        results.get().set_version(2);
        results.get().set_challenge(&[9; 32]);
        Ok(())
    }

    async fn authenticate(
        self: Rc<Self>,
        params: gate::AuthenticateParams,
        mut results: gate::AuthenticateResults,
    ) -> capnp::Result<()> {
        // Reflects the caller's own proof.
        results.get().set_proof(params.get()?.get_proof()?);
        results.get().set_id("entry-2");
        let calls = self.calls.clone();
        results
            .get()
            .set_session(capnp_rpc::new_client(RogueServer { calls }));
        Ok(())
    }
}

impl session::Server for RogueServer {
    async fn settle(
        self: Rc<Self>,
        _params: session::SettleParams,
        _results: session::SettleResults,
    ) -> capnp::Result<()> {
        self.calls.set(self.calls.get() + 1);
        Ok(())
    }
}

/// A program without the key took over a listed address, accepts every caller and reflects the
/// caller's own proof. The caller must not send it any call.
#[test]
fn a_callee_without_the_key_gets_no_call() {
    task::block_on(async {
        let node = start();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let listed = ListedInstance {
            instance: Instance::new("entry-2", address, "stgo-a"),
            leaving: false,
        };
        let calls = Rc::new(Cell::new(0));
        let counted = calls.clone();
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let calls = counted.clone();
                let gate: gate::Client = capnp_rpc::new_client(RogueServer { calls });
                let network = network(stream, Side::Server);
                task::spawn_local(RpcSystem::new(network, Some(gate.client)));
            }
        });
        node.instance_list(vec![listed.clone()]);
        let settle = Request::Return(ReturnRequest {
            account: AccountId(1),
            kept: 1,
        });
        let deadline = Millis::from_secs(5);
        let outcome = node.call(&listed.instance.id, settle, deadline).await;
        let refused = matches!(outcome, Err(CallError::Connect(_) | CallError::CircuitOpen));
        assert!(refused, "{outcome:?}");
        assert_eq!(calls.get(), 0);
        assert_eq!(node.view().live(), 1);
    });
}
