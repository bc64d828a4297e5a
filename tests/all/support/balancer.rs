//! The platform's load balancer: spreads connections over the instances whose `/health` returns
//! 200.

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

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an instance is skipped after a failed health check.
const UNHEALTHY_PERIOD: Duration = Duration::from_millis(200);

/// How long a connection waits for a healthy instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between rounds in which no instance was healthy.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An instance as seen by the balancer.
pub struct Backend {
    listen: SocketAddr,
    operator: SocketAddr,
    unhealthy_since: Mutex<Option<Instant>>,
    cut: AtomicU64,
}

impl Backend {
    fn new(entry: &Entry) -> Backend {
        Backend {
            listen: entry.listen,
            operator: entry.operator,
            unhealthy_since: Mutex::new(None),
            cut: AtomicU64::new(0),
        }
    }

    /// Returns the number of connections that the instance closed before the caller did.
    pub fn cut(&self) -> u64 {
        self.cut.load(Ordering::Relaxed)
    }

    fn is_unhealthy(&self) -> bool {
        let unhealthy_since = *self.unhealthy_since.lock().unwrap();
        unhealthy_since.is_some_and(|at| at.elapsed() < UNHEALTHY_PERIOD)
    }

    async fn connect(&self) -> Option<TcpStream> {
        if self.is_unhealthy() {
            return None;
        }
        let healthy = timeout(HEALTH_CHECK_TIMEOUT, is_healthy(self.operator)).await;
        if !matches!(healthy, Ok(Ok(true))) {
            *self.unhealthy_since.lock().unwrap() = Some(Instant::now());
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
    next: AtomicUsize,
}

impl Table {
    /// Connects to the next healthy instance.
    async fn connect(&self) -> Option<(Arc<Backend>, TcpStream)> {
        let start = Instant::now();
        while start.elapsed() < CONNECT_TIMEOUT {
            let backends = self.backends.lock().unwrap().clone();
            for _ in 0..backends.len() {
                let next = self.next.fetch_add(1, Ordering::Relaxed);
                let backend = &backends[next % backends.len()];
                if let Some(stream) = backend.connect().await {
                    return Some((backend.clone(), stream));
                }
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn forward(&self, caller: TcpStream) -> Option<()> {
        let (backend, entry) = self.connect().await?;
        let up = io::copy(caller.clone(), entry.clone()).boxed();
        let down = io::copy(entry, caller).boxed();
        // A caller sends one request per connection and closes it after the complete answer.
        if let Either::Right(_) = select(up, down).await {
            backend.cut.fetch_add(1, Ordering::Relaxed);
        }
        Some(())
    }
}

/// The balancer. Its listener is closed on drop.
pub struct Balancer {
    pub address: SocketAddr,
    table: Arc<Table>,
    _accept_task: CancelOnDrop,
}

impl Balancer {
    /// Starts the balancer with an empty table.
    pub fn start() -> Balancer {
        let table = Arc::new(Table::default());
        let listener = task::block_on(TcpListener::bind(any_address())).unwrap();
        Balancer {
            address: listener.local_addr().unwrap(),
            table: table.clone(),
            _accept_task: CancelOnDrop::spawn(async move {
                while let Ok((caller, _)) = listener.accept().await {
                    let _ = caller.set_nodelay(true);
                    let table = table.clone();
                    task::spawn(async move { table.forward(caller).await });
                }
            }),
        }
    }

    /// Adds an instance. The returned handle gives access to its counter.
    pub fn add(&self, entry: &Entry) -> Arc<Backend> {
        let backend = Arc::new(Backend::new(entry));
        self.table.backends.lock().unwrap().push(backend.clone());
        backend
    }

    /// Removes an instance from the table, as after the loss of its machine.
    pub fn remove(&self, listen: SocketAddr) {
        let mut backends = self.table.backends.lock().unwrap();
        backends.retain(|backend| backend.listen != listen);
    }
}

/// A task that is cancelled on drop.
pub struct CancelOnDrop(Option<JoinHandle<()>>);

impl CancelOnDrop {
    /// Spawns a task.
    pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> CancelOnDrop {
        CancelOnDrop(Some(task::spawn(future)))
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(handle) = self.0.take() {
            task::block_on(handle.cancel());
        }
    }
}
