//! Stand-ins for the platform, backend servers and clients, and the start of a gateway.
//!
//! They follow the users' pages: the store's reading calls, the answers of a sound server, and
//! clients on raw sockets. Only the standard library is used.
#![allow(dead_code)]

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The API key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What was sent, answered and run, in order of time.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", text.into());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self) {
        let file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let _ = fs::write(file, text);
    }
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, broken: bool) -> ! {
    record.add(if broken { "RULE BROKEN" } else { "rule held" });
    record.write();
    std::process::exit(i32::from(broken));
}

/// Ends a case that couldn't run.
pub fn unable(record: &Record, why: &str) -> ! {
    record.add(format!("couldn't run: {why}"));
    record.write();
    std::process::exit(2);
}

pub fn sleep_ms(span: u64) {
    thread::sleep(Duration::from_millis(span));
}

/// A message with a head and a body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|(own, _)| own.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ').skip(1);
        words.next().and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A reader of messages on a socket.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> Reader {
        Reader {
            stream: stream.try_clone().expect("a socket can be cloned"),
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 64 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// The next message; `None` if the connection ended before its head was complete.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = Message {
            line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
        let length = message.header("content-length").map(str::to_owned);
        let chunked = message.header("transfer-encoding").is_some();
        message.complete = if chunked {
            self.chunks(&mut message.body).is_some()
        } else {
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            match self.take(length) {
                Some(body) => {
                    message.body = body;
                    true
                }
                None => false,
            }
        };
        Some(message)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Some(());
            }
            body.extend(self.take(size)?);
            self.line()?;
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index > group.len() { '=' } else { digit as char });
        }
    }
    text
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

#[derive(Default)]
struct StoreState {
    revision: usize,
    /// All changes; the value is `None` for a removal.
    changes: Vec<(usize, String, Option<String>)>,
}

impl StoreState {
    fn change(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        self.changes.push((self.revision, key.to_owned(), value));
    }

    fn item(change: &(usize, String, Option<String>)) -> String {
        let (revision, key, value) = change;
        match value {
            Some(value) => {
                let data = encode_base64(value.as_bytes());
                format!(
                    "{{\"key\":\"{key}\",\"data\":\"{data}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
                )
            }
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
        }
    }

    fn range(&self) -> String {
        let latest = self.changes.iter().filter(|(revision, key, value)| {
            let mut later = self.changes.iter();
            value.is_some() && !later.any(|(other, name, _)| name == key && other > revision)
        });
        let items: Vec<String> = latest.map(StoreState::item).collect();
        let at = self.revision;
        format!("{{\"entries\":[{}],\"has-more\":false,\"at\":{at}}}", items.join(","))
    }

    fn events(&self, after: usize) -> String {
        let later = self.changes.iter().filter(|(revision, _, _)| *revision > after);
        let items: Vec<String> = later.map(StoreState::item).collect();
        let at = self.revision;
        format!("{{\"events\":[{}],\"at\":{at}}}", items.join(","))
    }
}

impl Store {
    pub fn set(&self, key: &str, value: &str) {
        self.state.lock().unwrap().change(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().change(key, None);
    }

    fn watch(&self, line: &str) -> String {
        let number = |name: &str| {
            let value = line.split(name).nth(1).unwrap_or("0");
            let value = value.split([' ', '&']).next().unwrap_or("0");
            value.parse().unwrap_or(0)
        };
        let after = number("after=");
        let until = Instant::now() + Duration::from_millis(number("wait-ms=") as u64);
        loop {
            let state = self.state.lock().unwrap();
            if state.revision > after || Instant::now() >= until {
                return state.events(after);
            }
            drop(state);
            sleep_ms(5);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = Reader::new(&stream);
        while let Some(call) = reader.message() {
            let body = if call.line.contains("/v1/kv-watch") {
                self.watch(&call.line)
            } else {
                self.state.lock().unwrap().range()
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

pub fn start_store(items: Vec<(String, String)>) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let store = Store {
        address: listener.local_addr().expect("an address"),
        state: Arc::default(),
    };
    for (key, value) in items {
        store.set(&key, &value);
    }
    let own = store.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = own.clone();
            thread::spawn(move || store.serve(stream));
        }
    });
    store
}

/// A request as a backend server received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub service: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub body_bytes: usize,
}

/// A sound backend server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Starts a server. It works for the time in the header `X-Work-Ms` of a request, else for
    /// 20 ms.
    pub fn start(id: &str, service: &str, record: &Record) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            arrivals: Arc::default(),
        };
        let (own, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (own.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let mut reader = Reader::new(&stream);
        while let Some(request) = reader.message() {
            if !request.complete {
                return;
            }
            let answer = self.answer(&request, record);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, record: &Record) -> String {
        let id = request.header("x-attempt-id").unwrap_or("none").to_owned();
        let mut words = request.line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        if target == "/healthz" {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
            return format!("{head}X-Instance-Id: {}\r\nX-Instance-Load: 0,0,64\r\n\r\n", self.id);
        }
        if request.header("x-expect-instance") != Some(&self.id) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
            return format!("{head}X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n\r\n", self.id);
        }
        record.add(format!(
            "server {} of {} runs id={id} {method} {target} body={}",
            self.id,
            self.service,
            request.body.len()
        ));
        self.arrivals.lock().unwrap().push(Arrival {
            server: self.id.clone(),
            service: self.service.clone(),
            id: id.clone(),
            method,
            target,
            body_bytes: request.body.len(),
        });
        let work = request.header("x-work-ms");
        sleep_ms(work.and_then(|work| work.parse().ok()).unwrap_or(20));
        let body = format!("answer to {id}");
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nX-Instance-Load: 1,0,64\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }

    /// The entry in the store.
    pub fn entry(&self) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"stgo-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":4}}",
            self.service, self.address
        );
        (format!("servers/{}", self.id), value)
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":300,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"public\":false}}"
    )
}

