//! Network traffic of an idle pair of nodes, each listening behind a forwarder that counts bytes.
//!
//! `cargo run --release -p crocushold-peers --example wire`

use std::error::Error;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::task;
use crocushold_peers::Index;
use crocushold_peers::Instance;
use crocushold_peers::ListedInstance;
use crocushold_peers::PeerHandle;
use crocushold_peers::PeerNode;
use crocushold_peers::PlatformRead;
use crocushold_peers::RefuseAll;
use crocushold_peers::Settings;
use crocushold_peers::SharedKey;

/// Duration of the measurement.
const SPAN: Duration = Duration::from_secs(20);

/// Size of the IP and TCP headers with timestamps, in bytes.
const HEADERS: u64 = 52;

#[derive(Default)]
struct Counter {
    bytes: AtomicU64,
    segments: AtomicU64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let counter = Arc::new(Counter::default());
    let nodes = [start(1, &counter)?, start(2, &counter)?];
    let listed: Vec<ListedInstance> = nodes
        .iter()
        .map(|node| ListedInstance {
            instance: node.me().clone(),
            leaving: false,
        })
        .collect();
    for node in &nodes {
        node.instance_list(listed.clone());
        // An empty configuration makes the node ready; otherwise it would keep querying its peers.
        let empty = Index {
            revision: 0,
            parts: Vec::new(),
        };
        node.platform_read(PlatformRead::Index(Ok(empty)));
    }
    thread::sleep(Duration::from_secs(12));
    println!("joining and handshakes: {} bytes", read(&counter.bytes));
    let before = (read(&counter.bytes), read(&counter.segments));
    let spent = processor_time();
    thread::sleep(SPAN);
    let spent = processor_time() - spent;
    println!(
        "processor time: {:.3}% of a core a node, forwarders included",
        spent / 2.0 / SPAN.as_secs_f64() * 100.0
    );
    let bytes = read(&counter.bytes) - before.0;
    let segments = read(&counter.segments) - before.1;
    // Each node probes once a second; one pure acknowledgement is assumed for every second segment.
    let exchanges = 2 * SPAN.as_secs();
    let payload = bytes / exchanges;
    let packets = segments as f64 * 1.5 / exchanges as f64;
    println!("one exchange: {payload} bytes of payload in {packets:.1} packets");
    println!(
        "one exchange with headers: {:.0} bytes",
        payload as f64 + packets * HEADERS as f64
    );
    task::block_on(async {
        for node in &nodes {
            node.stop().await;
        }
    });
    Ok(())
}

/// Returns the processor time of all threads in seconds.
fn processor_time() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten();
    let spent = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<f64>().ok()
    });
    spent.sum::<f64>() / 1e9
}

fn read(value: &AtomicU64) -> u64 {
    value.load(Ordering::Relaxed)
}

fn start(number: u64, counter: &Arc<Counter>) -> Result<PeerHandle, Box<dyn Error>> {
    let front = TcpListener::bind("127.0.0.1:0")?;
    let probe = TcpListener::bind("127.0.0.1:0")?;
    let listen = probe.local_addr()?;
    drop(probe);
    let me = Instance::new(&format!("entry-{number}"), front.local_addr()?, "stgo-a");
    let key = SharedKey::new(b"key");
    let settings = Settings {
        listen,
        ..Settings::new(me, key, number, number)
    };
    let counter = counter.clone();
    thread::spawn(move || forward_all(&front, listen, &counter));
    let started = PeerNode::start(settings, Arc::new(RefuseAll))?;
    Ok(started.handle)
}

fn forward_all(front: &TcpListener, back: SocketAddr, counter: &Arc<Counter>) {
    for caller in front.incoming().flatten() {
        let Ok(callee) = TcpStream::connect(back) else {
            continue;
        };
        let _ = caller.set_nodelay(true);
        let _ = callee.set_nodelay(true);
        if let (Ok(from), Ok(to)) = (caller.try_clone(), callee.try_clone()) {
            forward(from, to, counter.clone());
            forward(callee, caller, counter.clone());
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, counter: Arc<Counter>) {
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
            counter.bytes.fetch_add(count as u64, Ordering::Relaxed);
            counter.segments.fetch_add(1, Ordering::Relaxed);
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
