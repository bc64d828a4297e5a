//! The platform's balancer: spreads connections over the instances whose `/health` answers 200.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::io;
use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;

use super::any_address;
use super::entry::Entry;

/// How long an instance may take to answer the health check.
const CHECK: Duration = Duration::from_millis(500);

/// How long an instance that failed the check is passed over.
const SKIP: Duration = Duration::from_millis(200);

/// How long a connection waits for any healthy instance.
const PATIENCE: Duration = Duration::from_secs(5);

/// Between two rounds without a healthy instance.
const PAUSE: Duration = Duration::from_millis(20);

/// One instance as the balancer knows it.
pub struct Backend {
    listen: SocketAddr,
    operator: SocketAddr,
    failed: Mutex<Option<Instant>>,
    cut: AtomicU64,
}

impl Backend {
    fn new(entry: &Entry) -> Backend {
        Backend {
            listen: entry.listen,
            operator: entry.operator,
            failed: Mutex::new(None),
            cut: AtomicU64::new(0),
        }
    }

    /// Connections that the instance ended before the caller did.
    pub fn cut(&self) -> u64 {
        self.cut.load(Ordering::Relaxed)
    }

    fn is_skipped(&self) -> bool {
        let failed = *self.failed.lock().unwrap();
        failed.is_some_and(|at| at.elapsed() < SKIP)
    }

    async fn connect(&self) -> Option<TcpStream> {
        if self.is_skipped() {
            return None;
        }
        let healthy = timeout(CHECK, is_healthy(self.operator)).await;
        if !matches!(healthy, Ok(Ok(true))) {
            *self.failed.lock().unwrap() = Some(Instant::now());
            return None;
        }
        TcpStream::connect(self.listen).await.ok()
    }
}

async fn is_healthy(operator: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(operator).await?;
    let request = "GET /health HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await?;
    let mut status = [0; 12];
    stream.read_exact(&mut status).await?;
    Ok(status == *b"HTTP/1.1 200")
}

#[derive(Default)]
struct Table {
    backends: Mutex<Vec<Arc<Backend>>>,
    turn: AtomicUsize,
}

impl Table {
    /// Connects to the next healthy instance.
    async fn connect(&self) -> Option<(Arc<Backend>, TcpStream)> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            let backends = self.backends.lock().unwrap().clone();
            for _ in 0..backends.len() {
                let turn = self.turn.fetch_add(1, Ordering::Relaxed);
                let backend = &backends[turn % backends.len()];
                if let Some(stream) = backend.connect().await {
                    return Some((backend.clone(), stream));
                }
            }
            task::sleep(PAUSE).await;
        }
        None
    }

    async fn forward(&self, caller: TcpStream) -> Option<()> {
        let (backend, entry) = self.connect().await?;
        let up = io::copy(caller.clone(), entry.clone()).boxed();
        let down = io::copy(entry, caller).boxed();
        // The caller sends one request on a connection and hangs up after the whole answer.
        if let Either::Right(_) = select(up, down).await {
            backend.cut.fetch_add(1, Ordering::Relaxed);
        }
        Some(())
    }
}

/// The balancer's listener; closed when dropped.
pub struct Balancer {
    pub address: SocketAddr,
    table: Arc<Table>,
    _listening: Cancelled,
}

impl Balancer {
    /// Starts without any instance.
    pub fn start() -> Balancer {
        let table = Arc::new(Table::default());
        let listener = task::block_on(TcpListener::bind(any_address())).unwrap();
        Balancer {
            address: listener.local_addr().unwrap(),
            table: table.clone(),
            _listening: Cancelled::spawn(async move {
                while let Ok((caller, _)) = listener.accept().await {
                    let _ = caller.set_nodelay(true);
                    let table = table.clone();
                    task::spawn(async move { table.forward(caller).await });
                }
            }),
        }
    }

    /// Adds an instance; its counter can be read as long as the result is held.
    pub fn add(&self, entry: &Entry) -> Arc<Backend> {
        let backend = Arc::new(Backend::new(entry));
        self.table.backends.lock().unwrap().push(backend.clone());
        backend
    }

    /// Takes an instance out of the table, as one whose machine is gone.
    pub fn remove(&self, listen: SocketAddr) {
        let mut backends = self.table.backends.lock().unwrap();
        backends.retain(|backend| backend.listen != listen);
    }
}

/// A task that ends when this is dropped.
pub struct Cancelled(Option<JoinHandle<()>>);

impl Cancelled {
    /// Starts a task.
    pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> Cancelled {
        Cancelled(Some(task::spawn(future)))
    }
}

impl Drop for Cancelled {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            task::block_on(handle.cancel());
        }
    }
}