/// The configuration, with the limits of the pages' example.
pub fn config(routes: &[String], services: &[&str]) -> (String, String) {
    let services = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false}}")
    });
    let services: Vec<String> = services.collect();
    let value = format!(
        "{{\"version\":7,\"route-table\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    );
    ("op/config".to_owned(), value)
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// A gateway, started as the deploy file says.
pub struct Gateway {
    pub child: Child,
    pub http: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
}

/// Memory of the machine in the settings, in megabytes, as on the first deployment.
pub const MEMORY_MB: u64 = 110;

impl Gateway {
    /// Starts a gateway in the repository's root and waits until it is ready.
    pub fn start(store: &Store, record: &Record) -> Gateway {
        let store = store.address;
        let ip = format!("127.{}.{}.1", 60 + std::process::id() % 100, std::process::id() / 100 % 250);
        let [http, readiness, admin, internal] = [(); 4].map(|()| free_port(&ip));
        let folder = std::env::temp_dir().join(format!("crocushold-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let file = folder.join("settings.conf");
        let text = format!(
            "node-name=edge-stgo-a-1\nrole=gateway\nmachine-class=edge\nserves=edge,control_plane\nip={ip}\nzone=stgo-a\nregion=santiago\nzones.stgo-a=santiago\nlisten.http={ip}:{http}\nlisten.readiness={ip}:{readiness}\nlisten.admin={ip}:{admin}\ninternal-ports={internal},{internal}\nseed-nodes={ip}:{admin}\nbootstrap=true\nlimits.cpu-quota=0.25\nlimits.cores=1\nlimits.memory-mb={MEMORY_MB}\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\nheartbeat-ms=1200\nbounds.stable-window-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.config-apply-ms=2000\nbounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.retry-budget-extra=56\nplatform.address={store}\nplatform.form=read\nplatform.reads-per-s=2000\n"
        );
        fs::write(&file, text).expect("the settings file");
        let log = fs::File::create(folder.join("log.txt")).expect("the log");
        let child = Command::new("target/release/crocushold")
            .args(["gateway", "--waiting-line"])
            .env("CROCUSHOLD_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            unable(record, "target/release/crocushold doesn't start");
        };
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let mut gateway = Gateway {
            child,
            http: address(http),
            readiness: address(readiness),
            folder,
        };
        let until = Instant::now() + Duration::from_secs(10);
        while !gateway.is_ready() {
            if Instant::now() > until {
                gateway.end();
                unable(record, "the gateway isn't ready after 10 s");
            }
            sleep_ms(50);
        }
        // Longer than `stable-window-ms`, so that the machine is in touch.
        sleep_ms(3500);
        record.add("gateway is ready, and in touch for stable-window-ms");
        gateway
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        let answer = Reader::new(&stream).message();
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.http).expect("the gateway accepts connections");
        let _ = stream.set_nodelay(true);
        stream
    }

    /// Memory of the process without pages of files, in bytes; `None` if it has ended.
    pub fn memory(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Kills the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Ends the process and removes its folder; its log goes to the case's folder if asked for.
    pub fn end(&mut self) {
        self.kill();
        if let Ok(target) = std::env::var("KEEP_LOG") {
            let _ = fs::copy(self.folder.join("log.txt"), target);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The head of a client's request without its framing and the blank line.
pub fn head(method: &str, target: &str, id: &str, deadline_ms: u64, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{more}"
    )
}
