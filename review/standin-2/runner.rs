//! A stand-in for a runner. It registers itself, and can end and start again at its address.

use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::gateway::next_host;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// `heartbeat-ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Interval at which the listener of a process looks whether that has ended.
const TICK: Duration = Duration::from_millis(2);

/// Time from the head of an early answer until the runner reads on.
const EARLY_PAUSE: Duration = Duration::from_millis(50);

/// Receive buffer of a connection.
const WINDOW_BYTES: i32 = 16 * 1024;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    /// `setsockopt` of the system's C library.
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A process of a runner.
pub struct Process {
    pub version: String,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    born: u128,
    sequence: AtomicU64,
}

impl Process {
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// What a runner does with a request that it runs. Returns whether the connection is kept.
pub type Work =
    dyn Fn(&Runner, &Process, &Head, &[u8], &mut Connection) -> Result<bool> + Send + Sync;

struct Shared {
    id: String,
    service: String,
    engine: bool,
    zone: &'static str,
    address: SocketAddr,
    process: Mutex<Arc<Process>>,
    work: Box<Work>,
    /// Set if it writes the heads of its answers itself: whether it does so before it reads the body.
    chunked_head: Mutex<Option<bool>>,
    store: Store,
    record: Record,
}

/// A handle to a runner. Clones share its state.
#[derive(Clone)]
pub struct Runner(Arc<Shared>);

impl Runner {
    /// Starts a runner that listens, and registers it.
    pub fn start(
        id: &str,
        service: &str,
        engine: bool,
        store: &Store,
        record: &Record,
        work: impl Fn(&Runner, &Process, &Head, &[u8], &mut Connection) -> Result<bool>
        + Send
        + Sync
        + 'static,
    ) -> Runner {
        let host = next_host();
        let port = TcpListener::bind((host, 0)).and_then(|listener| listener.local_addr());
        let runner = Runner(Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            engine,
            zone: "zone-a",
            address: SocketAddr::new(host, port.expect("a free port").port()),
            process: Mutex::new(Arc::new(new_process("v1"))),
            work: Box::new(work),
            chunked_head: Mutex::new(None),
            store: store.clone(),
            record: record.clone(),
        }));
        runner.listen();
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register("ready");
            }
        });
        runner
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn record(&self) -> &Record {
        &self.0.record
    }

    fn process(&self) -> Arc<Process> {
        self.0.process.lock().unwrap().clone()
    }

    /// Writes its entry, unless its process has ended.
    pub fn register(&self, state: &str) {
        let process = self.process();
        if process.has_ended() {
            return;
        }
        let shared = &self.0;
        let models = if shared.engine {
            "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        } else {
            ""
        };
        let slots = if shared.engine { 64 } else { 6 };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{slots},\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,{models}\"sequence\":{},\"born\":{}}}",
            shared.service,
            shared.address,
            shared.zone,
            process.version,
            process.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            process.born,
        );
        shared.store.put(&format!("servers/{}", shared.id), &entry);
    }

    /// Lets it write the head of each answer, with chunks to follow: before it reads the body if `early`.
    pub fn answer_early(&self, early: bool) {
        *self.0.chunked_head.lock().unwrap() = Some(early);
    }

    /// Sets the version of its software before its first request, and registers it.
    pub fn set_version(&self, version: &str) {
        let process = new_process(version);
        let mut held = self.0.process.lock().unwrap();
        held.ended.store(true, Ordering::Relaxed);
        *held = Arc::new(process);
        drop(held);
        self.listen();
    }

    /// Ends the process: its connections and its listener close.
    pub fn crash(&self) {
        let process = self.process();
        process.ended.store(true, Ordering::Relaxed);
        self.0
            .record
            .line(&format!("runner {} ({}) ends", self.0.id, process.version));
        for stream in process.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Its entry expires after three heartbeat intervals of silence.
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            if runner.process().has_ended() {
                runner.0.store.remove(&format!("servers/{}", runner.0.id));
            }
        });
        // The listener closes within a tick.
        thread::sleep(3 * TICK);
    }

    /// Starts a new process under the same name, at the same address, with `version` of its software. It
    /// listens and registers itself at once.
    pub fn restart(&self, version: &str) {
        *self.0.process.lock().unwrap() = Arc::new(new_process(version));
        self.listen();
        self.0.record.line(&format!(
            "runner {} ({version}) has started and registered",
            self.0.id
        ));
    }

    /// Limits what a connection holds that isn't read yet, as the small windows of the platform's links do.
    fn limit_window(listener: &TcpListener) {
        let bytes: i32 = WINDOW_BYTES;
        // A failure leaves the usual window, with which the case may not show anything.
        let _ = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    }

    fn listen(&self) {
        let listener = loop {
            match TcpListener::bind(self.0.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(TICK),
            }
        };
        Runner::limit_window(&listener);
        self.register("ready");
        listener.set_nonblocking(true).expect("a socket");
        let runner = self.clone();
        let process = self.process();
        thread::spawn(move || {
            while !process.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => runner.accept(&process, stream),
                    Err(_) => thread::sleep(TICK),
                }
            }
        });
    }

    fn accept(&self, process: &Arc<Process>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        if let Ok(copy) = stream.try_clone() {
            process.connections.lock().unwrap().push(copy);
        }
        let (runner, process) = (self.clone(), process.clone());
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(true) = runner.serve(&process, &mut connection) {}
            connection.close();
        });
    }

    /// Serves a request. Returns whether the connection is kept.
    fn serve(&self, process: &Process, connection: &mut Connection) -> Result<bool> {
        let head = connection.head()?;
        let chunked = self.0.chunked_head.lock().unwrap().clone();
        if let (Some(early), Some(attempt)) = (chunked, head.header("x-attempt-id")) {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            let attempt = attempt.to_owned();
            if early {
                connection.write(text.as_bytes())?;
                self.0.record.line(&format!(
                    "runner {}: head of the answer to {attempt}",
                    self.0.id
                ));
                thread::sleep(EARLY_PAUSE);
            }
            let read = connection.body(&head, |_| {});
            self.0.record.line(&format!(
                "runner {}: body of {attempt}: {:?}",
                self.0.id,
                read.as_ref().map(Vec::len)
            ));
            let body = read?;
            if !early {
                connection.write(text.as_bytes())?;
            }
            return (self.0.work)(self, process, &head, &body, connection);
        }
        let body = connection.body(&head, |_| {})?;
        if head.word(1) == "/healthz" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.0.id
            );
            return connection.write(text.as_bytes()).map(|()| true);
        }
        let attempt = head.header("x-attempt-id").unwrap_or("none").to_owned();
        if head
            .header("x-expect-instance")
            .is_some_and(|id| id != self.0.id)
        {
            self.0
                .record
                .line(&format!("runner {}: 421 to {attempt}", self.0.id));
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.0.id
            );
            return connection.write(text.as_bytes()).map(|()| true);
        }
        self.0.record.line(&format!(
            "runner {} ({}) runs {attempt}: {} with a body of {} bytes",
            self.0.id,
            process.version,
            head.start,
            body.len()
        ));
        (self.0.work)(self, process, &head, &body, connection)
    }
}

fn new_process(version: &str) -> Process {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    Process {
        version: version.to_owned(),
        ended: AtomicBool::new(false),
        connections: Mutex::default(),
        born: born.expect("a clock after 1970").as_millis(),
        sequence: AtomicU64::new(0),
    }
}

/// The work of a plain service: an answer of a few bytes after `pause`.
pub fn plain_work(
    pause: Duration,
) -> impl Fn(&Runner, &Process, &Head, &[u8], &mut Connection) -> Result<bool> + Send + Sync + 'static
{
    move |_, _, head, _, connection| {
        thread::sleep(pause);
        let attempt = head.header("x-attempt-id").unwrap_or("none");
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
             X-Instance-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone"
        );
        connection.write(text.as_bytes())?;
        Ok(true)
    }
}
