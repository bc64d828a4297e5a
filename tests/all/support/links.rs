//! Links between instances that can be cut in one direction or both.
//!
//! Each instance is reached through a relay of its own, which learns from the handshake of a
//! connection who the caller is and thus which link it belongs to. Instances tell each other the
//! addresses on which they listen and would soon bypass the relays, so the relays replace these
//! addresses in the traffic by their own, as a network address translator does.

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
use super::balancer::CancelOnDrop;

/// Interval at which a cut link is checked for having healed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of every address.
const ADDRESS_PREFIX: &[u8] = b"127.0.0.1:";

/// Prefix of every instance name; one digit follows.
const NAME_PREFIX: &[u8] = b"entry-";

/// Number of digits of every port.
const PORT_DIGITS: usize = 5;

/// One direction of the link between two instances, given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: usize,
    to: usize,
}

#[derive(Default)]
struct State {
    cut: BTreeSet<Direction>,
    /// Relay addresses by the instances' own addresses, both as text.
    relay_addresses: BTreeMap<Vec<u8>, Vec<u8>>,
}

/// All links of a fleet. The relays end on drop.
#[derive(Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
    relays: Vec<CancelOnDrop>,
}

impl Links {
    /// Opens the relay of the instance `to` that listens on `own`.
    pub fn open(&mut self, to: usize, own: SocketAddr) -> SocketAddr {
        let listener = task::block_on(TcpListener::bind(any_address())).unwrap();
        let address = listener.local_addr().unwrap();
        let state = self.state.clone();
        let (from, relay_address) = (own.to_string(), address.to_string());
        assert_eq!(from.len(), ADDRESS_PREFIX.len() + PORT_DIGITS, "{from}");
        assert_eq!(relay_address.len(), from.len(), "{relay_address}");
        let mut locked = state.lock().unwrap();
        locked
            .relay_addresses
            .insert(from.into_bytes(), relay_address.into_bytes());
        drop(locked);
        self.relays.push(CancelOnDrop::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                task::spawn(relay(state.clone(), caller, to, own));
            }
        }));
        address
    }

    /// Stops all traffic from one instance to another. What was sent is delivered once the link is
    /// healed, as after packet loss in a network.
    pub fn cut(&self, from: usize, to: usize) {
        self.state
            .lock()
            .unwrap()
            .cut
            .insert(Direction { from, to });
    }

    /// Cuts all links between two groups in both directions.
    pub fn partition(&self, some: &[usize], others: &[usize]) {
        for &one in some {
            for &other in others {
                self.cut(one, other);
                self.cut(other, one);
            }
        }
    }

    /// Heals all links.
    pub fn heal(&self) {
        self.state.lock().unwrap().cut.clear();
    }
}

async fn relay(state: Arc<Mutex<State>>, mut caller: TcpStream, to: usize, own: SocketAddr) {
    let Some((from, handshake)) = handshake(&mut caller).await else {
        return;
    };
    let forth = Direction { from, to };
    let back = Direction { from: to, to: from };
    wait_until_open(&state, forth).await;
    let Ok(callee) = TcpStream::connect(own).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = callee.set_nodelay(true);
    let up = forward(&state, forth, handshake, caller.clone(), callee.clone()).boxed();
    let down = forward(&state, back, Vec::new(), callee, caller).boxed();
    select(up, down).await;
}

/// Reads until the caller has sent its name.
async fn handshake(caller: &mut TcpStream) -> Option<(usize, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        read_some(caller, &mut bytes).await?;
        let after = NAME_PREFIX.len();
        let mut windows = bytes.windows(after + 1);
        let name = windows.find(|w| w.starts_with(NAME_PREFIX) && w[after].is_ascii_digit());
        if let Some(name) = name {
            return Some((usize::from(name[after] - b'0'), bytes));
        }
    }
}

/// Forwards bytes in one direction until the connection ends.
async fn forward(
    state: &Mutex<State>,
    direction: Direction,
    initial: Vec<u8>,
    mut from: TcpStream,
    mut to: TcpStream,
) -> Option<()> {
    let mut bytes = initial;
    loop {
        if bytes.is_empty() || ends_within_address(&bytes) {
            read_some(&mut from, &mut bytes).await?;
            continue;
        }
        translate(state, &mut bytes);
        wait_until_open(state, direction).await;
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

async fn wait_until_open(state: &Mutex<State>, direction: Direction) {
    while state.lock().unwrap().cut.contains(&direction) {
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the bytes end within an address: translated in two parts, it would be missed.
fn ends_within_address(bytes: &[u8]) -> bool {
    let tail = bytes
        .len()
        .saturating_sub(ADDRESS_PREFIX.len() + PORT_DIGITS - 1);
    (tail..bytes.len()).any(|start| {
        let rest = &bytes[start..];
        let known = rest.len().min(ADDRESS_PREFIX.len());
        // Shorter prefixes are common in other data, whose rest may never arrive.
        known >= 4
            && rest[..known] == ADDRESS_PREFIX[..known]
            && rest[known..].iter().all(u8::is_ascii_digit)
    })
}

fn translate(state: &Mutex<State>, bytes: &mut [u8]) {
    let state = state.lock().unwrap();
    let length = ADDRESS_PREFIX.len() + PORT_DIGITS;
    let mut at = 0;
    while at + length <= bytes.len() {
        let candidate = &mut bytes[at..at + length];
        match state.relay_addresses.get(&*candidate) {
            Some(relay_address) => {
                candidate.copy_from_slice(relay_address);
                at += length;
            }
            None => at += 1,
        }
    }
}
