//! Links between instances that can be cut, one way or both.
//!
//! Each instance is reached through a relay of its own. The relay learns from a connection's
//! greeting who calls, so that it knows the link. Instances tell each other the addresses they listen
//! on, and would soon go past the relays; as a translator of addresses does in a network, a relay
//! puts the relays' addresses in the place of the instances' own in what passes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use futures::future::select;

use super::any_address;
use super::balancer::Cancelled;

/// Between two looks whether a cut is healed.
const PAUSE: Duration = Duration::from_millis(10);

/// What every address begins with.
const ADDRESS: &[u8] = b"127.0.0.1:";

/// What every instance's name begins with; one digit follows.
const NAME: &[u8] = b"entry-";

/// Digits of a port.
const DIGITS: usize = 5;

/// One direction between two instances, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Way {
    from: usize,
    to: usize,
}

#[derive(Default)]
struct State {
    cut: BTreeSet<Way>,
    /// Relay's address by the instance's own, both as text.
    names: BTreeMap<Vec<u8>, Vec<u8>>,
}

/// All links of a fleet; the relays end when dropped.
#[derive(Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
    relays: Vec<Cancelled>,
}

impl Links {
    /// Opens the relay of the instance `to` that listens on `own`.
    pub fn open(&mut self, to: usize, own: SocketAddr) -> SocketAddr {
        let listener = task::block_on(TcpListener::bind(any_address())).unwrap();
        let address = listener.local_addr().unwrap();
        let state = self.state.clone();
        let (from, by) = (own.to_string(), address.to_string());
        assert_eq!(from.len(), ADDRESS.len() + DIGITS, "{from}");
        assert_eq!(by.len(), from.len(), "{by}");
        let mut locked = state.lock().unwrap();
        locked.names.insert(from.into_bytes(), by.into_bytes());
        drop(locked);
        self.relays.push(Cancelled::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                task::spawn(relay(state.clone(), caller, to, own));
            }
        }));
        address
    }

    /// Lets nothing more through from one instance to another. What was sent arrives once the link
    /// is healed, as after a loss of packets in a network.
    pub fn cut_way(&self, from: usize, to: usize) {
        self.state.lock().unwrap().cut.insert(Way { from, to });
    }

    /// Cuts every link between two groups, both ways.
    pub fn split(&self, some: &[usize], others: &[usize]) {
        for &one in some {
            for &other in others {
                self.cut_way(one, other);
                self.cut_way(other, one);
            }
        }
    }

    /// Heals every link.
    pub fn heal(&self) {
        self.state.lock().unwrap().cut.clear();
    }
}

async fn relay(state: Arc<Mutex<State>>, mut caller: TcpStream, to: usize, own: SocketAddr) {
    let Some((from, greeting)) = greeting(&mut caller).await else {
        return;
    };
    let there = Way { from, to };
    let back = Way { from: to, to: from };
    wait_open(&state, there).await;
    let Ok(callee) = TcpStream::connect(own).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let up = pass(&state, there, greeting, caller.clone(), callee.clone()).boxed();
    let down = pass(&state, back, Vec::new(), callee, caller).boxed();
    select(up, down).await;
}

/// Reads until the caller has named itself.
async fn greeting(caller: &mut TcpStream) -> Option<(usize, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        read_some(caller, &mut bytes).await?;
        let after = NAME.len();
        let mut windows = bytes.windows(after + 1);
        let name = windows.find(|w| w.starts_with(NAME) && w[after].is_ascii_digit());
        if let Some(name) = name {
            return Some((usize::from(name[after] - b'0'), bytes));
        }
    }
}

/// Carries bytes one way until the connection ends.
async fn pass(
    state: &Mutex<State>,
    way: Way,
    begun: Vec<u8>,
    mut from: TcpStream,
    mut to: TcpStream,
) -> Option<()> {
    let mut bytes = begun;
    loop {
        if bytes.is_empty() || ends_within_address(&bytes) {
            read_some(&mut from, &mut bytes).await?;
            continue;
        }
        translate(state, &mut bytes);
        wait_open(state, way).await;
        to.write_all(&bytes).await.ok()?;
        bytes.clear();
    }
}

async fn read_some(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk).await.ok()?;
    bytes.extend_from_slice(&chunk[..count]);
    (count > 0).then_some(())
}

async fn wait_open(state: &Mutex<State>, way: Way) {
    while state.lock().unwrap().cut.contains(&way) {
        task::sleep(PAUSE).await;
    }
}

/// Whether the rest of an address is still to come: translated in halves it would be missed.
fn ends_within_address(bytes: &[u8]) -> bool {
    let tail = bytes.len().saturating_sub(ADDRESS.len() + DIGITS - 1);
    (tail..bytes.len()).any(|start| {
        let rest = &bytes[start..];
        let known = rest.len().min(ADDRESS.len());
        // Shorter beginnings are common in other data, whose rest may never come.
        known >= 4
            && rest[..known] == ADDRESS[..known]
            && rest[known..].iter().all(u8::is_ascii_digit)
    })
}

fn translate(state: &Mutex<State>, bytes: &mut [u8]) {
    let state = state.lock().unwrap();
    let length = ADDRESS.len() + DIGITS;
    let mut at = 0;
    while at + length <= bytes.len() {
        let place = &mut bytes[at..at + length];
        match state.names.get(&*place) {
            Some(name) => {
                place.copy_from_slice(name);
                at += length;
            }
            None => at += 1,
        }
    }
}
