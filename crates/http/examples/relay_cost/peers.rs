//! The engine and the callers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::task;

const TICK: Duration = Duration::from_millis(20);
/// How long the streams run before their events count.
const SETTLE: Duration = Duration::from_millis(500);

const OPENING: u8 = 0;
const COUNTING: u8 = 1;
const CLOSING: u8 = 2;

const PACERS: usize = 3;
const PADDING: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
const STAMP: &[u8] = b"\"t\":\"";
const DIGITS: usize = 12;

type Streams = Arc<Mutex<Vec<TcpStream>>>;

pub(crate) fn run(args: &[String]) {
    let relay: SocketAddr = args[0].parse().unwrap();
    let streams: usize = args[1].parse().unwrap();
    let span = Duration::from_secs(args[2].parse().unwrap());
    let start = Instant::now();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = listener.local_addr().unwrap();
    let shelves: Vec<Streams> = (0..PACERS).map(|_| Streams::default()).collect();
    for shelf in &shelves {
        let shelf = shelf.clone();
        thread::spawn(move || pace(&shelf, start));
    }
    thread::spawn(move || accept(&listener, &shelves));
    println!("{engine}");
    for (name, addr) in [("direct", engine), ("relayed", relay)] {
        let mut delays = task::block_on(listen(addr, streams, span, start));
        delays.sort_unstable();
        let at = |share: f64| delays[(delays.len() as f64 * share) as usize];
        println!(
            "{name}: {} events, {:.0} a second, delay p50 {} us, p99 {} us",
            delays.len(),
            delays.len() as f64 / span.as_secs_f64(),
            at(0.5),
            at(0.99)
        );
        println!("mark event {} {}", delays.len(), span.as_millis());
        let begun = Instant::now();
        let requests = task::block_on(ask(addr, 16, span / 2));
        let millis = begun.elapsed().as_millis();
        println!(
            "{name}: {:.0} requests a second",
            requests as f64 * 1e3 / millis as f64
        );
        println!("mark request {requests} {millis}");
    }
}

/// Accepts connections; each either becomes a stream or answers short requests.
fn accept(listener: &TcpListener, shelves: &[Streams]) {
    for (number, stream) in listener.incoming().enumerate() {
        let mut stream = stream.unwrap();
        stream.set_nodelay(true).unwrap();
        let shelf = shelves[number % shelves.len()].clone();
        thread::Builder::new()
            .stack_size(64 * 1024)
            .spawn(move || serve(&mut stream, &shelf))
            .unwrap();
    }
}

fn serve(stream: &mut TcpStream, shelf: &Streams) {
    let mut head = [0; 2048];
    loop {
        let count = stream.read(&mut head).unwrap_or(0);
        if count == 0 {
            return;
        }
        if head.starts_with(b"GET /stream") {
            let answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                          transfer-encoding: chunked\r\n\r\n";
            stream.write_all(answer.as_bytes()).unwrap();
            shelf.lock().unwrap().push(stream.try_clone().unwrap());
            return;
        }
        let answer =
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Writes an event on each stream a tick, spread over the tick.
fn pace(shelf: &Streams, start: Instant) {
    let mut next = Instant::now();
    let mut streams = Vec::new();
    loop {
        next += TICK;
        streams.append(&mut shelf.lock().unwrap());
        let count = streams.len();
        let mut index = 0;
        streams.retain(|mut stream| {
            index += 1;
            let due = next - TICK + TICK * index / count as u32;
            if let Some(rest) = due.checked_duration_since(Instant::now())
                && rest > Duration::from_micros(200)
            {
                thread::sleep(rest);
            }
            let stamp = start.elapsed().as_micros();
            let data = format!("data: {{\"t\":\"{stamp:0DIGITS$}\",\"x\":\"{PADDING}\"}}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            stream.write_all(chunk.as_bytes()).is_ok()
        });
        if let Some(rest) = next.checked_duration_since(Instant::now()) {
            thread::sleep(rest);
        }
    }
}

/// Reads `count` streams and returns the delay in microseconds of each event within `span`.
async fn listen(addr: SocketAddr, count: usize, span: Duration, start: Instant) -> Vec<u32> {
    let phase = Arc::new(AtomicU8::new(OPENING));
    let mut tasks = Vec::new();
    for _ in 0..count {
        let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
        let request = "GET /stream HTTP/1.1\r\nhost: engine\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let phase = phase.clone();
        tasks.push(task::spawn(read(stream, start, phase)));
    }
    task::sleep(SETTLE).await;
    println!("mark stream {count} 1000");
    phase.store(COUNTING, Ordering::Relaxed);
    task::sleep(span).await;
    phase.store(CLOSING, Ordering::Relaxed);
    let mut delays = Vec::new();
    for task in tasks {
        delays.extend(task.await);
    }
    delays
}

async fn read(
    mut stream: async_std::net::TcpStream,
    start: Instant,
    phase: Arc<AtomicU8>,
) -> Vec<u32> {
    let mut delays = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap();
        let now = start.elapsed().as_micros() as u64;
        let phase = phase.load(Ordering::Relaxed);
        if count == 0 || phase == CLOSING {
            return delays;
        }
        if phase == OPENING {
            continue;
        }
        let text = &buffer[..count];
        for place in 0..count {
            if !text[place..].starts_with(STAMP) {
                continue;
            }
            let from = place + STAMP.len();
            let digits = text.get(from..from + DIGITS);
            let stamp = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse::<u64>().ok());
            delays.extend(stamp.map(|stamp| now.saturating_sub(stamp) as u32));
        }
    }
}

/// Sends short requests on `count` kept connections, each after the answer to the one before.
async fn ask(addr: SocketAddr, count: usize, span: Duration) -> usize {
    let mut tasks = Vec::new();
    for _ in 0..count {
        tasks.push(task::spawn(async move {
            let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut buffer = [0; 2048];
            let begun = Instant::now();
            let mut done = 0;
            while begun.elapsed() < span {
                let request = "POST /short HTTP/1.1\r\nhost: engine\r\ncontent-length: 2\r\n\r\n{}";
                stream.write_all(request.as_bytes()).await.unwrap();
                let mut length = 0;
                while !buffer[..length].ends_with(b"hello") {
                    length += stream.read(&mut buffer[length..]).await.unwrap();
                }
                done += 1;
            }
            done
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await;
    }
    done
}
