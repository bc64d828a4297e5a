//! An instance, and a program that speaks its protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use crocushold_peers::Instance;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::RefuseAll;
use crocushold_peers::Settings;
use crocushold_peers::SharedKey;
use futures::AsyncReadExt;

use crate::peer_capnp::gate;

pub(crate) fn start() -> PeerHandle {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let me = Instance::new("entry-1", address, "stgo-a");
    let settings = Settings::new(me, SharedKey::new(b"key"), 1, 1);
    let started = PeerNode::start(settings, Arc::new(RefuseAll));
    started.expect("loopback can be listened on").handle
}

pub(crate) fn network(
    stream: TcpStream,
    side: Side,
) -> Box<VatNetwork<futures::io::ReadHalf<TcpStream>>> {
    let (input, output) = stream.split();
    Box::new(VatNetwork::new(input, output, side, ReaderOptions::new()))
}

/// Connects to an instance. The connection is open while the task runs.
pub(crate) async fn connect(address: SocketAddr) -> (gate::Client, JoinHandle<capnp::Result<()>>) {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let gate = system.bootstrap(Side::Server);
    (gate, task::spawn_local(system))
}

/// Says hello, as another instance does first.
pub(crate) async fn say_hello(gate: &gate::Client) {
    let mut hello = gate.hello_request();
    hello.get().set_min_version(1);
    hello.get().set_max_version(2);
    hello.get().set_id("entry-2");
    hello.get().set_challenge(&[7; 32]);
    let answer = hello.send().promise.await;
    assert!(answer.is_ok());
}
