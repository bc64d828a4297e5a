//! Programs that send without end, as caller and as callee: their connection is closed in time, and the instance
//! serves others meanwhile.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::task;
use crocushold_base::Millis;
use crocushold_ownership::AccountId;
use crocushold_ownership::ReturnRequest;
use crocushold_peers::CallError;
use crocushold_peers::Instance;
use crocushold_peers::Limits;
use crocushold_peers::ListedInstance;
use crocushold_peers::Request;
use test_case::test_case;

#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, dead_code, missing_docs)]
#[allow(unreachable_pub)]
#[rustfmt::skip]
#[path = "../src/generated/peer_capnp.rs"]
mod peer_capnp;

mod common;

use common::connect;
use common::say_hello;
use common::start;

/// Messages of no words.
const EMPTY_MESSAGES: [u8; 8] = [0; 8];

/// A message of more segments than there may be.
const SEGMENTS: [u8; 8] = [0xff; 8];

/// A message of half a gigabyte.
const LONG_MESSAGE: [u8; 8] = [0, 0, 0, 0, 0, 0, 0, 4];

/// A message of the longest permitted length, less a word.
const MESSAGE: [u8; 8] = [0, 0, 0, 0, 0xff, 0xff, 0, 0];

/// Bytes of one write.
const BLOCK_BYTES: usize = 64 * 1024;

/// Time after the handshake timeout in which a connection has ended, on a busy machine.
const SLACK: Duration = Duration::from_secs(3);

/// Sends `cycle` until the peer closes the connection, and returns how long that took.
fn flood(mut stream: TcpStream, cycle: &[u8], pause: Duration) -> Duration {
    let began = Instant::now();
    let block = if pause.is_zero() {
        cycle.repeat(BLOCK_BYTES / cycle.len())
    } else {
        cycle.to_vec()
    };
    while stream.write_all(&block).is_ok() {
        thread::sleep(pause);
    }
    began.elapsed()
}

/// Says hello, and leaves: otherwise the connection would count against the limit on those without the key.
async fn greet(address: SocketAddr) {
    let (gate, connection) = connect(address).await;
    say_hello(&gate).await;
    connection.cancel().await;
}

/// Guards against a caller without the key that keeps a connection, or the instance from all others.
#[test_case(&EMPTY_MESSAGES, Duration::ZERO; "empty messages")]
#[test_case(&EMPTY_MESSAGES, Duration::from_millis(2); "empty messages slowly")]
#[test_case(&SEGMENTS, Duration::ZERO; "segments")]
#[test_case(&LONG_MESSAGE, Duration::ZERO; "a long message")]
#[test_case(&MESSAGE, Duration::ZERO; "messages")]
#[test_case(&MESSAGE, Duration::from_millis(2); "a message slowly")]
fn a_caller_that_sends_without_end_is_let_go(cycle: &'static [u8], pause: Duration) {
    let node = start();
    let address = node.me().address;
    let stream = TcpStream::connect(address).expect("it listens");
    let flooding = thread::spawn(move || flood(stream, cycle, pause));
    let exchange = Duration::from(Limits::default().exchange_timeout);
    while !flooding.is_finished() {
        let greeted = task::block_on(timeout(exchange, greet(address)));
        greeted.expect("others are served");
        thread::sleep(Duration::from_millis(20));
    }
    let lasted = flooding.join().expect("the thread ends");
    let limit = Duration::from(Limits::default().handshake_timeout) + SLACK;
    assert!(lasted < limit, "{lasted:?}");
}

/// Guards against a call that lasts, or an instance that serves nobody, because the program at a listed address
/// sends without end.
#[test_case(&EMPTY_MESSAGES; "empty messages")]
#[test_case(&SEGMENTS; "segments")]
#[test_case(&LONG_MESSAGE; "a long message")]
#[test_case(&MESSAGE; "messages")]
fn a_callee_that_sends_without_end_is_an_error(cycle: &'static [u8]) {
    let node = start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || flood(stream, cycle, Duration::ZERO));
        }
    });
    let listed = ListedInstance {
        instance: Instance::new("entry-2", address, "stgo-a"),
        leaving: false,
    };
    node.instance_list(vec![listed.clone()]);
    let settle = Request::Return(ReturnRequest {
        account: AccountId(1),
        kept: 1,
    });
    let limits = Limits::default();
    let outcome = task::block_on(async {
        let call = node.call(&listed.instance.id, settle, Millis::from_secs(60));
        let span = Duration::from(limits.handshake_timeout) + SLACK;
        let outcome = timeout(span, call).await.expect("the call ends");
        let greeted = timeout(limits.exchange_timeout.into(), greet(node.me().address));
        greeted.await.expect("others are served");
        outcome
    });
    let refused = matches!(outcome, Err(CallError::Connect(_) | CallError::CircuitOpen));
    assert!(refused, "{outcome:?}");
}
