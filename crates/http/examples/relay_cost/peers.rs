//! The engine and the callers of the measurement.

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
/// How long the streams run before their events are measured.
const WARMUP: Duration = Duration::from_millis(500);

const WARMING_UP: u8 = 0;
const MEASURING: u8 = 1;
const CLOSING: u8 = 2;

const WRITER_THREADS: usize = 3;
const PADDING: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
const TIME_FIELD: &[u8] = b"\"t\":\"";
const TIME_DIGITS: usize = 12;

type Streams = Arc<Mutex<Vec<TcpStream>>>;

pub(crate) fn run(args: &[String]) {
    let relay: SocketAddr = args[0].parse().unwrap();
    let streams: usize = args[1].parse().unwrap();
    let span = Duration::from_secs(args[2].parse().unwrap());
    let start = Instant::now();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let engine = listener.local_addr().unwrap();
    let groups: Vec<Streams> = (0..WRITER_THREADS).map(|_| Streams::default()).collect();
    for group in &groups {
        let group = group.clone();
        thread::spawn(move || write_events(&group, start));
    }
    thread::spawn(move || accept(&listener, &groups));
    println!("{engine}");
    for (name, addr) in [("direct", engine), ("relayed", relay)] {
        let mut delays = task::block_on(read_streams(addr, streams, span, start));
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
        let requests = task::block_on(send_requests(addr, 16, span / 2));
        let millis = begun.elapsed().as_millis();
        println!(
            "{name}: {:.0} requests a second",
            requests as f64 * 1e3 / millis as f64
        );
        println!("mark request {requests} {millis}");
    }
}

/// Accepts connections. Each one serves either an event stream or short requests.
fn accept(listener: &TcpListener, groups: &[Streams]) {
    for (number, stream) in listener.incoming().enumerate() {
        let mut stream = stream.unwrap();
        stream.set_nodelay(true).unwrap();
        let group = groups[number % groups.len()].clone();
        thread::Builder::new()
            .stack_size(64 * 1024)
            .spawn(move || serve(&mut stream, &group))
            .unwrap();
    }
}

fn serve(stream: &mut TcpStream, group: &Streams) {
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
            group.lock().unwrap().push(stream.try_clone().unwrap());
            return;
        }
        let answer =
            "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Writes one event per tick to each stream, with the writes spread evenly over the tick.
fn write_events(group: &Streams, start: Instant) {
    let mut next = Instant::now();
    let mut streams = Vec::new();
    loop {
        next += TICK;
        streams.append(&mut group.lock().unwrap());
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
            let data = format!("data: {{\"t\":\"{stamp:0TIME_DIGITS$}\",\"x\":\"{PADDING}\"}}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            stream.write_all(chunk.as_bytes()).is_ok()
        });
        if let Some(rest) = next.checked_duration_since(Instant::now()) {
            thread::sleep(rest);
        }
    }
}

/// Reads `count` streams for `span` and returns the latency of each event in microseconds.
async fn read_streams(addr: SocketAddr, count: usize, span: Duration, start: Instant) -> Vec<u32> {
    let phase = Arc::new(AtomicU8::new(WARMING_UP));
    let mut tasks = Vec::new();
    for _ in 0..count {
        let mut stream = async_std::net::TcpStream::connect(addr).await.unwrap();
        let request = "GET /stream HTTP/1.1\r\nhost: engine\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let phase = phase.clone();
        tasks.push(task::spawn(read_events(stream, start, phase)));
    }
    task::sleep(WARMUP).await;
    println!("mark stream {count} 1000");
    phase.store(MEASURING, Ordering::Relaxed);
    task::sleep(span).await;
    phase.store(CLOSING, Ordering::Relaxed);
    let mut delays = Vec::new();
    for task in tasks {
        delays.extend(task.await);
    }
    delays
}

async fn read_events(
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
        if phase == WARMING_UP {
            continue;
        }
        let text = &buffer[..count];
        for offset in 0..count {
            if !text[offset..].starts_with(TIME_FIELD) {
                continue;
            }
            let from = offset + TIME_FIELD.len();
            let digits = text.get(from..from + TIME_DIGITS);
            let stamp = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse::<u64>().ok());
            delays.extend(stamp.map(|stamp| now.saturating_sub(stamp) as u32));
        }
    }
}

/// Sends short requests on `count` persistent connections, each after the previous answer, and
/// returns the number of answers.
async fn send_requests(addr: SocketAddr, count: usize, span: Duration) -> usize {
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
