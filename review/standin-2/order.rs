//! Runners that start again under their names with another software version, while streams are taken up.

use std::io::Result;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::gateway::Gateway;
use crate::gateway::Ports;
use crate::gateway::next_host;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::runner::Process;
use crate::runner::Runner;
use crate::runner::plain_work;
use crate::store::Store;

const GATEWAYS: usize = 4;
const RUNNERS: usize = 9;
const STREAMS: usize = 240;

/// Runners that get the new version, one at a time: a share of 0.44 of all.
const RELEASED: usize = 4;

/// Time from one restart to the next, and how long a runner is away.
const GAP: Duration = Duration::from_millis(1000);
const DOWN: Duration = Duration::from_millis(900);

const EVENTS: usize = 50;
const PAUSE: Duration = Duration::from_millis(100);

/// Most tries of a client for one stream.
const TRIES: usize = 5;

/// `X-Deadline-Ms` of a stream.
const DEADLINE: Duration = Duration::from_millis(15000);

const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"draft","host":"a.example","prefix":"/draft/","kind":"stream","timeout-ms":15000,"target-latency-ms":400,"priority":1,"service":"llm","attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":200},{"name":"look","host":"a.example","prefix":"/look/","kind":"safe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"api","attempts":2,"public":false}],"services":[{"name":"llm","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":296262,"kv-bytes":327680,"link-mbps":550000.0,"migrations":true,"backups":true,"stride":3,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},{"name":"api","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

/// Writes a stream of events from the one after `Last-Event-Id`. Each names the software version.
fn stream(
    _: &Runner,
    process: &Process,
    head: &Head,
    _: &[u8],
    connection: &mut Connection,
) -> Result<bool> {
    let attempt = head.header("x-attempt-id").unwrap_or("none");
    let last = head
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    connection.write(text.as_bytes())?;
    for event in last + 1..=EVENTS {
        thread::sleep(PAUSE);
        let data = format!("id: {event}\ndata: {}\n\n", process.version);
        connection.write(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
    }
    connection.write(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a client has of its stream.
#[derive(Default)]
struct Held {
    first_attempt: Option<String>,
    last: usize,
    /// The versions that wrote its events, in their order.
    versions: Vec<String>,
    complete: bool,
}

impl Held {
    fn event(&mut self, attempt: &str, text: &str) {
        let id = text.lines().find_map(|line| line.strip_prefix("id: "));
        let data = text.lines().find_map(|line| line.strip_prefix("data: "));
        if let (Some(id), Some(data)) = (id.and_then(|id| id.parse().ok()), data) {
            self.last = id;
            self.first_attempt.get_or_insert_with(|| attempt.to_owned());
            if self.versions.last().map(String::as_str) != Some(data) {
                self.versions.push(data.to_owned());
            }
        }
    }
}

/// One try at a stream. Returns `Retry-After` if it was refused.
fn attempt(
    record: &Record,
    address: SocketAddr,
    id: &str,
    left: Duration,
    held: &mut Held,
) -> Result<Option<Duration>> {
    let mut connection = Connection::open(address)?;
    let resumes = held.first_attempt.as_ref().map_or(String::new(), |first| {
        format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", held.last)
    });
    let text = format!(
        "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Count: 300,150\r\n\
         X-Prompt-Prefix: {:08x}:100,{id}:200\r\n{resumes}Content-Length: 8\r\n\r\n{}",
        left.as_millis(),
        number_of(id),
        &id[..4].repeat(2)
    );
    connection.write(text.as_bytes())?;
    let head = connection.head()?;
    record.line(&format!(
        "client {id}: {} {}",
        head.status(),
        resumes.replace("\r\n", " ")
    ));
    if head.status() != 200 {
        let after = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        return Ok(Some(Duration::from_secs_f64(after.unwrap_or(0.1))));
    }
    connection.body(&head, |chunk| {
        let text = String::from_utf8_lossy(chunk);
        text.split_inclusive("\n\n")
            .for_each(|event| held.event(id, event));
    })?;
    held.complete = true;
    Ok(None)
}

/// A client that asks for a stream, and takes it up again when it breaks.
fn client(record: &Record, gateways: &[SocketAddr], number: usize) -> Held {
    let mut held = Held::default();
    let begun = Instant::now();
    for tried in 0..TRIES {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let address = gateways[(number + tried) % gateways.len()];
        let id = format!("{number:04x}{tried:04x}");
        match attempt(record, address, &id, left, &mut held) {
            Ok(None) => break,
            Ok(Some(after)) => {
                thread::sleep(after.min(DEADLINE.saturating_sub(begun.elapsed()) / 3))
            }
            Err(error) => {
                record.line(&format!("client {id}: {error}"));
            }
        }
    }
    held
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let runners: Vec<Runner> = (1..=RUNNERS)
        .map(|at| Runner::start(&format!("i-{at}"), "llm", true, &store, record, stream))
        .collect();
    let work = || plain_work(Duration::from_millis(5));
    let _others = ["i-7", "i-8"].map(|id| Runner::start(id, "api", false, &store, record, work()));
    let hosts: Vec<_> = (0..GATEWAYS).map(|_| next_host()).collect();
    let ports = Ports::free();
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|at| Gateway::new(folder, at, &hosts, ports, store.address))
        .collect();
    for gateway in &mut gateways {
        gateway.start()?;
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.http).collect();
    let held: Arc<Mutex<Vec<Held>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|at| {
            let (record, addresses, held) = (record.clone(), addresses.clone(), held.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(5 * at as u64));
                let ended = client(&record, &addresses, at);
                held.lock().unwrap().push(ended);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));
    // The release: one runner at a time, each gap.
    for runner in &runners[..RELEASED] {
        let begun = Instant::now();
        if has_trouble {
            runner.crash();
            thread::sleep(DOWN);
            runner.restart("v2");
        }
        thread::sleep(GAP.saturating_sub(begun.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    let held = held.lock().unwrap();
    let complete = held.iter().filter(|held| held.complete).count();
    let mixed: Vec<&Held> = held.iter().filter(|held| held.versions.len() > 1).collect();
    for held in &mixed {
        record.line(&format!(
            "stream {:?} holds events of {:?}",
            held.first_attempt, held.versions
        ));
    }
    record.line(&format!(
        "{} streams, {complete} complete, {} of two versions (allowed: 2)",
        held.len(),
        mixed.len()
    ));
    Ok(mixed.len() > 2)
}

/// The shared part of a stream's prompt. Each client asks about a subject of its own.
fn number_of(id: &str) -> u32 {
    0x5c1e_0000 + u32::from_str_radix(&id[..4], 16).unwrap_or_default()
}
